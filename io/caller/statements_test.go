package caller

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/core/call"
	"ibislift/core/kernel"
	"ibislift/core/route"
	"ibislift/io/dialect"
	"ibislift/io/peer/peerpb"
)

// newExchange returns the exchange of a request to a service with an empty tracker.
func newExchange() *exchange {
	return &exchange{
		handler: &Handler{Now: time.Now, Dialect: dialect.Default(), Log: slog.New(slog.DiscardHandler)},
		service: &service{tracker: &route.Tracker{}}, request: &request{}, original: httptest.NewRequest("GET", "/", nil),
	}
}

func TestIngressRemembersThatATargetIsLeaving(t *testing.T) {
	is := is.New(t)
	exchange := newExchange()
	attempt := &attempt{ctx: context.Background(), member: kernel.Member{ID: "t0", Target: kernel.Target{StartedAt: 7}}}
	attempt.receiveHead(exchange, &peerpb.AnswerHead{Status: 200, Complete: true})
	is.True(!exchange.service.tracker.IsLeaving("t0", 7))
	attempt.receiveHead(exchange, &peerpb.AnswerHead{Status: 200, Complete: true, Leaving: true})
	is.True(exchange.service.tracker.IsLeaving("t0", 7))
}

func TestForwardedRequestCarriesTheKnownRateLimit(t *testing.T) {
	is := is.New(t)
	exchange := newExchange()
	is.True(callHead(exchange, call.Send{Target: "t0"}).GetRateLimit() == nil)
	limit := admit.RateLimit{InForce: true, PerSecond: 3, StartedAt: 7}
	exchange.service.tracker.RecordReport("t0", time.Now(), admit.Load{RateLimit: limit})
	is.Equal(callHead(exchange, call.Send{Target: "t0"}).GetRateLimit().GetPerSecond(), 3.0)
	is.True(callHead(exchange, call.Send{Target: "t1"}).GetRateLimit() == nil)
	exchange.service.tracker.RecordReport("t0", time.Now(), admit.Load{RateLimit: admit.RateLimit{PerSecond: 3, StartedAt: 7}})
	is.True(callHead(exchange, call.Send{Target: "t0"}).GetRateLimit() == nil)
}

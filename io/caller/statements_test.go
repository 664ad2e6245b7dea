package caller

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"
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

// A caller whose request no target may get must not wait until its body has arrived.
func TestRequestsForEvacuatedTargetsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	handler := &Handler{Now: time.Now, Dialect: dialect.Default(), Log: slog.New(slog.DiscardHandler)}
	member := func(id, dataCentre string) kernel.Member {
		return kernel.Member{ID: id, DataCentre: dataCentre, State: kernel.MemberAlive, Target: kernel.Target{Service: "shop", State: kernel.TargetServing}}
	}
	members := []kernel.Member{member("t0", "a"), member("t1", "b")}
	view := &kernel.View{Evacuated: []string{"a"}}
	is.Equal(servingMembers(kernel.Member{}, withoutEvacuated(view, members), nil), members[1:])
	is.True(!allEvacuated(view, members))
	view.Evacuated = []string{"a", "b"}
	is.True(allEvacuated(view, members))
	is.True(!allEvacuated(view, nil)) // a service without targets
	unread := iotest.ErrReader(errors.New("the body was read"))
	problem := handler.prepare(&request{}, &service{known: true, evacuated: true}, view, nil, httptest.NewRequest("POST", "/", unread), time.Now())
	is.Equal(problem.Status, http.StatusServiceUnavailable)
	is.Equal(problem.kind(), "evacuated")
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

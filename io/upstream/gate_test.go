package upstream_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/io/upstream"
)

// waited is what a gate told of a decision.
type waited struct {
	class   string
	refused admit.Reason
	wait    time.Duration
}

func TestGateTellsOfWaits(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var told []waited
	gate := &upstream.Gate{
		Now: func() time.Time { return now },
		Waited: func(class string, refused admit.Reason, wait time.Duration) {
			told = append(told, waited{class, refused, wait})
		},
	}
	gate.Resize(1, 1)
	arrive := func(class string) *upstream.Admission {
		return gate.Admit(admit.Arrived{Class: class, Deadline: now.Add(time.Second)}, "")
	}
	first := arrive("enrol")
	is.New(t).True(first.Wait(context.Background()).HandedOver)
	second := arrive("search")
	now = now.Add(40 * time.Millisecond)
	first.Finish(false)
	is := is.New(t)
	is.True(second.Wait(context.Background()).HandedOver)
	second.Finish(false)
	<-gate.Drain()
	third := arrive("enrol")
	is.Equal(third.Wait(context.Background()).Reason, admit.ReasonDraining)
	third.Finish(false)
	is.Equal(told, []waited{{"enrol", "", 0}, {"search", "", 40 * time.Millisecond}, {"enrol", admit.ReasonDraining, 0}})
}

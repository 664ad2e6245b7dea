package upstream_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/io/upstream"
)

// recordedWait holds the arguments of one call of Gate.RecordWait.
type recordedWait struct {
	class   string
	refused admit.Reason
	wait    time.Duration
}

func TestGateRecordsWaits(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var recorded []recordedWait
	gate := &upstream.Gate{
		Now: func() time.Time { return now },
		RecordWait: func(class string, refused admit.Reason, wait time.Duration) {
			recorded = append(recorded, recordedWait{class, refused, wait})
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
	is.Equal(recorded, []recordedWait{{"enrol", "", 0}, {"search", "", 40 * time.Millisecond}, {"enrol", admit.ReasonDraining, 0}})
}

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

// An upstream that restarts makes its daemon reopen a drained gate.
func TestClosedGateIsNotReopened(t *testing.T) {
	for name, end := range map[string]struct {
		drain  func(*upstream.Gate) <-chan struct{}
		reason admit.Reason
	}{
		"a closed gate":  {(*upstream.Gate).Close, admit.ReasonDraining},
		"a drained gate": {(*upstream.Gate).Drain, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate := &upstream.Gate{Now: time.Now}
			gate.Resize(2, 2)
			admitOne := func() (*upstream.Admission, upstream.Decision) {
				admission := gate.Admit(admit.Arrived{Deadline: time.Now().Add(time.Minute)}, "")
				return admission, admission.Wait(t.Context())
			}
			running, decision := admitOne()
			is.True(decision.HandedOver)
			drained := end.drain(gate)
			gate.Reopen()
			late, decision := admitOne()
			is.Equal(decision.Reason, end.reason)
			running.Finish(false)
			late.Finish(false)
			if end.reason != "" {
				<-drained // the stop does not wait for longer
			}
		})
	}
}

// TestRunningExcept guards against marks of calls that the runs of a flood allow: an
// ingress marks as many requests as the runs of other classes can have made.
func TestRunningExcept(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	gate := &upstream.Gate{Now: func() time.Time { return now }}
	gate.Resize(2, 2)
	is := is.New(t)
	is.Equal(gate.RunningExcept("flood"), 0)
	var admissions []*upstream.Admission
	for _, class := range []string{"flood", "enrol", "enrol"} {
		admissions = append(admissions, gate.Admit(admit.Arrived{Class: class, Deadline: now.Add(time.Second)}, ""))
	}
	for _, running := range admissions[:2] {
		is.True(running.Wait(context.Background()).HandedOver)
	}
	is.Equal(gate.RunningExcept("flood"), 1) // the third request is queued
	is.Equal(gate.RunningExcept("other"), 2)
	admissions[1].Finish(false)
	admissions[0].Finish(false)
	is.True(admissions[2].Wait(context.Background()).HandedOver)
	is.Equal(gate.RunningExcept("enrol"), 0)
	is.Equal(gate.RunningExcept("flood"), 1)
}

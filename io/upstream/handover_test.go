package upstream_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/io/dialect"
	"ibislift/io/upstream"
)

// TestGateHoldsSlotsOfCancelledRuns guards against loads and cancellations that do not reach
// the gate, which would then hand over more than the upstream has slots for.
func TestGateHoldsSlotsOfCancelledRuns(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	gate := &upstream.Gate{Now: func() time.Time { return now }, HoldCancelledRuns: true}
	gate.Resize(2, 2)
	run := func() *upstream.Admission {
		admission := gate.Admit(admit.Arrived{Deadline: now.Add(time.Minute)}, "")
		is.New(t).True(admission.Wait(t.Context()).HandedOver)
		return admission
	}
	first := run()
	handedOverAt := now
	now = now.Add(100 * time.Millisecond)
	first.RecordLoad(dialect.Load{Running: 1, Slots: 2}, handedOverAt)
	first.Finish(false)
	cancelled, other := run(), run()
	now = now.Add(20 * time.Millisecond)
	cancelled.MarkCancelled()
	cancelled.Finish(true)
	checkHeld := func(expected int) {
		t.Helper()
		is.New(t).Equal(gate.Load().CancelledRuns, expected)
	}
	checkHeld(0) // most upstreams drop a cancelled request
	now = now.Add(30 * time.Millisecond)
	gate.RecordLoad(dialect.Load{Running: 2, Slots: 2}, now.Add(-time.Millisecond)) // it runs on
	checkHeld(1)
	gate.RecordLoad(dialect.Load{Running: 1, Slots: 2}, now.Add(-time.Millisecond))
	checkHeld(0)
	other.Finish(false)
}

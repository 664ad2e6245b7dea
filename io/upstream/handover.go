package upstream

import (
	"time"

	"ibislift/core/admit"
	"ibislift/io/dialect"
)

// RecordLoad records the load that the upstream has reported in the response to a health
// probe that was sent at sentAt.
func (gate *Gate) RecordLoad(load dialect.Load, sentAt time.Time) {
	gate.recordLoad(0, load, sentAt)
}

// RecordLoad records the load that the upstream has reported in the response to the request,
// which was handed over at handedOverAt.
func (admission *Admission) RecordLoad(load dialect.Load, handedOverAt time.Time) {
	admission.gate.recordLoad(admission.id, load, handedOverAt)
}

func (gate *Gate) recordLoad(id uint64, load dialect.Load, from time.Time) {
	gate.apply(func() []admit.Effect {
		return gate.machine.Update(admit.LoadReported{At: gate.Now(), From: from, ID: id, Running: load.Running, Queued: load.Queued})
	})
}

// checkAfter lets the machine check cancelled runs after a time.
func (gate *Gate) checkAfter(after time.Duration) {
	time.AfterFunc(after, func() {
		gate.apply(func() []admit.Effect { return gate.machine.Update(admit.CheckDue{At: gate.Now()}) })
	})
}

// MarkCancelled records that the connection to the upstream was closed before the end of the
// response, so that the upstream may run the request on. Finish reports it to the gate.
func (admission *Admission) MarkCancelled() { admission.cancelled = true }

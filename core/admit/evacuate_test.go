package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
)

// Other ingresses may not know of an evacuation yet, so the gate keeps its promise alone.
func TestEvacuatedGate(t *testing.T) {
	now := time.Unix(1000, 0)
	// newGate returns a gate where request 1 runs, 2 holds a reservation and 3 is queued.
	newGate := func() *admit.Gate {
		gate := &admit.Gate{Slots: 2, QueueBound: 8}
		for id := range uint64(3) {
			gate.Update(admit.Arrived{ID: id + 1, At: now, Deadline: now.Add(time.Minute), Reserve: id == 1})
		}
		return gate
	}
	refused := func(id uint64) []admit.Effect {
		return []admit.Effect{admit.Refuse{ID: id, Reason: admit.ReasonEvacuated}}
	}
	t.Run("new, queued and committed requests are refused, running ones finish", func(t *testing.T) {
		is := is.New(t)
		gate := newGate()
		is.Equal(gate.Update(admit.EvacuationChanged{At: now, Evacuated: true}), refused(3))
		is.Equal(gate.Update(admit.Arrived{ID: 4, At: now, Deadline: now.Add(time.Minute)}), refused(4))
		is.Equal(gate.Update(admit.Committed{ID: 2, At: now}), refused(2))
		is.True(gate.Load().Evacuated)
		is.True(!gate.Load().Draining) // its upstream may still say that it is leaving
		gate.Update(admit.Finished{ID: 1, At: now.Add(time.Second)})
		is.Equal(gate.Load().Running, 0)
		is.Equal(len(gate.Update(admit.ProbeDue{At: now.Add(time.Minute)})), 0)
	})
	t.Run("it opens again", func(t *testing.T) {
		is := is.New(t)
		gate := newGate()
		gate.Update(admit.EvacuationChanged{At: now, Evacuated: true})
		is.Equal(len(gate.Update(admit.EvacuationChanged{At: now})), 0)
		is.Equal(gate.Update(admit.Committed{ID: 2, At: now}), []admit.Effect{admit.HandOver{ID: 2}})
	})
	t.Run("a drain that begins meanwhile ends when nothing runs", func(t *testing.T) {
		is := is.New(t)
		gate := newGate()
		gate.Update(admit.EvacuationChanged{At: now, Evacuated: true})
		gate.Update(admit.Committed{ID: 2, At: now})
		is.Equal(len(gate.Update(admit.DrainRequested{At: now})), 0)
		is.Equal(gate.Update(admit.Finished{ID: 1, At: now}), []admit.Effect{admit.Drained{}})
	})
	t.Run("other daemons are told at once", func(t *testing.T) {
		gate := newGate()
		before := gate.Load()
		gate.Update(admit.EvacuationChanged{At: now, Evacuated: true})
		is.New(t).True(gate.Load().NeedsReport(before))
	})
}

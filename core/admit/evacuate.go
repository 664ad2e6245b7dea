package admit

import "time"

// EvacuationChanged says whether nothing may be handed over to the upstream because its data
// centre is evacuated. What runs may finish.
type EvacuationChanged struct {
	At        time.Time
	Evacuated bool
}

func (EvacuationChanged) event() {}

// changeEvacuation refuses what waits when an evacuation begins. A reservation is refused
// when it is committed.
func (gate *Gate) changeEvacuation(changed EvacuationChanged) []Effect {
	gate.evacuated = changed.Evacuated
	if !gate.evacuated {
		return nil
	}
	return append(gate.refuseQueued(ReasonEvacuated), gate.checkDrained()...)
}

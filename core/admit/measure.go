package admit

import "time"

// Health checks that requests earn, so that measuring costs no more than what it
// is for: one before a request is placed and one while it waits or runs, and no
// more saved than for a burst.
const (
	checksPerRequest = 2
	maxEarned        = 10
)

// Measure asks for the upstream's word on how long work takes now.
type Measure struct{}

func (Measure) effect() {}

// measure asks for a fresh word of an upstream that tells how slow it is, if
// its answers have not brought one lately. Entries choose by what the gate
// reports, and the gate refuses by it; both go wrong when neighbours on the
// upstream's machine come and go sooner than answers do.
func (gate *Gate) measure(at time.Time) []Effect {
	tells := gate.slowness > 0
	wanted := gate.Slots > 0 && !gate.draining && at.Sub(gate.arrivedAt) <= SubscriptionTime
	stale := at.Sub(gate.toldAt) >= gate.FreshTime && at.Sub(gate.askedAt) >= gate.FreshTime
	if gate.FreshTime <= 0 || !tells || !wanted || !stale || gate.earned < 1 {
		return nil
	}
	gate.askedAt = at
	gate.earned--
	return []Effect{Measure{}}
}

package admit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// waiting is a queued request with what decides its turn.
type waiting struct {
	arrived Arrived
	// late says that the request cannot meet its objective any more.
	late bool
}

// ordinaryRank is the rank of a request that is not important and names none.
const ordinaryRank = 1

// rank is 0 for important requests, and above for others.
func (arrived Arrived) rank() int {
	if arrived.Important {
		return 0
	}
	return max(ordinaryRank, arrived.Rank)
}

// objective is when the answer loses most of its worth.
func (arrived Arrived) objective() time.Time {
	if arrived.Objective.IsZero() {
		return arrived.Deadline
	}
	return arrived.Objective
}

// compare orders waiting requests: those that can still meet their objective
// before the others, then by rank, then by objective.
func compare(one, other waiting) int {
	return cmp.Or(
		compareBool(one.late, other.late),
		cmp.Compare(one.arrived.rank(), other.arrived.rank()),
		one.arrived.objective().Compare(other.arrived.objective()),
		cmp.Compare(one.arrived.ID, other.arrived.ID),
	)
}

func compareBool(one, other bool) int {
	switch {
	case one == other:
		return 0
	case other:
		return -1
	default:
		return 1
	}
}

// order returns the queue in the order of its turns.
func (gate *Gate) order(at time.Time) []waiting {
	order := make([]waiting, 0, len(gate.queue))
	for _, id := range gate.queue {
		arrived := gate.requests[id].arrived
		order = append(order, waiting{arrived: arrived, late: gate.missesObjective(at, arrived)})
	}
	slices.SortFunc(order, compare)
	return order
}

// missesObjective says whether a request would miss its objective even if it
// got a slot now.
func (gate *Gate) missesObjective(at time.Time, arrived Arrived) bool {
	return at.Add(gate.likelyRunTime(at, arrived.Class)).After(arrived.objective())
}

// capacity is how many requests run at once.
func (gate *Gate) capacity() int {
	if gate.Headroom <= 0 || gate.Slots == 0 {
		return gate.Slots
	}
	return max(1, int(float64(gate.Slots)*(1-gate.Headroom)))
}

// turnTime is the mean time between two slots that come free.
func (gate *Gate) turnTime(at time.Time) time.Duration {
	return gate.runTime(at, "") / time.Duration(max(1, gate.capacity()))
}

// expectedWait is the time until a request that arrives now gets a slot.
func (gate *Gate) expectedWait(arrived Arrived) time.Duration {
	if gate.held < gate.capacity() && len(gate.queue) == 0 {
		return 0
	}
	newcomer := waiting{arrived: arrived, late: gate.missesObjective(arrived.At, arrived)}
	ahead := 0
	for _, queued := range gate.order(arrived.At) {
		if compare(queued, newcomer) < 0 {
			ahead++
		}
	}
	return gate.turnTime(arrived.At) * time.Duration(ahead+1)
}

// waitPart is the part of the time to spare before its objective that a
// request may wait for a slot. The rest is for the upstream, which may become
// slow while it runs. Longer queues serve more requests, but late.
const waitPart = 3

// pressureTime is how long after a request was refused that could have met its
// objective the slots are kept for such requests.
const pressureTime = time.Second

// standingTime is how long a queue may last that absorbs a burst, or a moment in
// which the upstream is slowed. A queue that lasts longer only adds waiting.
const standingTime = 250 * time.Millisecond

// isStanding says whether the queue has not been empty for long.
func (gate *Gate) isStanding(at time.Time) bool {
	return len(gate.queue) > 0 && at.Sub(gate.emptyAt) > standingTime
}

// isTooBusy says whether a request has to wait too long for a slot. Without an
// objective of its own it may wait until its deadline. One that cannot meet its
// objective any more takes only a slot that nobody else wants.
func (gate *Gate) isTooBusy(arrived Arrived, wait time.Duration) bool {
	if arrived.Objective.IsZero() || !arrived.Objective.Before(arrived.Deadline) || !gate.isStanding(arrived.At) {
		return false
	}
	spare := arrived.Objective.Sub(arrived.At) - gate.likelyRunTime(arrived.At, arrived.Class)
	if spare <= 0 {
		pressed := arrived.At.Sub(gate.pressed) < pressureTime && arrived.rank() >= gate.pressedRank
		return wait > 0 || pressed
	}
	if wait <= spare/waitPart {
		return false
	}
	gate.pressed = arrived.At
	gate.pressedRank = arrived.rank()
	return true
}

// displace makes room for a request in a full queue by refusing the last one,
// if that is of less urgency.
func (gate *Gate) displace(arrived Arrived, wait time.Duration) ([]Effect, bool) {
	order := gate.order(arrived.At)
	if len(order) == 0 {
		return nil, false
	}
	last := order[len(order)-1]
	newcomer := waiting{arrived: arrived, late: gate.missesObjective(arrived.At, arrived)}
	behind := cmp.Or(compareBool(newcomer.late, last.late), cmp.Compare(newcomer.arrived.rank(), last.arrived.rank())) < 0
	if !behind {
		return nil, false
	}
	gate.drop(last.arrived.ID)
	return refuse(last.arrived.ID, ReasonQueueFull, wait), true
}

// fill gives free slots to waiting requests in the order of their turns.
func (gate *Gate) fill(at time.Time) []Effect {
	var effects []Effect
	for gate.held < gate.capacity() && len(gate.queue) > 0 {
		next := gate.order(at)[0].arrived
		if at.Add(gate.runTime(at, next.Class) / 2).After(next.Deadline) {
			gate.drop(next.ID)
			effects = append(effects, refuse(next.ID, ReasonLate, gate.turnTime(at))...)
			continue
		}
		gate.unqueue(next.ID)
		effects = append(effects, gate.start(next, at))
	}
	if len(gate.queue) == 0 {
		gate.emptyAt = at
	}
	return append(effects, gate.checkDrained()...)
}

// start gives a slot to a request.
func (gate *Gate) start(arrived Arrived, at time.Time) Effect {
	started := gate.requests[arrived.ID]
	gate.held++
	started.started = at
	started.slowness = gate.slownessAt(at)
	if arrived.Reserve {
		started.stage = stageReserved
		return Grant{ID: arrived.ID}
	}
	started.stage = stageRunning
	return HandOver{ID: arrived.ID}
}

// shed refuses the waiting requests that would not get a slot in time for
// their deadline, so that their callers can go elsewhere at once.
func (gate *Gate) shed(at time.Time) []Effect {
	var effects []Effect
	turn := gate.turnTime(at)
	ahead := 0
	for _, queued := range gate.order(at) {
		ahead++
		begins := at.Add(turn * time.Duration(ahead))
		if begins.Add(gate.runTime(at, queued.arrived.Class) / 2).After(queued.arrived.Deadline) {
			ahead--
			gate.drop(queued.arrived.ID)
			effects = append(effects, refuse(queued.arrived.ID, ReasonLate, turn*time.Duration(ahead+1))...)
		}
	}
	return effects
}

func (gate *Gate) unqueue(id uint64) {
	if index := slices.Index(gate.queue, id); index >= 0 {
		gate.queue = slices.Delete(gate.queue, index, index+1)
	}
}

// drop forgets a waiting request.
func (gate *Gate) drop(id uint64) {
	gate.unqueue(id)
	delete(gate.requests, id)
}

// dropAll refuses all waiting requests.
func (gate *Gate) dropAll(reason Reason) []Effect {
	var effects []Effect
	for _, id := range gate.queue {
		delete(gate.requests, id)
		effects = append(effects, refuse(id, reason, 0)...)
	}
	gate.queue = nil
	return effects
}

// expire takes back the slots of reservations that were never committed, and
// refuses the queued requests that cannot be served in time any more.
func (gate *Gate) expire(at time.Time) []Effect {
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(gate.requests)) {
		known, found := gate.requests[id]
		if found && known.stage == stageReserved && at.Sub(known.started) >= ReservationTime {
			effects = append(effects, gate.revoke(id, ReasonExpired, at)...)
		}
	}
	return append(effects, gate.shed(at)...)
}

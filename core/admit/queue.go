package admit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// queueEntry is a queued request with the data that determines its position.
type queueEntry struct {
	arrived Arrived
	// missesObjective is set if the request can no longer meet its objective.
	missesObjective bool
	// isCall, rank and overUse are set for OrderCost only: whether the request is a call
	// of a running request, its rank, and how much its workspace uses compared to what it
	// may use.
	isCall  bool
	rank    int
	overUse float64
}

// ordinaryRank is the smallest and thus most urgent rank of the requests that are
// not important. A request without a rank has this one.
const ordinaryRank = 1

// effectiveRank returns 0 for an important request and at least ordinaryRank for
// any other.
func (arrived Arrived) effectiveRank() int {
	if arrived.Important {
		return 0
	}
	return max(ordinaryRank, arrived.Rank)
}

// effectiveObjective returns the objective, or the deadline if there is none.
func (arrived Arrived) effectiveObjective() time.Time {
	if arrived.Objective.IsZero() {
		return arrived.Deadline
	}
	return arrived.Objective
}

// compare orders queued requests: those that can still meet their objective come
// first, then the lower rank, then the earlier objective.
func compare(one, other queueEntry) int {
	return cmp.Or(
		compareBool(one.missesObjective, other.missesObjective),
		cmp.Compare(one.arrived.effectiveRank(), other.arrived.effectiveRank()),
		one.arrived.effectiveObjective().Compare(other.arrived.effectiveObjective()),
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

// sortedQueue returns the queue in the order in which requests get slots.
func (gate *Gate) sortedQueue(at time.Time) []queueEntry {
	sorted := make([]queueEntry, 0, len(gate.queue))
	for _, id := range gate.queue {
		sorted = append(sorted, gate.entry(at, gate.requests[id].arrived))
	}
	slices.SortFunc(sorted, gate.comparison())
	return sorted
}

// missesObjective reports whether a request would miss its objective even if it
// started now.
func (gate *Gate) missesObjective(at time.Time, arrived Arrived) bool {
	return at.Add(gate.optimisticServiceTime(at, arrived.Class)).After(arrived.effectiveObjective())
}

// capacity returns how many requests may run at once, which is the number of
// slots minus the headroom.
func (gate *Gate) capacity() int {
	if gate.Headroom <= 0 || gate.Slots == 0 {
		return gate.Slots
	}
	return max(1, int(float64(gate.Slots)*(1-gate.Headroom)))
}

// slotInterval returns the mean time between two slots becoming free.
func (gate *Gate) slotInterval(at time.Time) time.Duration {
	return gate.expectedServiceTime(at, "") / time.Duration(max(1, gate.capacity()))
}

// startDelay returns the expected time until the request at a position of the queue, the
// first being 1, gets a slot and the limits let it through.
func (gate *Gate) startDelay(at time.Time, position int) time.Duration {
	freeSlots := gate.capacity() - gate.occupied(at)
	waitForSlot := gate.slotInterval(at) * time.Duration(max(0, position-freeSlots))
	return max(waitForSlot, gate.limitDelay(at, position))
}

// canStart reports whether a slot is free and the limits let a request through.
func (gate *Gate) canStart(at time.Time) bool {
	return gate.occupied(at) < gate.capacity() && gate.limitDelay(at, 1) == 0
}

// expectedWait returns the expected time until an arriving request gets a slot.
func (gate *Gate) expectedWait(arrived Arrived) time.Duration {
	newcomer, comparison := gate.entry(arrived.At, arrived), gate.comparison()
	ahead := 0
	for _, queued := range gate.sortedQueue(arrived.At) {
		if comparison(queued, newcomer) < 0 {
			ahead++
		}
	}
	return gate.startDelay(arrived.At, ahead+1)
}

// maxWaitDivisor limits the wait for a slot to a fraction of the time that a
// request has to spare before its objective. The rest is kept in case the upstream
// slows down while the request runs. A longer queue would serve more requests, but
// too late.
const maxWaitDivisor = 3

// standingQueueTime is how long a queue may last because of a burst or a short
// slowdown of the upstream. A queue that lasts longer is a standing queue, which
// only adds latency.
const standingQueueTime = 250 * time.Millisecond

// hasStandingQueue reports whether the queue has been non-empty for longer than
// standingQueueTime, or waits for a cold upstream, which takes no more than its rate for
// seconds.
func (gate *Gate) hasStandingQueue(at time.Time) bool {
	return len(gate.queue) > 0 && (at.Sub(gate.lastEmptyAt) > standingQueueTime || gate.warmupLimiter.isLimited(at))
}

// isTooBusy reports whether the gate refuses a request because of a standing queue.
// A request without an objective of its own may wait until its deadline. One that
// can still meet its objective is refused if the wait would use more than the part
// of its spare time that maxWaitDivisor allows. One that can no longer meet it is
// refused if it has to wait at all. With OrderCost, a request is not refused while a less
// urgent one is queued, unless it would miss its objective because of the wait.
func (gate *Gate) isTooBusy(arrived Arrived, wait time.Duration) bool {
	if arrived.Objective.IsZero() || !arrived.Objective.Before(arrived.Deadline) || !gate.hasStandingQueue(arrived.At) {
		return false
	}
	spare := arrived.Objective.Sub(arrived.At) - gate.optimisticServiceTime(arrived.At, arrived.Class)
	if gate.ordersByCost() && gate.hasLessUrgentQueued(arrived) {
		return spare > 0 && wait > spare
	}
	if spare <= 0 {
		return wait > 0
	}
	return wait > spare/maxWaitDivisor
}

// displace makes room for a request in a full queue by refusing the last queued
// request if that one is less urgent.
func (gate *Gate) displace(arrived Arrived, wait time.Duration) ([]Effect, bool) {
	sorted := gate.sortedQueue(arrived.At)
	if len(sorted) == 0 {
		return nil, false
	}
	last := sorted[len(sorted)-1]
	if !gate.isMoreUrgent(gate.entry(arrived.At, arrived), last) {
		return nil, false
	}
	gate.removeQueued(last.arrived.ID)
	if gate.ordersByCost() {
		// The displaced request would have been the last one.
		wait = gate.startDelay(arrived.At, len(sorted))
	}
	return gate.turnAwayDisplaced(last.arrived, arrived, arrived.At, wait), true
}

// fillSlots gives free slots to queued requests in the order of sortedQueue. It
// refuses requests that have less than half of their service time left until their
// deadline. If only a limit holds requests back, it asks to be woken.
func (gate *Gate) fillSlots(at time.Time) []Effect {
	var effects []Effect
	for gate.canStart(at) && len(gate.queue) > 0 {
		next := gate.sortedQueue(at)[0].arrived
		if at.Add(gate.expectedServiceTime(at, next.Class) / 2).After(next.Deadline) {
			gate.removeQueued(next.ID)
			effects = append(effects, gate.turnAway(next, at, ReasonDeadline, gate.startDelay(at, 1))...)
			continue
		}
		gate.dequeue(next.ID)
		effects = append(effects, gate.start(next, at))
	}
	switch wait := gate.limitDelay(at, 1); {
	case len(gate.queue) == 0:
		gate.lastEmptyAt = at
	case wait > 0 && gate.slotsInUse < gate.capacity():
		effects = append(effects, Wake{After: wait})
	}
	return append(effects, gate.checkDrained()...)
}

// start gives a slot to a request that has been dequeued.
func (gate *Gate) start(arrived Arrived, at time.Time) Effect {
	request := gate.requests[arrived.ID]
	gate.slotsInUse++
	request.token = gate.rateLimiter.take()
	request.warmupToken = gate.warmupLimiter.take(at)
	request.started = at
	request.slowness = gate.slownessAt(at)
	request.charged = gate.expectedServiceTime(at, arrived.Class)
	gate.charge(arrived, at, request.charged)
	gate.shares.count(arrived.Workspace, at, true)
	if arrived.Reserve {
		request.stage = stageReserved
		return Grant{ID: arrived.ID}
	}
	request.stage = stageRunning
	return HandOver{ID: arrived.ID}
}

// shedLate refuses the queued requests that are expected to get a slot so late that
// less than half of their service time is left until their deadline. The ingress
// can then try another target at once.
func (gate *Gate) shedLate(at time.Time) []Effect {
	var effects []Effect
	ahead := 0
	for _, queued := range gate.sortedQueue(at) {
		ahead++
		startsAt := at.Add(gate.startDelay(at, ahead))
		if startsAt.Add(gate.expectedServiceTime(at, queued.arrived.Class) / 2).After(queued.arrived.Deadline) {
			ahead--
			gate.removeQueued(queued.arrived.ID)
			effects = append(effects, gate.turnAway(queued.arrived, at, ReasonDeadline, gate.startDelay(at, ahead+1))...)
		}
	}
	return effects
}

func (gate *Gate) dequeue(id uint64) {
	if index := slices.Index(gate.queue, id); index >= 0 {
		gate.queue = slices.Delete(gate.queue, index, index+1)
	}
}

// removeQueued removes a queued request from the gate.
func (gate *Gate) removeQueued(id uint64) {
	gate.dequeue(id)
	delete(gate.requests, id)
}

// refuseQueued refuses all queued requests and those that wait for the upstream's
// slowness.
func (gate *Gate) refuseQueued(reason Reason) []Effect {
	var effects []Effect
	for _, id := range append(gate.queue, gate.measuring...) {
		if _, waits := gate.requests[id]; waits {
			delete(gate.requests, id)
			effects = append(effects, refuse(id, reason, 0)...)
		}
	}
	gate.queue, gate.measuring = nil, nil
	return effects
}

// expire revokes the reservations that were not committed in time and refuses the
// queued requests that would get a slot too late.
func (gate *Gate) expire(at time.Time) []Effect {
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(gate.requests)) {
		request, found := gate.requests[id]
		if found && request.stage == stageReserved && at.Sub(request.started) >= ReservationTimeout {
			effects = append(effects, gate.revoke(id, ReasonReservationExpired, at)...)
		}
	}
	return append(effects, gate.shedLate(at)...)
}

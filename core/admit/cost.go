package admit

import (
	"cmp"
	"slices"
	"time"
)

// Order names the order in which a gate serves queued requests and refuses them when
// there are too many.
type Order string

// The orders.
const (
	// OrderCost serves first what costs callers most if it is delayed or refused; see
	// compareByCost. It takes effect while requests carry workspaces; otherwise the
	// order is OrderObjective. It is the default.
	OrderCost Order = "cost"
	// OrderObjective serves first what can still meet its objective; see compare.
	OrderObjective Order = "objective"
)

// OrderSelected sets the order of the gate.
type OrderSelected struct{ Order Order }

func (OrderSelected) event() {}

// ordersByCost reports whether OrderCost is in effect.
func (gate *Gate) ordersByCost() bool {
	return gate.Order != OrderObjective && gate.shares.inUse()
}

// compareByCost orders queued requests by what it costs callers to refuse them: the lower
// rank first, then those that can still meet their objective, then calls of running
// requests, because the work of the run is lost with them, then those whose workspace uses
// less of the slots than it may, then the earlier objective. Calls of running requests
// and requests of neglected workspaces have the most urgent rank. A call that is late
// anyway does not go before a new request that can be in time: in the load player that
// cost checks 0.01 to 0.03 of their credit and earned the callers of the runs nothing.
func compareByCost(one, other queueEntry) int {
	return cmp.Or(
		cmp.Compare(one.rank, other.rank),
		compareBool(one.missesObjective, other.missesObjective),
		compareBool(!one.isCall, !other.isCall),
		cmp.Compare(one.overUse, other.overUse),
		one.arrived.effectiveObjective().Compare(other.arrived.effectiveObjective()),
		cmp.Compare(one.arrived.ID, other.arrived.ID),
	)
}

// mostUrgentRank is the effective rank of the most urgent requests.
const mostUrgentRank = 0

// Parameters of neglected workspaces.
const (
	// minServedShare is how often, as a part of how often all are, the requests of a
	// workspace must be served. A quarter is required; the rest is a margin.
	minServedShare = 0.5
	// minDecided is the decayed number of decided requests from which on it is known how
	// often a workspace is served: two within some seconds. A gate sees few requests of a
	// small workspace.
	minDecided = 1.5
)

// isNeglected reports whether the requests of a workspace are served much less often than
// all requests. Those of no workspace never are, since shares does not count them: a flood
// of them, most of which is refused, would otherwise go before all others.
func (gate *Gate) isNeglected(workspace string, at time.Time) bool {
	share := gate.shares.byWorkspace[workspace]
	if share == nil {
		return false
	}
	share.decay(at)
	return share.started+share.refused >= minDecided && share.servedFraction() < minServedShare*gate.shares.all.servedFraction()
}

// hasLessUrgentQueued reports whether a new request of a higher rank is queued than the
// new request that arrives. A call is never in this position: it is refused early, so that
// the daemon that makes it can try another target while the call can still be in time.
func (gate *Gate) hasLessUrgentQueued(arrived Arrived) bool {
	return !arrived.Call && slices.ContainsFunc(gate.queue, func(id uint64) bool {
		queued := gate.requests[id].arrived
		return !queued.Call && queued.effectiveRank() > arrived.effectiveRank()
	})
}

// entry returns the data of a request that determine its position in the queue.
func (gate *Gate) entry(at time.Time, arrived Arrived) queueEntry {
	entry := queueEntry{arrived: arrived, missesObjective: gate.missesObjective(at, arrived)}
	if gate.ordersByCost() {
		entry.isCall = arrived.Call
		entry.rank = arrived.effectiveRank()
		if entry.isCall || gate.isNeglected(arrived.Workspace, at) {
			entry.rank = mostUrgentRank
		}
		if !entry.isCall {
			entry.overUse = gate.shares.overUse(arrived.Workspace, at, gate.capacity())
		}
	}
	return entry
}

// comparison returns the function that orders the queue.
func (gate *Gate) comparison() func(one, other queueEntry) int {
	if gate.ordersByCost() {
		return compareByCost
	}
	return compare
}

// isMoreUrgent reports whether a newcomer takes the place of a queued request when the
// queue is full.
func (gate *Gate) isMoreUrgent(newcomer, queued queueEntry) bool {
	if gate.ordersByCost() {
		queued.arrived.Objective, queued.arrived.Deadline = newcomer.arrived.Objective, newcomer.arrived.Deadline
		queued.arrived.ID = newcomer.arrived.ID
		return compareByCost(newcomer, queued) < 0
	}
	return cmp.Or(
		compareBool(newcomer.missesObjective, queued.missesObjective),
		cmp.Compare(newcomer.arrived.effectiveRank(), queued.arrived.effectiveRank()),
	) < 0
}

// charge adds slot time, which may be negative, to the use of a request's workspace. Calls
// of running requests are not charged.
func (gate *Gate) charge(arrived Arrived, at time.Time, amount time.Duration) {
	if !arrived.Call {
		gate.shares.charge(arrived.Workspace, at, amount)
	}
}

// settle replaces the estimated slot time of a finished request by the actual one.
func (gate *Gate) settle(request *request, at time.Time) {
	gate.charge(request.arrived, at, at.Sub(request.started)-request.charged)
}

// turnAway refuses a request for want of capacity.
func (gate *Gate) turnAway(arrived Arrived, at time.Time, reason Reason, retryAfter time.Duration) []Effect {
	return gate.turnAwayFor(arrived, at, reason, retryAfter, gate.cause(at, arrived))
}

// turnAwayFor is turnAway with a given cause.
func (gate *Gate) turnAwayFor(arrived Arrived, at time.Time, reason Reason, retryAfter time.Duration, cause Cause) []Effect {
	gate.shares.count(arrived.Workspace, at, false)
	return []Effect{Refuse{ID: arrived.ID, Reason: reason, RetryAfter: retryAfter, Cause: cause}}
}

// turnAwayDisplaced refuses a request that was removed from a full queue to make room for
// a newcomer.
func (gate *Gate) turnAwayDisplaced(displaced, newcomer Arrived, at time.Time, retryAfter time.Duration) []Effect {
	cause := gate.cause(at, displaced, newcomer)
	cause.Displaced = gate.ordersByCost()
	return gate.turnAwayFor(displaced, at, ReasonQueueFull, retryAfter, cause)
}

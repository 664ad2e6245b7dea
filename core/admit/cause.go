package admit

import (
	"fmt"
	"strings"
	"time"
)

// Criterion is what put a refused request behind others.
type Criterion uint8

// The criteria. CriterionNone means that neither rank nor use put the request behind
// others: there was too little capacity for requests like it.
const (
	CriterionNone Criterion = iota
	CriterionRank
	CriterionUse
)

// Cause says why a gate refused a request for want of capacity while OrderCost was in
// effect. Otherwise it is the zero value.
type Cause struct {
	// Displaced is set if a more urgent request took its place in a full queue.
	Displaced bool
	// Keyless is set for a request without a workspace that is not a call.
	Keyless bool
	// AheadByRank and AheadByUse are how many requests were to be served before it because
	// their rank was more urgent, and because their workspaces used less. Calls of running
	// requests and requests of neglected workspaces have the most urgent rank.
	AheadByRank, AheadByUse int
	// OverUse is the recent use of the workspace as a multiple of what it may use.
	OverUse float64
}

// Criterion returns the criterion that put more requests ahead.
func (cause Cause) Criterion() Criterion {
	switch {
	case cause.AheadByRank > 0 && cause.AheadByRank >= cause.AheadByUse:
		return CriterionRank
	case cause.AheadByUse > 0:
		return CriterionUse
	default:
		return CriterionNone
	}
}

// maxDescribedUse limits the use that String states, and with it the length of the text.
const maxDescribedUse = 999

// String describes the cause for operators. It is empty if neither rank nor use were
// involved, and at most 100 bytes long with queues of up to 999,999 requests.
func (cause Cause) String() string {
	var parts []string
	if cause.Displaced {
		parts = append(parts, "displaced")
	}
	if cause.AheadByRank > 0 {
		parts = append(parts, fmt.Sprintf("%d before it by rank", cause.AheadByRank))
	}
	if cause.AheadByUse > 0 || cause.OverUse > 1 {
		user := "workspace uses %.1f times its share"
		if cause.Keyless {
			user = "requests without a key use %.1f times their share"
		}
		parts = append(parts, fmt.Sprintf(user, min(cause.OverUse, maxDescribedUse)))
	}
	return strings.Join(parts, ", ")
}

// maxCounted limits how many queued requests cause looks at. A long queue whose requests
// are all refused as late at once would otherwise cost its length squared.
const maxCounted = 64

// cause returns why a request that is not queued is refused for want of capacity.
// others are requests that go before it in addition to queued ones.
func (gate *Gate) cause(at time.Time, refused Arrived, others ...Arrived) Cause {
	if !gate.ordersByCost() {
		return Cause{}
	}
	entry := gate.entry(at, refused)
	cause := Cause{Keyless: refused.Workspace == noWorkspace && !refused.Call, OverUse: entry.overUse}
	for _, id := range gate.queue[:min(len(gate.queue), maxCounted)] {
		cause.countAhead(gate.entry(at, gate.requests[id].arrived), entry)
	}
	for _, other := range others {
		cause.countAhead(gate.entry(at, other), entry)
	}
	return cause
}

// countAhead counts another request if rank or use puts it before the refused one.
func (cause *Cause) countAhead(other, refused queueEntry) {
	if other.rank < refused.rank {
		cause.AheadByRank++
		return
	}
	isOtherwiseEqual := other.rank == refused.rank && other.missesObjective == refused.missesObjective && other.isCall == refused.isCall
	if isOtherwiseEqual && other.overUse < refused.overUse {
		cause.AheadByUse++
	}
}

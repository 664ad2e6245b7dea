package upstream

import "ibislift/core/admit"

// CauseCounts counts the requests that the gate has refused for want of capacity while the
// order by cost was in effect. They are not refused alone because of too little capacity.
type CauseCounts struct {
	// ByRank and ByUse count those behind requests of a more urgent rank, and behind
	// requests of workspaces that used less.
	ByRank, ByUse uint64
	// Displaced counts those whose place in a full queue a more urgent request took. They
	// are also counted in ByRank or ByUse if that was why.
	Displaced uint64
}

func (counts *CauseCounts) add(cause admit.Cause) {
	switch cause.Criterion() {
	case admit.CriterionRank:
		counts.ByRank++
	case admit.CriterionUse:
		counts.ByUse++
	}
	if cause.Displaced {
		counts.Displaced++
	}
}

// CauseCounts returns the counts so far.
func (gate *Gate) CauseCounts() CauseCounts {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.causeCounts
}

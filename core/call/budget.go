package call

import "sync"

// Budget limits extra attempts with a token bucket. It starts with Burst tokens,
// gains Ratio for each counted request up to a capacity of Burst+1, and spends one
// token per extra attempt. SetShare replaces these values. Set the fields before
// first use. A Budget is safe for concurrent use; Spend on a nil Budget allows
// nothing.
type Budget struct {
	Ratio float64
	Burst int

	mutex       sync.Mutex
	capacity    float64
	available   float64
	spent       int
	denied      int
	initialized bool
}

// CountRequest counts one request, which adds Ratio to the available tokens.
func (budget *Budget) CountRequest() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.initialize()
	budget.available = min(budget.available+budget.Ratio, budget.capacity)
}

// Spend spends one token for an extra attempt and reports whether there was one.
func (budget *Budget) Spend() bool {
	if budget == nil {
		return false
	}
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.initialize()
	if budget.available < 1 {
		budget.denied++
		return false
	}
	budget.available--
	budget.spent++
	return true
}

// State returns how many extra attempts were spent and denied so far, and how
// many are available now.
func (budget *Budget) State() (spent, denied int, available float64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.initialize()
	return budget.spent, budget.denied, budget.available
}

func (budget *Budget) initialize() {
	if !budget.initialized {
		budget.initialized = true
		budget.available = float64(budget.Burst)
		budget.capacity = float64(budget.Burst) + 1
	}
}

// SetShare turns the budget into this daemon's share of a budget that several
// daemons use. Each counted request adds ratio, up to the capacity, which is at
// least 1. A budget that has not been used yet starts with one token.
func (budget *Budget) SetShare(ratio, capacity float64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if !budget.initialized {
		budget.initialized = true
		budget.available = 1
	}
	budget.Ratio = ratio
	budget.capacity = max(1, capacity)
	budget.available = min(budget.available, budget.capacity)
}

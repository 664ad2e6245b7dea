package call

import "sync"

// Budget bounds extra attempts: at most Burst, and Ratio more for each request
// that was noted. Set the fields before first use. A Budget may be used by many
// goroutines; a nil Budget allows nothing.
type Budget struct {
	Ratio float64
	Burst int

	mutex    sync.Mutex
	most     float64
	earned   float64
	taken    int
	denied   int
	accepted bool
}

// Note counts one request.
func (budget *Budget) Note() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.start()
	budget.earned = min(budget.earned+budget.Ratio, budget.most)
}

// Take uses up one extra attempt, and says whether there was one.
func (budget *Budget) Take() bool {
	if budget == nil {
		return false
	}
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.start()
	if budget.earned < 1 {
		budget.denied++
		return false
	}
	budget.earned--
	budget.taken++
	return true
}

// State is how many extra attempts were used up and denied so far, and how many
// could be used now.
func (budget *Budget) State() (taken, denied int, left float64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.start()
	return budget.taken, budget.denied, budget.earned
}

func (budget *Budget) start() {
	if !budget.accepted {
		budget.accepted = true
		budget.earned = float64(budget.Burst)
		budget.most = float64(budget.Burst) + 1
	}
}

// Share makes the budget this daemon's part of one that many daemons share:
// ratio for each request, and at most saved extra attempts at once.
func (budget *Budget) Share(ratio, saved float64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if !budget.accepted {
		budget.accepted = true
		budget.earned = 1
	}
	budget.Ratio = ratio
	budget.most = max(1, saved)
	budget.earned = min(budget.earned, budget.most)
}

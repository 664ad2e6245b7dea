package main

import "time"

// troubles are the times in which components had a fault.
type troubles []*trouble

type trouble struct {
	component string
	from      time.Time
	// to is zero while the fault lasts.
	to time.Time
}

// beginTrouble records that a component has a fault until the returned function is called.
func (trial *trial) beginTrouble(component string) (end func()) {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	trouble := &trouble{component: component, from: time.Now()}
	trial.troubles = append(trial.troubles, trouble)
	return func() {
		trial.mutex.Lock()
		defer trial.mutex.Unlock()
		trouble.to = time.Now()
	}
}

// touch reports whether a component had a fault in a time, or so shortly before it that
// earlier requests of a caller that sends ahead may have met it.
func (troubles troubles) touch(component string, from, to time.Time) bool {
	for _, trouble := range troubles {
		if trouble.component == component && trouble.from.Before(to) && (trouble.to.IsZero() || trouble.to.After(from.Add(-maxAheadDeadline))) {
			return true
		}
	}
	return false
}

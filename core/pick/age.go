package pick

import (
	"slices"
	"sync"
	"time"
)

// What is kept of callers' deadlines.
const (
	// keptDeadlines is how many of a route's latest deadlines are kept.
	keptDeadlines = 256
	// relearn is how many requests pass between two looks at them.
	relearn = 32
	// usualQuantile is the part of the kept deadlines that is below the usual
	// one: nearly all, since under load most requests have waited at their
	// caller or come back, but a few callers may give more time than others.
	usualQuantile = 0.95
)

// Ages tells how long ago callers wanted their requests first. Callers of a
// route give each request the same time; one that waited at its caller, or was
// refused and comes back, has less left, by its age. It may be used by many
// goroutines.
type Ages struct {
	mutex  sync.Mutex
	routes map[string]*deadlines
}

// deadlines keeps the latest deadlines of a route's requests.
type deadlines struct {
	kept  []time.Duration
	next  int
	seen  int
	usual time.Duration
}

// Of notes a request's deadline and returns the request's age: how much less
// it has left than is usual on its route. Where the route's timeout is not
// shorter than what callers usually give, they leave no time to come again:
// then less time means something else, such as that a run which makes a call
// is near its own end.
func (ages *Ages) Of(route string, timeout, left time.Duration) time.Duration {
	ages.mutex.Lock()
	defer ages.mutex.Unlock()
	known := ages.routes[route]
	if known == nil {
		if ages.routes == nil {
			ages.routes = map[string]*deadlines{}
		}
		known = &deadlines{}
		ages.routes[route] = known
	}
	known.note(left)
	if timeout <= 0 || timeout >= known.usual {
		return 0
	}
	return max(0, known.usual-left)
}

func (deadlines *deadlines) note(left time.Duration) {
	if len(deadlines.kept) < keptDeadlines {
		deadlines.kept = append(deadlines.kept, left)
	} else {
		deadlines.kept[deadlines.next%keptDeadlines] = left
		deadlines.next++
	}
	deadlines.seen++
	if deadlines.seen%relearn != 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(deadlines.kept))
	deadlines.usual = sorted[int(usualQuantile*float64(len(sorted)-1))]
}

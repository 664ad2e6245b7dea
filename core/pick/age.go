package pick

import (
	"slices"
	"sync"
	"time"
)

// Parameters of the usual deadline of a route.
const (
	// windowSize is the number of latest deadlines kept for each route.
	windowSize = 256
	// updateInterval is the number of requests between two computations of the
	// usual deadline.
	updateInterval = 32
	// usualQuantile is the share of the kept deadlines that are below the usual
	// one. It is close to 1 because under load most requests have waited at
	// their caller or are retries. It is not 1 because a few callers may allow
	// more time than the others.
	usualQuantile = 0.95
)

// AgeEstimator estimates how long ago callers first wanted to send their
// requests. The callers of a route allow the same time for each request. A
// request that waited at its caller, or that was refused and is retried, has
// less time left; the difference is its age. An AgeEstimator is safe for
// concurrent use.
type AgeEstimator struct {
	mutex  sync.Mutex
	routes map[string]*deadlineWindow
}

// deadlineWindow holds the latest deadlines of a route's requests.
type deadlineWindow struct {
	deadlines []time.Duration
	next      int
	seen      int
	usual     time.Duration
}

// Estimate records the time until a request's deadline and returns the age of
// the request: the difference to the time that is usual on its route.
//
// The age is 0 if the route's timeout is not shorter than the usual time,
// because callers then have no time for a retry. Less time left has another
// cause there, for example that the caller is itself a request that is close to
// its deadline.
func (estimator *AgeEstimator) Estimate(route string, timeout, remaining time.Duration) time.Duration {
	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()
	window := estimator.routes[route]
	if window == nil {
		if estimator.routes == nil {
			estimator.routes = map[string]*deadlineWindow{}
		}
		window = &deadlineWindow{}
		estimator.routes[route] = window
	}
	window.add(remaining)
	if timeout <= 0 || timeout >= window.usual {
		return 0
	}
	return max(0, window.usual-remaining)
}

func (window *deadlineWindow) add(remaining time.Duration) {
	if len(window.deadlines) < windowSize {
		window.deadlines = append(window.deadlines, remaining)
	} else {
		window.deadlines[window.next%windowSize] = remaining
		window.next++
	}
	window.seen++
	if window.seen%updateInterval != 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(window.deadlines))
	window.usual = sorted[int(usualQuantile*float64(len(sorted)-1))]
}

package pick

import (
	"slices"
	"sync"
	"time"
)

// Parameters of the usual time left on a route.
const (
	// windowSize is the number of latest requests of each route whose time left
	// is kept.
	windowSize = 256
	// updateInterval is the number of requests between two computations of the
	// usual time left.
	updateInterval = 32
	// usualQuantile is the share of the kept times that are below the usual one.
	// It is close to 1 because under load most requests have waited at
	// their caller or are retries. It is not 1 because a few callers may allow
	// more time than the others.
	usualQuantile = 0.95
)

// AgeEstimator estimates the age of requests: how long before its arrival the
// caller first wanted to send a request. The callers of a route allow the same
// time for each request. A request that waited at its caller, or that was refused
// and is retried, has less time left until its deadline; the difference is its
// age. An AgeEstimator is safe for concurrent use.
type AgeEstimator struct {
	mutex  sync.Mutex
	routes map[string]*timesLeft
}

// timesLeft holds the time left until the deadline, at their arrival, of the
// latest requests of a route.
type timesLeft struct {
	values []time.Duration
	next   int
	seen   int
	usual  time.Duration
}

// Estimate records the time until a request's deadline and returns the age of
// the request: the difference to the time that is usual on its route.
//
// The age is 0 if the route's timeout is at least the usual time: a caller whose
// request timed out then has no time left to retry it. If such a route has a request
// with less time left, the reason is not a retry but, for example, that the caller
// is itself serving a request near its deadline.
func (estimator *AgeEstimator) Estimate(route string, timeout, remaining time.Duration) time.Duration {
	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()
	times := estimator.routes[route]
	if times == nil {
		if estimator.routes == nil {
			estimator.routes = map[string]*timesLeft{}
		}
		times = &timesLeft{}
		estimator.routes[route] = times
	}
	times.add(remaining)
	if timeout <= 0 || timeout >= times.usual {
		return 0
	}
	return max(0, times.usual-remaining)
}

func (times *timesLeft) add(remaining time.Duration) {
	if len(times.values) < windowSize {
		times.values = append(times.values, remaining)
	} else {
		times.values[times.next%windowSize] = remaining
		times.next++
	}
	times.seen++
	if times.seen%updateInterval != 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(times.values))
	times.usual = sorted[int(usualQuantile*float64(len(sorted)-1))]
}

package routes

import (
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// goldenRatio is the step through the unit interval: with it, the points of any
// run of steps are spread evenly over the interval.
const goldenRatio = 0.6180339887498949

// Splitter divides the requests of each route among its destinations according
// to their weights. It uses a low-discrepancy sequence instead of random
// numbers, so that the shares are accurate after a few requests. Each daemon
// starts at a different offset. A Splitter is safe for concurrent use; set
// Daemon before the first use.
type Splitter struct {
	// Daemon is the daemon's own name, from which the offset is derived.
	Daemon string

	mutex  sync.Mutex
	points map[string]float64
}

// Next returns the service of the route's next request.
func (splitter *Splitter) Next(route *Route) string {
	if len(route.Destinations) == 1 {
		return route.Destinations[0].Service
	}
	point := splitter.nextPoint(route.Name) * route.totalWeight()
	for _, destination := range route.Destinations {
		if point -= max(0, destination.Weight); point < 0 {
			return destination.Service
		}
	}
	return route.Destinations[len(route.Destinations)-1].Service
}

// nextPoint returns the next point of the route's sequence, from 0 to 1.
func (splitter *Splitter) nextPoint(name string) float64 {
	splitter.mutex.Lock()
	defer splitter.mutex.Unlock()
	if splitter.points == nil {
		splitter.points = map[string]float64{}
	}
	point, known := splitter.points[name]
	if !known {
		point = float64(xxhash.Sum64String(splitter.Daemon+"\x00"+name)>>11) / (1 << 53)
	}
	_, point = math.Modf(point + goldenRatio)
	splitter.points[name] = point
	return point
}

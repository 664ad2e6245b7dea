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

// Next returns the service of the route's next request. If serves is not nil, the weights
// apply among the destinations that it accepts; found is false if it accepts none. Each
// set of accepted destinations has a sequence of its own, so that the shares of one set
// are as accurate as without the others.
func (splitter *Splitter) Next(route *Route, serves func(service string) bool) (service string, found bool) {
	accepted, sequence := route.Destinations, route.Name
	if serves != nil {
		accepted, sequence = route.accepted(serves)
	}
	switch len(accepted) {
	case 0:
		return "", false
	case 1:
		return accepted[0].Service, true
	}
	point := splitter.nextPoint(sequence) * totalWeight(accepted)
	for _, destination := range accepted {
		if point -= max(0, destination.Weight); point < 0 {
			return destination.Service, true
		}
	}
	return accepted[len(accepted)-1].Service, true
}

// accepted returns the destinations with a share whose services are accepted, and the
// name of their sequence. That is the name of the route if all are accepted.
func (route *Route) accepted(serves func(service string) bool) (destinations []Destination, sequence string) {
	sequence = route.Name
	complete := true
	for _, destination := range route.Destinations {
		if destination.Weight > 0 && serves(destination.Service) {
			destinations = append(destinations, destination)
			sequence += "\x00" + destination.Service
			continue
		}
		complete = false
	}
	if complete {
		return destinations, route.Name
	}
	return destinations, sequence
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

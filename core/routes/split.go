package routes

import (
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// goldenRatio steps through the unit interval so that any run of steps is
// spread evenly over it.
const goldenRatio = 0.6180339887498949

// Split divides the requests of each route among its parts by their weights.
// It steps through a low-discrepancy sequence instead of drawing at random, so
// that shares are met within a few requests. Each daemon starts at an offset
// of its own. It may be used by many goroutines; set Self before first use.
type Split struct {
	// Self names the daemon.
	Self string

	mutex sync.Mutex
	at    map[string]float64
}

// Next returns the service of the route's next request.
func (split *Split) Next(route *Route) string {
	if len(route.Parts) == 1 {
		return route.Parts[0].Service
	}
	point := split.step(route.Name) * route.total()
	for _, part := range route.Parts {
		if point -= max(0, part.Weight); point < 0 {
			return part.Service
		}
	}
	return route.Parts[len(route.Parts)-1].Service
}

func (split *Split) step(name string) float64 {
	split.mutex.Lock()
	defer split.mutex.Unlock()
	if split.at == nil {
		split.at = map[string]float64{}
	}
	at, known := split.at[name]
	if !known {
		at = float64(xxhash.Sum64String(split.Self+"\x00"+name)>>11) / (1 << 53)
	}
	_, at = math.Modf(at + goldenRatio)
	split.at[name] = at
	return at
}

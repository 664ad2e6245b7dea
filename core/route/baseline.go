package route

import "sync/atomic"

func init() {
	Register("random", func() Policy { return random{} })
	Register("roundRobin", func() Policy { return &roundRobin{} })
	Register("leastInFlight", func() Policy { return leastInFlight{} })
	Register("powerOfTwo", func() Policy { return powerOfTwo{} })
}

type random struct{}

func (random) Choose(request Request, candidates []Candidate) int {
	return int(request.Random % uint64(len(candidates)))
}

type roundRobin struct{ next atomic.Uint64 }

func (roundRobin *roundRobin) Choose(_ Request, candidates []Candidate) int {
	return int((roundRobin.next.Add(1) - 1) % uint64(len(candidates)))
}

// leastInFlight chooses the target with the fewest requests in flight from this
// daemon. It starts at a random one so that ties are spread.
type leastInFlight struct{}

func (leastInFlight) Choose(request Request, candidates []Candidate) int {
	start := int(request.Random % uint64(len(candidates)))
	best := start
	for step := range candidates {
		index := (start + step) % len(candidates)
		if candidates[index].InFlight < candidates[best].InFlight {
			best = index
		}
	}
	return best
}

// powerOfTwo draws two random targets and chooses the one with fewer requests
// in flight.
type powerOfTwo struct{}

func (powerOfTwo) Choose(request Request, candidates []Candidate) int {
	first, second := drawTwo(request.Random, len(candidates))
	if candidates[second].InFlight < candidates[first].InFlight {
		return second
	}
	return first
}

// drawTwo derives two different indexes below count from a random value, or
// the same one twice if count is one.
func drawTwo(random uint64, count int) (int, int) {
	first := int(uint32(random) % uint32(count))
	if count == 1 {
		return first, first
	}
	second := int(uint32(random>>32) % uint32(count-1))
	if second >= first {
		second++
	}
	return first, second
}

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

// leastInFlight takes the target with the least in flight from this daemon,
// beginning at a random one so that ties spread.
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

// powerOfTwo takes the one with less in flight of two random targets.
type powerOfTwo struct{}

func (powerOfTwo) Choose(request Request, candidates []Candidate) int {
	one, other := twoOf(request.Random, len(candidates))
	if candidates[other].InFlight < candidates[one].InFlight {
		return other
	}
	return one
}

// twoOf draws two different indexes below count from a random value, or the
// same one twice if count is one.
func twoOf(random uint64, count int) (int, int) {
	one := int(uint32(random) % uint32(count))
	if count == 1 {
		return one, one
	}
	other := int(uint32(random>>32) % uint32(count-1))
	if other >= one {
		other++
	}
	return one, other
}

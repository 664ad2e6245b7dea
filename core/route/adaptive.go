package route

import (
	"math"
	"time"

	"ibislift/core/profile"
)

func init() {
	Register("adaptive", func() Policy { return adaptive{} })
}

// Weights of the adaptive policy.
const (
	// reportHalfLife is the time in which a load report loses half its
	// weight against the mean of all targets.
	reportHalfLife = 100 * time.Millisecond
	// failurePenalty is the time that a target which always fails is thought
	// to take, so that failing fast does not make it attractive.
	failurePenalty = 2 * time.Second
	// linkCostPenalty is the waiting time that the dearest link is worth to
	// a profile that gives measuring and traffic cost its full weight.
	linkCostPenalty = 50 * time.Millisecond
	// overdueFactor is how many mean latencies a request may take before its
	// target is thought to have become slow.
	overdueFactor = 2
	// defaultLatency stands for targets that have not answered yet.
	defaultLatency = 5 * time.Millisecond
)

// adaptive takes, of two random targets in the nearest ring and one beyond it,
// the one with the least expected time: link, queue and service by the load
// report as far as it is fresh, with penalties for failures and dear links.
type adaptive struct{}

func (adaptive) Choose(request Request, candidates []Candidate) int {
	usable := usableOf(candidates)
	near, far := rings(candidates, usable)
	mean := meanLoad(candidates, usable)
	one, other := twoOf(request.Random, len(near))
	best := near[one]
	best = better(request, mean, candidates, best, near[other])
	if len(far) > 0 {
		best = better(request, mean, candidates, best, far[int(request.Random>>16)%len(far)])
	}
	return best
}

func better(request Request, mean float64, candidates []Candidate, one, other int) int {
	if expected(request, mean, candidates[other]) < expected(request, mean, candidates[one]) {
		return other
	}
	return one
}

// usableOf lists the candidates that are neither ejected nor draining, or all
// where none is left.
func usableOf(candidates []Candidate) []int {
	var usable []int
	var all []int
	for index, candidate := range candidates {
		all = append(all, index)
		if !candidate.Ejected && !candidate.Load.Draining {
			usable = append(usable, index)
		}
	}
	if len(usable) == 0 {
		return all
	}
	return usable
}

// nearLink is the largest extra latency of the nearest ring.
const nearLink = 5 * time.Millisecond

// rings divides the usable candidates into those in the nearest ring and those
// beyond it.
func rings(candidates []Candidate, usable []int) (near, far []int) {
	least := time.Duration(math.MaxInt64)
	for _, index := range usable {
		least = min(least, candidates[index].Link)
	}
	for _, index := range usable {
		if candidates[index].Link <= least+nearLink {
			near = append(near, index)
			continue
		}
		far = append(far, index)
	}
	return near, far
}

// meanLoad is the mean utilization by the reports, for targets whose own
// report is old.
func meanLoad(candidates []Candidate, usable []int) float64 {
	sum, count := 0.0, 0
	for _, index := range usable {
		if load := candidates[index].Load; candidates[index].Known && load.Slots > 0 {
			sum += float64(load.Running+load.Queued) / float64(load.Slots)
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// expected is the time in seconds that a request is thought to take.
func expected(request Request, mean float64, candidate Candidate) float64 {
	latency := candidate.Latency.Seconds()
	if latency == 0 {
		latency = defaultLatency.Seconds()
	}
	slots := float64(max(1, candidate.Load.Slots))
	load := believedLoad(mean, candidate) / max(0.05, candidate.Warmth)
	seconds := 2 * candidate.Link.Seconds()
	seconds += latency * (1 + load/slots)
	seconds += latency * max(0, load+1-slots) / slots
	seconds += overdue(candidate)
	seconds += candidate.Failing * failurePenalty.Seconds()
	seconds += candidate.Cost * reluctance(request.Weights) * linkCostPenalty.Seconds()
	return seconds
}

// reluctance is how much a profile minds dear links: more with its weight of
// measuring, and up to twice as much where latency has no weight.
func reluctance(weights profile.Weights) float64 {
	return weights.Measuring * (2 - weights.Latency)
}

// overdue is how much longer than usual the oldest request at the target has
// waited already: the first sign of a target that has become slow.
func overdue(candidate Candidate) float64 {
	usual := overdueFactor * max(candidate.Latency, defaultLatency)
	return max(0, (candidate.Oldest - usual).Seconds())
}

// believedLoad is the number of requests at the target: its report while that
// is fresh, the mean of all as it ages, and never less than this daemon itself
// has in flight there.
func believedLoad(mean float64, candidate Candidate) float64 {
	slots := float64(max(1, candidate.Load.Slots))
	own := float64(candidate.InFlight)
	if !candidate.Known {
		return max(own, mean*slots)
	}
	fresh := math.Exp2(-float64(candidate.Age) / float64(reportHalfLife))
	reported := float64(candidate.Load.Running + candidate.Load.Queued)
	return max(own, reported*fresh+mean*slots*(1-fresh))
}

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
	// failurePenalty is the time added to the cost of a target that always
	// fails, and proportionally less at lower failure rates. Without it, a
	// target that fails quickly would look fast.
	failurePenalty = 2 * time.Second
	// linkCostPenalty is the waiting time that equals the cost of the most
	// expensive link for a profile with a weight of 1 for both latency and link
	// cost.
	linkCostPenalty = 50 * time.Millisecond
	// overdueFactor is how many mean latencies a request may wait before its
	// target counts as having become slow.
	overdueFactor = 2
	// defaultLatency is used for targets that have not responded yet.
	defaultLatency = 5 * time.Millisecond
)

// adaptive compares two random near targets and one random far target, and
// chooses the one with the lowest cost: the expected time for link, queue and
// execution, estimated from load reports as far as they are fresh, plus
// penalties for failures and expensive links.
type adaptive struct{}

func (adaptive) Choose(request Request, candidates []Candidate) int {
	usable := usableIndexes(candidates)
	near, far := splitByLatency(candidates, usable)
	utilization := averageUtilization(candidates, usable)
	first, second := drawTwo(request.Random, len(near))
	best := near[first]
	best = cheaper(request, utilization, candidates, best, near[second])
	if len(far) > 0 {
		best = cheaper(request, utilization, candidates, best, far[int(request.Random>>16)%len(far)])
	}
	return best
}

// cheaper returns the index with the lower cost, or first if they are equal.
func cheaper(request Request, utilization float64, candidates []Candidate, first, second int) int {
	if adaptiveCost(request, utilization, candidates[second]) < adaptiveCost(request, utilization, candidates[first]) {
		return second
	}
	return first
}

// usableIndexes returns the indexes of the candidates that are neither ejected
// nor draining, or of all candidates if there are none.
func usableIndexes(candidates []Candidate) []int {
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

// nearLatencyMargin is how much more link latency than the nearest target a
// near target may have.
const nearLatencyMargin = 5 * time.Millisecond

// splitByLatency divides the usable candidates into near and far ones.
func splitByLatency(candidates []Candidate, usable []int) (near, far []int) {
	least := time.Duration(math.MaxInt64)
	for _, index := range usable {
		least = min(least, candidates[index].LinkLatency)
	}
	for _, index := range usable {
		if candidates[index].LinkLatency <= least+nearLatencyMargin {
			near = append(near, index)
			continue
		}
		far = append(far, index)
	}
	return near, far
}

// averageUtilization returns the mean utilization that the usable candidates
// have reported. It replaces reports that are old or missing.
func averageUtilization(candidates []Candidate, usable []int) float64 {
	sum, count := 0.0, 0
	for _, index := range usable {
		if load := candidates[index].Load; candidates[index].HasReport && load.Slots > 0 {
			sum += float64(load.Running+load.Queued) / float64(load.Slots)
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// adaptiveCost returns the expected time of a request on a candidate plus the
// penalties, in seconds.
func adaptiveCost(request Request, utilization float64, candidate Candidate) float64 {
	latency := candidate.Latency.Seconds()
	if latency == 0 {
		latency = defaultLatency.Seconds()
	}
	slots := float64(max(1, candidate.Load.Slots))
	// A target in slow start counts as more loaded, by up to a factor of 20.
	load := adaptiveLoad(utilization, candidate) / max(0.05, candidate.Warmth)
	seconds := 2 * candidate.LinkLatency.Seconds()
	seconds += latency * (1 + load/slots)
	seconds += latency * max(0, load+1-slots) / slots
	seconds += overdueSeconds(candidate)
	seconds += rateDelaySeconds(candidate)
	seconds += candidate.FailureRate * failurePenalty.Seconds()
	seconds += candidate.LinkCost * linkCostWeight(request.Weights) * linkCostPenalty.Seconds()
	return seconds
}

// linkCostWeight returns how much link costs count for a profile: its weight of
// link costs, times a factor from 1 at latency weight 1 to 2 at latency weight 0.
func linkCostWeight(weights profile.Weights) float64 {
	return weights.LinkCost * (2 - weights.Latency)
}

// overdueSeconds returns how much longer than usual the oldest request at the
// candidate has been waiting: the first sign that a target has become slow.
func overdueSeconds(candidate Candidate) float64 {
	usual := overdueFactor * max(candidate.Latency, defaultLatency)
	return max(0, (candidate.OldestWait - usual).Seconds())
}

// adaptiveLoad estimates the number of requests at a candidate: its report
// while that is fresh, the average of all candidates as the report ages, and
// never less than this daemon's own requests in flight there.
func adaptiveLoad(utilization float64, candidate Candidate) float64 {
	slots := float64(max(1, candidate.Load.Slots))
	own := float64(candidate.InFlight)
	if !candidate.HasReport {
		return max(own, utilization*slots)
	}
	weight := math.Exp2(-float64(candidate.ReportAge) / float64(reportHalfLife))
	reported := float64(candidate.Load.Running + candidate.Load.Queued)
	return max(own, reported*weight+utilization*slots*(1-weight))
}

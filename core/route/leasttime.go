package route

import (
	"math"
	"time"
)

func init() {
	Register(LeastTime, func() Policy { return leastTime{} })
}

// LeastTime is the name of the policy that chooses the target with the least
// expected time to the complete response. It requires that the service times
// of requests are known and that targets report their slowness. Profiles and
// reports keep the name "soonest".
const LeastTime = "soonest"

// Weights of the least-time policy.
const (
	// slownessHalfLife is the time in which a target's report of its slowness
	// loses half its weight against the mean of all targets. Other processes on
	// the target's machine start and stop within a few hundred milliseconds.
	slownessHalfLife = 150 * time.Millisecond
	// coldStartFactor is how much longer requests take on a target that has
	// just started.
	coldStartFactor = 2
	// tieFraction is the difference, as a fraction of the service time, below
	// which two targets count as equal, so that requests are spread over both.
	tieFraction = 0.1
)

// leastTime compares all candidates by the expected time for link, queue and
// execution at the current slowness, and by the price of the bytes of both bodies, which
// crossing.go turns into a time.
type leastTime struct{}

func (leastTime) Choose(request Request, candidates []Candidate) int {
	best, _ := ChooseLeastTime(request, candidates)
	return best
}

// ChooseLeastTime returns the index of the candidate with the least cost: the
// expected time and the price of the bytes. maxDelay is the largest delay with which the best candidate is still
// better than the second best: the cost of the second best minus the cost of the
// best when idle. It is at least 1 ms, because 0 means that there is no limit, as
// is the case if there is no other candidate. With CrossesByValue, chooseRegion decides
// whether the request goes to another region.
func ChooseLeastTime(request Request, candidates []Candidate) (best int, maxDelay time.Duration) {
	usable := usableIndexes(candidates)
	if own, other, found := splitByRegion(request, candidates, usable); found {
		return chooseRegion(request, candidates, own, other)
	}
	return chooseAmong(request, candidates, usable)
}

// chooseAmong is ChooseLeastTime for the candidates with some indexes, of which there is
// at least one.
func chooseAmong(request Request, candidates []Candidate, usable []int) (best int, maxDelay time.Duration) {
	start := int(request.Random % uint64(len(usable)))
	tie := tieFraction * request.ServiceTime.Seconds()
	best, least, next := -1, math.Inf(1), math.Inf(1)
	for offset := range usable {
		index := usable[(start+offset)%len(usable)]
		cost := costSeconds(request, candidates[index])
		switch {
		case cost < least-tie:
			best, next, least = index, least, cost
		case cost < next:
			next = cost
		}
	}
	if math.IsInf(next, 1) {
		return best, 0
	}
	idle := idleSeconds(request, candidates[best]) + priceSeconds(request, candidates[best])
	return best, max(time.Millisecond, time.Duration((next-idle)*float64(time.Second)))
}

// LeastExpectedTime returns the least time in which any of the candidates is
// expected to respond.
func LeastExpectedTime(request Request, candidates []Candidate) time.Duration {
	least := math.Inf(1)
	for _, index := range usableIndexes(candidates) {
		least = min(least, expectedSeconds(request, candidates[index]))
	}
	return time.Duration(least * float64(time.Second))
}

// idleSeconds returns the time that a request takes on an idle target.
func idleSeconds(request Request, candidate Candidate) float64 {
	return 2*candidate.LinkLatency.Seconds() + request.ServiceTime.Seconds()
}

// expectedSeconds returns the expected time of a request on a candidate,
// including the penalty for failures.
func expectedSeconds(request Request, candidate Candidate) float64 {
	return responseSeconds(request, candidate) + candidate.FailureRate*worthSeconds(request)
}

// responseSeconds returns the expected time of a request on a candidate that does not
// fail.
func responseSeconds(request Request, candidate Candidate) float64 {
	slowness := estimatedSlowness(request, candidate)
	if candidate.HasReport {
		slowness *= 1 + (coldStartFactor-1)*(1-candidate.Warmth)
	}
	serviceTime := request.ServiceTime.Seconds()
	slots := float64(max(1, candidate.Load.Slots))
	queueLength := max(0, estimatedLoad(request, candidate)+1-slots)
	slotInterval := candidate.Load.SlotInterval.Seconds()
	if slotInterval == 0 {
		slotInterval = serviceTime * slowness / slots
	}
	return idleSeconds(request, candidate) + serviceTime*(slowness-1) + max(queueLength*slotInterval, rateDelaySeconds(candidate))
}

// nearTripFraction is the part of the service time that a trip to a target and back
// may take so that a target that has never reported is tried.
const nearTripFraction = 0.1

// estimatedSlowness returns the slowness that the target last reported, and
// moves to the mean of all targets as the report ages. A near target that has never
// reported counts as not slowed down, so that new targets are tried. A far one counts
// as the mean: a daemon with few requests knows hardly any targets, and would
// otherwise prefer those that are farthest.
func estimatedSlowness(request Request, candidate Candidate) float64 {
	mean := max(1, request.MeanSlowness)
	isNear := 2*candidate.LinkLatency.Seconds() <= nearTripFraction*request.ServiceTime.Seconds()
	switch {
	case !candidate.HasReport && isNear:
		return 1
	case !candidate.HasReport || candidate.Load.Slowness == 0:
		return mean
	}
	weight := math.Exp2(-float64(candidate.ReportAge) / float64(slownessHalfLife))
	return candidate.Load.Slowness*weight + mean*(1-weight)
}

// estimatedLoad returns the number of requests at the target: the load that it
// last reported, which moves to the mean load within about the time that a
// request takes, and never less than this daemon's own requests in flight there.
func estimatedLoad(request Request, candidate Candidate) float64 {
	own := float64(candidate.InFlight)
	if !candidate.HasReport {
		return own
	}
	mean := request.MeanUtilization * float64(candidate.Load.Slots)
	reported := float64(candidate.Load.Running + candidate.Load.Queued)
	halfLife := max(reportHalfLife, request.ServiceTime)
	weight := math.Exp2(-float64(candidate.ReportAge) / float64(halfLife))
	return max(own, reported*weight+mean*(1-weight))
}

package route

import (
	"math"
	"time"
)

// This file decides which requests cross to another data centre or region. A request goes
// to the target with the lowest cost: the expected time, which includes the link, and the
// price of the bytes of both bodies. The price is a fraction of what a response in time
// is worth, and that worth counts as much as a delay of the whole objective. A request
// therefore crosses if the time that it gains, as a fraction of its objective, is more
// than the price of its bytes. Small requests cross before large ones, and a request
// without a price goes where it is expected to end first.
//
// With Request.CrossesByValue, the targets of the own region are compared by that cost, and the
// best of them with the best of the other regions by the expected loss of value: a request
// that is expected well within its objective stays, however much sooner another region is.

// costSeconds returns the cost of a request on a candidate as a time: the expected
// time and the price of the bytes.
func costSeconds(request Request, candidate Candidate) float64 {
	return expectedSeconds(request, candidate) + priceSeconds(request, candidate)
}

// priceSeconds returns the price of the request's bytes as a time. It is at most
// what the response is worth, so that a request with a large body crosses a link
// rather than wait for longer than its objective.
func priceSeconds(request Request, candidate Candidate) float64 {
	return priceFraction(request, candidate) * worthSeconds(request)
}

// priceFraction returns the price of the request's bytes as a fraction of what a response in
// time is worth.
func priceFraction(request Request, candidate Candidate) float64 {
	return min(1, request.Bytes*candidate.BytePrice)
}

// worthSeconds is the delay that counts as much as the whole worth of a response:
// the objective or, without one, the service time.
func worthSeconds(request Request) float64 {
	if request.Objective == 0 {
		return request.ServiceTime.Seconds()
	}
	return request.Objective.Seconds()
}

// Weights of the decision whether a request crosses to another region.
const (
	// lateLoss is the fraction of its value that a response loses after its objective.
	// A late response is worth about a tenth of one in time to callers.
	lateLoss = 0.9
	// timeDeviation is the standard deviation of the time at a target, as a fraction of
	// the expected time. In the player 0.15 to 0.3 earn the same credit within the noise;
	// 0.05 and 0.5 earn less where targets are slowed down for short times.
	timeDeviation = 0.3
)

// splitByRegion divides the usable candidates into those of this daemon's region and
// those in other regions, if the loss of value decides between them and there are both. The
// request must have an objective and the bytes to other regions a price.
func splitByRegion(request Request, candidates []Candidate, usable []int) (own, other []int, found bool) {
	if request.Objective == 0 || !request.CrossesByValue {
		return nil, nil, false
	}
	own, other = make([]int, 0, len(usable)), make([]int, 0, len(usable))
	for _, index := range usable {
		if candidates[index].CrossesRegion && candidates[index].BytePrice > 0 {
			other = append(other, index)
			continue
		}
		own = append(own, index)
	}
	return own, other, len(own) > 0 && len(other) > 0
}

// chooseRegion chooses the target with the least expected time in each of the two groups,
// and of these two the one with the lower expected loss of value, which includes the
// price of the bytes. The request stays if both are equal. maxDelay is as of
// ChooseLeastTime: with a longer delay another target of the region is faster, or a target
// in the other group loses less value.
func chooseRegion(request Request, candidates []Candidate, own, other []int) (best int, maxDelay time.Duration) {
	best, maxDelay = chooseAmong(request, candidates, own)
	alternative, alternativeDelay := chooseAmong(request, candidates, other)
	least, next := valueLoss(request, candidates[best]), valueLoss(request, candidates[alternative])
	if next < least {
		best, maxDelay, next = alternative, alternativeDelay, least
	}
	if limit := delayOfLoss(request, candidates[best], next); limit > 0 && (maxDelay == 0 || limit < maxDelay) {
		maxDelay = limit
	}
	return best, maxDelay
}

// valueLoss returns the fraction of a response's value that is expected to be lost on a
// candidate: all of it if the target fails or refuses the request, most of it if the
// response misses the objective, and the price of the bytes. A queue that is long
// enough for the gate to refuse the request also makes it miss the objective.
func valueLoss(request Request, candidate Candidate) float64 {
	late := lateProbability(request, candidate)
	return candidate.FailureRate + (1-candidate.FailureRate)*lateLoss*late + priceFraction(request, candidate)
}

// lateProbability returns the probability that the response of a candidate misses the
// objective. The time to the response is taken to be normally distributed.
func lateProbability(request Request, candidate Candidate) float64 {
	spare := request.ObjectiveLeft.Seconds() - responseSeconds(request, candidate)
	return math.Erfc(spare/(deviationSeconds(request, candidate)*math.Sqrt2)) / 2
}

// delayOfLoss returns the delay with which the value loss of a candidate reaches loss. It
// is at least 1 ms, and 0 if no delay has such a loss.
func delayOfLoss(request Request, candidate Candidate, loss float64) time.Duration {
	late := (loss - priceFraction(request, candidate) - candidate.FailureRate) / (lateLoss * (1 - candidate.FailureRate))
	if late >= 1 || math.IsNaN(late) {
		return 0
	}
	spare := deviationSeconds(request, candidate) * math.Sqrt2 * math.Erfcinv(2*max(late, 0))
	delay := request.ObjectiveLeft.Seconds() - spare - idleSeconds(request, candidate)
	if delay < time.Millisecond.Seconds() {
		return time.Millisecond
	}
	return time.Duration(delay * float64(time.Second))
}

// deviationSeconds returns the standard deviation of the time to the response of a
// candidate. The time on the link is taken to be constant.
func deviationSeconds(request Request, candidate Candidate) float64 {
	return timeDeviation * (responseSeconds(request, candidate) - 2*candidate.LinkLatency.Seconds())
}

package route

import (
	"math"
	"time"
)

func init() {
	Register(Soonest, func() Policy { return soonest{} })
}

// Soonest is the name of the policy that takes the target with the least
// expected time to the whole answer. It needs requests whose work is known and
// targets that tell how slow they are.
const Soonest = "soonest"

// Weights of the soonest policy.
const (
	// slownessHalfLife is the time in which a target's word on its slowness
	// loses half its weight against the mean of all targets, since neighbours
	// on its machine come and go within a few hundred milliseconds.
	slownessHalfLife = 150 * time.Millisecond
	// coldFactor is how much longer work takes on a target that has just
	// started.
	coldFactor = 2
	// tieShare is the difference, as a part of the work, below which two
	// targets count as equal, so that requests spread over both.
	tieShare = 0.1
)

// soonest compares all candidates by link, queue, work at the slowness of the
// moment, and the price of the answer's bytes.
type soonest struct{}

func (soonest) Choose(request Request, candidates []Candidate) int {
	best, _ := ChooseSoonest(request, candidates)
	return best
}

// ChooseSoonest returns the candidate with the least expected time, and how
// much longer than on an idle target the request may take there before the
// next best is better; 0 means that there is no other.
func ChooseSoonest(request Request, candidates []Candidate) (best int, patience time.Duration) {
	usable := usableOf(candidates)
	start := int(request.Random % uint64(len(usable)))
	tie := tieShare * request.Work.Seconds()
	best, least, next := -1, math.Inf(1), math.Inf(1)
	for offset := range usable {
		index := usable[(start+offset)%len(usable)]
		expected := soonestTime(request, candidates[index])
		switch {
		case expected < least-tie:
			best, next, least = index, least, expected
		case expected < next:
			next = expected
		}
	}
	if math.IsInf(next, 1) {
		return best, 0
	}
	ideal := idealTime(request, candidates[best])
	return best, max(time.Millisecond, time.Duration((next-ideal)*float64(time.Second)))
}

// SoonestTime is the least time in which any of the candidates is expected to
// answer. The price of bytes does not count.
func SoonestTime(request Request, candidates []Candidate) time.Duration {
	request.Bytes = 0
	least := math.Inf(1)
	for _, index := range usableOf(candidates) {
		least = min(least, soonestTime(request, candidates[index]))
	}
	return time.Duration(least * float64(time.Second))
}

// idealTime is the time in seconds that a request takes on an idle target,
// with the price of its bytes.
func idealTime(request Request, candidate Candidate) float64 {
	return 2*candidate.Link.Seconds() + request.Work.Seconds() + request.Bytes*candidate.SecondsPerByte
}

// soonestTime is the time in seconds that a request is expected to take.
func soonestTime(request Request, candidate Candidate) float64 {
	slow := believedSlowness(request, candidate)
	if candidate.Known {
		slow *= 1 + (coldFactor-1)*(1-candidate.Warmth)
	}
	work := request.Work.Seconds()
	slots := float64(max(1, candidate.Load.Slots))
	waiting := max(0, reportedLoad(request, candidate)+1-slots)
	turn := candidate.Load.SlotInterval.Seconds()
	if turn == 0 {
		turn = work * slow / slots
	}
	seconds := idealTime(request, candidate) + work*(slow-1) + waiting*turn
	seconds += candidate.Failing * failurePenalty.Seconds()
	return seconds
}

// believedSlowness is the target's last word on its slowness while it is
// fresh, fading to the usual one. A target that has never said anything is
// thought to be at its best, so that newcomers are tried.
func believedSlowness(request Request, candidate Candidate) float64 {
	if !candidate.Known {
		return 1
	}
	usual := max(1, request.UsualSlowness)
	if candidate.Load.Slowness == 0 {
		return usual
	}
	fresh := math.Exp2(-float64(candidate.Age) / float64(slownessHalfLife))
	return candidate.Load.Slowness*fresh + usual*(1-fresh)
}

// reportedLoad is the number of requests at the target: its last report,
// fading to the usual load in the time in which requests come and go there, and
// never less than this daemon itself has in flight there.
func reportedLoad(request Request, candidate Candidate) float64 {
	own := float64(candidate.InFlight)
	if !candidate.Known {
		return own
	}
	usual := request.UsualLoad * float64(candidate.Load.Slots)
	reported := float64(candidate.Load.Running + candidate.Load.Queued)
	halfLife := max(reportHalfLife, request.Work)
	fresh := math.Exp2(-float64(candidate.Age) / float64(halfLife))
	return max(own, reported*fresh+usual*(1-fresh))
}

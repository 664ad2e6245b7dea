// Package pick decides, in the daemon that a caller sent its request to, which
// target the request is sent to next, when a hedge is sent to a second target,
// and when a refused caller should retry. It has no clock and no random source:
// times and random numbers are inputs, so that the load simulator makes the
// same decisions as the daemon.
//
// # Usage
//
//	picker := &pick.Picker{Tracker: tracker, Profile: serviceProfile, Policy: policy, Random: random}
//	choice, found := picker.Choose(now, members, linkTo)
//	picker.RecordAttempt(choice.Member.ID)
//	picker.RecordRefusal(attempt, admit.ReasonBusy) // the target is not tried again
package pick

import (
	"slices"
	"time"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/core/profile"
	"ibislift/core/route"
)

// Picker chooses the targets of one request. Set the exported fields before the
// first use. A Picker is not safe for concurrent use.
type Picker struct {
	Tracker *route.Tracker
	Profile profile.Profile
	Policy  route.Policy
	// IsEvacuated reports whether nothing may be sent to the targets of a data centre. If
	// it is nil, none is evacuated.
	IsEvacuated func(dataCentre string) bool
	// Warmup is what targets take that have just started.
	Warmup route.Warmup
	// Class is the name of the request's class, for which the tracker holds the
	// service time.
	Class string
	// BodyBytes is the size of the request's body or, if it is not known, of the
	// part that has arrived.
	BodyBytes float64
	// HasObjective says that Objective is set. Without an objective, Policy chooses
	// the target.
	HasObjective bool
	// Objective is the time until which a response meets the latency objective.
	// A later response is still sent but is less important. ObjectiveLength is
	// the whole time that the objective allows.
	Objective       time.Time
	ObjectiveLength time.Duration
	// CrossesByValue lets the expected loss of value decide whether the request goes to another
	// region, instead of the time.
	CrossesByValue bool
	// Regions are the regions whose members are candidates. nil allows all regions.
	Regions []string
	// Random is the seed of the request's random numbers. It must not be 0.
	Random uint64

	// targets holds the target of each attempt. Targets in tried are not tried
	// again. Targets in declined refused the request because another target
	// should be faster; they may be tried once more.
	// Those in lost may be tried once more if no other target is left.
	targets  []string
	tried    map[string]bool
	declined map[string]bool
	lost     map[string]bool
	// cold is set once a target was chosen that its warm-up limits.
	cold bool
	// refusals counts the refusals for lack of capacity.
	refusals int
}

// unknownServiceTimeDivisor divides the objective; the result is taken for the service
// time of a class of which no response is known yet.
const unknownServiceTimeDivisor = 4

// headBytes is the usual size of the heads of a forwarded request and its response.
const headBytes = 1000

// Choice is a target for the next attempt.
type Choice struct {
	Member kernel.Member
	// MaxDelay is the largest delay with which this target is still the better
	// choice than the second best. The delay is the additional time that the
	// request takes because the target is not idle. The gate refuses a request
	// that would be delayed by more. 0 means that there is no limit.
	MaxDelay time.Duration
	// Candidates holds the candidates that were compared, and Index the
	// position of the chosen one.
	Candidates []route.Candidate
	Index      int
}

// Choose chooses a target among the members that the request has not tried, or
// else among those whose response was lost. It returns false if there are none. It also returns false if the request
// was refused for lack of capacity and no target is expected to respond within
// the objective: it is then better that the caller retries later than that the
// ingress tries further targets now.
func (picker *Picker) Choose(now time.Time, members []kernel.Member, linkTo func(kernel.Member) route.Link) (Choice, bool) {
	untried := picker.untried(members)
	if len(untried) == 0 {
		return Choice{}, false
	}
	choice := Choice{Candidates: picker.Tracker.Candidates(now, picker.Profile, untried, linkTo)}
	picker.Warmup.MarkCold(now, untried, choice.Candidates)
	class := picker.Tracker.Class(picker.Class)
	request := route.Request{Random: picker.nextRandom(), Weights: picker.Profile.Weights, ServiceTime: class.ServiceTime, Bytes: picker.BodyBytes + class.ResponseBytes + headBytes}
	request.MeanUtilization, request.MeanSlowness = picker.Tracker.Means()
	if picker.HasObjective {
		request.Objective = picker.ObjectiveLength
		request.ObjectiveLeft, request.CrossesByValue = picker.Objective.Sub(now), picker.CrossesByValue
	}
	if request.ServiceTime == 0 && picker.HasObjective {
		request.ServiceTime = picker.ObjectiveLength / unknownServiceTimeDivisor
	}
	if !picker.HasObjective || request.ServiceTime == 0 {
		choice.Index = picker.Policy.Choose(request, choice.Candidates)
		choice.Member = untried[choice.Index]
		return choice, true
	}
	if picker.refusals > 0 && route.LeastExpectedTime(request, choice.Candidates) > picker.Objective.Sub(now) {
		return Choice{}, false
	}
	var maxDelay time.Duration
	choice.Index, maxDelay = route.ChooseLeastTime(request, choice.Candidates)
	picker.cold = picker.cold || choice.Candidates[choice.Index].IsCold()
	choice.Member = untried[choice.Index]
	if !picker.declined[choice.Member.ID] {
		choice.MaxDelay = maxDelay
	}
	return choice, true
}

// untried returns the members that the request may be sent to: those that it has
// not been sent to or, if there are none, those whose response was lost. Members outside
// the allowed regions, upstreams that have said that they are leaving, and those in
// evacuated data centres are left out.
func (picker *Picker) untried(members []kernel.Member) []kernel.Member {
	var untried, lost []kernel.Member
	for _, member := range members {
		switch {
		case !IsAllowed(picker.Regions, member):
			// It must get neither the request nor its body.
		case picker.Tracker.IsLeaving(member.ID, member.Target.StartedAt):
			// It gets nothing new.
		case picker.isEvacuated(member):
			// Its data centre gets nothing.
		case !picker.tried[member.ID]:
			untried = append(untried, member)
		case picker.lost[member.ID]:
			lost = append(lost, member)
		}
	}
	if len(untried) == 0 {
		return lost
	}
	return untried
}

func (picker *Picker) isEvacuated(member kernel.Member) bool {
	return picker.IsEvacuated != nil && picker.IsEvacuated(member.DataCentre)
}

// nextRandom returns the next number of the request's own xorshift generator.
func (picker *Picker) nextRandom() uint64 {
	picker.Random ^= picker.Random << 13
	picker.Random ^= picker.Random >> 7
	picker.Random ^= picker.Random << 17
	return picker.Random
}

// WasLimitedByWarmup reports whether a target was chosen that its warm-up limits.
func (picker *Picker) WasLimitedByWarmup() bool { return picker.cold }

// RecordAttempt records the target of the next attempt.
func (picker *Picker) RecordAttempt(target string) {
	if picker.tried == nil {
		picker.tried = map[string]bool{}
	}
	picker.tried[target] = true
	delete(picker.lost, target)
	picker.targets = append(picker.targets, target)
}

// RecordRefusal records that a gate has refused an attempt. The target may be
// tried again if its gate refused only because another target should be faster.
func (picker *Picker) RecordRefusal(attempt int, reason admit.Reason) {
	switch reason {
	case admit.ReasonSlower:
		target := picker.targets[attempt]
		if picker.declined == nil {
			picker.declined = map[string]bool{}
		}
		picker.declined[target] = true
		delete(picker.tried, target)
	case admit.ReasonBusy, admit.ReasonDeadline, admit.ReasonQueueFull:
		picker.refusals++
	}
}

// RecordLoss records that the response of an attempt was lost although the target
// did not crash, for example because a duplicate of an earlier response arrived on
// its connection. The target may be tried once more, on another connection.
func (picker *Picker) RecordLoss(attempt int) {
	target := picker.targets[attempt]
	if slices.Contains(picker.targets[:attempt], target) {
		return
	}
	if picker.lost == nil {
		picker.lost = map[string]bool{}
	}
	picker.lost[target] = true
}

// HedgeDelay returns how long to wait for a response before the request is also
// sent to a second target. With an objective, the hedge is sent at the last moment
// at which another target could still respond within it, with half a service time to
// spare, but not before the request has taken twice its service time.
func (picker *Picker) HedgeDelay(arrived time.Time) time.Duration {
	serviceTime := picker.Tracker.Class(picker.Class).ServiceTime
	if picker.HasObjective && serviceTime == 0 {
		serviceTime = picker.ObjectiveLength / unknownServiceTimeDivisor
	}
	if serviceTime == 0 {
		return picker.Tracker.HedgeDelay()
	}
	return max(2*serviceTime, picker.Objective.Sub(arrived)-serviceTime*3/2)
}

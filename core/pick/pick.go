// Package pick decides, for one request at the daemon that its caller reached,
// where it is sent next, when a second target is asked as well, and when a
// caller that was refused may come back. It has no clock and no random source:
// times and chances are inputs, so that the load player plays the same
// decisions as the daemon.
//
// # Usage
//
//	picker := &pick.Picker{Book: book, Rules: rules, Policy: policy, Random: random}
//	choice, found := picker.Choose(now, members, distance)
//	picker.Sent(choice.Member.ID)
//	picker.Refused(attempt, admit.ReasonBusy) // the target is not asked again
package pick

import (
	"time"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/core/profile"
	"ibislift/core/route"
)

// Picker chooses the targets of one request. Set the exported fields before the
// first use. A Picker is used by one goroutine at a time.
type Picker struct {
	Book   *route.Book
	Rules  profile.Profile
	Policy route.Policy
	// Class names the kind of request, for which the book knows the work.
	Class string
	// Timed says that the request's objective is known, so that times can be
	// compared; else the policy chooses.
	Timed     bool
	Objective time.Time
	// Random is where the request's own random numbers start; not 0.
	Random uint64

	// targets are those of the attempts, in their order; tried are not asked
	// again; declined are those whose gates hold the request to be better off
	// elsewhere, and are asked once more if it is not.
	targets  []string
	tried    map[string]bool
	declined map[string]bool
	// refusals counts the gates' refusals for want of room.
	refusals int
}

// Choice is a target for the next attempt.
type Choice struct {
	Member kernel.Member
	// Patience is how much longer than on an idle upstream the request may
	// take there before it is better off elsewhere; 0 means that there is no
	// better place.
	Patience time.Duration
	// Candidates are those that were compared, Index the chosen one.
	Candidates []route.Candidate
	Index      int
}

// Choose picks a target among the members that this request has not tried. It
// finds none if all were tried, or if the request was refused already and no
// target is expected to answer within the objective: then the caller is better
// told to come back than sent around.
func (picker *Picker) Choose(now time.Time, members []kernel.Member, distance func(kernel.Member) route.Distance) (Choice, bool) {
	var untried []kernel.Member
	for _, member := range members {
		if !picker.tried[member.ID] {
			untried = append(untried, member)
		}
	}
	if len(untried) == 0 {
		return Choice{}, false
	}
	choice := Choice{Candidates: picker.Book.Candidates(now, picker.Rules, untried, distance)}
	class := picker.Book.Class(picker.Class)
	request := route.Request{Random: picker.nextRandom(), Weights: picker.Rules.Weights, Work: class.Work, Bytes: class.Bytes}
	request.UsualLoad, request.UsualSlowness = picker.Book.Usual()
	if !picker.Timed || request.Work == 0 {
		choice.Index = picker.Policy.Choose(request, choice.Candidates)
		choice.Member = untried[choice.Index]
		return choice, true
	}
	if picker.refusals > 0 && route.SoonestTime(request, choice.Candidates) > picker.Objective.Sub(now) {
		return Choice{}, false
	}
	var patience time.Duration
	choice.Index, patience = route.ChooseSoonest(request, choice.Candidates)
	choice.Member = untried[choice.Index]
	if !picker.declined[choice.Member.ID] {
		choice.Patience = patience
	}
	return choice, true
}

// nextRandom steps a small generator that starts at the request's own value.
func (picker *Picker) nextRandom() uint64 {
	picker.Random ^= picker.Random << 13
	picker.Random ^= picker.Random >> 7
	picker.Random ^= picker.Random << 17
	return picker.Random
}

// Sent notes the target of the next attempt.
func (picker *Picker) Sent(target string) {
	if picker.tried == nil {
		picker.tried = map[string]bool{}
	}
	picker.tried[target] = true
	picker.targets = append(picker.targets, target)
}

// Refused notes a gate's refusal of an attempt. A target may be asked again
// whose gate refused only because the request is better off elsewhere.
func (picker *Picker) Refused(attempt int, reason admit.Reason) {
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

// HedgeDelay is how long to wait for an answer before a second target is asked
// as well. Where the work is known it is the last moment at which another
// target could still answer within the objective.
func (picker *Picker) HedgeDelay(arrived time.Time) time.Duration {
	work := picker.Book.Class(picker.Class).Work
	if !picker.Timed || work == 0 {
		return picker.Book.HedgeDelay()
	}
	return max(2*work, picker.Objective.Sub(arrived)-work*3/2)
}

// Package call decides the course of one request at the daemon that its
// caller reached: which attempts are made, what is claimed and committed, and
// what the caller is told.
//
// A Call is a state machine: an Event goes in, Effects come out. It holds the
// two promises about requests that may not be repeated. Such a request is
// committed to one target at most, after its claim; and notRun is told only
// when nothing was committed, or when the gate itself gives proof.
//
// # Usage
//
//	call := &call.Call{Repeatable: true, Budget: budget}
//	for _, effect := range call.Update(call.Arrived{}) {
//		perform(effect) // Choose, Send, Claim, Commit, Withdraw, Relay, Finish
//	}
package call

import "time"

// Outcome is what a caller is told of its request.
type Outcome string

// The outcomes.
const (
	OutcomeRun     Outcome = "run"
	OutcomeNotRun  Outcome = "notRun"
	OutcomeUnknown Outcome = "unknown"
)

// Event is something that happened to the request. The set is closed.
type Event interface{ event() }

// Arrived starts the call.
type Arrived struct{}

// Chosen answers Choose with a target.
type Chosen struct{ Target string }

// NoneLeft answers Choose when no target is left.
type NoneLeft struct{}

// Granted says that a gate keeps a slot and waits for the commit.
type Granted struct{ Attempt int }

// Refused is a gate's proof that it has not run the attempt and never will.
// Reached says that the upstream itself refused, so that the attempt counts
// as one that reached a target.
type Refused struct {
	Attempt    int
	Reason     string
	RetryAfter time.Duration
	Reached    bool
}

// Lost says that an attempt ended without an answer. Crashed says that the
// upstream died of it or beside it; Unsent that the attempt never left here.
type Lost struct {
	Attempt int
	Crashed bool
	Unsent  bool
}

// Answered says that an attempt's answer has begun.
type Answered struct{ Attempt int }

// Failing says that an attempt's whole answer is in hand and tells of a
// failure of the server. A request that may be repeated is tried elsewhere.
type Failing struct{ Attempt int }

// Relayed says that the answer has reached the caller, whole or cut short.
type Relayed struct{}

// ClaimGranted says that the key is this request's.
type ClaimGranted struct{}

// ClaimRefused says that the claim was not given. With Held the key is another
// request's, and Known is what is known of that one.
type ClaimRefused struct {
	Held  bool
	Known Outcome
}

// HedgeDue says that the answer is late enough to ask a second target.
type HedgeDue struct{}

// DeadlinePassed says that the caller's time is up.
type DeadlinePassed struct{}

// CallerLeft says that the caller has gone.
type CallerLeft struct{}

func (Arrived) event()        {}
func (Chosen) event()         {}
func (NoneLeft) event()       {}
func (Granted) event()        {}
func (Refused) event()        {}
func (Lost) event()           {}
func (Answered) event()       {}
func (Failing) event()        {}
func (Relayed) event()        {}
func (ClaimGranted) event()   {}
func (ClaimRefused) event()   {}
func (HedgeDue) event()       {}
func (DeadlinePassed) event() {}
func (CallerLeft) event()     {}

// Effect is something to be done for the request. The set is closed.
type Effect interface{ effect() }

// Choose asks for a target that has not been tried.
type Choose struct{}

// Send sends the request to a target as an attempt. With Reserve the gate
// waits for a commit after its grant.
type Send struct {
	Attempt int
	Target  string
	Reserve bool
}

// Claim asks for the request's idempotency key.
type Claim struct{}

// ReleaseClaim gives the key back: it is proved that the request has not run.
type ReleaseClaim struct{}

// SettleClaim records that the request has run.
type SettleClaim struct{}

// Commit lets the gate run the attempt.
type Commit struct{ Attempt int }

// Withdraw gives an attempt up. Its gate answers with Refused if it has not
// run it.
type Withdraw struct{ Attempt int }

// Relay passes the attempt's answer on to the caller.
type Relay struct{ Attempt int }

// Finish tells the caller the end of a request that has no answer to relay.
type Finish struct {
	Outcome    Outcome
	Problem    Problem
	RetryAfter time.Duration
	// Known is what is known of the request that holds the key.
	Known Outcome
}

func (Choose) effect()       {}
func (Send) effect()         {}
func (Claim) effect()        {}
func (ReleaseClaim) effect() {}
func (SettleClaim) effect()  {}
func (Commit) effect()       {}
func (Withdraw) effect()     {}
func (Relay) effect()        {}
func (Finish) effect()       {}

// Problem says why a request has no answer.
type Problem string

// The problems.
const (
	ProblemNoTarget    Problem = "noTarget"
	ProblemRefused     Problem = "refused"
	ProblemDeadline    Problem = "deadline"
	ProblemLost        Problem = "lost"
	ProblemCrashed     Problem = "crashed"
	ProblemClaimHeld   Problem = "claimHeld"
	ProblemClaimFailed Problem = "claimUnavailable"
)

// Package call is the state machine of one request at its ingress daemon. It
// decides which attempts are made, when the idempotency key is claimed, which
// attempt is committed and which outcome is reported to the caller.
//
// A Call accepts one Event at a time and returns the Effects to perform. It
// upholds two guarantees for requests that may not be repeated: such a request
// is committed to at most one target, and only after its key was claimed; and
// the outcome notRun is reported only if nothing was committed or if the gate
// has proved that the request was not executed.
//
// # Usage
//
//	machine := &call.Call{Repeatable: true, Retries: retries, Hedges: hedges}
//	for _, effect := range machine.Update(call.RequestArrived{}) {
//		perform(effect) // ChooseTarget, Send, ClaimKey, Commit, Cancel, Relay, Finish
//	}
package call

import "time"

// Outcome is reported to the caller and says whether the request was executed.
type Outcome string

// The outcomes: executed, certainly not executed, or impossible to tell.
const (
	OutcomeRun     Outcome = "run"
	OutcomeNotRun  Outcome = "notRun"
	OutcomeUnknown Outcome = "unknown"
)

// Event is an input of the state machine. Only this package defines events.
type Event interface{ event() }

// RequestArrived starts the call. It is the first event.
type RequestArrived struct{}

// TargetChosen is the reply to ChooseTarget if a target was found.
type TargetChosen struct{ Target string }

// NoTargetLeft is the reply to ChooseTarget if no untried target is left.
type NoTargetLeft struct{}

// SlotGranted reports that a gate has reserved a slot for the attempt and waits
// for the commit.
type SlotGranted struct{ Attempt int }

// AttemptRefused is a gate's proof that it has not executed the attempt and
// never will. ReachedUpstream is set if the upstream itself refused; an
// attempt that the gate refused did not reach it.
type AttemptRefused struct {
	Attempt int
	Reason  string
	// Cause is what the gate says of the cause, for operators. It may be empty.
	Cause           string
	RetryAfter      time.Duration
	ReachedUpstream bool
}

// AttemptLost reports that an attempt ended without a response. Crashed is set
// if the upstream crashed while the attempt ran, whether or not the attempt
// caused it. Unsent is set if the attempt never left this daemon.
type AttemptLost struct {
	Attempt int
	Crashed bool
	Unsent  bool
}

// ResponseStarted reports that the response to an attempt has begun.
type ResponseStarted struct{ Attempt int }

// ServerErrorReceived reports that the whole response to an attempt was received
// and is a server error. A repeatable request is then tried at another target.
type ServerErrorReceived struct{ Attempt int }

// ResponseRelayed reports that relaying the response to the caller has ended,
// complete or cut short.
type ResponseRelayed struct{}

// ResponseCut reports that the response that is relayed has ended incomplete, and that the
// caller has received none of it. Problem is set if no further attempt is to be made.
type ResponseCut struct {
	Attempt int
	Crashed bool
	Problem Problem
}

// ClaimGranted reports that this request now holds its idempotency key.
type ClaimGranted struct{}

// ClaimRefused reports that the claim was not granted. Held is set if another
// request holds the key; HolderOutcome is then the known outcome of that request.
// Without Held, the claim may have been recorded all the same.
type ClaimRefused struct {
	Held          bool
	HolderOutcome Outcome
}

// HedgeDue reports that the response is late enough to hedge the request to a
// second target.
type HedgeDue struct{}

// DeadlinePassed reports that the deadline of the request has passed.
type DeadlinePassed struct{}

// CallerLeft reports that the caller has disconnected.
type CallerLeft struct{}

func (RequestArrived) event()      {}
func (TargetChosen) event()        {}
func (NoTargetLeft) event()        {}
func (SlotGranted) event()         {}
func (AttemptRefused) event()      {}
func (AttemptLost) event()         {}
func (ResponseStarted) event()     {}
func (ServerErrorReceived) event() {}
func (ResponseRelayed) event()     {}
func (ResponseCut) event()         {}
func (ClaimGranted) event()        {}
func (ClaimRefused) event()        {}
func (HedgeDue) event()            {}
func (DeadlinePassed) event()      {}
func (CallerLeft) event()          {}

// Effect is an action that the driver of the call has to perform. Only this
// package defines effects.
type Effect interface{ effect() }

// ChooseTarget requests a target that has not been tried. The reply is
// TargetChosen or NoTargetLeft.
type ChooseTarget struct{}

// Send sends the request to a target as a new attempt. With Reserve the gate
// reserves a slot, reports SlotGranted and waits for the commit.
type Send struct {
	Attempt int
	Target  string
	Reserve bool
}

// ClaimKey requests the claim of the request's idempotency key.
type ClaimKey struct{}

// ReleaseClaim frees the key, as the request has provably not been executed. It
// is also emitted if it is not known whether the claim was recorded.
type ReleaseClaim struct{}

// CompleteClaim records that the request which holds the key was executed.
type CompleteClaim struct{}

// Commit allows the gate to execute a reserved attempt.
type Commit struct{ Attempt int }

// Cancel cancels an attempt. The gate reports AttemptRefused if it has not
// executed the attempt. The call ignores that report once the attempt has ended.
type Cancel struct{ Attempt int }

// Relay starts relaying the response of an attempt to the caller.
type Relay struct{ Attempt int }

// Finish reports the outcome to the caller of a request that has no response to
// relay.
type Finish struct {
	Outcome    Outcome
	Problem    Problem
	RetryAfter time.Duration
	// HolderOutcome is the known outcome of the request that holds the key, if
	// the claim was refused because another request holds it.
	HolderOutcome Outcome
}

func (ChooseTarget) effect()  {}
func (Send) effect()          {}
func (ClaimKey) effect()      {}
func (ReleaseClaim) effect()  {}
func (CompleteClaim) effect() {}
func (Commit) effect()        {}
func (Cancel) effect()        {}
func (Relay) effect()         {}
func (Finish) effect()        {}

// Problem is the reason why a request has no response.
type Problem string

// The problems that Finish reports. ProblemLost means that an attempt ended
// without a response, or that the caller has disconnected.
const (
	ProblemNoTarget         Problem = "noTarget"
	ProblemRefused          Problem = "refused"
	ProblemDeadline         Problem = "deadline"
	ProblemLost             Problem = "lost"
	ProblemCrashed          Problem = "crashed"
	ProblemClaimHeld        Problem = "claimHeld"
	ProblemClaimUnavailable Problem = "claimUnavailable"
)

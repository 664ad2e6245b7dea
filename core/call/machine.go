package call

import "time"

// MaxAttempts limits the attempts of one request that may have reached an upstream.
const MaxAttempts = 4

// MaxSends limits all attempts of one request. It exceeds MaxAttempts because
// most refusals come from the gate, before the request reaches the target.
const MaxSends = 8

// DefaultRetryAfter is the time after which a caller whose claim was refused may
// retry. Drivers also use it where they do not estimate a time for other refusals.
const DefaultRetryAfter = time.Second

// maxCrashes is the number of lost attempts with a crashed upstream after which
// even a repeatable request is not tried again, so that it does not crash one
// target after another.
const maxCrashes = 2

// stage is the progress of one attempt.
type stage uint8

const (
	stageSent stage = iota
	stageGranted
	// stageCommitted means that the attempt may have been executed.
	stageCommitted
	stageEnded
)

// Call is the state of one request. Set the exported fields before the first
// Update. A Call is not safe for concurrent use.
type Call struct {
	// Repeatable says that the request may be executed more than once.
	Repeatable bool
	// Streamed says that the body is sent as it arrives, from the commit on, so that it
	// can be sent only once.
	Streamed bool
	// Keyed says that the request carries an idempotency key, which has to be
	// claimed before the commit unless the request is repeatable.
	Keyed bool
	// Retries and Hedges limit the extra attempts.
	Retries *Budget
	Hedges  *Budget
	// MaxAttempts limits the attempts that may have reached an upstream; 0 means
	// the constant MaxAttempts.
	MaxAttempts int

	attempts []stage
	// unreached counts the attempts that certainly did not reach the upstream.
	unreached      int
	started        bool
	choosing       bool
	claimed        bool
	claiming       bool
	grantedAttempt int
	// uncertain says that an attempt was lost or cancelled after its commit, so
	// that it may have been executed.
	uncertain      bool
	crashes        int
	relayedAttempt int
	// fallbackAttempt is the attempt whose server error was received and is
	// relayed if no other response arrives, or -1.
	fallbackAttempt int
	finished        bool
	retryAfter      time.Duration
	lastProblem     Problem
}

// Update applies one event and returns the effects to perform.
func (call *Call) Update(event Event) []Effect {
	switch {
	case call.finished:
		return call.afterFinish(event)
	case call.started && call.relayedAttempt >= 0:
		return call.whileRelaying(event)
	}
	switch event := event.(type) {
	case RequestArrived:
		call.started = true
		call.relayedAttempt = -1
		call.grantedAttempt = -1
		call.fallbackAttempt = -1
		return call.chooseTarget()
	case TargetChosen:
		return call.send(event.Target)
	case NoTargetLeft:
		return call.noTargetLeft()
	case SlotGranted:
		return call.slotGranted(event.Attempt)
	case AttemptRefused:
		return call.attemptRefused(event)
	case AttemptLost:
		return call.attemptLost(event)
	case ResponseStarted:
		return call.relayAttempt(event.Attempt)
	case ServerErrorReceived:
		return call.serverErrorReceived(event.Attempt)
	case ClaimGranted:
		return call.claimGranted()
	case ClaimRefused:
		return call.claimRefused(event)
	case HedgeDue:
		return call.hedge()
	case DeadlinePassed:
		return call.abort(ProblemDeadline)
	case CallerLeft:
		return call.abort(ProblemLost)
	default:
		return nil
	}
}

// whileRelaying handles events while a response is relayed to the caller. Only
// the end of the relay, the deadline and the disconnection of the caller matter,
// as the other attempts have ended.
func (call *Call) whileRelaying(event Event) []Effect {
	switch event := event.(type) {
	case ResponseRelayed:
		return call.finishRelay()
	case ResponseCut:
		return call.responseCut(event)
	case DeadlinePassed, CallerLeft:
		return append([]Effect{Cancel{Attempt: call.relayedAttempt}}, call.finishRelay()...)
	default:
		return nil
	}
}

// afterFinish handles events after the outcome was reported to the caller: a
// claim that is granted too late is released.
func (call *Call) afterFinish(event Event) []Effect {
	if _, granted := event.(ClaimGranted); granted && call.claiming {
		call.claiming = false
		return []Effect{ReleaseClaim{}}
	}
	return nil
}

func (call *Call) chooseTarget() []Effect {
	call.choosing = true
	return []Effect{ChooseTarget{}}
}

func (call *Call) send(target string) []Effect {
	if !call.choosing {
		return nil
	}
	call.choosing = false
	attempt := len(call.attempts)
	initial := stageCommitted
	if !call.Repeatable {
		initial = stageSent
	}
	call.attempts = append(call.attempts, initial)
	return []Effect{Send{Attempt: attempt, Target: target, Reserve: !call.Repeatable}}
}

// noTargetLeft finishes the call unless another attempt is still open.
func (call *Call) noTargetLeft() []Effect {
	if !call.choosing {
		return nil
	}
	call.choosing = false
	if call.isInProgress() {
		return nil
	}
	problem := call.lastProblem
	if problem == "" {
		problem = ProblemNoTarget
	}
	return call.finish(problem)
}

func (call *Call) isInProgress() bool {
	for _, stage := range call.attempts {
		if stage != stageEnded {
			return true
		}
	}
	return call.choosing
}

// slotGranted proceeds with a reserved attempt: it commits the attempt, or first
// claims the key of a keyed request.
func (call *Call) slotGranted(attempt int) []Effect {
	if !call.isInStage(attempt, stageSent) {
		return nil
	}
	if call.grantedAttempt >= 0 {
		call.attempts[attempt] = stageEnded
		return []Effect{Cancel{Attempt: attempt}}
	}
	call.attempts[attempt] = stageGranted
	call.grantedAttempt = attempt
	switch {
	case call.claiming:
		return nil
	case call.Keyed && !call.claimed:
		call.claiming = true
		return []Effect{ClaimKey{}}
	default:
		return call.commit()
	}
}

func (call *Call) commit() []Effect {
	call.attempts[call.grantedAttempt] = stageCommitted
	effects := []Effect{Commit{Attempt: call.grantedAttempt}}
	for attempt, stage := range call.attempts {
		if stage == stageSent {
			call.attempts[attempt] = stageEnded
			effects = append(effects, Cancel{Attempt: attempt})
		}
	}
	return effects
}

func (call *Call) claimGranted() []Effect {
	call.claiming = false
	call.claimed = true
	if call.grantedAttempt < 0 {
		return nil
	}
	return call.commit()
}

// hedge tries a second target while the response of the first is late. A request
// that may not be repeated is hedged only until a gate has granted a slot.
func (call *Call) hedge() []Effect {
	oneOpen := call.countOpenAttempts() == 1 && !call.choosing
	if !oneOpen || call.claiming {
		return nil
	}
	if !call.Repeatable && call.grantedAttempt >= 0 {
		return nil
	}
	if call.countReached() >= call.maxAttempts() || !call.Hedges.Spend() {
		return nil
	}
	return call.chooseTarget()
}

func (call *Call) countOpenAttempts() int {
	count := 0
	for _, stage := range call.attempts {
		if stage != stageEnded {
			count++
		}
	}
	return count
}

func (call *Call) isInStage(attempt int, wanted stage) bool {
	return attempt >= 0 && attempt < len(call.attempts) && call.attempts[attempt] == wanted
}

func (call *Call) isOpen(attempt int) bool {
	return attempt >= 0 && attempt < len(call.attempts) && call.attempts[attempt] != stageEnded
}

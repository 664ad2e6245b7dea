package call

import "time"

func (call *Call) claimRefused(refused ClaimRefused) []Effect {
	call.claiming = false
	effects := call.withdrawAll()
	problem := ProblemClaimHeld
	if !refused.Held {
		problem = ProblemClaimFailed
		effects = append(effects, ReleaseClaim{})
	}
	call.finished = true
	return append(effects, Finish{
		Outcome:    OutcomeNotRun,
		Problem:    problem,
		RetryAfter: DefaultRetryAfter,
		Known:      refused.Known,
	})
}

// refuse takes a gate's proof that an attempt has not run, and tries another
// target if the budget allows.
func (call *Call) refuse(refused Refused) []Effect {
	if !call.open(refused.Attempt) {
		return nil
	}
	call.attempts[refused.Attempt] = stageOver
	if call.granted == refused.Attempt {
		call.granted = -1
	}
	call.lastReason = ProblemRefused
	call.noteRetryAfter(refused.RetryAfter)
	if !refused.Reached {
		call.spared++
		return call.goOn()
	}
	return call.retry()
}

// noteRetryAfter keeps the soonest time at which a gate expects room.
func (call *Call) noteRetryAfter(after time.Duration) {
	if after > 0 && (call.retryAfter == 0 || after < call.retryAfter) {
		call.retryAfter = after
	}
}

// lose takes the loss of an attempt. One that may have run is not repeated
// unless the request allows it.
func (call *Call) lose(lost Lost) []Effect {
	if !call.open(lost.Attempt) {
		return nil
	}
	committed := call.attempts[lost.Attempt] == stageCommitted
	call.attempts[lost.Attempt] = stageOver
	if call.granted == lost.Attempt {
		call.granted = -1
	}
	call.lastReason = ProblemLost
	if lost.Crashed {
		call.crashes++
		call.lastReason = ProblemCrashed
	}
	if committed && !lost.Unsent {
		call.uncertain = true
	}
	if call.uncertain && !call.Repeatable || call.crashes >= maxCrashes {
		return call.finish(call.lastReason)
	}
	if !committed || lost.Unsent {
		call.spared++
		return call.goOn()
	}
	return call.retry()
}

// retry tries another target after one was reached, if the budget allows.
func (call *Call) retry() []Effect {
	if call.underWay() {
		return nil
	}
	if call.reached() >= call.maxAttempts() || !call.Retries.Take() {
		return call.finish(call.lastReason)
	}
	return call.goOn()
}

// goOn tries another target after an attempt that reached none, which costs
// no budget.
func (call *Call) goOn() []Effect {
	if call.underWay() {
		return nil
	}
	if len(call.attempts) >= MaxSends {
		return call.finish(call.lastReason)
	}
	return call.choose()
}

// reached is the number of attempts that may have reached a target.
func (call *Call) reached() int { return len(call.attempts) - call.spared }

func (call *Call) maxAttempts() int {
	if call.MaxAttempts == 0 {
		return MaxAttempts
	}
	return call.MaxAttempts
}

// failing keeps an answer that tells of a failure of the server, and tries
// another target. The kept answer is relayed if there is no better one.
func (call *Call) failing(attempt int) []Effect {
	if !call.at(attempt, stageCommitted) {
		return nil
	}
	if !call.Repeatable || call.fallback >= 0 {
		return call.answer(attempt)
	}
	call.attempts[attempt] = stageOver
	call.fallback = attempt
	return call.retry()
}

// relayFallback relays the failing answer that is in hand.
func (call *Call) relayFallback() []Effect {
	call.relayed = call.fallback
	call.choosing = false
	return append(call.withdrawAll(), Relay{Attempt: call.fallback})
}

// answer relays the first answer that begins, and gives the others up.
func (call *Call) answer(attempt int) []Effect {
	if !call.at(attempt, stageCommitted) {
		return nil
	}
	call.relayed = attempt
	call.choosing = false
	var effects []Effect
	for other, stage := range call.attempts {
		if other != attempt && stage != stageOver {
			call.attempts[other] = stageOver
			effects = append(effects, Withdraw{Attempt: other})
		}
	}
	return append(effects, Relay{Attempt: attempt})
}

func (call *Call) endRelay() []Effect {
	call.finished = true
	if call.claimed {
		return []Effect{SettleClaim{}}
	}
	return nil
}

// giveUp ends the call for the caller. What was never committed has not run,
// since no gate runs a reserved request without the commit. What was committed
// is withdrawn, and the gate's word about it is waited for by the driver.
func (call *Call) giveUp(problem Problem) []Effect {
	if call.relayed >= 0 {
		return append([]Effect{Withdraw{Attempt: call.relayed}}, call.endRelay()...)
	}
	call.lastReason = problem
	effects := call.withdrawAll()
	return append(effects, call.finish(problem)...)
}

func (call *Call) withdrawAll() []Effect {
	var effects []Effect
	for attempt, stage := range call.attempts {
		if stage == stageOver {
			continue
		}
		if stage == stageCommitted {
			call.uncertain = true
		}
		call.attempts[attempt] = stageOver
		effects = append(effects, Withdraw{Attempt: attempt})
	}
	return effects
}

// finish tells the caller the end. A claim is given back only when nothing
// that was committed can have run.
func (call *Call) finish(problem Problem) []Effect {
	if call.fallback >= 0 {
		return call.relayFallback()
	}
	call.finished = true
	outcome := OutcomeNotRun
	if call.mayHaveRun() {
		outcome = OutcomeUnknown
	}
	var effects []Effect
	if call.claimed && outcome == OutcomeNotRun {
		effects = append(effects, ReleaseClaim{})
	}
	return append(effects, Finish{Outcome: outcome, Problem: problem, RetryAfter: call.retryAfter})
}

// mayHaveRun says whether an attempt that was committed may have run.
func (call *Call) mayHaveRun() bool {
	for _, stage := range call.attempts {
		if stage == stageCommitted {
			return true
		}
	}
	return call.uncertain
}

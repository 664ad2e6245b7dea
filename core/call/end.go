package call

import "time"

// claimRefused ends the call as not executed. If no other request is known to
// hold the key, the claim may have been recorded although its reply was lost or
// negative, so it is released.
func (call *Call) claimRefused(refused ClaimRefused) []Effect {
	call.claiming = false
	effects := call.cancelOpenAttempts()
	problem := ProblemClaimHeld
	if !refused.Held {
		problem = ProblemClaimUnavailable
		effects = append(effects, ReleaseClaim{})
	}
	call.finished = true
	return append(effects, Finish{
		Outcome:       OutcomeNotRun,
		Problem:       problem,
		RetryAfter:    DefaultRetryAfter,
		HolderOutcome: refused.HolderOutcome,
	})
}

// attemptRefused ends an attempt that provably was not executed and tries another
// target. If the upstream itself refused, the next attempt is a retry that spends
// from the retry budget.
func (call *Call) attemptRefused(refused AttemptRefused) []Effect {
	if !call.isOpen(refused.Attempt) {
		return nil
	}
	committed := call.attempts[refused.Attempt] == stageCommitted
	call.attempts[refused.Attempt] = stageEnded
	if call.grantedAttempt == refused.Attempt {
		call.grantedAttempt = -1
	}
	call.lastProblem = ProblemRefused
	call.keepEarliestRetryAfter(refused.RetryAfter)
	if committed && call.Streamed {
		// A part of the body is gone, so only the caller can send it again.
		return call.finish(ProblemRefused)
	}
	if !refused.ReachedUpstream {
		call.unreached++
		return call.tryNextTarget()
	}
	return call.retry()
}

// keepEarliestRetryAfter keeps the shortest time after which a gate expects to
// have capacity.
func (call *Call) keepEarliestRetryAfter(after time.Duration) {
	if after > 0 && (call.retryAfter == 0 || after < call.retryAfter) {
		call.retryAfter = after
	}
}

// attemptLost ends an attempt without a response. An attempt that may have been
// executed is followed by another one only if the request is repeatable.
func (call *Call) attemptLost(lost AttemptLost) []Effect {
	if !call.isOpen(lost.Attempt) {
		return nil
	}
	committed := call.attempts[lost.Attempt] == stageCommitted
	call.attempts[lost.Attempt] = stageEnded
	if call.grantedAttempt == lost.Attempt {
		call.grantedAttempt = -1
	}
	call.lastProblem = ProblemLost
	if lost.Crashed {
		call.crashes++
		call.lastProblem = ProblemCrashed
	}
	if committed && !lost.Unsent {
		call.uncertain = true
	}
	if call.uncertain && !call.Repeatable || call.crashes >= maxCrashes {
		return call.finish(call.lastProblem)
	}
	if !committed || lost.Unsent {
		call.unreached++
		return call.tryNextTarget()
	}
	return call.retry()
}

// responseCut goes on with a request as if the attempt whose response was being relayed had
// ended without one. The key of a request that was executed stays claimed.
func (call *Call) responseCut(cut ResponseCut) []Effect {
	if cut.Attempt != call.relayedAttempt {
		return nil
	}
	call.relayedAttempt = -1
	var effects []Effect
	if call.claimed {
		effects = append(effects, CompleteClaim{})
	}
	if cut.Problem != "" {
		return append(effects, call.abort(cut.Problem)...)
	}
	return append(effects, call.attemptLost(AttemptLost{Attempt: cut.Attempt, Crashed: cut.Crashed})...)
}

// retry tries another target after an attempt that reached an upstream, if the
// retry budget allows.
func (call *Call) retry() []Effect {
	if call.isInProgress() {
		return nil
	}
	if call.countReached() >= call.maxAttempts() || !call.Retries.Spend() {
		return call.finish(call.lastProblem)
	}
	return call.tryNextTarget()
}

// tryNextTarget tries another target without spending budget: either retry has
// spent it, or the last attempt did not reach the upstream.
func (call *Call) tryNextTarget() []Effect {
	if call.isInProgress() {
		return nil
	}
	if len(call.attempts) >= MaxSends {
		return call.finish(call.lastProblem)
	}
	return call.chooseTarget()
}

// countReached returns the number of attempts that may have reached an upstream.
func (call *Call) countReached() int { return len(call.attempts) - call.unreached }

func (call *Call) maxAttempts() int {
	if call.MaxAttempts == 0 {
		return MaxAttempts
	}
	return call.MaxAttempts
}

// serverErrorReceived keeps the server error of a repeatable request as the
// fallback and tries another target. The fallback is relayed if no better
// response arrives. A second server error is relayed at once.
func (call *Call) serverErrorReceived(attempt int) []Effect {
	if !call.isInStage(attempt, stageCommitted) {
		return nil
	}
	if !call.Repeatable || call.fallbackAttempt >= 0 {
		return call.relayAttempt(attempt)
	}
	call.attempts[attempt] = stageEnded
	call.fallbackAttempt = attempt
	return call.retry()
}

// relayFallback relays the server error that was kept as the fallback.
func (call *Call) relayFallback() []Effect {
	call.relayedAttempt = call.fallbackAttempt
	call.choosing = false
	return append(call.cancelOpenAttempts(), Relay{Attempt: call.fallbackAttempt})
}

// relayAttempt relays the response of an attempt and cancels all others.
func (call *Call) relayAttempt(attempt int) []Effect {
	if !call.isInStage(attempt, stageCommitted) {
		return nil
	}
	call.relayedAttempt = attempt
	call.choosing = false
	var effects []Effect
	for index, stage := range call.attempts {
		if index != attempt && stage != stageEnded {
			call.attempts[index] = stageEnded
			effects = append(effects, Cancel{Attempt: index})
		}
	}
	return append(effects, Relay{Attempt: attempt})
}

func (call *Call) finishRelay() []Effect {
	call.finished = true
	if call.claimed {
		return []Effect{CompleteClaim{}}
	}
	return nil
}

// abort ends the call early, because the deadline passed or the caller left. An
// attempt that was never committed is certainly not executed, since no gate
// executes a reserved request without the commit. Committed attempts are
// cancelled and the outcome is reported as unknown at once; later reports of their
// gates are ignored.
func (call *Call) abort(problem Problem) []Effect {
	if call.relayedAttempt >= 0 {
		return append([]Effect{Cancel{Attempt: call.relayedAttempt}}, call.finishRelay()...)
	}
	call.lastProblem = problem
	effects := call.cancelOpenAttempts()
	return append(effects, call.finish(problem)...)
}

func (call *Call) cancelOpenAttempts() []Effect {
	var effects []Effect
	for attempt, stage := range call.attempts {
		if stage == stageEnded {
			continue
		}
		if stage == stageCommitted {
			call.uncertain = true
		}
		call.attempts[attempt] = stageEnded
		effects = append(effects, Cancel{Attempt: attempt})
	}
	return effects
}

// finish reports the outcome to the caller, or relays the fallback if there is
// one. A claim is released only if no committed attempt can have been executed.
func (call *Call) finish(problem Problem) []Effect {
	if call.fallbackAttempt >= 0 {
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

// mayHaveRun reports whether a committed attempt may have been executed.
func (call *Call) mayHaveRun() bool {
	for _, stage := range call.attempts {
		if stage == stageCommitted {
			return true
		}
	}
	return call.uncertain
}

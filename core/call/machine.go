package call

import "time"

// MaxAttempts is the largest number of targets that one request may reach.
const MaxAttempts = 4

// MaxSends is the largest number of gates that one request is sent to. Most
// refuse before it reaches a target.
const MaxSends = 8

// DefaultRetryAfter is when a refused caller may come back if no gate has said
// more.
const DefaultRetryAfter = time.Second

// maxCrashes is how many targets a request that may be repeated may crash.
const maxCrashes = 2

// stage is how far an attempt has come.
type stage uint8

const (
	stageSent stage = iota
	stageGranted
	// stageCommitted attempts may have run.
	stageCommitted
	stageOver
)

// Call is one request on its way. Set the exported fields before the first
// Update. A Call is used by one goroutine at a time.
type Call struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// Keyed requests carry an idempotency key that has to be claimed.
	Keyed bool
	// Retries and Hedges bound the extra attempts.
	Retries *Budget
	Hedges  *Budget
	// MaxAttempts bounds the targets that the request may reach; 0 stands for
	// the constant of this name.
	MaxAttempts int

	attempts []stage
	// spared counts the attempts that certainly reached no target.
	spared   int
	started  bool
	choosing bool
	claimed  bool
	claiming bool
	granted  int
	// uncertain says that an attempt was lost or given up after its commit.
	uncertain bool
	crashes   int
	relayed   int
	// fallback is the attempt whose failing answer is in hand, or -1.
	fallback   int
	finished   bool
	retryAfter time.Duration
	lastReason Problem
}

// Update takes one event and returns what has to be done because of it.
func (call *Call) Update(event Event) []Effect {
	switch {
	case call.finished:
		return call.afterwards(event)
	case call.started && call.relayed >= 0:
		return call.whileRelaying(event)
	}
	switch event := event.(type) {
	case Arrived:
		call.started = true
		call.relayed = -1
		call.granted = -1
		call.fallback = -1
		return call.choose()
	case Chosen:
		return call.send(event.Target)
	case NoneLeft:
		return call.noneLeft()
	case Granted:
		return call.grant(event.Attempt)
	case Refused:
		return call.refuse(event)
	case Lost:
		return call.lose(event)
	case Answered:
		return call.answer(event.Attempt)
	case Failing:
		return call.failing(event.Attempt)
	case ClaimGranted:
		return call.claimGranted()
	case ClaimRefused:
		return call.claimRefused(event)
	case HedgeDue:
		return call.hedge()
	case DeadlinePassed:
		return call.giveUp(ProblemDeadline)
	case CallerLeft:
		return call.giveUp(ProblemLost)
	default:
		return nil
	}
}

// whileRelaying handles what arrives while an answer goes to the caller: its
// end, or the end of the caller's patience. The other attempts are over.
func (call *Call) whileRelaying(event Event) []Effect {
	switch event.(type) {
	case Relayed:
		return call.endRelay()
	case DeadlinePassed, CallerLeft:
		return append([]Effect{Withdraw{Attempt: call.relayed}}, call.endRelay()...)
	default:
		return nil
	}
}

// afterwards handles what arrives when the caller has been told the end: a
// claim granted too late is given back.
func (call *Call) afterwards(event Event) []Effect {
	if _, granted := event.(ClaimGranted); granted && call.claiming {
		call.claiming = false
		return []Effect{ReleaseClaim{}}
	}
	return nil
}

func (call *Call) choose() []Effect {
	call.choosing = true
	return []Effect{Choose{}}
}

func (call *Call) send(target string) []Effect {
	if !call.choosing {
		return nil
	}
	call.choosing = false
	attempt := len(call.attempts)
	first := stageCommitted
	if !call.Repeatable {
		first = stageSent
	}
	call.attempts = append(call.attempts, first)
	return []Effect{Send{Attempt: attempt, Target: target, Reserve: !call.Repeatable}}
}

// noneLeft ends the call unless another attempt is still under way.
func (call *Call) noneLeft() []Effect {
	if !call.choosing {
		return nil
	}
	call.choosing = false
	if call.underWay() {
		return nil
	}
	problem := call.lastReason
	if problem == "" {
		problem = ProblemNoTarget
	}
	return call.finish(problem)
}

func (call *Call) underWay() bool {
	for _, stage := range call.attempts {
		if stage != stageOver {
			return true
		}
	}
	return call.choosing
}

// grant goes on with a reserved attempt: a keyed request is claimed first.
func (call *Call) grant(attempt int) []Effect {
	if !call.at(attempt, stageSent) {
		return nil
	}
	if call.granted >= 0 {
		call.attempts[attempt] = stageOver
		return []Effect{Withdraw{Attempt: attempt}}
	}
	call.attempts[attempt] = stageGranted
	call.granted = attempt
	switch {
	case call.claiming:
		return nil
	case call.Keyed && !call.claimed:
		call.claiming = true
		return []Effect{Claim{}}
	default:
		return call.commit()
	}
}

func (call *Call) commit() []Effect {
	call.attempts[call.granted] = stageCommitted
	effects := []Effect{Commit{Attempt: call.granted}}
	for other, stage := range call.attempts {
		if stage == stageSent {
			call.attempts[other] = stageOver
			effects = append(effects, Withdraw{Attempt: other})
		}
	}
	return effects
}

func (call *Call) claimGranted() []Effect {
	call.claiming = false
	call.claimed = true
	if call.granted < 0 {
		return nil
	}
	return call.commit()
}

// hedge asks a second target while the first is late. A request that may not
// be repeated is hedged only while nothing is committed.
func (call *Call) hedge() []Effect {
	single := call.openAttempts() == 1 && !call.choosing
	if !single || call.claiming {
		return nil
	}
	if !call.Repeatable && call.granted >= 0 {
		return nil
	}
	if call.reached() >= call.maxAttempts() || !call.Hedges.Take() {
		return nil
	}
	return call.choose()
}

func (call *Call) openAttempts() int {
	count := 0
	for _, stage := range call.attempts {
		if stage != stageOver {
			count++
		}
	}
	return count
}

func (call *Call) at(attempt int, wanted stage) bool {
	return attempt >= 0 && attempt < len(call.attempts) && call.attempts[attempt] == wanted
}

func (call *Call) open(attempt int) bool {
	return attempt >= 0 && attempt < len(call.attempts) && call.attempts[attempt] != stageOver
}

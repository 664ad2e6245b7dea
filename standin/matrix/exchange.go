package matrix

import (
	"fmt"
	"time"

	"ibislift/core/admit"
	"ibislift/core/call"
	"ibislift/core/kernel"
	"ibislift/standin/fleet"
)

// Times of an entry.
const (
	hedgeDelay   = 50 * time.Millisecond
	clerkTimeout = 500 * time.Millisecond
	pollTime     = 5 * time.Millisecond
)

// exchange is one request at its entry.
type exchange struct {
	world    *world
	node     *fleet.Node
	request  string
	key      string
	machine  call.Call
	deadline time.Time
	targets  []string
	// sentTo and places say where each attempt is.
	sentTo   []*server
	places   map[int]uint64
	finish   *call.Finish
	relayed  bool
	toldAt   time.Time
	watched  bool
	claiming bool
}

// begin takes a request in at an entry. Targets are tried in their order.
func (world *world) begin(entry, key string, targets []string, watched bool) *exchange {
	world.token++
	exchange := &exchange{
		world: world, node: world.fleet.Nodes[entry], key: key,
		request: fmt.Sprintf("%s-%d", entry, world.token),
		machine: call.Call{
			Keyed:   true,
			Retries: &call.Budget{Burst: 10},
			Hedges:  &call.Budget{Burst: 10},
		},
		deadline: world.fleet.Now.Add(deadline),
		targets:  targets, places: map[int]uint64{}, watched: watched,
	}
	world.fleet.At(exchange.node, 0, func() {
		exchange.apply(call.RequestArrived{})
		world.fleet.At(exchange.node, hedgeDelay, func() { exchange.apply(call.HedgeDue{}) })
		world.fleet.At(exchange.node, deadline, func() { exchange.apply(call.DeadlinePassed{}) })
	})
	return exchange
}

// told says whether the caller has got a word or an answer.
func (exchange *exchange) told() bool { return exchange.finish != nil || exchange.relayed }

func (exchange *exchange) reach(step Step) {
	if exchange.watched {
		exchange.world.reached(step, exchange)
	}
}

func (exchange *exchange) apply(event call.Event) {
	for _, effect := range exchange.machine.Update(event) {
		exchange.perform(effect)
	}
}

func (exchange *exchange) perform(effect call.Effect) {
	switch effect := effect.(type) {
	case call.ChooseTarget:
		exchange.choose()
	case call.Send:
		exchange.send(effect)
	case call.ClaimKey:
		exchange.claiming = true
		exchange.claim(0)
	case call.ReleaseClaim:
		exchange.closeClaim(true)
	case call.CompleteClaim:
		exchange.closeClaim(false)
	case call.Commit:
		exchange.commit(effect.Attempt)
	case call.Cancel:
		exchange.withdraw(effect.Attempt)
	case call.Relay:
		exchange.relayed = true
		exchange.toldAt = exchange.world.fleet.Now
		exchange.apply(call.ResponseRelayed{})
		exchange.reach(StepAfterAnswer)
	case call.Finish:
		exchange.finish = &effect
		exchange.toldAt = exchange.world.fleet.Now
	}
}

func (exchange *exchange) choose() {
	if len(exchange.targets) == 0 {
		exchange.apply(call.NoTargetLeft{})
		return
	}
	target := exchange.targets[0]
	exchange.targets = exchange.targets[1:]
	exchange.apply(call.TargetChosen{Target: target})
}

// send sends an attempt, and watches over its connection.
func (exchange *exchange) send(send call.Send) {
	world := exchange.world
	target := world.servers[send.Target]
	exchange.sentTo = append(exchange.sentTo, target)
	exchange.reach(StepBeforeAdmission)
	world.carry(exchange.node, target.node, func() { world.admit(target, exchange, send.Attempt, send.Reserve) })
	exchange.guard(send.Attempt, world.fleet.Now)
}

// guard notices that the gate of an attempt has died or cannot be reached.
func (exchange *exchange) guard(attempt int, heard time.Time) {
	world := exchange.world
	target := exchange.sentTo[attempt]
	world.fleet.At(exchange.node, resetTime, func() {
		if exchange.told() {
			return
		}
		reachable := world.fleet.Arrives(exchange.node, target.node) && world.fleet.Arrives(target.node, exchange.node)
		switch {
		case target.node.Stopped:
			exchange.apply(call.AttemptLost{Attempt: attempt})
		case reachable:
			exchange.guard(attempt, world.fleet.Now)
		case world.fleet.Now.Sub(heard) >= silenceTime:
			exchange.apply(call.AttemptLost{Attempt: attempt})
		default:
			exchange.guard(attempt, heard)
		}
	})
}

func (exchange *exchange) granted(attempt int) {
	exchange.reach(StepGranted)
	exchange.apply(call.SlotGranted{Attempt: attempt})
}

func (exchange *exchange) refused(attempt int, retryAfter time.Duration) {
	exchange.apply(call.AttemptRefused{Attempt: attempt, RetryAfter: retryAfter})
}

func (exchange *exchange) lost(attempt int, crashed bool) {
	exchange.apply(call.AttemptLost{Attempt: attempt, Crashed: crashed})
}

func (exchange *exchange) answered(attempt int, failing bool) {
	if failing {
		exchange.apply(call.ServerErrorReceived{Attempt: attempt})
		return
	}
	exchange.apply(call.ResponseStarted{Attempt: attempt})
}

func (exchange *exchange) commit(attempt int) {
	world := exchange.world
	target := exchange.sentTo[attempt]
	exchange.reach(StepCommitted)
	world.carry(exchange.node, target.node, func() {
		world.apply(target, admit.Committed{ID: exchange.places[attempt], At: world.fleet.Now})
	})
}

func (exchange *exchange) withdraw(attempt int) {
	world := exchange.world
	target := exchange.sentTo[attempt]
	world.carry(exchange.node, target.node, func() {
		world.apply(target, admit.Cancelled{ID: exchange.places[attempt], At: world.fleet.Now})
	})
}

// clerks are the clerks of the key's partition, as the entry knows them.
func (exchange *exchange) clerks() []string {
	if view := exchange.node.View; len(view.ClaimCoordinators) > 0 {
		return view.ClaimCoordinators[0]
	}
	return nil
}

// claim asks a clerk for the key, and the next one if it does not answer.
func (exchange *exchange) claim(turn int) {
	clerks := exchange.clerks()
	if turn >= len(clerks) {
		exchange.claimAnswered(call.ClaimRefused{})
		return
	}
	world := exchange.world
	clerk := world.fleet.Nodes[clerks[turn]]
	world.token++
	token := world.token
	world.carry(exchange.node, clerk, func() {
		world.fleet.Tell(clerk.Settings.Self, kernel.ClaimRequested{
			Token: token, Key: exchange.key, RequestID: exchange.request, TakeOver: turn > 0,
		})
	})
	exchange.awaitClaim(clerk, token, turn, world.fleet.Now)
}

func (exchange *exchange) awaitClaim(clerk *fleet.Node, token uint64, turn int, asked time.Time) {
	world := exchange.world
	world.fleet.At(exchange.node, pollTime, func() {
		result, answered := clerk.Claims[token]
		answered = answered && world.fleet.Arrives(clerk, exchange.node) && !clerk.Stopped
		switch {
		case answered && result.Status == kernel.ClaimNotCoordinator, world.fleet.Now.Sub(asked) >= clerkTimeout:
			exchange.claim(turn + 1)
		case answered:
			exchange.claimAnswered(claimEvent(result))
		default:
			exchange.awaitClaim(clerk, token, turn, asked)
		}
	})
}

func claimEvent(result kernel.ClaimResult) call.Event {
	switch result.Status {
	case kernel.ClaimGranted:
		return call.ClaimGranted{}
	case kernel.ClaimAlreadyRun:
		return call.ClaimRefused{Held: true, HolderOutcome: call.OutcomeRun}
	case kernel.ClaimOutcomeUnknown:
		return call.ClaimRefused{Held: true, HolderOutcome: call.OutcomeUnknown}
	default:
		return call.ClaimRefused{}
	}
}

func (exchange *exchange) claimAnswered(event call.Event) {
	exchange.claiming = false
	if _, granted := event.(call.ClaimGranted); granted {
		exchange.reach(StepClaimWritten)
	}
	exchange.apply(event)
}

func (exchange *exchange) closeClaim(released bool) {
	world := exchange.world
	for _, name := range exchange.clerks() {
		clerk := world.fleet.Nodes[name]
		world.carry(exchange.node, clerk, func() {
			world.fleet.Tell(name, kernel.ClaimClosed{Key: exchange.key, RequestID: exchange.request, Released: released})
		})
	}
}

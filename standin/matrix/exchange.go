package matrix

import (
	"fmt"
	"time"

	"ibislift/core/admit"
	"ibislift/core/call"
	"ibislift/core/kernel"
	"ibislift/standin/fleet"
)

// The timing of an ingress.
const (
	hedgeDelay         = 50 * time.Millisecond
	coordinatorTimeout = 500 * time.Millisecond
	pollInterval       = 5 * time.Millisecond
)

// exchange is one request at its ingress.
type exchange struct {
	simulation *simulation
	node       *fleet.Node
	request    string
	key        string
	machine    call.Call
	deadline   time.Time
	targets    []string
	// attemptServers holds the target of each attempt, and gateIDs its ID at the
	// gate.
	attemptServers []*server
	gateIDs        map[int]uint64
	finish         *call.Finish
	relayed        bool
	respondedAt    time.Time
	underTest      bool
}

// startRequest sends a request to an ingress, which tries the targets in order.
func (simulation *simulation) startRequest(ingress, key string, targets []string, underTest bool) *exchange {
	simulation.token++
	exchange := &exchange{
		simulation: simulation, node: simulation.fleet.Nodes[ingress], key: key,
		request: fmt.Sprintf("%s-%d", ingress, simulation.token),
		machine: call.Call{
			Keyed:   true,
			Retries: &call.Budget{Burst: 10},
			Hedges:  &call.Budget{Burst: 10},
		},
		deadline: simulation.fleet.Now.Add(deadline),
		targets:  targets, gateIDs: map[int]uint64{}, underTest: underTest,
	}
	simulation.fleet.ScheduleOn(exchange.node, 0, func() {
		exchange.apply(call.RequestArrived{})
		simulation.fleet.ScheduleOn(exchange.node, hedgeDelay, func() { exchange.apply(call.HedgeDue{}) })
		simulation.fleet.ScheduleOn(exchange.node, deadline, func() { exchange.apply(call.DeadlinePassed{}) })
	})
	return exchange
}

// responded reports whether the caller has received the upstream's response or
// an error.
func (exchange *exchange) responded() bool { return exchange.finish != nil || exchange.relayed }

func (exchange *exchange) reachStep(step Step) {
	if exchange.underTest {
		exchange.simulation.onStep(step, exchange)
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
		exchange.claim(0)
	case call.ReleaseClaim:
		exchange.closeClaim(true)
	case call.CompleteClaim:
		exchange.closeClaim(false)
	case call.Commit:
		exchange.commit(effect.Attempt)
	case call.Cancel:
		exchange.cancel(effect.Attempt)
	case call.Relay:
		exchange.relayed = true
		exchange.respondedAt = exchange.simulation.fleet.Now
		exchange.apply(call.ResponseRelayed{})
		exchange.reachStep(StepAfterResponse)
	case call.Finish:
		exchange.finish = &effect
		exchange.respondedAt = exchange.simulation.fleet.Now
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

// send sends an attempt and monitors its connection.
func (exchange *exchange) send(send call.Send) {
	simulation := exchange.simulation
	target := simulation.servers[send.Target]
	exchange.attemptServers = append(exchange.attemptServers, target)
	exchange.reachStep(StepBeforeAdmission)
	simulation.transmit(exchange.node, target.node, func() { simulation.admit(target, exchange, send.Attempt, send.Reserve) })
	exchange.monitor(send.Attempt, simulation.fleet.Now)
}

// monitor reports the attempt as lost when the daemon of its gate has died or
// has been unreachable since lastContact for too long.
func (exchange *exchange) monitor(attempt int, lastContact time.Time) {
	simulation := exchange.simulation
	target := exchange.attemptServers[attempt]
	simulation.fleet.ScheduleOn(exchange.node, resetDelay, func() {
		if exchange.responded() {
			return
		}
		reachable := simulation.fleet.CanReach(exchange.node, target.node) && simulation.fleet.CanReach(target.node, exchange.node)
		switch {
		case target.node.Stopped:
			exchange.apply(call.AttemptLost{Attempt: attempt})
		case reachable:
			exchange.monitor(attempt, simulation.fleet.Now)
		case simulation.fleet.Now.Sub(lastContact) >= silenceTimeout:
			exchange.apply(call.AttemptLost{Attempt: attempt})
		default:
			exchange.monitor(attempt, lastContact)
		}
	})
}

func (exchange *exchange) slotGranted(attempt int) {
	exchange.reachStep(StepGranted)
	exchange.apply(call.SlotGranted{Attempt: attempt})
}

func (exchange *exchange) attemptRefused(attempt int, retryAfter time.Duration) {
	exchange.apply(call.AttemptRefused{Attempt: attempt, RetryAfter: retryAfter})
}

func (exchange *exchange) attemptLost(attempt int, crashed bool) {
	exchange.apply(call.AttemptLost{Attempt: attempt, Crashed: crashed})
}

func (exchange *exchange) responseReceived(attempt int, failing bool) {
	if failing {
		exchange.apply(call.ServerErrorReceived{Attempt: attempt})
		return
	}
	exchange.apply(call.ResponseStarted{Attempt: attempt})
}

func (exchange *exchange) commit(attempt int) {
	simulation := exchange.simulation
	target := exchange.attemptServers[attempt]
	exchange.reachStep(StepCommitted)
	simulation.transmit(exchange.node, target.node, func() {
		simulation.apply(target, admit.Committed{ID: exchange.gateIDs[attempt], At: simulation.fleet.Now})
	})
}

func (exchange *exchange) cancel(attempt int) {
	simulation := exchange.simulation
	target := exchange.attemptServers[attempt]
	simulation.transmit(exchange.node, target.node, func() {
		simulation.apply(target, admit.Cancelled{ID: exchange.gateIDs[attempt], At: simulation.fleet.Now})
	})
}

// coordinators returns the claim coordinators of the key's partition that the
// ingress knows of.
func (exchange *exchange) coordinators() []string {
	if view := exchange.node.View; len(view.ClaimCoordinators) > 0 {
		return view.ClaimCoordinators[0]
	}
	return nil
}

// claim requests the claim from the coordinator of a rank, and from the next one
// if it does not reply or is not the coordinator.
func (exchange *exchange) claim(rank int) {
	coordinators := exchange.coordinators()
	if rank >= len(coordinators) {
		exchange.handleClaimResult(call.ClaimRefused{})
		return
	}
	simulation := exchange.simulation
	coordinator := simulation.fleet.Nodes[coordinators[rank]]
	simulation.token++
	token := simulation.token
	simulation.transmit(exchange.node, coordinator, func() {
		simulation.fleet.Deliver(coordinator.Settings.Self, kernel.ClaimRequested{
			Token: token, Key: exchange.key, RequestID: exchange.request, TakeOver: rank > 0,
		})
	})
	exchange.awaitClaim(coordinator, token, rank, simulation.fleet.Now)
}

func (exchange *exchange) awaitClaim(coordinator *fleet.Node, token uint64, rank int, requestedAt time.Time) {
	simulation := exchange.simulation
	simulation.fleet.ScheduleOn(exchange.node, pollInterval, func() {
		result, replied := coordinator.ClaimResults[token]
		replied = replied && simulation.fleet.CanReach(coordinator, exchange.node) && !coordinator.Stopped
		switch {
		case replied && result.Status == kernel.ClaimNotCoordinator, simulation.fleet.Now.Sub(requestedAt) >= coordinatorTimeout:
			exchange.claim(rank + 1)
		case replied:
			exchange.handleClaimResult(claimEvent(result))
		default:
			exchange.awaitClaim(coordinator, token, rank, requestedAt)
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

func (exchange *exchange) handleClaimResult(event call.Event) {
	if _, granted := event.(call.ClaimGranted); granted {
		exchange.reachStep(StepClaimWritten)
	}
	exchange.apply(event)
}

func (exchange *exchange) closeClaim(released bool) {
	simulation := exchange.simulation
	for _, name := range exchange.coordinators() {
		coordinator := simulation.fleet.Nodes[name]
		simulation.transmit(exchange.node, coordinator, func() {
			simulation.fleet.Deliver(name, kernel.ClaimClosed{Key: exchange.key, RequestID: exchange.request, Released: released})
		})
	}
}

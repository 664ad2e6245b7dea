package play

import (
	"time"

	"ibislift/core/withdraw"
)

// claimDelay is how long it takes until all daemons of a zone know a claim: records are
// spread at most every 25 to 100 ms, and taken over with the next tick.
const claimDelay = 200 * time.Millisecond

// Callers stop to use a daemon after missedChecks consecutive readiness checks that it
// failed, unless fewer than half of the daemons of the zone are in service.
const (
	checkInterval = time.Second
	missedChecks  = 2
)

// readiness is whether callers use a daemon.
type readiness struct {
	decision withdraw.Decision
	// claim is the order of the daemon's claim as the others know it.
	claim uint64
	// missed is the number of consecutive readiness checks that the daemon has failed.
	missed int
}

func (readiness *readiness) inService() bool { return readiness.missed < missedChecks }

// watchReadiness starts the readiness checks of all daemons and their measurements of the
// time that they add, if the policy lets them withdraw. The daemons have run for an hour.
func (simulation *simulation) watchReadiness() {
	if simulation.policy.WithdrawAfter == 0 {
		return
	}
	for index, daemon := range simulation.daemons {
		daemon.readiness.decision = withdraw.Decision{Name: daemon.name, After: simulation.policy.WithdrawAfter}
		daemon.readiness.decision.Tick(simulation.clock.now.Add(-time.Hour), nil, true)
		daemon.sampleTimerLateness()
		daemon.tickReadiness()
		offset := checkInterval * time.Duration(index) / time.Duration(len(simulation.daemons))
		simulation.clock.runAfter(offset, daemon.checkReadiness)
	}
}

func (daemon *daemon) sampleTimerLateness() {
	late := daemon.addedTime
	daemon.simulation.clock.runAfter(withdraw.SampleInterval+late, func() {
		daemon.readiness.decision.RecordTimerLateness(daemon.simulation.clock.now, late)
		daemon.sampleTimerLateness()
	})
}

func (daemon *daemon) tickReadiness() {
	simulation := daemon.simulation
	var members []withdraw.Member
	for _, other := range simulation.daemons {
		if other.zone == daemon.zone {
			members = append(members, withdraw.Member{Name: other.name, Order: other.readiness.claim, Available: true})
		}
	}
	if daemon.readiness.decision.Tick(simulation.clock.now, members, true) {
		claim := daemon.readiness.decision.Order()
		simulation.clock.runAfter(claimDelay, func() { daemon.readiness.claim = claim })
	}
	simulation.clock.runAfter(gateTickInterval*2, daemon.tickReadiness)
}

// checkReadiness makes one readiness check of the platform and schedules the next.
func (daemon *daemon) checkReadiness() {
	daemon.readiness.missed++
	if !daemon.simulation.clock.now.Before(daemon.readiness.decision.Until()) {
		daemon.readiness.missed = 0
	}
	daemon.simulation.clock.runAfter(checkInterval, daemon.checkReadiness)
}

// inService returns the daemons that callers use: those in service, or all of them if fewer
// than half are.
func inService(daemons []*daemon) []*daemon {
	var found []*daemon
	for _, daemon := range daemons {
		if daemon.readiness.inService() {
			found = append(found, daemon)
		}
	}
	if 2*len(found) < len(daemons) {
		return daemons
	}
	return found
}

// afterAddedTime calls a function after the time that the daemon adds to each step of a
// request.
func (daemon *daemon) afterAddedTime(do func()) {
	if daemon.addedTime == 0 {
		do()
		return
	}
	daemon.simulation.clock.runAfter(daemon.addedTime, do)
}

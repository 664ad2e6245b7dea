package play

import (
	"math"
	"slices"

	"ibislift/core/call"
	"ibislift/core/kernel"
)

// recordCallerLeft notifies the exchange that its caller has left.
func (exchange *exchange) recordCallerLeft() { exchange.apply(call.CallerLeft{}) }

// injectFault starts a fault and schedules its end.
func (simulation *simulation) injectFault(fault Fault) {
	stop := simulation.startFault(fault)
	simulation.clock.runAfter(seconds(fault.DurationSeconds), stop)
}

// startFault starts a fault and returns a function that ends it.
func (simulation *simulation) startFault(fault Fault) (stop func()) {
	switch fault.Kind {
	case "burst":
		simulation.burstFactors[fault.Zone] = fault.Factor
		return func() { delete(simulation.burstFactors, fault.Zone) }
	case "surge":
		simulation.surges = append(simulation.surges, &fault)
		return func() {
			simulation.surges = slices.DeleteFunc(simulation.surges, func(surge *Fault) bool { return surge == &fault })
		}
	case "shift":
		simulation.shiftedShares[fault.Zone] = fault.Share
		return func() { delete(simulation.shiftedShares, fault.Zone) }
	case "leaveEarly":
		simulation.earlyLeaverShare = fault.Share
		return func() { simulation.earlyLeaverShare = 0 }
	case "impatient":
		simulation.impatientShare, simulation.impatientFactor = fault.Share, fault.Factor
		return func() { simulation.impatientShare, simulation.impatientFactor = 0, 1 }
	case "staleReports":
		simulation.reportsLost = true
		return func() { simulation.reportsLost = false }
	default:
		return simulation.startTargetFault(fault)
	}
}

// startTargetFault starts a fault of a share of the targets and returns a
// function that ends it.
func (simulation *simulation) startTargetFault(fault Fault) (stop func()) {
	var affected []*daemon
	for _, daemon := range simulation.daemons {
		if (fault.Service == "" || daemon.upstream.service.Name == fault.Service) && (fault.Zone == "" || daemon.zone.Name == fault.Zone) {
			affected = append(affected, daemon)
		}
	}
	simulation.trafficRandom.Shuffle(len(affected), func(i, j int) { affected[i], affected[j] = affected[j], affected[i] })
	affected = affected[:int(math.Ceil(fault.Share*float64(len(affected))))]
	changeAll := func(change func(*upstreamModel)) func() {
		for _, daemon := range affected {
			change(daemon.upstream)
		}
		return func() {}
	}
	changeFactor := func(change func(*upstreamModel, float64), normal float64) func() {
		changeAll(func(upstream *upstreamModel) { change(upstream, fault.Factor) })
		return func() { changeAll(func(upstream *upstreamModel) { change(upstream, normal) }) }
	}
	switch fault.Kind {
	case "slow":
		return changeFactor(func(upstream *upstreamModel, factor float64) { upstream.slowFactor = factor }, 1)
	case "failing":
		return changeFactor(func(upstream *upstreamModel, factor float64) { upstream.failureRate = factor }, 0)
	case "slowDaemon":
		for _, daemon := range affected {
			daemon.addedTime = milliseconds(fault.Factor)
		}
		return func() {
			for _, daemon := range affected {
				daemon.addedTime = 0
			}
		}
	case "shedding":
		return changeFactor(func(upstream *upstreamModel, factor float64) { upstream.refusalRate = factor }, 0)
	case "hanging":
		return changeFactor(func(upstream *upstreamModel, factor float64) { upstream.hangRate = factor }, 0)
	case "lostAnswers":
		return changeFactor(func(upstream *upstreamModel, factor float64) { upstream.lossRate = factor }, 0)
	case "limited":
		changeAll(func(upstream *upstreamModel) { upstream.nameLimit(&fault.Factor) })
		return func() { changeAll(func(upstream *upstreamModel) { upstream.nameLimit(nil) }) }
	case "lyingHealth":
		changeAll(func(upstream *upstreamModel) { upstream.falselyHealthy = true })
		return func() { changeAll(func(upstream *upstreamModel) { upstream.falselyHealthy = false }) }
	default: // crash
		for _, daemon := range affected {
			daemon.upstream.crash()
			simulation.clock.runAfter(membershipDelay, func() { simulation.updateMembership(daemon, false) })
		}
		return func() {
			for _, daemon := range affected {
				daemon.upstream.restart()
				daemon.receiveHeartbeat()
				simulation.clock.runAfter(membershipDelay, func() { simulation.updateMembership(daemon, true) })
			}
		}
	}
}

// updateMembership adds a target to the members that all daemons know, or removes
// it.
func (simulation *simulation) updateMembership(daemon *daemon, up bool) {
	service := daemon.upstream.service.Name
	var members []kernel.Member
	for _, member := range simulation.members[service] {
		if member.ID != daemon.name {
			members = append(members, member)
		}
	}
	if up {
		members = append(members, daemon.member())
	}
	simulation.members[service] = members
}

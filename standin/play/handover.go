package play

import (
	"slices"
	"time"

	"ibislift/core/admit"
)

// useRecord counts the requests of a target by how many of its slots were in use when it had
// accepted them.
type useRecord struct {
	// highest is the highest number of requests that ran or were queued.
	highest int
	// aboveHeadroom counts the requests that made more slots than those without the headroom
	// busy, and full those that found no free slot.
	aboveHeadroom int
	full          int
	// lastAbove is when aboveHeadroom last rose.
	lastAbove time.Time
	// heldInVain counts the requests that were handed over while the gate held more slots for
	// cancelled runs than there were.
	heldInVain int
}

// recordHeld compares the slots that the gate holds for cancelled runs with those runs.
func (daemon *daemon) recordHeld() {
	held := daemon.gate.LoadForClass(daemon.simulation.clock.now, "").CancelledRuns
	for _, run := range slices.Concat(daemon.upstream.running, daemon.upstream.waiting) {
		if run.cancelled {
			held--
		}
	}
	if held > 0 {
		daemon.upstream.use.heldInVain++
	}
}

// recordUse records the use of the slots after a request was accepted.
func (upstream *upstreamModel) recordUse() {
	use, count := &upstream.use, len(upstream.running)+len(upstream.waiting)
	use.highest = max(use.highest, count)
	if float64(count) > float64(upstream.service.Slots)*(1-upstream.headroom) {
		use.aboveHeadroom++
		use.lastAbove = upstream.clock.now
	}
	if count > upstream.service.Slots {
		use.full++
	}
}

// reportLoad passes the load that the target reports, in the response to a request or, if id is
// 0, to a probe that was sent at from, to the gate.
func (daemon *daemon) reportLoad(id uint64, from time.Time) {
	if daemon.simulation.policy.IgnoreReportedLoad {
		return
	}
	daemon.update(admit.LoadReported{
		At: daemon.simulation.clock.now, From: from, ID: id,
		Running: len(daemon.upstream.running), Queued: len(daemon.upstream.waiting),
	})
}

// measureLoad probes the target for the number of requests that it runs.
func (daemon *daemon) measureLoad() {
	daemon.simulation.report.LoadProbes++
	sentAt := daemon.simulation.clock.now
	daemon.upstream.countCold()
	daemon.simulation.clock.runAfter(milliseconds(daemon.upstream.service.ProbeTime), func() {
		if !daemon.upstream.down {
			daemon.reportLoad(0, sentAt)
		}
	})
}

// cancelRun gives up a request that was handed over.
func (daemon *daemon) cancelRun(id uint64, run *run) {
	if daemon.upstream.service.RunsCancelled {
		run.cancelled = true
		run.onEnd = func(outcome) { daemon.simulation.recordWastedWork(run) }
	} else {
		daemon.upstream.release(run)
		daemon.simulation.recordWastedWork(run)
	}
	if daemon.simulation.policy.UseGates {
		daemon.update(admit.Finished{ID: id, At: daemon.simulation.clock.now, Failed: true, Cancelled: true})
	}
}

// recordUse adds the use of a target's slots to the report.
func (report *Report) recordUse(upstream *upstreamModel, startedAt time.Time) {
	if upstream.use.aboveHeadroom > 0 {
		report.LastAbove = max(report.LastAbove, upstream.use.lastAbove.Sub(startedAt))
	}
	report.AboveHeadroom += upstream.use.aboveHeadroom
	report.FoundFull += upstream.use.full
	report.HeldInVain += upstream.use.heldInVain
	report.HighestUse = max(report.HighestUse, float64(upstream.use.highest)/float64(upstream.service.Slots))
}

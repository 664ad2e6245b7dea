package play

import (
	"math/rand/v2"
	"time"

	"ibislift/core/admit"
	"ibislift/core/call"
	"ibislift/core/kernel"
	"ibislift/core/pick"
	"ibislift/core/route"
)

// gateTickInterval is how often a gate checks for expired requests.
const gateTickInterval = 50 * time.Millisecond

// daemon simulates a daemon with its target. It receives requests from callers,
// and its gate admits requests to the target.
type daemon struct {
	simulation *simulation
	name       string
	// zone is the data centre of the daemon.
	zone     *Zone
	upstream *upstreamModel

	gate         admit.Gate
	arrivals     map[uint64]*arrival
	nextID       uint64
	lastReported admit.Load
	reportedAt   time.Time
	subscribers  map[*daemon]*subscriber
	// woken is set while a tick is due because of the rate limit.
	woken bool

	trackers     map[string]*route.Tracker
	budgets      map[string]*call.Budget
	runCalls     call.RunCalls
	routePolicy  route.Policy
	ageEstimator pick.AgeEstimator

	// addedTime is how late the daemon handles each step of a request: the request of a
	// caller, an attempt at its gate, and the responses on the way back.
	addedTime time.Duration
	readiness readiness
}

// subscriber is an ingress that receives load reports.
type subscriber struct {
	requestedAt, reportedAt time.Time
	reportPending           bool
}

// arrival is an attempt that has arrived at its target's gate.
type arrival struct {
	attempt *attempt
	run     *run
}

func newDaemon(simulation *simulation, name string, zone *Zone, service *Service, random *rand.Rand) *daemon {
	policy, err := route.New(simulation.policy.RoutePolicy)
	if err != nil {
		panic("play: " + err.Error())
	}
	daemon := &daemon{
		simulation: simulation, name: name, zone: zone, routePolicy: policy,
		upstream: &upstreamModel{clock: &simulation.clock, random: random, service: service, headroom: simulation.scenario.Headroom, startedAt: simulation.clock.now.Add(-time.Hour)},
		arrivals: map[uint64]*arrival{}, subscribers: map[*daemon]*subscriber{},
		trackers: map[string]*route.Tracker{}, budgets: map[string]*call.Budget{},
	}
	daemon.gate.Headroom = simulation.scenario.Headroom
	daemon.gate.Order = simulation.policy.QueueOrder
	daemon.gate.HoldCancelledRuns = true
	daemon.gate.MaxSlownessAge = simulation.policy.MaxSlownessAge
	daemon.update(admit.Resized{At: simulation.clock.now, Slots: service.Slots, QueueBound: simulation.policy.QueueBound})
	daemon.upstream.start()
	daemon.reportLoad(0, simulation.clock.now) // a daemon probes its target at its start
	daemon.sendHeartbeats()
	daemon.tick()
	return daemon
}

func (daemon *daemon) tick() {
	daemon.update(admit.Ticked{At: daemon.simulation.clock.now})
	daemon.simulation.clock.runAfter(gateTickInterval, daemon.tick)
}

func (daemon *daemon) tracker(service string) *route.Tracker {
	if daemon.trackers[service] == nil {
		daemon.trackers[service] = &route.Tracker{}
	}
	return daemon.trackers[service]
}

// budget returns the daemon's share of a service's retry budget, or nil if the
// policy does not retry.
func (daemon *daemon) budget(service string) *call.Budget {
	if !daemon.simulation.policy.Retries {
		return nil
	}
	if daemon.budgets[service] == nil {
		sharedBudget := &call.SharedBudget{Ratio: daemon.simulation.scenario.RetryRatio, Slack: daemon.simulation.scenario.RetrySlack}
		daemon.budgets[service] = &call.Budget{}
		sharedBudget.AssignShare(daemon.budgets[service], len(daemon.simulation.daemons))
	}
	return daemon.budgets[service]
}

// runningExcept returns how many requests of other classes run on the target.
func (daemon *daemon) runningExcept(class *Class) int {
	running := 0
	for _, arrival := range daemon.arrivals {
		if arrival.run != nil && arrival.attempt.exchange.class != class {
			running++
		}
	}
	return running
}

// wake ticks the gate after a time, unless that is about to happen anyway.
func (daemon *daemon) wake(after time.Duration) {
	if daemon.woken {
		return
	}
	daemon.woken = true
	daemon.simulation.clock.runAfter(after, func() {
		daemon.woken = false
		daemon.update(admit.Ticked{At: daemon.simulation.clock.now})
	})
}

// arrive passes an attempt to the gate or, without a gate, to the target.
func (daemon *daemon) arrive(attempt *attempt) {
	exchange := attempt.exchange
	now := daemon.simulation.clock.now
	daemon.nextID++
	attempt.id = daemon.nextID
	daemon.arrivals[attempt.id] = &arrival{attempt: attempt}
	if !daemon.simulation.policy.UseGates {
		daemon.handOver(attempt.id)
		return
	}
	if existing := daemon.subscribers[exchange.ingress]; existing != nil {
		existing.requestedAt = now
	} else {
		daemon.subscribers[exchange.ingress] = &subscriber{requestedAt: now}
	}
	rank := exchange.workspace.rankOf(exchange.class)
	arrived := admit.Arrived{
		ID: attempt.id, At: now, Deadline: exchange.deadline, Important: rank == 0,
		Reserve: attempt.reserve, Rank: rank, Workspace: exchange.workspace.name(), Call: exchange.isCall, Class: exchange.class.Name, MaxDelay: attempt.maxDelay,
	}
	if daemon.simulation.policy.UseObjectives {
		arrived.Objective = exchange.objective
	}
	daemon.update(arrived)
	daemon.sendReports()
}

// update passes an event to the gate and performs the resulting effects.
func (daemon *daemon) update(event admit.Event) {
	for _, effect := range daemon.gate.Update(event) {
		switch effect := effect.(type) {
		case admit.Grant:
			daemon.reply(effect.ID, func(attempt *attempt) call.Event { return call.SlotGranted{Attempt: attempt.index} })
		case admit.HandOver:
			daemon.handOver(effect.ID)
		case admit.Refuse:
			daemon.replyRefused(effect.ID, effect.Reason, effect.RetryAfter, false)
		case admit.MeasureSlowness:
			daemon.measureSlowness()
		case admit.Wake:
			daemon.wake(effect.After)
		case admit.CheckAfter:
			daemon.simulation.clock.runAfter(effect.After, func() { daemon.update(admit.CheckDue{At: daemon.simulation.clock.now}) })
		case admit.MeasureLoad:
			daemon.measureLoad()
		}
	}
}

// measureSlowness probes the target for its current slowness.
func (daemon *daemon) measureSlowness() {
	daemon.simulation.report.Probes++
	if daemon.upstream.down {
		return
	}
	daemon.upstream.countCold()
	sentAt := daemon.simulation.clock.now
	daemon.simulation.clock.runAfter(milliseconds(daemon.upstream.service.ProbeTime), func() {
		daemon.reportLoad(0, sentAt)
		daemon.update(admit.SlownessReported{At: daemon.simulation.clock.now, Slowness: daemon.upstream.slowness()})
		daemon.sendReports()
	})
}

// reply sends an event of an attempt to its ingress, with the load of the gate.
func (daemon *daemon) reply(id uint64, event func(*attempt) call.Event) {
	arrival := daemon.arrivals[id]
	if arrival == nil {
		return
	}
	attempt := arrival.attempt
	load := daemon.gate.LoadForClass(daemon.simulation.clock.now, attempt.exchange.class.Name)
	latency := daemon.addedTime + daemon.simulation.latency(daemon, attempt.exchange.ingress)
	daemon.simulation.clock.runAfter(latency, func() { attempt.receive(event(attempt), load) })
}

func (daemon *daemon) replyRefused(id uint64, reason admit.Reason, retryAfter time.Duration, reached bool) {
	daemon.reply(id, func(attempt *attempt) call.Event {
		return call.AttemptRefused{Attempt: attempt.index, Reason: string(reason), RetryAfter: retryAfter, ReachedUpstream: reached}
	})
	delete(daemon.arrivals, id)
}

// commit lets a request run on the slot that was reserved for it.
func (daemon *daemon) commit(id uint64) {
	if daemon.arrivals[id] != nil {
		daemon.update(admit.Committed{ID: id, At: daemon.simulation.clock.now})
	}
}

// cancel ends an attempt, whether it is queued or running.
func (daemon *daemon) cancel(id uint64) {
	arrival := daemon.arrivals[id]
	if arrival == nil {
		return
	}
	delete(daemon.arrivals, id)
	if arrival.run != nil {
		daemon.cancelRun(id, arrival.run)
		return
	}
	if daemon.simulation.policy.UseGates {
		daemon.update(admit.Cancelled{ID: id, At: daemon.simulation.clock.now})
	}
}

// handOver sends a request to the target.
func (daemon *daemon) handOver(id uint64) {
	arrival := daemon.arrivals[id]
	if arrival == nil {
		return
	}
	class := arrival.attempt.exchange.class
	run := &run{class: class, serviceTime: daemon.simulation.drawServiceTime(class)}
	if len(class.Calls) > 0 {
		run.startCalls = func() { daemon.makeCalls(arrival, run) }
	}
	run.onEnd = func(outcome outcome) { daemon.endRun(id, run, outcome) }
	arrival.run = run
	daemon.upstream.accept(run)
	daemon.recordHeld()
}

// makeCalls makes the calls of a run, then resumes the run. It waits for calls that are
// made at once before it makes the next.
func (daemon *daemon) makeCalls(arrival *arrival, run *run) {
	// Each element of pending is a number of calls that are made at once.
	type calls struct {
		class *Class
		count int
	}
	var pending []calls
	for _, call := range run.class.Calls {
		if daemon.simulation.modelRandom.Float64() >= call.Share {
			continue
		}
		class := daemon.simulation.classes[call.Class]
		if call.AtOnce {
			pending = append(pending, calls{class, call.Count})
			continue
		}
		for range call.Count {
			pending = append(pending, calls{class, 1})
		}
	}
	var next func()
	next = func() {
		if len(pending) == 0 || run.ended {
			daemon.upstream.resume(run, false)
			return
		}
		calls := pending[0]
		pending = pending[1:]
		open := calls.count
		for range calls.count {
			daemon.simulation.makeCall(daemon, calls.class, arrival.attempt.exchange.deadline, func(succeeded bool) {
				open--
				switch {
				case !succeeded:
					daemon.upstream.resume(run, true)
				case open == 0:
					next()
				}
			})
		}
	}
	next()
}

// endRun reports the end of a run to the gate and to the ingress.
func (daemon *daemon) endRun(id uint64, run *run, outcome outcome) {
	if outcome != outcomeSucceeded {
		daemon.simulation.recordWastedWork(run)
	}
	if daemon.arrivals[id] == nil {
		return
	}
	if outcome == outcomeSucceeded || outcome == outcomeFailed {
		daemon.update(admit.SlownessReported{At: daemon.simulation.clock.now, Slowness: daemon.upstream.slowness()})
		daemon.reportLimit(run)
		daemon.reportLoad(id, run.arrivedAt)
	}
	switch outcome {
	case outcomeSucceeded:
		daemon.reply(id, func(attempt *attempt) call.Event { return call.ResponseStarted{Attempt: attempt.index} })
		daemon.arrivals[id].attempt.run = run
	case outcomeFailed:
		daemon.reply(id, func(attempt *attempt) call.Event { return call.ServerErrorReceived{Attempt: attempt.index} })
	case outcomeRefused:
		daemon.replyRefused(id, admit.ReasonUpstreamRefused, 0, true)
	case outcomeCrashed:
		if daemon.simulation.policy.UseGates && !run.started {
			daemon.replyRefused(id, admit.ReasonNoUpstream, time.Second, false)
			break
		}
		daemon.reply(id, func(attempt *attempt) call.Event { return call.AttemptLost{Attempt: attempt.index, Crashed: true} })
	case outcomeLost:
		daemon.reply(id, func(attempt *attempt) call.Event { return call.AttemptLost{Attempt: attempt.index} })
	}
	delete(daemon.arrivals, id)
	daemon.recordFinished(id, outcome != outcomeSucceeded)
	daemon.sendReports()
}

// reportLimit passes what a response says of the target's rate limit to the gate.
func (daemon *daemon) reportLimit(run *run) {
	reported := admit.RateLimitReported{At: daemon.simulation.clock.now, HandedOverAt: run.arrivedAt}
	if limit := daemon.upstream.rateLimit; limit != nil {
		reported.Named, reported.PerSecond = true, *limit
	}
	daemon.update(reported)
}

func (daemon *daemon) recordFinished(id uint64, failed bool) {
	if daemon.simulation.policy.UseGates {
		daemon.update(admit.Finished{ID: id, At: daemon.simulation.clock.now, Failed: failed})
	}
}

// sendReports reports a changed load to the ingresses that have sent requests
// recently.
func (daemon *daemon) sendReports() {
	now := daemon.simulation.clock.now
	if !daemon.simulation.policy.Reports || daemon.simulation.reportsLost || now.Sub(daemon.reportedAt) < admit.MinReportInterval {
		return
	}
	load := daemon.gate.LoadForClass(now, "")
	changed := load.NeedsReport(daemon.lastReported)
	if changed {
		daemon.lastReported = load
	}
	daemon.reportedAt = now
	for _, ingress := range daemon.simulation.daemons {
		subscriber := daemon.subscribers[ingress]
		if subscriber == nil {
			continue
		}
		if now.Sub(subscriber.requestedAt) > admit.SubscriptionTime {
			delete(daemon.subscribers, ingress)
			continue
		}
		subscriber.reportPending = subscriber.reportPending || changed
		crossRegion := ingress.zone.Region != daemon.zone.Region
		if !subscriber.reportPending || crossRegion && now.Sub(subscriber.reportedAt) < admit.MinCrossRegionReportInterval {
			continue
		}
		subscriber.reportPending, subscriber.reportedAt = false, now
		daemon.simulation.clock.runAfter(daemon.simulation.latency(daemon, ingress), func() {
			ingress.tracker(daemon.upstream.service.Name).RecordReport(daemon.name, daemon.simulation.clock.now, load)
		})
	}
}

// member returns the daemon as other daemons see it in the membership.
func (daemon *daemon) member() kernel.Member {
	return kernel.Member{
		ID: daemon.name, Region: daemon.zone.Region, DataCentre: daemon.zone.Name, State: kernel.MemberAlive,
		Target: kernel.Target{
			Service: daemon.upstream.service.Name, Slots: daemon.upstream.service.Slots, State: kernel.TargetServing,
			StartedAt: daemon.upstream.startedAt.UnixMilli(),
		},
	}
}

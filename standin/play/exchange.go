package play

import (
	"time"

	"ibislift/core/admit"
	"ibislift/core/call"
	"ibislift/core/pick"
	"ibislift/core/profile"
)

// response is the result of a request, as its caller gets it.
type response struct {
	// succeeded is set for a complete response, and refused for a refusal, which
	// proves that the request has not run. Otherwise the request has failed.
	succeeded  bool
	refused    bool
	retryAfter time.Duration
	run        *run
}

// exchange is a request at its ingress, the daemon that the caller has reached.
// It drives the state machine and the target selection of the real daemon in
// virtual time.
type exchange struct {
	simulation     *simulation
	ingress        *daemon
	class          *Class
	workspace      *workspace
	deadline       time.Time
	objective      time.Time
	arrivedAt      time.Time
	callerDeadline time.Time
	picker         *pick.Picker
	stateMachine   call.Call
	attempts       []*attempt
	// nextMaxDelay is the maximum delay at the target chosen last; see
	// pick.Choice.
	nextMaxDelay time.Duration
	finished     bool
	onFinish     func(response)
	// isKeyless is set if the request may be a call of a run, and isCall if the ingress marks
	// it as one.
	isKeyless, isCall bool
}

// attempt is a request sent to one target.
type attempt struct {
	exchange  *exchange
	index     int
	daemon    *daemon
	id        uint64
	reserve   bool
	maxDelay  time.Duration
	startedAt time.Time
	ended     bool
	run       *run
}

// startExchange accepts a request at an ingress. remaining is the time until the
// caller's deadline, workspace that of the caller; it is nil for a call of a run and for a
// request without a key.
func (simulation *simulation) startExchange(ingress *daemon, class *Class, workspace *workspace, remaining time.Duration, onFinish func(response)) *exchange {
	now := simulation.clock.now
	exchange := &exchange{simulation: simulation, ingress: ingress, class: class, workspace: workspace, onFinish: onFinish, arrivedAt: now, callerDeadline: now.Add(remaining), deadline: now.Add(remaining)}
	exchange.markCall()
	timeout := milliseconds(class.Timeout)
	age := ingress.ageEstimator.Estimate(class.Name, timeout, remaining)
	if timeout > 0 {
		exchange.deadline = earlier(exchange.deadline, now.Add(timeout))
	}
	exchange.objective = earlier(exchange.deadline, now.Add(milliseconds(class.Objective)-age))
	defaults := profile.Default()
	// The seed of a picker must not be 0, so its lowest bit is set.
	exchange.picker = &pick.Picker{
		Tracker: ingress.tracker(class.Service), Profile: defaults, Policy: ingress.routePolicy, Class: class.Name, Warmup: simulation.serviceNamed(class.Service).warmup(),
		BodyBytes: class.RequestBytes, HasObjective: simulation.policy.UseObjectives, Objective: exchange.objective,
		ObjectiveLength: milliseconds(class.Objective), Random: simulation.modelRandom.Uint64() | 1,
	}
	exchange.picker.CrossesByValue = len(simulation.workspaces) > 0 && !simulation.policy.CrossByTime
	if simulation.policy.StayInRegion {
		exchange.picker.Regions = []string{ingress.zone.Region}
	}
	budget := ingress.budget(class.Service)
	if budget != nil {
		budget.CountRequest()
	}
	// Without gates no slot can be reserved, and no request is retried, so every
	// request is treated as repeatable.
	exchange.stateMachine = call.Call{Repeatable: class.Repeatable || !simulation.policy.UseGates, Retries: budget, Hedges: budget}
	exchange.apply(call.RequestArrived{})
	if hedgeAt := now.Add(exchange.picker.HedgeDelay(now)); budget != nil && hedgeAt.Before(exchange.deadline) {
		simulation.clock.runAt(hedgeAt, func() { exchange.apply(call.HedgeDue{}) })
	}
	simulation.clock.runAt(exchange.deadline, func() { exchange.apply(call.DeadlinePassed{}) })
	return exchange
}

// markCall marks a request without a workspace as a call of a run, as the ingress of the
// product does.
func (exchange *exchange) markCall() {
	if exchange.workspace != nil || len(exchange.simulation.workspaces) == 0 {
		return
	}
	exchange.isKeyless = true
	exchange.isCall = exchange.ingress.runCalls.Begin(exchange.class.Name, exchange.ingress.runningExcept(exchange.class)) || exchange.simulation.policy.KeylessAreCalls
}

// end ends the exchange.
func (exchange *exchange) end() {
	exchange.finished = true
	if exchange.isKeyless {
		exchange.ingress.runCalls.End(exchange.class.Name)
	}
}

func earlier(one, other time.Time) time.Time {
	if other.Before(one) {
		return other
	}
	return one
}

func (exchange *exchange) apply(event call.Event) {
	if exchange.finished {
		return
	}
	if refused, is := event.(call.AttemptRefused); is {
		exchange.picker.RecordRefusal(refused.Attempt, admit.Reason(refused.Reason))
	}
	for _, effect := range exchange.stateMachine.Update(event) {
		exchange.perform(effect)
	}
}

func (exchange *exchange) perform(effect call.Effect) {
	switch effect := effect.(type) {
	case call.ChooseTarget:
		exchange.chooseTarget()
	case call.Send:
		exchange.send(effect)
	case call.Commit:
		attempt := exchange.attempts[effect.Attempt]
		exchange.simulation.clock.runAfter(exchange.simulation.latency(exchange.ingress, attempt.daemon), func() { attempt.daemon.commit(attempt.id) })
	case call.Cancel:
		exchange.attempts[effect.Attempt].cancel()
	case call.Relay:
		exchange.relay(exchange.attempts[effect.Attempt])
	case call.Finish:
		exchange.finish(effect)
	}
}

func (exchange *exchange) chooseTarget() {
	simulation := exchange.simulation
	members := simulation.members[exchange.class.Service]
	if simulation.policy.ExactLoad {
		for _, member := range members {
			daemon := simulation.daemonsByName[member.ID]
			load := daemon.gate.LoadForClass(simulation.clock.now, exchange.class.Name)
			load.Slowness = daemon.upstream.slowness()
			exchange.picker.Tracker.RecordReport(member.ID, simulation.clock.now, load)
		}
	}
	choice, found := pick.Choice{}, false
	if len(members) > 0 {
		choice, found = exchange.picker.Choose(simulation.clock.now, members, exchange.ingress.linkTo)
	}
	if !found {
		exchange.apply(call.NoTargetLeft{})
		return
	}
	exchange.nextMaxDelay = choice.MaxDelay
	exchange.apply(call.TargetChosen{Target: choice.Member.ID})
}

func (exchange *exchange) send(send call.Send) {
	simulation := exchange.simulation
	exchange.picker.RecordAttempt(send.Target)
	attempt := &attempt{
		exchange: exchange, index: send.Attempt, daemon: simulation.daemonsByName[send.Target], reserve: send.Reserve,
		maxDelay: exchange.nextMaxDelay, startedAt: simulation.clock.now,
	}
	exchange.attempts = append(exchange.attempts, attempt)
	exchange.picker.Tracker.RecordStart(send.Target, attempt.startedAt)
	if send.Attempt > 0 {
		simulation.tally(exchange.class).ExtraAttempts++
	}
	simulation.clock.runAfter(simulation.latency(exchange.ingress, attempt.daemon)+attempt.daemon.addedTime, func() {
		if !attempt.ended {
			attempt.daemon.arrive(attempt)
		}
	})
}

// receive processes an event from the target's daemon and updates the tracker
// with what it says about the target.
func (attempt *attempt) receive(event call.Event, load admit.Load) {
	if attempt.ended || attempt.exchange.finished {
		return
	}
	exchange, now := attempt.exchange, attempt.exchange.simulation.clock.now
	tracker, id := exchange.picker.Tracker, attempt.daemon.name
	if exchange.simulation.policy.UseGates {
		tracker.RecordReport(id, now, load)
	}
	switch event := event.(type) {
	case call.AttemptRefused:
		if event.ReachedUpstream {
			tracker.RecordRefusal(id, now)
		}
	case call.ResponseStarted:
		if load.ClassServiceTime > 0 {
			tracker.UpdateClass(exchange.class.Name, load.ClassServiceTime, int64(exchange.class.ResponseBytes))
		}
		elapsed := now.Sub(attempt.startedAt) - 2*exchange.ingress.linkTo(attempt.daemon.member()).Latency
		tracker.RecordResponse(id, now, elapsed)
	case call.ServerErrorReceived, call.AttemptLost:
		tracker.RecordFailure(id, now, exchange.picker.Profile.Ejection)
	}
	if _, granted := event.(call.SlotGranted); !granted {
		attempt.recordEnd()
	}
	exchange.apply(event)
}

// recordEnd removes the attempt from the requests in flight of the ingress.
func (attempt *attempt) recordEnd() {
	if !attempt.ended {
		attempt.ended = true
		attempt.exchange.picker.Tracker.RecordEnd(attempt.daemon.name, attempt.startedAt)
	}
}

func (attempt *attempt) cancel() {
	if attempt.ended {
		return
	}
	exchange, simulation := attempt.exchange, attempt.exchange.simulation
	latency := exchange.ingress.linkTo(attempt.daemon.member()).Latency
	exchange.picker.Tracker.RecordWait(attempt.daemon.name, simulation.clock.now, simulation.clock.now.Sub(attempt.startedAt)-2*latency)
	attempt.recordEnd()
	simulation.clock.runAfter(simulation.latency(exchange.ingress, attempt.daemon), func() { attempt.daemon.cancel(attempt.id) })
}

// relay passes a response on to the caller. The response of a failed run comes
// without the run.
func (exchange *exchange) relay(attempt *attempt) {
	exchange.end()
	for _, other := range exchange.attempts {
		other.cancel()
	}
	if attempt.run != nil {
		exchange.recordBytes(attempt.daemon.zone)
	}
	exchange.onFinish(response{succeeded: attempt.run != nil, run: attempt.run})
}

// recordBytes counts the bytes of the exchange if they have left the zone of the
// ingress.
func (exchange *exchange) recordBytes(to *Zone) {
	bytes := exchange.class.RequestBytes + exchange.class.ResponseBytes
	tally := exchange.simulation.tally(exchange.class)
	switch {
	case to.Region != exchange.ingress.zone.Region:
		tally.CrossRegionBytes += bytes
	case to != exchange.ingress.zone:
		tally.CrossZoneBytes += bytes
	}
}

func (exchange *exchange) finish(finish call.Finish) {
	exchange.end()
	for _, attempt := range exchange.attempts {
		attempt.cancel()
	}
	if finish.Outcome == call.OutcomeNotRun {
		simulation := exchange.simulation
		simulation.report.recordRefusal(refusal{at: exchange.arrivedAt.Sub(simulation.startedAt), took: simulation.clock.now.Sub(exchange.arrivedAt)})
	}
	result := response{refused: finish.Outcome == call.OutcomeNotRun, retryAfter: call.DefaultRetryAfter}
	if exchange.simulation.policy.EstimateRetryAfter {
		now := exchange.simulation.clock.now
		refusal := pick.Refusal{
			DeadlineIn: exchange.callerDeadline.Sub(now), ObjectiveIn: exchange.objective.Sub(now), CapacityIn: finish.RetryAfter, IsCold: exchange.picker.WasLimitedByWarmup(),
			ServiceTime: exchange.picker.Tracker.Class(exchange.class.Name).ServiceTime,
		}
		result.retryAfter = refusal.RetryAfter(exchange.simulation.modelRandom.Float64())
	}
	exchange.onFinish(result)
}

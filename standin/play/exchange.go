package play

import (
	"time"

	"ibislift/core/admit"
	"ibislift/core/call"
	"ibislift/core/pick"
	"ibislift/core/profile"
)

// answer is what a caller gets.
type answer struct {
	// succeeded answers are whole; others are refusals, which prove that the
	// request has not run, or failures.
	succeeded  bool
	refused    bool
	retryAfter time.Duration
	run        *run
}

// exchange is one request at the daemon that its caller reached: the daemon's
// own state machine with its own choices, driven in virtual time.
type exchange struct {
	world     *world
	entry     *node
	class     *Class
	deadline  time.Time
	objective time.Time
	patience  time.Time
	picker    *pick.Picker
	machine   call.Call
	attempts  []*attempt
	next      time.Duration
	over      bool
	done      func(answer)
}

// attempt is one sending to a target.
type attempt struct {
	exchange *exchange
	index    int
	node     *node
	id       uint64
	reserve  bool
	patience time.Duration
	started  time.Time
	over     bool
	run      *run
}

// begin takes a request in. Left is the time until the caller's deadline.
func (world *world) begin(entry *node, class *Class, left time.Duration, done func(answer)) *exchange {
	now := world.clock.now
	exchange := &exchange{world: world, entry: entry, class: class, done: done, patience: now.Add(left), deadline: now.Add(left)}
	timeout := milliseconds(class.Timeout)
	age := entry.ages.Estimate(class.Name, timeout, left)
	if timeout > 0 {
		exchange.deadline = earlier(exchange.deadline, now.Add(timeout))
	}
	exchange.objective = earlier(exchange.deadline, now.Add(milliseconds(class.Objective)-age))
	rules := profile.Default()
	exchange.picker = &pick.Picker{
		Tracker: entry.book(class.Service), Profile: rules, Policy: entry.policy, Class: class.Name,
		HasObjective: world.policy.Timed, Objective: exchange.objective, Random: world.chance.Uint64() | 1,
	}
	budget := entry.budget(class.Service)
	if budget != nil {
		budget.CountRequest()
	}
	// Without a gate there is nothing to reserve at, and nothing is repeated.
	exchange.machine = call.Call{Repeatable: class.Repeatable || !world.policy.Gated, Retries: budget, Hedges: budget}
	exchange.apply(call.RequestArrived{})
	if hedge := now.Add(exchange.picker.HedgeDelay(now)); budget != nil && hedge.Before(exchange.deadline) {
		world.clock.at(hedge, func() { exchange.apply(call.HedgeDue{}) })
	}
	world.clock.at(exchange.deadline, func() { exchange.apply(call.DeadlinePassed{}) })
	return exchange
}

func earlier(one, other time.Time) time.Time {
	if other.Before(one) {
		return other
	}
	return one
}

func (exchange *exchange) apply(event call.Event) {
	if exchange.over {
		return
	}
	if refused, is := event.(call.AttemptRefused); is {
		exchange.picker.RecordRefusal(refused.Attempt, admit.Reason(refused.Reason))
	}
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
	case call.Commit:
		attempt := exchange.attempts[effect.Attempt]
		exchange.world.clock.after(exchange.world.link(exchange.entry, attempt.node), func() { attempt.node.commit(attempt.id) })
	case call.Cancel:
		exchange.attempts[effect.Attempt].withdraw()
	case call.Relay:
		exchange.relay(exchange.attempts[effect.Attempt])
	case call.Finish:
		exchange.finish(effect)
	}
}

func (exchange *exchange) choose() {
	world := exchange.world
	members := world.members[exchange.class.Service]
	if world.policy.Knows {
		for _, member := range members {
			node := world.byName[member.ID]
			load := node.gate.LoadForClass(world.clock.now, exchange.class.Name)
			load.Slowness = node.upstream.slowness()
			exchange.picker.Tracker.RecordReport(member.ID, world.clock.now, load)
		}
	}
	choice, found := pick.Choice{}, false
	if len(members) > 0 {
		choice, found = exchange.picker.Choose(world.clock.now, members, exchange.entry.distance)
	}
	if !found {
		exchange.apply(call.NoTargetLeft{})
		return
	}
	exchange.next = choice.Patience
	exchange.apply(call.TargetChosen{Target: choice.Member.ID})
}

func (exchange *exchange) send(send call.Send) {
	world := exchange.world
	exchange.picker.RecordAttempt(send.Target)
	attempt := &attempt{
		exchange: exchange, index: send.Attempt, node: world.byName[send.Target], reserve: send.Reserve,
		patience: exchange.next, started: world.clock.now,
	}
	exchange.attempts = append(exchange.attempts, attempt)
	exchange.picker.Tracker.RecordStart(send.Target, attempt.started)
	if send.Attempt > 0 {
		world.tally(exchange.class).Extra++
	}
	world.clock.after(world.link(exchange.entry, attempt.node), func() {
		if !attempt.over {
			attempt.node.arrive(attempt)
		}
	})
}

// hear takes the gate's word, and notes what it tells of the target.
func (attempt *attempt) hear(event call.Event, load admit.Load) {
	if attempt.over || attempt.exchange.over {
		return
	}
	exchange, now := attempt.exchange, attempt.exchange.world.clock.now
	book, id := exchange.picker.Tracker, attempt.node.name
	if exchange.world.policy.Gated {
		book.RecordReport(id, now, load)
	}
	switch event.(type) {
	case call.ResponseStarted:
		if load.ClassServiceTime > 0 {
			book.UpdateClass(exchange.class.Name, load.ClassServiceTime, int64(exchange.class.Bytes))
		}
		took := now.Sub(attempt.started) - 2*exchange.entry.distance(attempt.node.member()).Latency
		book.RecordResponse(id, now, took)
	case call.ServerErrorReceived, call.AttemptLost:
		book.RecordFailure(id, now, exchange.picker.Profile.Ejection)
	}
	if _, granted := event.(call.SlotGranted); !granted {
		attempt.end()
	}
	exchange.apply(event)
}

// end takes the attempt out of what the entry has in flight.
func (attempt *attempt) end() {
	if !attempt.over {
		attempt.over = true
		attempt.exchange.picker.Tracker.RecordEnd(attempt.node.name, attempt.started)
	}
}

func (attempt *attempt) withdraw() {
	if attempt.over {
		return
	}
	exchange, world := attempt.exchange, attempt.exchange.world
	link := exchange.entry.distance(attempt.node.member()).Latency
	exchange.picker.Tracker.RecordWait(attempt.node.name, world.clock.now, world.clock.now.Sub(attempt.started)-2*link)
	attempt.end()
	world.clock.after(world.link(exchange.entry, attempt.node), func() { attempt.node.withdraw(attempt.id) })
}

// relay passes an answer on. One that tells of a failure has no run.
func (exchange *exchange) relay(attempt *attempt) {
	exchange.over = true
	for _, other := range exchange.attempts {
		other.withdraw()
	}
	if attempt.node.zone != exchange.entry.zone && attempt.run != nil {
		exchange.world.tally(exchange.class).ZoneBytes += exchange.class.Bytes
	}
	exchange.done(answer{succeeded: attempt.run != nil, run: attempt.run})
}

func (exchange *exchange) finish(finish call.Finish) {
	exchange.over = true
	for _, attempt := range exchange.attempts {
		attempt.withdraw()
	}
	ending := answer{refused: finish.Outcome == call.OutcomeNotRun, retryAfter: call.DefaultRetryAfter}
	if exchange.world.policy.Comeback {
		now := exchange.world.clock.now
		refusal := pick.Refusal{
			DeadlineIn: exchange.patience.Sub(now), ObjectiveIn: exchange.objective.Sub(now), CapacityIn: finish.RetryAfter,
			ExecutionTime: exchange.picker.Tracker.Class(exchange.class.Name).ExecutionTime,
		}
		ending.retryAfter = refusal.RetryAfter(exchange.world.chance.Float64())
	}
	exchange.done(ending)
}

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

// gateTick is how often a gate looks for what has expired.
const gateTick = 50 * time.Millisecond

// node is a daemon with its target: it takes callers, and its gate admits
// requests to the target.
type node struct {
	world    *world
	name     string
	zone     *Zone
	upstream *upstreamModel

	gate     admit.Gate
	arrivals map[uint64]*arrival
	nextID   uint64
	told     admit.Load
	toldAt   time.Time
	hearers  map[*node]*hearer

	books   map[string]*route.Tracker
	budgets map[string]*call.Budget
	policy  route.Policy
	ages    pick.AgeEstimator
}

// hearer is an entry that gets reports.
type hearer struct {
	asked, told time.Time
	behind      bool
}

// arrival is an attempt at its target's gate.
type arrival struct {
	attempt *attempt
	run     *run
	decided bool
}

func newNode(world *world, name string, zone *Zone, service *Service, random *rand.Rand) *node {
	policy, err := route.New(world.policy.Place)
	if err != nil {
		panic("play: " + err.Error())
	}
	node := &node{
		world: world, name: name, zone: zone, policy: policy,
		upstream: &upstreamModel{clock: &world.clock, random: random, service: service, since: world.clock.now.Add(-time.Hour)},
		arrivals: map[uint64]*arrival{}, hearers: map[*node]*hearer{},
		books: map[string]*route.Tracker{}, budgets: map[string]*call.Budget{},
	}
	node.gate.Headroom = world.scenario.Headroom
	node.gate.MaxSlownessAge = world.policy.FreshTime
	node.update(admit.Resized{At: world.clock.now, Slots: service.Slots, QueueBound: world.policy.QueueBound})
	node.upstream.start()
	node.tick()
	return node
}

func (node *node) tick() {
	node.update(admit.Ticked{At: node.world.clock.now})
	node.world.clock.after(gateTick, node.tick)
}

func (node *node) book(service string) *route.Tracker {
	if node.books[service] == nil {
		node.books[service] = &route.Tracker{}
	}
	return node.books[service]
}

// budget is the node's part of a service's retry budget.
func (node *node) budget(service string) *call.Budget {
	if !node.world.policy.Retries {
		return nil
	}
	if node.budgets[service] == nil {
		shared := &call.SharedBudget{Ratio: node.world.scenario.RetryRatio, Slack: node.world.scenario.RetrySlack}
		node.budgets[service] = &call.Budget{}
		shared.AssignShare(node.budgets[service], len(node.world.nodes))
	}
	return node.budgets[service]
}

// arrive takes an attempt to the gate or, without one, to the target.
func (node *node) arrive(attempt *attempt) {
	exchange := attempt.exchange
	now := node.world.clock.now
	node.nextID++
	attempt.id = node.nextID
	node.arrivals[attempt.id] = &arrival{attempt: attempt}
	if !node.world.policy.Gated {
		node.hand(attempt.id)
		return
	}
	if known := node.hearers[exchange.entry]; known != nil {
		known.asked = now
	} else {
		node.hearers[exchange.entry] = &hearer{asked: now}
	}
	arrived := admit.Arrived{
		ID: attempt.id, At: now, Deadline: exchange.deadline, Important: exchange.class.Rank == 0,
		Reserve: attempt.reserve, Rank: exchange.class.Rank, Class: exchange.class.Name, MaxDelay: attempt.patience,
	}
	if node.world.policy.Timed {
		arrived.Objective = exchange.objective
	}
	node.update(arrived)
	node.report()
}

// update gives the gate an event and carries out what follows.
func (node *node) update(event admit.Event) {
	for _, effect := range node.gate.Update(event) {
		switch effect := effect.(type) {
		case admit.Grant:
			node.tell(effect.ID, func(attempt *attempt) call.Event { return call.SlotGranted{Attempt: attempt.index} })
		case admit.HandOver:
			node.hand(effect.ID)
		case admit.Refuse:
			node.refuse(effect.ID, effect.Reason, effect.RetryAfter, false)
		case admit.MeasureSlowness:
			node.measure()
		}
	}
}

// measure asks the target how slow it is.
func (node *node) measure() {
	node.world.report.Probes++
	if node.upstream.down {
		return
	}
	node.world.clock.after(milliseconds(node.upstream.service.ProbeTime), func() {
		node.update(admit.SlownessReported{At: node.world.clock.now, Slowness: node.upstream.slowness()})
		node.report()
	})
}

// tell sends the gate's word to the entry, with its load.
func (node *node) tell(id uint64, event func(*attempt) call.Event) {
	arrival := node.arrivals[id]
	if arrival == nil {
		return
	}
	attempt := arrival.attempt
	load := node.gate.LoadForClass(node.world.clock.now, attempt.exchange.class.Name)
	node.world.clock.after(node.world.link(node, attempt.exchange.entry), func() { attempt.hear(event(attempt), load) })
}

func (node *node) refuse(id uint64, reason admit.Reason, retryAfter time.Duration, reached bool) {
	node.tell(id, func(attempt *attempt) call.Event {
		return call.AttemptRefused{Attempt: attempt.index, Reason: string(reason), RetryAfter: retryAfter, ReachedUpstream: reached}
	})
	delete(node.arrivals, id)
}

// commit lets a reserved request run.
func (node *node) commit(id uint64) {
	if node.arrivals[id] != nil {
		node.update(admit.Committed{ID: id, At: node.world.clock.now})
	}
}

// withdraw gives an attempt up, whether it waits or runs.
func (node *node) withdraw(id uint64) {
	arrival := node.arrivals[id]
	if arrival == nil {
		return
	}
	delete(node.arrivals, id)
	if arrival.run != nil {
		node.upstream.leave(arrival.run)
		node.world.wasted(arrival.run)
		node.finished(id, true)
		return
	}
	if node.world.policy.Gated {
		node.update(admit.Cancelled{ID: id, At: node.world.clock.now})
	}
}

// hand lets a request run on the target.
func (node *node) hand(id uint64) {
	arrival := node.arrivals[id]
	if arrival == nil {
		return
	}
	class := arrival.attempt.exchange.class
	run := &run{class: class, work: node.world.work(class)}
	if len(class.Calls) > 0 {
		run.calls = func() { node.call(arrival, run) }
	}
	run.done = func(end ending) { node.ended(id, run, end) }
	arrival.run = run
	node.upstream.take(run)
}

// call makes the calls of a run, one after the other.
func (node *node) call(arrival *arrival, run *run) {
	var pending []*Class
	for _, call := range run.class.Calls {
		if node.world.chance.Float64() >= call.Share {
			continue
		}
		for range call.Times {
			pending = append(pending, node.world.classes[call.Class])
		}
	}
	var next func()
	next = func() {
		if len(pending) == 0 || run.over {
			node.upstream.resume(run, false)
			return
		}
		class := pending[0]
		pending = pending[1:]
		node.world.callFrom(node, class, arrival.attempt.exchange.deadline, func(succeeded bool) {
			if !succeeded {
				node.upstream.resume(run, true)
				return
			}
			next()
		})
	}
	next()
}

// ended takes the end of a run to the gate and to the entry.
func (node *node) ended(id uint64, run *run, end ending) {
	if end != endAnswered {
		node.world.wasted(run)
	}
	if node.arrivals[id] == nil {
		return
	}
	if end == endAnswered || end == endFailed {
		node.update(admit.SlownessReported{At: node.world.clock.now, Slowness: node.upstream.slowness()})
	}
	switch end {
	case endAnswered:
		node.tell(id, func(attempt *attempt) call.Event { return call.ResponseStarted{Attempt: attempt.index} })
		node.arrivals[id].attempt.run = run
	case endFailed:
		node.tell(id, func(attempt *attempt) call.Event { return call.ServerErrorReceived{Attempt: attempt.index} })
	case endShed:
		node.refuse(id, admit.ReasonUpstreamRefused, 0, true)
	case endCrashed:
		if node.world.policy.Gated && !run.begun {
			node.refuse(id, admit.ReasonNoUpstream, time.Second, false)
			break
		}
		node.tell(id, func(attempt *attempt) call.Event { return call.AttemptLost{Attempt: attempt.index, Crashed: true} })
	case endLost:
		node.tell(id, func(attempt *attempt) call.Event { return call.AttemptLost{Attempt: attempt.index} })
	}
	delete(node.arrivals, id)
	node.finished(id, end != endAnswered)
	node.report()
}

func (node *node) finished(id uint64, failed bool) {
	if node.world.policy.Gated {
		node.update(admit.Finished{ID: id, At: node.world.clock.now, Failed: failed})
	}
}

// report tells the entries that have sent requests lately of a change.
func (node *node) report() {
	now := node.world.clock.now
	if !node.world.policy.Reports || node.world.silent || now.Sub(node.toldAt) < admit.MinReportInterval {
		return
	}
	load := node.gate.LoadForClass(now, "")
	news := load.NeedsReport(node.told)
	if news {
		node.told = load
	}
	node.toldAt = now
	for _, entry := range node.world.nodes {
		hearer := node.hearers[entry]
		if hearer == nil {
			continue
		}
		if now.Sub(hearer.asked) > admit.SubscriptionTime {
			delete(node.hearers, entry)
			continue
		}
		hearer.behind = hearer.behind || news
		far := entry.zone.Region != node.zone.Region
		if !hearer.behind || far && now.Sub(hearer.told) < admit.MinCrossRegionReportInterval {
			continue
		}
		hearer.behind, hearer.told = false, now
		node.world.clock.after(node.world.link(node, entry), func() {
			entry.book(node.upstream.service.Name).RecordReport(node.name, node.world.clock.now, load)
		})
	}
}

// member is the node as entries know it.
func (node *node) member() kernel.Member {
	return kernel.Member{
		ID: node.name, Region: node.zone.Region, DataCentre: node.zone.Name, State: kernel.MemberAlive,
		Target: kernel.Target{
			Service: node.upstream.service.Name, Slots: node.upstream.service.Slots, State: kernel.TargetServing,
			StartedAt: node.upstream.since.UnixMilli(),
		},
	}
}

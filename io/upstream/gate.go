package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ibislift/core/admit"
)

// tickInterval is how often the gate checks for expired requests and
// reservations.
const tickInterval = 100 * time.Millisecond

// Decision is the gate's decision on a request.
type Decision struct {
	// Granted means that the request has a slot and must be committed to run.
	// HandedOver means that it runs now. If neither is set, the request was
	// refused and has not run.
	Granted    bool
	HandedOver bool
	Reason     admit.Reason
	RetryAfter time.Duration
	// Cause says why the request was refused for want of capacity.
	Cause admit.Cause
}

// Gate runs the admission control of one upstream and records which requests
// are running on it. It is safe for concurrent use. Set the fields before Run.
type Gate struct {
	Now func() time.Time
	// Headroom is the fraction of the upstream's slots that is kept free.
	Headroom float64
	// MaxSlownessAge is how old the last reported slowness may get while
	// requests arrive. When it is older, MeasureSlowness is called, in its own
	// goroutine, to request a new value. 0 turns this off.
	MaxSlownessAge  time.Duration
	MeasureSlowness func()
	// HoldCancelledRuns is that of admit.Gate.
	HoldCancelledRuns bool
	// MeasureLoad is called, in its own goroutine, to ask the upstream how many requests it
	// runs. It must be set if MaxSlownessAge is.
	MeasureLoad func()
	// RecordWait, if set, is called with the first decision on each request:
	// the class of the request, the reason if it was refused, and how long it
	// waited.
	RecordWait func(class string, refused admit.Reason, wait time.Duration)

	mutex   sync.Mutex
	machine admit.Gate
	pending map[uint64]*pendingRequest
	// running holds the fingerprint of each request that was handed over.
	running map[uint64]string
	// crashReported holds the requests that TakeCrashSuspects has returned.
	crashReported map[uint64]bool
	lastID        atomic.Uint64
	drained       chan struct{}
	// woken is set while a Ticked event is due because of the rate limit or the warm-up
	// limit.
	woken bool
	// closed is set when a drain can no longer be ended.
	closed      bool
	handedOver  atomic.Uint64
	causeCounts CauseCounts
}

// pendingRequest is a request that has arrived and is not finished.
type pendingRequest struct {
	decisions chan Decision
	class     string
	arrived   time.Time
	decided   bool
}

// Run checks regularly for expired requests and reservations and for a slowness that
// is too old, until the context ends.
func (gate *Gate) Run(ctx context.Context) {
	tick := tickInterval
	if gate.MaxSlownessAge > 0 {
		tick = min(tick, gate.MaxSlownessAge/2)
	}
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			gate.apply(func() []admit.Effect { return gate.machine.Update(admit.Ticked{At: gate.Now()}) })
		}
	}
}

// Resize sets the number of slots and the maximum length of the queue.
func (gate *Gate) Resize(slots, queueBound int) {
	gate.apply(func() []admit.Effect {
		if gate.machine.Slots == slots && gate.machine.QueueBound == queueBound {
			return nil
		}
		return gate.machine.Update(admit.Resized{At: gate.Now(), Slots: slots, QueueBound: queueBound})
	})
}

// SetOrder sets the order in which requests are served.
func (gate *Gate) SetOrder(order admit.Order) {
	gate.apply(func() []admit.Effect { return gate.machine.Update(admit.OrderSelected{Order: order}) })
}

// Admission tracks one request through the gate.
type Admission struct {
	gate        *Gate
	id          uint64
	decisions   chan Decision
	fingerprint string
	finished    bool
	cancelled   bool
}

// Admit submits a request to the gate, which sets its ID and arrival time. Wait
// returns the decisions.
func (gate *Gate) Admit(arrived admit.Arrived, fingerprint string) *Admission {
	admission := &Admission{
		gate:        gate,
		id:          gate.lastID.Add(1),
		decisions:   make(chan Decision, 3),
		fingerprint: fingerprint,
	}
	gate.apply(func() []admit.Effect {
		arrived.ID = admission.id
		arrived.At = gate.Now()
		gate.pending[admission.id] = &pendingRequest{decisions: admission.decisions, class: arrived.Class, arrived: arrived.At}
		return gate.machine.Update(arrived)
	})
	return admission
}

// Wait returns the gate's next decision. If the context ends first, Wait cancels
// the request and returns the decision that results from that.
func (admission *Admission) Wait(ctx context.Context) Decision {
	select {
	case decision := <-admission.decisions:
		return admission.track(decision)
	case <-ctx.Done():
		admission.Cancel()
		return admission.track(<-admission.decisions)
	}
}

// track records the request as running if the decision hands it over, and returns
// the decision.
func (admission *Admission) track(decision Decision) Decision {
	if decision.HandedOver {
		admission.gate.recordRunning(admission.id, admission.fingerprint)
	}
	return decision
}

// Commit makes a granted request run, unless its reservation has expired or its
// deadline has passed.
func (admission *Admission) Commit() Decision {
	gate := admission.gate
	gate.apply(func() []admit.Effect {
		return gate.machine.Update(admit.Committed{ID: admission.id, At: gate.Now()})
	})
	return admission.track(<-admission.decisions)
}

// Cancel withdraws the request if it isn't running yet.
func (admission *Admission) Cancel() {
	gate := admission.gate
	gate.apply(func() []admit.Effect {
		return gate.machine.Update(admit.Cancelled{ID: admission.id, At: gate.Now()})
	})
}

// Finish releases the slot. Further calls do nothing.
func (admission *Admission) Finish(failed bool) {
	if admission.finished {
		return
	}
	admission.finished = true
	gate := admission.gate
	gate.apply(func() []admit.Effect {
		delete(gate.pending, admission.id)
		delete(gate.running, admission.id)
		delete(gate.crashReported, admission.id)
		return gate.machine.Update(admit.Finished{ID: admission.id, At: gate.Now(), Failed: failed, Cancelled: admission.cancelled})
	})
}

// recordRunning records that a request is about to be written to the upstream.
func (gate *Gate) recordRunning(id uint64, fingerprint string) {
	gate.handedOver.Add(1)
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.running[id] = fingerprint
}

// RunningExcept returns how many requests of other classes run on the upstream.
func (gate *Gate) RunningExcept(class string) int {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	count := 0
	for id := range gate.running {
		if pending := gate.pending[id]; pending != nil && pending.class != class {
			count++
		}
	}
	return count
}

// apply runs an update with the mutex held and performs its effects.
func (gate *Gate) apply(update func() []admit.Effect) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.pending == nil {
		gate.pending = map[uint64]*pendingRequest{}
		gate.running = map[uint64]string{}
		gate.crashReported = map[uint64]bool{}
		gate.drained = make(chan struct{})
		gate.machine.Headroom, gate.machine.HoldCancelledRuns = gate.Headroom, gate.HoldCancelledRuns
		gate.machine.MaxSlownessAge = gate.MaxSlownessAge
	}
	for _, effect := range update() {
		gate.perform(effect)
	}
}

func (gate *Gate) perform(effect admit.Effect) {
	switch effect := effect.(type) {
	case admit.Grant:
		gate.deliver(effect.ID, Decision{Granted: true})
	case admit.HandOver:
		gate.deliver(effect.ID, Decision{HandedOver: true})
	case admit.Refuse:
		gate.causeCounts.add(effect.Cause)
		gate.deliver(effect.ID, Decision{Reason: effect.Reason, RetryAfter: effect.RetryAfter, Cause: effect.Cause})
	case admit.MeasureSlowness:
		go gate.MeasureSlowness()
	case admit.Wake:
		gate.wake(effect.After)
	case admit.CheckAfter:
		gate.checkAfter(effect.After)
	case admit.MeasureLoad:
		go gate.MeasureLoad()
	case admit.Drained:
		close(gate.drained)
	}
}

// wake ticks the machine after a time, unless that is about to happen anyway. The caller
// holds the mutex.
func (gate *Gate) wake(after time.Duration) {
	if gate.woken {
		return
	}
	gate.woken = true
	time.AfterFunc(after, func() {
		gate.apply(func() []admit.Effect {
			gate.woken = false
			return gate.machine.Update(admit.Ticked{At: gate.Now()})
		})
	})
}

// deliver sends a decision to the waiting caller. The channel has room for the
// three decisions that a request can get: a grant, a hand-over and a refusal.
func (gate *Gate) deliver(id uint64, decision Decision) {
	pending, found := gate.pending[id]
	if !found {
		return
	}
	if !pending.decided && gate.RecordWait != nil {
		gate.RecordWait(pending.class, decision.Reason, gate.Now().Sub(pending.arrived))
	}
	pending.decided = true
	select {
	case pending.decisions <- decision:
	default:
	}
}

// Load returns the gate's load.
func (gate *Gate) Load() admit.Load {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.machine.LoadForClass(gate.Now(), "")
}

// LoadForClass returns the gate's load with the estimates for a class of
// requests.
func (gate *Gate) LoadForClass(class string) admit.Load {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.machine.LoadForClass(gate.Now(), class)
}

// RecordSlowness records the slowness that the upstream reported: how long a
// request takes now, as a multiple of the usual time.
func (gate *Gate) RecordSlowness(multiple float64) {
	gate.apply(func() []admit.Effect {
		return gate.machine.Update(admit.SlownessReported{At: gate.Now(), Slowness: multiple})
	})
}

// RecordRateLimit records what a response said of the upstream's rate limit, and
// returns the limit before and after that.
func (gate *Gate) RecordRateLimit(reported admit.RateLimitReported) (before, after admit.RateLimit) {
	return gate.updateRateLimit(func() admit.Event {
		reported.At = gate.Now()
		return reported
	})
}

// HintRateLimit passes on a limit that an ingress knows from an earlier response, and
// returns the limit before and after that.
func (gate *Gate) HintRateLimit(limit admit.RateLimit) (before, after admit.RateLimit) {
	return gate.updateRateLimit(func() admit.Event { return admit.RateLimitHinted{At: gate.Now(), Limit: limit} })
}

// updateRateLimit applies an event and returns the rate limit before and after it.
func (gate *Gate) updateRateLimit(event func() admit.Event) (before, after admit.RateLimit) {
	gate.apply(func() []admit.Effect {
		before = gate.machine.Load().RateLimit
		effects := gate.machine.Update(event())
		after = gate.machine.Load().RateLimit
		return effects
	})
	return before, after
}

// SetUpstream sets the instance of the upstream that requests are handed over to, and when
// it started, in Unix milliseconds. What the previous upstream has said no longer counts.
func (gate *Gate) SetUpstream(startedAt int64, instance string) {
	gate.apply(func() []admit.Effect {
		return gate.machine.Update(admit.UpstreamStarted{At: gate.Now(), StartedAt: startedAt, Instance: instance})
	})
}

// SetWarmupLimit sets how many requests a second the upstream takes while it is cold.
func (gate *Gate) SetWarmupLimit(limit admit.WarmupLimit) {
	gate.apply(func() []admit.Effect { return gate.machine.Update(admit.WarmupLimitSet{At: gate.Now(), Limit: limit}) })
}

// RecordWarmup records how much longer the upstream stays cold, as it has said in a
// heartbeat or in the response to a request that was handed over at askedAt.
func (gate *Gate) RecordWarmup(left time.Duration, askedAt time.Time) {
	gate.apply(func() []admit.Effect {
		return gate.machine.Update(admit.WarmupReported{At: gate.Now(), Left: left, AskedAt: askedAt})
	})
}

// SetEvacuated sets whether the data centre of the upstream is evacuated, and reports
// whether that has changed.
func (gate *Gate) SetEvacuated(evacuated bool) (changed bool) {
	gate.apply(func() []admit.Effect {
		changed = gate.machine.Load().Evacuated != evacuated
		if !changed {
			return nil
		}
		return gate.machine.Update(admit.EvacuationChanged{At: gate.Now(), Evacuated: evacuated})
	})
	return changed
}

// AllowProbe reports whether a health probe may be sent now. While the upstream is cold,
// probes are rare and count towards the warm-up limit. While its data centre is evacuated
// there are none.
func (gate *Gate) AllowProbe() bool {
	allowed := false
	gate.apply(func() []admit.Effect {
		for _, effect := range gate.machine.Update(admit.ProbeDue{At: gate.Now()}) {
			if _, isAllowed := effect.(admit.AllowProbe); isAllowed {
				allowed = true
			}
		}
		return nil
	})
	return allowed
}

// HandedOverCount returns the number of requests handed over so far.
func (gate *Gate) HandedOverCount() uint64 { return gate.handedOver.Load() }

// Drain stops the admission of requests. The returned channel is closed when no
// request is running any more.
func (gate *Gate) Drain() <-chan struct{} {
	var drained chan struct{}
	gate.apply(func() []admit.Effect {
		drained = gate.drained
		return gate.machine.Update(admit.DrainRequested{At: gate.Now()})
	})
	return drained
}

// ScheduleStop makes the gate refuse what it cannot finish by the time at which the daemon
// ends.
func (gate *Gate) ScheduleStop(endAt time.Time) {
	gate.apply(func() []admit.Effect { return gate.machine.Update(admit.StopScheduled{At: gate.Now(), EndAt: endAt}) })
}

// Close is like Drain, for a daemon that stops: an upstream that is replaced meanwhile
// does not open the gate again.
func (gate *Gate) Close() <-chan struct{} {
	gate.mutex.Lock()
	gate.closed = true
	gate.mutex.Unlock()
	return gate.Drain()
}

// Reopen ends a drain, after a new upstream has replaced the drained one.
func (gate *Gate) Reopen() {
	gate.apply(func() []admit.Effect {
		if gate.closed || !gate.machine.Load().Draining {
			return nil
		}
		gate.drained = make(chan struct{})
		return gate.machine.Update(admit.Reopened{At: gate.Now()})
	})
}

// TakeCrashSuspects returns the fingerprints of the requests that were running
// when the upstream crashed. Each request is returned by one call only.
func (gate *Gate) TakeCrashSuspects() []string {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	var fingerprints []string
	for id, fingerprint := range gate.running {
		if !gate.crashReported[id] && fingerprint != "" {
			gate.crashReported[id] = true
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}

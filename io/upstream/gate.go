package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ibislift/core/admit"
)

// gateTick is how often the gate looks for what has expired.
const gateTick = 100 * time.Millisecond

// Decision is the gate's word on a request.
type Decision struct {
	// Granted asks for a commit; HandedOver lets the request run now. If
	// neither is set the request was refused and has not run.
	Granted    bool
	HandedOver bool
	Reason     admit.Reason
	RetryAfter time.Duration
}

// Gate drives the admission of one upstream and remembers what is running on
// it. It may be used by many goroutines. Set the fields before Run.
type Gate struct {
	Now func() time.Time
	// Headroom is the part of the upstream's slots that is left free.
	Headroom float64
	// FreshTime is how old the upstream's word on its slowness may get while
	// requests come, and Measure asks for it; 0 turns it off.
	FreshTime time.Duration
	Measure   func()
	// Waited, if it is set, is told of the first decision on each request: its
	// class, the reason if it was refused, and how long it waited.
	Waited func(class string, refused admit.Reason, wait time.Duration)

	mutex    sync.Mutex
	machine  admit.Gate
	waiting  map[uint64]*place
	running  map[uint64]string
	reported map[uint64]bool
	next     atomic.Uint64
	drained  chan struct{}
	handed   atomic.Uint64
}

// place is a request before the gate.
type place struct {
	decisions chan Decision
	class     string
	arrived   time.Time
	decided   bool
}

// Run lets the gate's expiries happen until the context ends.
func (gate *Gate) Run(ctx context.Context) {
	tick := gateTick
	if gate.FreshTime > 0 {
		tick = min(tick, gate.FreshTime/2)
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

// Resize sets the number of slots and the bound of the queue.
func (gate *Gate) Resize(slots, queueBound int) {
	gate.apply(func() []admit.Effect {
		if gate.machine.Slots == slots && gate.machine.QueueBound == queueBound {
			return nil
		}
		return gate.machine.Update(admit.Resized{At: gate.Now(), Slots: slots, QueueBound: queueBound})
	})
}

// Admission is a request's place at the gate.
type Admission struct {
	gate        *Gate
	id          uint64
	decisions   chan Decision
	fingerprint string
	over        bool
}

// Admit puts a request before the gate, which gives it its ID and time. The
// decisions come by Wait.
func (gate *Gate) Admit(arrived admit.Arrived, fingerprint string) *Admission {
	admission := &Admission{
		gate:        gate,
		id:          gate.next.Add(1),
		decisions:   make(chan Decision, 3),
		fingerprint: fingerprint,
	}
	gate.apply(func() []admit.Effect {
		arrived.ID = admission.id
		arrived.At = gate.Now()
		gate.waiting[admission.id] = &place{decisions: admission.decisions, class: arrived.Class, arrived: arrived.At}
		return gate.machine.Update(arrived)
	})
	return admission
}

// Wait returns the gate's next decision. If the context ends first the request
// is cancelled, and the decision that follows from that is returned.
func (admission *Admission) Wait(ctx context.Context) Decision {
	select {
	case decision := <-admission.decisions:
		return admission.note(decision)
	case <-ctx.Done():
		admission.Cancel()
		return admission.note(<-admission.decisions)
	}
}

func (admission *Admission) note(decision Decision) Decision {
	if decision.HandedOver {
		admission.gate.begin(admission.id, admission.fingerprint)
	}
	return decision
}

// Commit lets a granted request run, unless its time is up.
func (admission *Admission) Commit() Decision {
	gate := admission.gate
	gate.apply(func() []admit.Effect {
		return gate.machine.Update(admit.Committed{ID: admission.id, At: gate.Now()})
	})
	return admission.note(<-admission.decisions)
}

// Cancel gives the request up if it does not run yet.
func (admission *Admission) Cancel() {
	gate := admission.gate
	gate.apply(func() []admit.Effect {
		return gate.machine.Update(admit.Cancelled{ID: admission.id, At: gate.Now()})
	})
}

// Finish frees the slot. It may be called more than once.
func (admission *Admission) Finish(failed bool) {
	if admission.over {
		return
	}
	admission.over = true
	gate := admission.gate
	gate.apply(func() []admit.Effect {
		delete(gate.waiting, admission.id)
		delete(gate.running, admission.id)
		delete(gate.reported, admission.id)
		return gate.machine.Update(admit.Finished{ID: admission.id, At: gate.Now(), Failed: failed})
	})
}

// begin notes that a request is about to be written to the upstream.
func (gate *Gate) begin(id uint64, fingerprint string) {
	gate.handed.Add(1)
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.running[id] = fingerprint
}

// apply runs an update under the lock and passes the decisions on.
func (gate *Gate) apply(update func() []admit.Effect) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.waiting == nil {
		gate.waiting = map[uint64]*place{}
		gate.running = map[uint64]string{}
		gate.reported = map[uint64]bool{}
		gate.drained = make(chan struct{})
		gate.machine.Headroom = gate.Headroom
		gate.machine.MaxSlownessAge = gate.FreshTime
	}
	for _, effect := range update() {
		gate.perform(effect)
	}
}

func (gate *Gate) perform(effect admit.Effect) {
	switch effect := effect.(type) {
	case admit.Grant:
		gate.decide(effect.ID, Decision{Granted: true})
	case admit.HandOver:
		gate.decide(effect.ID, Decision{HandedOver: true})
	case admit.Refuse:
		gate.decide(effect.ID, Decision{Reason: effect.Reason, RetryAfter: effect.RetryAfter})
	case admit.MeasureSlowness:
		go gate.Measure()
	case admit.Drained:
		close(gate.drained)
	}
}

// decide passes a decision on. A request has at most a grant, a hand-over and
// a refusal, for which its channel has room.
func (gate *Gate) decide(id uint64, decision Decision) {
	waiting, known := gate.waiting[id]
	if !known {
		return
	}
	if !waiting.decided && gate.Waited != nil {
		gate.Waited(waiting.class, decision.Reason, gate.Now().Sub(waiting.arrived))
	}
	waiting.decided = true
	select {
	case waiting.decisions <- decision:
	default:
	}
}

// Load reports the gate's state.
func (gate *Gate) Load() admit.Load {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.machine.LoadForClass(gate.Now(), "")
}

// LoadOf reports the gate's state with what is known of a class of requests.
func (gate *Gate) LoadOf(class string) admit.Load {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.machine.LoadForClass(gate.Now(), class)
}

// Slowness notes how long the upstream says that work takes now, as a multiple
// of the usual time.
func (gate *Gate) Slowness(multiple float64) {
	gate.apply(func() []admit.Effect {
		return gate.machine.Update(admit.SlownessReported{At: gate.Now(), Slowness: multiple})
	})
}

// HandedOver is the number of requests handed over so far.
func (gate *Gate) HandedOver() uint64 { return gate.handed.Load() }

// Drain stops admission. The returned channel is closed when nothing runs.
func (gate *Gate) Drain() <-chan struct{} {
	var drained chan struct{}
	gate.apply(func() []admit.Effect {
		drained = gate.drained
		return gate.machine.Update(admit.DrainRequested{At: gate.Now()})
	})
	return drained
}

// Reopen ends a drain, when a new upstream has taken the drained one's place.
func (gate *Gate) Reopen() {
	gate.apply(func() []admit.Effect {
		if !gate.machine.Load().Draining {
			return nil
		}
		gate.drained = make(chan struct{})
		return gate.machine.Update(admit.Reopened{At: gate.Now()})
	})
}

// TakeCrashed returns the fingerprints of the requests that run now and have
// not been returned before: those that the upstream died with.
func (gate *Gate) TakeCrashed() []string {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	var fingerprints []string
	for id, fingerprint := range gate.running {
		if !gate.reported[id] && fingerprint != "" {
			gate.reported[id] = true
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}

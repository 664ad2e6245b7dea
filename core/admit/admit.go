// Package admit implements admission control for one upstream: it decides which
// requests run, which wait in the queue and which are refused.
//
// Like the kernel, a Gate is a state machine without a clock or I/O: Update takes
// an Event, which includes the time, and returns Effects. Only a HandOver effect
// sends a request to the upstream, so a Refuse effect proves that the request has
// not run.
//
// A request that must not run twice reserves a slot first: the gate grants the
// slot and waits for a commit. Until then the ingress, which is the daemon that
// received the request from its caller, may still send it to another target.
//
// # Usage
//
//	gate := &admit.Gate{Slots: 13, QueueBound: 64}
//	for _, effect := range gate.Update(admit.Arrived{ID: 1, At: now, Deadline: deadline}) {
//		perform(effect)
//	}
package admit

import (
	"time"
)

// ReservationTimeout is how long a granted slot is kept without a commit.
const ReservationTimeout = 2 * time.Second

// Event is an input of Gate.Update. Only this package defines events.
type Event interface{ event() }

// Arrived announces a new request. If Reserve is set, the request gets a Grant
// and runs only after Committed.
type Arrived struct {
	ID        uint64
	At        time.Time
	Deadline  time.Time
	Important bool
	Reserve   bool
	// Rank orders the requests that are not important: the lowest rank goes
	// first. 0 means that no rank is set, and counts as 1.
	Rank int
	// Objective is the time until which a response meets the latency objective.
	// A later response is still sent but is less important. The zero time means
	// the deadline.
	Objective time.Time
	// Class names the kind of request. The gate keeps a mean service time for each
	// class. It may be empty.
	Class string
	// Workspace names the workspace that the request belongs to. It is empty if the
	// request belongs to none; see Call.
	Workspace string
	// Call is set if the ingress takes the request for a call that a running request
	// makes.
	Call bool
	// MaxDelay is the largest delay with which this target is still the better
	// choice than the second best. The delay is the additional time that the
	// request takes because the upstream is not idle. 0 means that there is no
	// limit.
	MaxDelay time.Duration
}

// Committed lets a request run on the slot that it was granted.
type Committed struct {
	ID uint64
	At time.Time
}

// Cancelled reports that the ingress has cancelled a request.
type Cancelled struct {
	ID uint64
	At time.Time
}

// Finished reports the end of a request that was handed over. Failed requests do
// not count towards the mean service time. Cancelled means that the request was given up
// before its response, so that the upstream may run it on.
type Finished struct {
	ID        uint64
	At        time.Time
	Failed    bool
	Cancelled bool
}

// Ticked lets the gate expire reservations and queued requests. It is sent at
// short, regular intervals.
type Ticked struct{ At time.Time }

// DrainRequested stops the admission of new requests until Reopened.
type DrainRequested struct{ At time.Time }

// Reopened ends a drain because a new upstream has replaced the drained one.
type Reopened struct{ At time.Time }

// Resized changes the number of slots and the length of the queue. With 0 slots
// the gate has no upstream and refuses all requests.
type Resized struct {
	At         time.Time
	Slots      int
	QueueBound int
}

func (Arrived) event()        {}
func (Committed) event()      {}
func (Cancelled) event()      {}
func (Finished) event()       {}
func (Ticked) event()         {}
func (DrainRequested) event() {}
func (Reopened) event()       {}
func (Resized) event()        {}

// Effect is an action that the user of a Gate must perform. Only this package
// defines effects.
type Effect interface{ effect() }

// Grant reports that a slot is reserved for a request, which may now commit.
type Grant struct{ ID uint64 }

// HandOver sends a request to the upstream.
type HandOver struct{ ID uint64 }

// Refuse ends a request that has not run. RetryAfter is the time after which the
// gate expects to have a slot for it.
type Refuse struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
	Cause      Cause
}

// Drained reports that no request is left at a draining gate.
type Drained struct{}

func (Grant) effect()    {}
func (HandOver) effect() {}
func (Refuse) effect()   {}
func (Drained) effect()  {}

// Reason is the reason of a refusal. It is part of the protocol between daemons.
type Reason string

// The reasons of a refusal.
const (
	ReasonDraining  Reason = "draining"
	ReasonQueueFull Reason = "queueFull"
	// ReasonSlower means that the request would be delayed by more than its MaxDelay.
	ReasonSlower Reason = "slower"
	// ReasonBusy means that the wait for a slot is too long for the request's objective.
	ReasonBusy Reason = "busy"
	// ReasonDeadline means that the deadline has passed, or that the request
	// would still need more than half of its service time at its deadline. Its
	// value is "late" because that is part of the protocol.
	ReasonDeadline Reason = "late"
	// ReasonReservationExpired means that the reservation was not committed in time, or the
	// gate does not know it.
	ReasonReservationExpired Reason = "reservationExpired"
	ReasonCancelled          Reason = "cancelled"
	// ReasonNoUpstream means that the gate has no slots, because there is no upstream.
	ReasonNoUpstream Reason = "noUpstream"
	// ReasonEvacuated means that the data centre of the upstream is evacuated.
	ReasonEvacuated Reason = "evacuated"
	// ReasonUpstreamRefused means that the upstream itself refused the request
	// without running it.
	ReasonUpstreamRefused Reason = "upstreamRefused"
)

// Load is the load of a gate, which it reports with every response.
type Load struct {
	// Running is the number of slots in use, which includes reserved slots and those of
	// cancelled runs.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is the number of requests that may run at once: the slots of the
	// gate without the headroom.
	Slots int `json:"slots"`
	// ServiceTime is the mean time that requests took, including any slowdown.
	// JSON has it in nanoseconds.
	ServiceTime time.Duration `json:"service"`
	Draining    bool          `json:"draining"`
	// Evacuated means that the data centre is evacuated. Other daemons see it as Draining.
	Evacuated bool `json:"evacuated,omitempty"`
	// Slowness is the current service time of requests as a multiple of their
	// normal service time. 0 means that the upstream does not report it.
	Slowness float64 `json:"slowness,omitempty"`
	// SlotInterval is the mean time between two slots becoming free.
	SlotInterval time.Duration `json:"turn,omitempty"`
	// ClassServiceTime is the mean service time of the requested class at normal
	// speed. 0 means that it is unknown.
	ClassServiceTime time.Duration `json:"work,omitempty"`
	// RateLimit is what the upstream has said of its rate limit, and RateDelay the time
	// until that and the warm-up limit let a further request through.
	RateLimit RateLimit     `json:"rateLimit,omitzero"`
	RateDelay time.Duration `json:"rateDelay,omitempty"`
	// WarmupLeft is how much longer the warm-up limit is in force. It stays on this
	// daemon.
	WarmupLeft time.Duration `json:"warmupLeft,omitempty"`
	// CancelledRuns is the number of slots that are held for cancelled requests which the
	// upstream may still run. It stays on this daemon.
	CancelledRuns int `json:"cancelledRuns,omitempty"`
}

type stage uint8

const (
	stageQueued stage = iota
	// stageMeasuring means that the request waits for the upstream's slowness.
	stageMeasuring
	stageReserved
	stageRunning
)

type request struct {
	arrived Arrived
	stage   stage
	started time.Time
	// slowness is the slowness of the upstream at started.
	slowness float64
	// token is what the request has taken of the rate limit at started, and warmupToken
	// what it has taken of the warm-up limit.
	token       token
	warmupToken warmupToken
	// charged is the slot time that the workspace has been charged for at started.
	charged time.Duration
}

// Gate is the admission control of one upstream. Set the exported fields before
// the first Update. A Gate is not safe for concurrent use.
type Gate struct {
	Slots      int
	QueueBound int
	// Headroom is the fraction of the slots that is kept free, because an
	// upstream slows down when nearly all of its slots are in use.
	Headroom float64
	// MaxSlownessAge is how old the reported slowness of the upstream may become
	// while requests arrive, before the gate emits MeasureSlowness. 0 means that
	// the slowness comes with the upstream's responses only.
	MaxSlownessAge time.Duration
	// HoldCancelledRuns keeps slots in use for cancelled requests that the upstream runs on.
	// Otherwise the slot of a cancelled request is free at once.
	HoldCancelledRuns bool
	// Order is the order in which requests are served. The zero value means OrderCost.
	Order Order

	estimator
	shares        shares
	rateLimiter   rateLimiter
	warmupLimiter warmupLimiter
	handover      handover
	// lastArrivalAt is when the last request arrived, measureRequestedAt when
	// the gate last emitted MeasureSlowness.
	lastArrivalAt      time.Time
	measureRequestedAt time.Time
	// measurementCredit is how many more times the gate may emit
	// MeasureSlowness. Each arriving request adds to it.
	measurementCredit int
	// measuring holds the requests that wait for the upstream's slowness.
	measuring   []uint64
	requests    map[uint64]*request
	queue       []uint64
	slotsInUse  int
	serviceTime time.Duration
	// lastEmptyAt is when the queue was last empty.
	lastEmptyAt time.Time
	draining    bool
	drained     bool
	evacuated   bool
	// endAt is when a daemon that is stopping ends the running requests, or the zero time.
	endAt time.Time
}

// Update processes an event and returns the effects to perform, in order.
func (gate *Gate) Update(event Event) []Effect {
	if gate.requests == nil {
		gate.requests = map[uint64]*request{}
	}
	switch event := event.(type) {
	case Arrived:
		return gate.arrive(event)
	case Committed:
		return gate.commit(event)
	case Cancelled:
		return gate.cancel(event)
	case Finished:
		return gate.finish(event)
	case Ticked:
		gate.shares.prune(event.At)
		effects := append(gate.expire(event.At), gate.fillSlots(event.At)...)
		effects = append(effects, gate.decideMeasured(event.At, false)...)
		return append(effects, gate.measureSlowness(event.At)...)
	case DrainRequested:
		return gate.drain()
	case StopScheduled:
		gate.endAt = event.EndAt
		return nil
	case Reopened:
		gate.draining = false
		gate.drained = false
		return nil
	case SlownessReported:
		gate.recordSlowness(event)
		return gate.decideMeasured(event.At, true)
	case LoadReported:
		return gate.recordLoad(event)
	case CheckDue:
		return gate.checkDue(event)
	case RateLimitReported:
		gate.rateLimiter.report(event)
		return gate.fillSlots(event.At)
	case RateLimitHinted:
		gate.rateLimiter.hint(event)
		return nil
	case UpstreamStarted:
		gate.rateLimiter.start(event)
		gate.warmupLimiter.start(event)
		gate.handover.start(event)
		return nil
	case WarmupLimitSet:
		gate.warmupLimiter.set(event)
		return gate.fillSlots(event.At)
	case WarmupReported:
		gate.warmupLimiter.report(event)
		return gate.fillSlots(event.At)
	case EvacuationChanged:
		return gate.changeEvacuation(event)
	case ProbeDue:
		if !gate.evacuated && gate.warmupLimiter.allowsProbe(event.At) {
			return []Effect{AllowProbe{}}
		}
		return nil
	case OrderSelected:
		gate.Order = event.Order
		return nil
	case Resized:
		gate.Slots = event.Slots
		gate.QueueBound = event.QueueBound
		if gate.Slots == 0 {
			return append(gate.refuseQueued(ReasonNoUpstream), gate.checkDrained()...)
		}
		return gate.fillSlots(event.At)
	default:
		return nil
	}
}

// Load returns the load of the gate without SlotInterval, ClassServiceTime,
// RateDelay, WarmupLeft, CancelledRuns and Slowness.
func (gate *Gate) Load() Load {
	return Load{
		Running:     gate.slotsInUse,
		Queued:      len(gate.queue),
		Slots:       gate.capacity(),
		ServiceTime: gate.serviceTime,
		Draining:    gate.draining || gate.Slots == 0,
		Evacuated:   gate.evacuated,
		RateLimit:   gate.rateLimiter.limit,
	}
}

// LoadForClass returns the load of the gate at a time, including SlotInterval, RateDelay,
// WarmupLeft, CancelledRuns, the ClassServiceTime of a class of requests, and Slowness if the
// upstream reports it.
func (gate *Gate) LoadForClass(at time.Time, class string) Load {
	load := gate.Load()
	load.SlotInterval = gate.slotInterval(at)
	load.CancelledRuns = gate.handover.held(at)
	load.Running += load.CancelledRuns
	load.RateDelay = gate.limitDelay(at, len(gate.queue)+1)
	if gate.warmupLimiter.isLimited(at) {
		load.WarmupLeft = gate.warmupLimiter.left(at)
	}
	load.ClassServiceTime = gate.meanOfClass[class]
	if gate.slowness > 0 {
		load.Slowness = gate.slownessAt(at)
	}
	return load
}

func (gate *Gate) arrive(arrived Arrived) []Effect {
	gate.lastArrivalAt = arrived.At
	gate.measurementCredit = min(maxMeasurementCredit, gate.measurementCredit+creditPerRequest)
	switch {
	case gate.draining:
		return refuse(arrived.ID, ReasonDraining, 0)
	case gate.evacuated:
		return refuse(arrived.ID, ReasonEvacuated, 0)
	case gate.Slots == 0:
		return refuse(arrived.ID, ReasonNoUpstream, time.Second)
	}
	if _, known := gate.requests[arrived.ID]; known {
		return nil
	}
	gate.assumeServiceTime(arrived)
	if gate.shouldMeasureFirst(arrived) {
		gate.requests[arrived.ID] = &request{arrived: arrived, stage: stageMeasuring, started: arrived.At}
		gate.measuring = append(gate.measuring, arrived.ID)
		return gate.measureSlowness(arrived.At)
	}
	return gate.decide(arrived)
}

// decide refuses a request, queues it or gives it a slot.
func (gate *Gate) decide(arrived Arrived) []Effect {
	if len(gate.queue) == 0 {
		gate.lastEmptyAt = arrived.At
	}
	wait := gate.expectedWait(arrived)
	serviceTime := gate.expectedServiceTime(arrived.At, arrived.Class)
	if gate.isCutByStop(arrived, wait+stopServiceTimes*serviceTime) {
		return refuse(arrived.ID, ReasonDraining, 0)
	}
	if arrived.At.Add(wait + serviceTime/2).After(arrived.Deadline) {
		return gate.turnAway(arrived, arrived.At, ReasonDeadline, wait)
	}
	if extra := wait + gate.slowdown(arrived); arrived.MaxDelay > 0 && extra > arrived.MaxDelay {
		return refuse(arrived.ID, ReasonSlower, wait)
	}
	if gate.isTooBusy(arrived, wait) {
		return gate.turnAway(arrived, arrived.At, ReasonBusy, wait)
	}
	var effects []Effect
	if !gate.canStart(arrived.At) && len(gate.queue) >= gate.QueueBound {
		displaced, done := gate.displace(arrived, wait)
		if !done {
			return gate.turnAway(arrived, arrived.At, ReasonQueueFull, wait)
		}
		effects = displaced
	}
	gate.requests[arrived.ID] = &request{arrived: arrived}
	gate.queue = append(gate.queue, arrived.ID)
	return append(effects, gate.fillSlots(arrived.At)...)
}

// slowdown returns how much longer than at normal speed a request would run now.
func (gate *Gate) slowdown(arrived Arrived) time.Duration {
	serviceTime := gate.expectedServiceTime(arrived.At, arrived.Class)
	return serviceTime - time.Duration(float64(serviceTime)/max(1, gate.slownessAt(arrived.At)))
}

// commit hands over a reserved request, unless its reservation or its deadline
// has passed, or the upstream has named a rate limit or become cold since and there is no
// room for it.
func (gate *Gate) commit(committed Committed) []Effect {
	reserved, known := gate.requests[committed.ID]
	switch {
	case !known:
		return refuse(committed.ID, ReasonReservationExpired, 0)
	case reserved.stage != stageReserved:
		return nil
	case gate.evacuated:
		return gate.revoke(committed.ID, ReasonEvacuated, committed.At)
	case committed.At.Sub(reserved.started) >= ReservationTimeout:
		return gate.revoke(committed.ID, ReasonReservationExpired, committed.At)
	case gate.rateLimiter.isVoid(reserved.token) && gate.rateLimiter.delay(committed.At, 1) > 0:
		return gate.revoke(committed.ID, ReasonBusy, committed.At)
	case gate.warmupLimiter.isVoid(reserved.warmupToken, committed.At) && gate.warmupLimiter.delay(committed.At, 1) > 0:
		return gate.revoke(committed.ID, ReasonBusy, committed.At)
	case !committed.At.Before(reserved.arrived.Deadline):
		return gate.revoke(committed.ID, ReasonDeadline, committed.At)
	}
	if gate.rateLimiter.isVoid(reserved.token) {
		reserved.token = gate.rateLimiter.take()
	}
	if gate.warmupLimiter.isVoid(reserved.warmupToken, committed.At) {
		reserved.warmupToken = gate.warmupLimiter.take(committed.At)
	}
	reserved.stage = stageRunning
	reserved.started = committed.At
	reserved.slowness = gate.slownessAt(committed.At)
	return []Effect{HandOver{ID: committed.ID}}
}

// revoke refuses a request that holds a reservation, and frees its slot.
func (gate *Gate) revoke(id uint64, reason Reason, at time.Time) []Effect {
	gate.rateLimiter.giveBack(gate.requests[id].token)
	gate.settle(gate.requests[id], at)
	delete(gate.requests, id)
	gate.slotsInUse--
	return append(refuse(id, reason, gate.limitDelay(at, 1)), gate.fillSlots(at)...)
}

// cancel refuses a request that has not run. A running request keeps its slot
// until it finishes.
func (gate *Gate) cancel(cancelled Cancelled) []Effect {
	request, found := gate.requests[cancelled.ID]
	if !found || request.stage == stageRunning {
		return nil
	}
	if request.stage == stageReserved {
		return gate.revoke(cancelled.ID, ReasonCancelled, cancelled.At)
	}
	gate.removeQueued(cancelled.ID)
	return append(refuse(cancelled.ID, ReasonCancelled, 0), gate.checkDrained()...)
}

func (gate *Gate) finish(finished Finished) []Effect {
	request, found := gate.requests[finished.ID]
	if !found || request.stage != stageRunning {
		return nil
	}
	delete(gate.requests, finished.ID)
	gate.slotsInUse--
	gate.settle(request, finished.At)
	if finished.Cancelled {
		return gate.finishCancelled(request, finished.At)
	}
	gate.handover.finish(finished.At)
	if !finished.Failed {
		took := finished.At.Sub(request.started)
		gate.serviceTime = movingAverage(gate.serviceTime, took)
		gate.recordServiceTime(request.arrived.Class, took, (request.slowness+gate.slownessAt(finished.At))/2)
	}
	return gate.fillSlots(finished.At)
}

// drain refuses the queued requests. Running and reserved requests may finish.
func (gate *Gate) drain() []Effect {
	gate.draining = true
	return append(gate.refuseQueued(ReasonDraining), gate.checkDrained()...)
}

func (gate *Gate) checkDrained() []Effect {
	if !gate.draining || gate.drained || len(gate.requests) > 0 {
		return nil
	}
	gate.drained = true
	return []Effect{Drained{}}
}

func refuse(id uint64, reason Reason, retryAfter time.Duration) []Effect {
	return []Effect{Refuse{ID: id, Reason: reason, RetryAfter: retryAfter}}
}

// Package admit decides, in front of one upstream, which requests run, which
// wait and which are refused.
//
// A Gate is a state machine like the kernel: an Event goes in, Effects come
// out, and time is part of the event. A request is handed over to the upstream
// by a HandOver effect and by nothing else, so a Refuse effect is proof that
// the request has not run.
//
// A request that may not be repeated is reserved first: the gate grants it a
// slot and waits for the caller's commit. Until then the caller is free to go
// elsewhere.
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

// ReservationTime is how long a granted slot waits for its commit.
const ReservationTime = 2 * time.Second

// Event is something that happened to a request or to the gate. The set is
// closed.
type Event interface{ event() }

// Arrived is a new request. With Reserve it waits for a commit after its
// grant.
type Arrived struct {
	ID        uint64
	At        time.Time
	Deadline  time.Time
	Important bool
	Reserve   bool
	// Rank orders the requests that are not important, the lowest first.
	Rank int
	// Objective is when the answer loses most of its worth; the zero time
	// stands for the deadline.
	Objective time.Time
	// Class names the kind of request, for which the gate learns how long it
	// runs; it may be empty.
	Class string
	// Patience is how much longer than on an idle upstream the request may
	// take here before it is better off elsewhere; 0 means that there is no
	// better place.
	Patience time.Duration
}

// Committed lets a reserved request run.
type Committed struct {
	ID uint64
	At time.Time
}

// Cancelled ends a request that its caller has given up on.
type Cancelled struct {
	ID uint64
	At time.Time
}

// Finished ends a request that was handed over. Failed requests do not count
// for the service time.
type Finished struct {
	ID     uint64
	At     time.Time
	Failed bool
}

// Ticked lets the gate look for what has expired.
type Ticked struct{ At time.Time }

// DrainAsked stops the admission of new requests for good.
type DrainAsked struct{ At time.Time }

// Reopened ends a drain: the upstream has been replaced by a new one.
type Reopened struct{ At time.Time }

// Resized changes the limits.
type Resized struct {
	At         time.Time
	Slots      int
	QueueBound int
}

func (Arrived) event()    {}
func (Committed) event()  {}
func (Cancelled) event()  {}
func (Finished) event()   {}
func (Ticked) event()     {}
func (DrainAsked) event() {}
func (Reopened) event()   {}
func (Resized) event()    {}

// Effect is something to be done about a request. The set is closed.
type Effect interface{ effect() }

// Grant tells the caller of a reserved request to commit.
type Grant struct{ ID uint64 }

// HandOver runs the request on the upstream.
type HandOver struct{ ID uint64 }

// Refuse ends a request that has not run. RetryAfter is when to come back.
type Refuse struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

// Drained says that a draining gate has nothing left to finish.
type Drained struct{}

func (Grant) effect()    {}
func (HandOver) effect() {}
func (Refuse) effect()   {}
func (Drained) effect()  {}

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonDraining  Reason = "draining"
	ReasonQueueFull Reason = "queueFull"
	ReasonSlower    Reason = "slower"
	ReasonBusy      Reason = "busy"
	ReasonLate      Reason = "late"
	ReasonExpired   Reason = "reservationExpired"
	ReasonCancelled Reason = "cancelled"
	ReasonNoTarget  Reason = "noUpstream"
	ReasonUpstream  Reason = "upstreamRefused"
)

// Load is what a gate reports of itself with every answer.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
	// Service is the mean time that a request runs, in nanoseconds as JSON.
	Service  time.Duration `json:"service"`
	Draining bool          `json:"draining"`
	// Slowness is how long work takes at this moment, as a multiple of the
	// usual time; 0 means that the upstream does not tell.
	Slowness float64 `json:"slowness,omitempty"`
	// Turn is the mean time between two slots that come free.
	Turn time.Duration `json:"turn,omitempty"`
	// Work is how long a request of the class that was asked for runs on the
	// upstream while it is not slowed; 0 means that it is not known.
	Work time.Duration `json:"work,omitempty"`
}

type stage uint8

const (
	stageQueued stage = iota
	stageReserved
	stageRunning
)

type request struct {
	arrived Arrived
	stage   stage
	started time.Time
	// slowness is the upstream's at the start.
	slowness float64
}

// Gate is the admission of one upstream. Set the limits before the first
// Update. A Gate is used by one goroutine at a time.
type Gate struct {
	Slots      int
	QueueBound int
	// Headroom is the part of the slots that is left free, since upstreams
	// slow down when they are nearly full.
	Headroom float64
	// FreshTime is how old the upstream's word on its slowness may get while
	// requests come; 0 means that it is taken from answers only.
	FreshTime time.Duration

	work
	// arrivedAt is when the last request came, askedAt when the upstream was
	// asked for its slowness last.
	arrivedAt time.Time
	askedAt   time.Time
	// earned is the number of health checks that requests have earned.
	earned   int
	requests map[uint64]*request
	queue    []uint64
	held     int
	service  time.Duration
	// pressed is when a request was refused last that could have met its
	// objective, and its rank.
	pressed     time.Time
	pressedRank int
	// emptyAt is when the queue was empty last.
	emptyAt  time.Time
	draining bool
	drained  bool
}

// Update takes one event and returns what has to be done because of it.
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
		effects := append(gate.expire(event.At), gate.fill(event.At)...)
		return append(effects, gate.measure(event.At)...)
	case DrainAsked:
		return gate.drain()
	case Reopened:
		gate.draining = false
		gate.drained = false
		return nil
	case Told:
		gate.told(event)
		return nil
	case Resized:
		gate.Slots = event.Slots
		gate.QueueBound = event.QueueBound
		if gate.Slots == 0 {
			return append(gate.dropAll(ReasonNoTarget), gate.checkDrained()...)
		}
		return gate.fill(event.At)
	default:
		return nil
	}
}

// Load reports the gate's state.
func (gate *Gate) Load() Load {
	return Load{
		Running:  gate.held,
		Queued:   len(gate.queue),
		Slots:    gate.capacity(),
		Service:  gate.service,
		Draining: gate.draining || gate.Slots == 0,
	}
}

// LoadOf reports the gate's state at a time, with what is known of a class of
// requests.
func (gate *Gate) LoadOf(at time.Time, class string) Load {
	load := gate.Load()
	load.Turn = gate.turnTime(at)
	load.Work = gate.byClass[class]
	if gate.slowness > 0 {
		load.Slowness = gate.slownessAt(at)
	}
	return load
}

func (gate *Gate) arrive(arrived Arrived) []Effect {
	gate.arrivedAt = arrived.At
	gate.earned = min(maxEarned, gate.earned+checksPerRequest)
	switch {
	case gate.draining:
		return refuse(arrived.ID, ReasonDraining, 0)
	case gate.Slots == 0:
		return refuse(arrived.ID, ReasonNoTarget, time.Second)
	}
	if _, known := gate.requests[arrived.ID]; known {
		return nil
	}
	if len(gate.queue) == 0 {
		gate.emptyAt = arrived.At
	}
	wait := gate.expectedWait(arrived)
	run := gate.runTime(arrived.At, arrived.Class)
	if arrived.At.Add(wait + run/2).After(arrived.Deadline) {
		return refuse(arrived.ID, ReasonLate, wait)
	}
	if extra := wait + gate.slowed(arrived); arrived.Patience > 0 && extra > arrived.Patience {
		return refuse(arrived.ID, ReasonSlower, wait)
	}
	if gate.isTooBusy(arrived, wait) {
		return refuse(arrived.ID, ReasonBusy, wait)
	}
	var effects []Effect
	if gate.held >= gate.capacity() && len(gate.queue) >= gate.QueueBound {
		displaced, done := gate.displace(arrived, wait)
		if !done {
			return refuse(arrived.ID, ReasonQueueFull, wait)
		}
		effects = displaced
	}
	gate.requests[arrived.ID] = &request{arrived: arrived}
	gate.queue = append(gate.queue, arrived.ID)
	return append(effects, gate.fill(arrived.At)...)
}

// slowed is how much longer a request runs now than usually.
func (gate *Gate) slowed(arrived Arrived) time.Duration {
	run := gate.runTime(arrived.At, arrived.Class)
	return run - time.Duration(float64(run)/max(1, gate.slownessAt(arrived.At)))
}

// commit hands a reserved request over, unless its time is up.
func (gate *Gate) commit(committed Committed) []Effect {
	reserved, known := gate.requests[committed.ID]
	switch {
	case !known:
		return refuse(committed.ID, ReasonExpired, 0)
	case reserved.stage != stageReserved:
		return nil
	case committed.At.Sub(reserved.started) >= ReservationTime:
		return gate.revoke(committed.ID, ReasonExpired, committed.At)
	case !committed.At.Before(reserved.arrived.Deadline):
		return gate.revoke(committed.ID, ReasonLate, committed.At)
	}
	reserved.stage = stageRunning
	reserved.started = committed.At
	reserved.slowness = gate.slownessAt(committed.At)
	return []Effect{HandOver{ID: committed.ID}}
}

// revoke takes a slot back from a request that has not run.
func (gate *Gate) revoke(id uint64, reason Reason, at time.Time) []Effect {
	delete(gate.requests, id)
	gate.held--
	return append(refuse(id, reason, 0), gate.fill(at)...)
}

// cancel refuses a request that has not run. One that runs goes on to hold its
// slot until it has finished.
func (gate *Gate) cancel(cancelled Cancelled) []Effect {
	known, found := gate.requests[cancelled.ID]
	if !found || known.stage == stageRunning {
		return nil
	}
	if known.stage == stageReserved {
		return gate.revoke(cancelled.ID, ReasonCancelled, cancelled.At)
	}
	gate.drop(cancelled.ID)
	return append(refuse(cancelled.ID, ReasonCancelled, 0), gate.checkDrained()...)
}

func (gate *Gate) finish(finished Finished) []Effect {
	known, found := gate.requests[finished.ID]
	if !found || known.stage != stageRunning {
		return nil
	}
	delete(gate.requests, finished.ID)
	gate.held--
	if !finished.Failed {
		took := finished.At.Sub(known.started)
		gate.service = meanOf(gate.service, took)
		gate.learn(known.arrived.Class, took, (known.slowness+gate.slownessAt(finished.At))/2)
	}
	return gate.fill(finished.At)
}

// drain refuses what waits; what runs or is reserved may finish.
func (gate *Gate) drain() []Effect {
	gate.draining = true
	return append(gate.dropAll(ReasonDraining), gate.checkDrained()...)
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

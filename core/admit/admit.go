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
	"math"
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
}

// Gate is the admission of one upstream. Set the limits before the first
// Update. A Gate is used by one goroutine at a time.
type Gate struct {
	Slots      int
	QueueBound int

	requests  map[uint64]*request
	important []uint64
	ordinary  []uint64
	held      int
	service   time.Duration
	draining  bool
	drained   bool
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
		return append(gate.expire(event.At), gate.fill(event.At)...)
	case DrainAsked:
		return gate.drain()
	case Reopened:
		gate.draining = false
		gate.drained = false
		return nil
	case Resized:
		gate.Slots = event.Slots
		gate.QueueBound = event.QueueBound
		return gate.fill(event.At)
	default:
		return nil
	}
}

// Load reports the gate's state.
func (gate *Gate) Load() Load {
	return Load{
		Running:  gate.held,
		Queued:   gate.queued(),
		Slots:    gate.Slots,
		Service:  gate.service,
		Draining: gate.draining,
	}
}

func (gate *Gate) arrive(arrived Arrived) []Effect {
	switch {
	case gate.draining:
		return refuse(arrived.ID, ReasonDraining, 0)
	case gate.Slots == 0:
		return refuse(arrived.ID, ReasonNoTarget, time.Second)
	}
	if _, known := gate.requests[arrived.ID]; known {
		return nil
	}
	wait := gate.expectedWait(arrived.Important)
	if arrived.At.Add(wait + gate.service/2).After(arrived.Deadline) {
		return refuse(arrived.ID, ReasonLate, wait)
	}
	var effects []Effect
	if gate.held >= gate.Slots && gate.queued() >= gate.QueueBound {
		if !arrived.Important || len(gate.ordinary) == 0 {
			return refuse(arrived.ID, ReasonQueueFull, wait)
		}
		effects = gate.displace(wait)
	}
	gate.requests[arrived.ID] = &request{arrived: arrived}
	gate.enqueue(arrived)
	return append(effects, gate.fill(arrived.At)...)
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
	gate.unqueue(cancelled.ID)
	delete(gate.requests, cancelled.ID)
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
		gate.learn(finished.At.Sub(known.started))
	}
	return gate.fill(finished.At)
}

func (gate *Gate) learn(took time.Duration) {
	if gate.service == 0 {
		gate.service = took
		return
	}
	mean := float64(gate.service)*(1-serviceWeight) + float64(took)*serviceWeight
	gate.service = time.Duration(math.Round(mean))
}

// drain refuses what waits; what runs or is reserved may finish.
func (gate *Gate) drain() []Effect {
	gate.draining = true
	var effects []Effect
	for {
		id, found := gate.dequeue()
		if !found {
			break
		}
		delete(gate.requests, id)
		effects = append(effects, refuse(id, ReasonDraining, 0)...)
	}
	return append(effects, gate.checkDrained()...)
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

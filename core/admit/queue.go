package admit

import (
	"maps"
	"slices"
	"time"
)

func (gate *Gate) queued() int { return len(gate.important) + len(gate.ordinary) }

func (gate *Gate) enqueue(arrived Arrived) {
	if arrived.Important {
		gate.important = append(gate.important, arrived.ID)
		return
	}
	gate.ordinary = append(gate.ordinary, arrived.ID)
}

// displace refuses the newest ordinary request to make room for an important
// one.
func (gate *Gate) displace(wait time.Duration) []Effect {
	last := len(gate.ordinary) - 1
	id := gate.ordinary[last]
	gate.ordinary = gate.ordinary[:last]
	delete(gate.requests, id)
	return refuse(id, ReasonQueueFull, wait)
}

// expectedWait is the time until a request that arrives now gets a slot.
func (gate *Gate) expectedWait(important bool) time.Duration {
	ahead := len(gate.important)
	if !important {
		ahead += len(gate.ordinary)
	}
	if gate.held < gate.Slots && ahead == 0 {
		return 0
	}
	return gate.service * time.Duration(ahead+1) / time.Duration(max(1, gate.Slots))
}

// fill gives free slots to waiting requests, the important ones first.
func (gate *Gate) fill(at time.Time) []Effect {
	var effects []Effect
	for gate.held < gate.Slots {
		id, found := gate.dequeue()
		if !found {
			break
		}
		waiting := gate.requests[id]
		if at.Add(gate.service / 2).After(waiting.arrived.Deadline) {
			delete(gate.requests, id)
			effects = append(effects, refuse(id, ReasonLate, gate.expectedWait(false))...)
			continue
		}
		gate.held++
		waiting.started = at
		if waiting.arrived.Reserve {
			waiting.stage = stageReserved
			effects = append(effects, Grant{ID: id})
			continue
		}
		waiting.stage = stageRunning
		effects = append(effects, HandOver{ID: id})
	}
	return append(effects, gate.checkDrained()...)
}

func (gate *Gate) dequeue() (uint64, bool) {
	for _, queue := range []*[]uint64{&gate.important, &gate.ordinary} {
		if len(*queue) > 0 {
			id := (*queue)[0]
			*queue = (*queue)[1:]
			return id, true
		}
	}
	return 0, false
}

func (gate *Gate) unqueue(id uint64) {
	for _, queue := range []*[]uint64{&gate.important, &gate.ordinary} {
		for index, queued := range *queue {
			if queued == id {
				*queue = append((*queue)[:index:index], (*queue)[index+1:]...)
				return
			}
		}
	}
}

// serviceWeight is the part that one request has in the mean service time.
const serviceWeight = 0.1

// expire takes back the slots of reservations that were never committed, and
// refuses the queued requests whose deadline has passed.
func (gate *Gate) expire(at time.Time) []Effect {
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(gate.requests)) {
		known, found := gate.requests[id]
		if !found {
			continue
		}
		switch {
		case known.stage == stageReserved && at.Sub(known.started) >= ReservationTime:
			effects = append(effects, gate.revoke(id, ReasonExpired, at)...)
		case known.stage == stageQueued && !at.Before(known.arrived.Deadline):
			gate.unqueue(id)
			delete(gate.requests, id)
			effects = append(effects, refuse(id, ReasonLate, 0)...)
		}
	}
	return effects
}

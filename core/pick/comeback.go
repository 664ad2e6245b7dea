package pick

import "time"

// Bounds of the time after which a refused caller may come back.
const (
	// minComeback keeps refused callers from asking again at once.
	minComeback = 50 * time.Millisecond
	// unknownComeback stands where no gate has said when it expects room.
	unknownComeback = 200 * time.Millisecond
	// comebackPart is the part of the time left that a caller waits at most.
	comebackPart = 3
	// comebackSpread is how much shorter or longer the time may be, as a part
	// of it, so that callers who were refused together do not return together.
	comebackSpread = 0.3
)

// Refusal is what is known when a caller is refused by a service's targets.
type Refusal struct {
	// Left is the time until the caller's deadline, Objective that until the
	// answer loses most of its worth.
	Left      time.Duration
	Objective time.Duration
	// Room is when a gate expects room; 0 means that none has said.
	Room time.Duration
	// Work is how long the request runs.
	Work time.Duration
}

// Comeback is when a refused caller may come back: when a gate expects room,
// within a third of the time that it has left, and spread by chance, a number
// from 0 to 1. One that would miss its objective by then gives way to those
// that can still meet theirs, and comes back as late as it may.
func (refusal Refusal) Comeback(chance float64) time.Duration {
	longest := refusal.Left / comebackPart
	room := refusal.Room
	if room <= 0 {
		room = unknownComeback
	}
	if room+refusal.Work > refusal.Objective {
		room = longest
	}
	room = max(minComeback, room)
	factor := 1 - comebackSpread + 2*comebackSpread*chance
	return max(minComeback, min(longest, time.Duration(float64(room)*factor)))
}

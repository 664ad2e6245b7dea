package caller

import (
	"math/rand/v2"
	"time"
)

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

// comeback is when a caller that is refused by a route's targets may come
// back: when a gate expects room, within a third of the time that it has left,
// and spread. One that would miss its objective by then gives way to those that
// can still meet theirs, and comes back as late as it may.
func (request *request) comeback(now time.Time, room time.Duration) time.Duration {
	longest := request.patience.Sub(now) / comebackPart
	if room <= 0 {
		room = unknownComeback
	}
	if now.Add(room + request.work).After(request.objective) {
		room = longest
	}
	room = max(minComeback, room)
	factor := 1 - comebackSpread + 2*comebackSpread*rand.Float64()
	return max(minComeback, min(longest, time.Duration(float64(room)*factor)))
}

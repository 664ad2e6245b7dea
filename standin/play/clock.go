package play

import (
	"container/heap"
	"time"
)

// clock runs functions at virtual times, equal ones in the order in which they
// were asked for.
type clock struct {
	now   time.Time
	order uint64
	due   moments
}

type moment struct {
	at    time.Time
	order uint64
	run   func()
}

// at runs a function at a time, or now if that has passed.
func (clock *clock) at(at time.Time, run func()) {
	if at.Before(clock.now) {
		at = clock.now
	}
	clock.order++
	heap.Push(&clock.due, moment{at, clock.order, run})
}

// after runs a function after a time.
func (clock *clock) after(wait time.Duration, run func()) { clock.at(clock.now.Add(wait), run) }

// runUntil runs all that is due before a time.
func (clock *clock) runUntil(end time.Time) {
	for len(clock.due) > 0 && clock.due[0].at.Before(end) {
		next := heap.Pop(&clock.due).(moment)
		clock.now = next.at
		next.run()
	}
	clock.now = end
}

type moments []moment

func (moments moments) Len() int { return len(moments) }

func (moments moments) Less(i, j int) bool {
	if moments[i].at.Equal(moments[j].at) {
		return moments[i].order < moments[j].order
	}
	return moments[i].at.Before(moments[j].at)
}

func (moments moments) Swap(i, j int) { moments[i], moments[j] = moments[j], moments[i] }

// Push and Pop are for container/heap.
func (moments *moments) Push(value any) { *moments = append(*moments, value.(moment)) }

// Pop removes the last one.
func (moments *moments) Pop() any {
	last := len(*moments) - 1
	value := (*moments)[last]
	(*moments)[last] = moment{}
	*moments = (*moments)[:last]
	return value
}

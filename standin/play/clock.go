package play

import (
	"container/heap"
	"time"
)

// clock runs functions at virtual times. Functions with the same time run in the
// order in which they were scheduled.
type clock struct {
	now      time.Time
	sequence uint64
	timers   timerHeap
}

type timer struct {
	at       time.Time
	sequence uint64
	run      func()
}

// runAt schedules a function for a time, or for now if that time has passed.
func (clock *clock) runAt(at time.Time, run func()) {
	if at.Before(clock.now) {
		at = clock.now
	}
	clock.sequence++
	heap.Push(&clock.timers, timer{at, clock.sequence, run})
}

// runAfter schedules a function to run after a delay.
func (clock *clock) runAfter(delay time.Duration, run func()) { clock.runAt(clock.now.Add(delay), run) }

// runUntil runs all functions that are due before end.
func (clock *clock) runUntil(end time.Time) {
	for len(clock.timers) > 0 && clock.timers[0].at.Before(end) {
		next := heap.Pop(&clock.timers).(timer)
		clock.now = next.at
		next.run()
	}
	clock.now = end
}

// timerHeap implements heap.Interface.
type timerHeap []timer

func (timers timerHeap) Len() int { return len(timers) }

func (timers timerHeap) Less(i, j int) bool {
	if timers[i].at.Equal(timers[j].at) {
		return timers[i].sequence < timers[j].sequence
	}
	return timers[i].at.Before(timers[j].at)
}

func (timers timerHeap) Swap(i, j int) { timers[i], timers[j] = timers[j], timers[i] }

// Push implements heap.Interface.
func (timers *timerHeap) Push(value any) { *timers = append(*timers, value.(timer)) }

// Pop implements heap.Interface.
func (timers *timerHeap) Pop() any {
	last := len(*timers) - 1
	value := (*timers)[last]
	(*timers)[last] = timer{}
	*timers = (*timers)[:last]
	return value
}

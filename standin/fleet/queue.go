package fleet

import (
	"time"

	"ibislift/core/kernel"
)

// event is due at a virtual time. It is a message or a tick for a node, or a
// function to run.
type event struct {
	at      time.Time
	order   uint64
	node    *Node
	message kernel.Message
	tick    bool
	run     func()
}

// queue is a heap of events in order of time, and of creation for equal times.
type queue []event

func (queue queue) Len() int { return len(queue) }

func (queue queue) Less(i, j int) bool {
	if queue[i].at.Equal(queue[j].at) {
		return queue[i].order < queue[j].order
	}
	return queue[i].at.Before(queue[j].at)
}

func (queue queue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }

// Push appends an event. Push and Pop implement heap.Interface.
func (queue *queue) Push(value any) { *queue = append(*queue, value.(event)) }

// Pop removes and returns the last event.
func (queue *queue) Pop() any {
	last := len(*queue) - 1
	value := (*queue)[last]
	*queue = (*queue)[:last]
	return value
}

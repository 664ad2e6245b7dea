package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
)

var startTime = time.Unix(1_800_000_000, 0)

// newGateWithServiceTime returns a gate whose upstream has run one request of a class
// in the given time.
func newGateWithServiceTime(slots int, class string, took time.Duration) *admit.Gate {
	gate := &admit.Gate{Slots: slots, QueueBound: 100}
	gate.Update(admit.Arrived{ID: 1, At: startTime, Deadline: startTime.Add(time.Hour), Class: class})
	gate.Update(admit.Finished{ID: 1, At: startTime.Add(took)})
	return gate
}

func TestMaxDelay(t *testing.T) {
	at := startTime.Add(time.Second)
	arrived := admit.Arrived{ID: 2, At: at, Deadline: at.Add(time.Minute), Class: "read", MaxDelay: 100 * time.Millisecond}
	effectOf := func(slowness float64, arrived admit.Arrived) admit.Effect {
		gate := newGateWithServiceTime(4, "read", 80*time.Millisecond)
		gate.Update(admit.SlownessReported{At: at, Slowness: slowness})
		return gate.Update(arrived)[0]
	}
	t.Run("a slow upstream refuses a request that is delayed too much", func(t *testing.T) {
		is.New(t).Equal(effectOf(4, arrived).(admit.Refuse).Reason, admit.ReasonSlower)
	})
	t.Run("an upstream at normal speed runs the request", func(t *testing.T) {
		is.New(t).Equal(effectOf(1, arrived), admit.Effect(admit.HandOver{ID: 2}))
	})
	t.Run("a request without a limit on its delay runs on a slow upstream", func(t *testing.T) {
		unlimited := arrived
		unlimited.MaxDelay = 0
		is.New(t).Equal(effectOf(4, unlimited), admit.Effect(admit.HandOver{ID: 2}))
	})
	t.Run("a delay below the limit is accepted", func(t *testing.T) {
		later := arrived
		later.At = at.Add(time.Second)
		later.MaxDelay = 300 * time.Millisecond
		is.New(t).Equal(effectOf(4, later), admit.Effect(admit.HandOver{ID: 2}))
	})
	t.Run("an old report of slowness gives way to the mean", func(t *testing.T) {
		for age, refused := range map[time.Duration]bool{0: true, time.Minute: false} {
			gate := newGateWithServiceTime(4, "read", 80*time.Millisecond)
			for number := range 100 {
				gate.Update(admit.SlownessReported{At: at.Add(time.Duration(number) * time.Second), Slowness: 1})
			}
			reportedAt := at.Add(100 * time.Second)
			gate.Update(admit.SlownessReported{At: reportedAt, Slowness: 4})
			later := arrived
			later.At = reportedAt.Add(age)
			later.Deadline = later.At.Add(time.Minute)
			_, isRefusal := gate.Update(later)[0].(admit.Refuse)
			is.New(t).Equal(isRefusal, refused)
		}
	})
}

func TestQueueOrder(t *testing.T) {
	at := startTime.Add(time.Second)
	// newQueue returns a gate on whose single slot request 2 runs, with the
	// arrivals in the queue.
	newQueue := func(arrivals ...admit.Arrived) *admit.Gate {
		gate := newGateWithServiceTime(1, "read", 100*time.Millisecond)
		gate.Update(admit.Arrived{ID: 2, At: at, Deadline: at.Add(time.Minute), Class: "read"})
		for _, arrived := range arrivals {
			arrived.At = at
			arrived.Class = "read"
			if arrived.Deadline.IsZero() {
				arrived.Deadline = at.Add(10 * time.Second)
			}
			gate.Update(arrived)
		}
		return gate
	}
	// effectAfterFinish returns the first effect when request 2 finishes.
	effectAfterFinish := func(gate *admit.Gate, after time.Duration) admit.Effect {
		return gate.Update(admit.Finished{ID: 2, At: at.Add(after)})[0]
	}
	t.Run("a request that can meet its objective goes before one that cannot", func(t *testing.T) {
		gate := newQueue(admit.Arrived{ID: 3, Objective: at.Add(50 * time.Millisecond)}, admit.Arrived{ID: 4, Rank: 5, Objective: at.Add(2 * time.Second)})
		is.New(t).Equal(effectAfterFinish(gate, 100*time.Millisecond), admit.Effect(admit.HandOver{ID: 4}))
	})
	t.Run("then the lower rank goes first", func(t *testing.T) {
		gate := newQueue(admit.Arrived{ID: 3, Rank: 2, Objective: at.Add(time.Second)}, admit.Arrived{ID: 4, Rank: 1, Objective: at.Add(2 * time.Second)})
		is.New(t).Equal(effectAfterFinish(gate, 100*time.Millisecond), admit.Effect(admit.HandOver{ID: 4}))
	})
	t.Run("then the earlier objective goes first", func(t *testing.T) {
		gate := newQueue(admit.Arrived{ID: 3, Objective: at.Add(2 * time.Second)}, admit.Arrived{ID: 4, Objective: at.Add(time.Second)})
		is.New(t).Equal(effectAfterFinish(gate, 100*time.Millisecond), admit.Effect(admit.HandOver{ID: 4}))
	})
	t.Run("a request that cannot finish in time is refused long before its deadline", func(t *testing.T) {
		gate := newQueue(admit.Arrived{ID: 3}, admit.Arrived{ID: 4, Deadline: at.Add(190 * time.Millisecond)})
		effects := gate.Update(admit.Arrived{ID: 5, At: at, Deadline: at.Add(190 * time.Millisecond), Class: "read"})
		is.New(t).Equal(effects[0].(admit.Refuse).Reason, admit.ReasonDeadline)
	})
	t.Run("queued requests are refused when the upstream is gone", func(t *testing.T) {
		gate := newQueue(admit.Arrived{ID: 3}, admit.Arrived{ID: 4})
		is.New(t).Equal(len(gate.Update(admit.Resized{At: at})), 2)
	})
}

func TestHeadroom(t *testing.T) {
	gate := &admit.Gate{Slots: 13, QueueBound: 100, Headroom: 0.2}
	handed := 0
	for id := range uint64(20) {
		for _, effect := range gate.Update(admit.Arrived{ID: id + 1, At: startTime, Deadline: startTime.Add(time.Minute)}) {
			if _, handsOver := effect.(admit.HandOver); handsOver {
				handed++
			}
		}
	}
	is.New(t).Equal(handed, 10)
}

// TestGateThatHasJustStarted guards against a gate that expects no wait because no request
// has finished: after an outage it would queue all callers that come back until they are
// late.
func TestGateThatHasJustStarted(t *testing.T) {
	const objective = time.Second
	gate := &admit.Gate{Slots: 4, QueueBound: 100}
	accepted := 0
	for number := range 60 {
		at := startTime.Add(time.Duration(number) * 10 * time.Millisecond)
		effects := gate.Update(admit.Arrived{ID: uint64(number + 1), At: at, Deadline: at.Add(5 * objective), Objective: at.Add(objective), Class: "read"})
		if len(effects) == 0 {
			accepted++
			continue
		}
		if refusal, isRefusal := effects[0].(admit.Refuse); isRefusal {
			is.New(t).Equal(refusal.Reason, admit.ReasonBusy)
			is.New(t).True(refusal.RetryAfter > 0)
		}
	}
	// With the assumed service time of 250 ms, 16 requests a second get a slot.
	is.New(t).True(accepted < 30)
}

package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
)

func TestMeasure(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	const maxAge = 100 * time.Millisecond
	// countMeasurements counts the measurements that a gate requests within a
	// second in which a request arrives at the given interval. An interval of 0
	// means no requests.
	countMeasurements := func(gate *admit.Gate, every time.Duration) int {
		count := 0
		for step := range 100 {
			at := start.Add(time.Duration(step) * 10 * time.Millisecond)
			if every > 0 && at.Sub(start)%every == 0 {
				gate.Update(admit.Arrived{ID: uint64(step + 1), At: at, Deadline: at.Add(time.Second)})
				gate.Update(admit.Finished{ID: uint64(step + 1), At: at})
			}
			for _, effect := range gate.Update(admit.Ticked{At: at}) {
				if _, measures := effect.(admit.MeasureSlowness); measures {
					count++
				}
			}
		}
		return count
	}
	newGate := func() *admit.Gate {
		gate := &admit.Gate{Slots: 2, QueueBound: 4, MaxSlownessAge: maxAge}
		gate.Update(admit.SlownessReported{At: start.Add(-time.Minute), Slowness: 1})
		return gate
	}
	t.Run("at most once per maximum age while requests arrive", func(t *testing.T) {
		is.New(t).Equal(countMeasurements(newGate(), 50*time.Millisecond), 10)
	})
	t.Run("at most twice per request", func(t *testing.T) {
		is.New(t).Equal(countMeasurements(newGate(), 500*time.Millisecond), 4) // two requests, two measurements each
	})
	t.Run("not without requests", func(t *testing.T) {
		is.New(t).Equal(countMeasurements(newGate(), 0), 0)
	})
	t.Run("not if the upstream does not report its slowness", func(t *testing.T) {
		is.New(t).Equal(countMeasurements(&admit.Gate{Slots: 2, QueueBound: 4, MaxSlownessAge: maxAge}, 200*time.Millisecond), 0)
	})
	t.Run("not if the maximum age is 0", func(t *testing.T) {
		gate := newGate()
		gate.MaxSlownessAge = 0
		is.New(t).Equal(countMeasurements(gate, 200*time.Millisecond), 0)
	})
	t.Run("not while responses report the slowness often enough", func(t *testing.T) {
		gate := newGate()
		count := 0
		for step := range 100 {
			at := start.Add(time.Duration(step) * 10 * time.Millisecond)
			gate.Update(admit.Arrived{ID: uint64(step + 1), At: at, Deadline: at.Add(time.Second)})
			gate.Update(admit.SlownessReported{At: at, Slowness: 1})
			gate.Update(admit.Finished{ID: uint64(step + 1), At: at})
			for _, effect := range gate.Update(admit.Ticked{At: at}) {
				if _, measures := effect.(admit.MeasureSlowness); measures {
					count++
				}
			}
		}
		is.New(t).Equal(count, 0)
	})
	t.Run("not while the gate drains", func(t *testing.T) {
		gate := newGate()
		gate.Update(admit.DrainRequested{At: start})
		is.New(t).Equal(countMeasurements(gate, 200*time.Millisecond), 0)
	})
}

// TestMeasureFirst checks what a gate does with a request that could go to another
// target, when the last report of the upstream's slowness is old.
func TestMeasureFirst(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	newGate := func() *admit.Gate {
		gate := &admit.Gate{Slots: 4, QueueBound: 4, MaxSlownessAge: 100 * time.Millisecond}
		gate.Update(admit.SlownessReported{At: start.Add(-10 * time.Second), Slowness: 1})
		gate.Update(admit.Arrived{ID: 1, At: start.Add(-10 * time.Second), Deadline: start})
		gate.Update(admit.Finished{ID: 1, At: start.Add(-9600 * time.Millisecond)}) // a service time of 400 ms
		return gate
	}
	request := admit.Arrived{ID: 2, At: start, Deadline: start.Add(10 * time.Second), MaxDelay: 300 * time.Millisecond}
	t.Run("it measures and refuses the request if the upstream has become slow", func(t *testing.T) {
		is := is.New(t)
		gate := newGate()
		is.Equal(gate.Update(request), []admit.Effect{admit.MeasureSlowness{}})
		effects := gate.Update(admit.SlownessReported{At: start.Add(7 * time.Millisecond), Slowness: 4})
		is.Equal(len(effects), 1)
		is.Equal(effects[0].(admit.Refuse).Reason, admit.ReasonSlower)
	})
	t.Run("it runs the request if the upstream is not slow", func(t *testing.T) {
		is := is.New(t)
		gate := newGate()
		gate.Update(request)
		is.Equal(gate.Update(admit.SlownessReported{At: start.Add(7 * time.Millisecond), Slowness: 1}), []admit.Effect{admit.HandOver{ID: 2}})
	})
	t.Run("it does not wait for long", func(t *testing.T) {
		is := is.New(t)
		gate := newGate()
		gate.Update(request)
		is.Equal(len(gate.Update(admit.Ticked{At: start.Add(20 * time.Millisecond)})), 0)
		is.Equal(gate.Update(admit.Ticked{At: start.Add(40 * time.Millisecond)}), []admit.Effect{admit.HandOver{ID: 2}})
	})
	t.Run("it does not wait if no other target is better", func(t *testing.T) {
		lone := request
		lone.MaxDelay = 0
		is.New(t).Equal(newGate().Update(lone), []admit.Effect{admit.HandOver{ID: 2}})
	})
	t.Run("a request that is cancelled or meets a drain meanwhile does not run", func(t *testing.T) {
		is := is.New(t)
		for event, reason := range map[admit.Event]admit.Reason{
			admit.Cancelled{ID: 2, At: start}:                 admit.ReasonCancelled,
			admit.DrainRequested{At: start}:                   admit.ReasonDraining,
			admit.Resized{At: start, Slots: 0, QueueBound: 4}: admit.ReasonNoUpstream,
		} {
			gate := newGate()
			gate.Update(request)
			is.Equal(gate.Update(event)[0].(admit.Refuse).Reason, reason)
			is.Equal(len(gate.Update(admit.SlownessReported{At: start.Add(7 * time.Millisecond), Slowness: 1})), 0)
		}
	})
}

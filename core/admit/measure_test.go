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

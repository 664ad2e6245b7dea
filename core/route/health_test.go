package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/core/profile"
	"ibislift/core/route"
)

func TestAssessHealth(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	ejection := profile.Default().Ejection
	assess := func(tracker *route.Tracker, at time.Time, previous route.Health) route.Health {
		return tracker.AssessHealth(at, func(string) route.Health { return previous })["a"]
	}
	t.Run("a healthy target is not listed", func(t *testing.T) {
		tracker := &route.Tracker{}
		tracker.RecordResponse("a", start, time.Millisecond)
		is.New(t).Equal(len(tracker.AssessHealth(start, func(string) route.Health { return route.Health{} })), 0)
	})
	t.Run("a slow target is listed until it is fast again", func(t *testing.T) {
		tracker := &route.Tracker{}
		is := is.New(t)
		tracker.RecordReport("b", start, admit.Load{Slots: 1, Slowness: 1})
		tracker.RecordReport("a", start, admit.Load{Slots: 1, Slowness: 4})
		slow := assess(tracker, start, route.Health{})
		is.True(slow.Slow)
		tracker.RecordReport("a", start, admit.Load{Slots: 1, Slowness: 1})
		is.True(assess(tracker, start.Add(100*time.Millisecond), slow).Slow) // the slowness is smoothed
		tracker.RecordReport("a", start.Add(10*time.Second), admit.Load{Slots: 1, Slowness: 1.5})
		is.True(assess(tracker, start.Add(10*time.Second), slow).Slow)            // above half of the threshold
		is.True(!assess(tracker, start.Add(10*time.Second), route.Health{}).Slow) // but below the threshold itself
		is.True(!assess(tracker, start.Add(time.Minute), slow).Slow)              // an old report does not count
	})
	t.Run("failing and ejected are set after failures and end later", func(t *testing.T) {
		tracker := &route.Tracker{}
		is := is.New(t)
		for range ejection.ConsecutiveFailures {
			tracker.RecordFailure("a", start, ejection)
		}
		unhealthy := assess(tracker, start, route.Health{})
		is.True(unhealthy.Failing)
		is.True(unhealthy.Ejected)
		is.Equal(assess(tracker, start.Add(time.Hour), unhealthy), route.Health{})
	})
}

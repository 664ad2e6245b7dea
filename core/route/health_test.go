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
	rules := profile.Default().Ejection
	assess := func(tracker *route.Book, at time.Time, previous route.Judgement) route.Judgement {
		return tracker.Judge(at, func(string) route.Judgement { return previous })["a"]
	}
	t.Run("a healthy target is not listed", func(t *testing.T) {
		tracker := &route.Book{}
		tracker.Answered("a", start, time.Millisecond)
		is.New(t).Equal(len(tracker.Judge(start, func(string) route.Judgement { return route.Judgement{} })), 0)
	})
	t.Run("a slow target is listed until it is fast again", func(t *testing.T) {
		tracker := &route.Book{}
		is := is.New(t)
		tracker.Reported("b", start, admit.Load{Slots: 1, Slowness: 1})
		tracker.Reported("a", start, admit.Load{Slots: 1, Slowness: 4})
		slow := assess(tracker, start, route.Judgement{})
		is.True(slow.Slow)
		tracker.Reported("a", start, admit.Load{Slots: 1, Slowness: 1})
		is.True(assess(tracker, start.Add(100*time.Millisecond), slow).Slow) // the slowness is smoothed
		tracker.Reported("a", start.Add(10*time.Second), admit.Load{Slots: 1, Slowness: 1.5})
		is.True(assess(tracker, start.Add(10*time.Second), slow).Slow)               // above half of the threshold
		is.True(!assess(tracker, start.Add(10*time.Second), route.Judgement{}).Slow) // but below the threshold itself
		is.True(!assess(tracker, start.Add(time.Minute), slow).Slow)                 // an old report does not count
	})
	t.Run("failing and ejected are set after failures and end later", func(t *testing.T) {
		tracker := &route.Book{}
		is := is.New(t)
		for range rules.ConsecutiveFailures {
			tracker.Failed("a", start, rules)
		}
		unhealthy := assess(tracker, start, route.Judgement{})
		is.True(unhealthy.Failing)
		is.True(unhealthy.Ejected)
		is.Equal(assess(tracker, start.Add(time.Hour), unhealthy), route.Judgement{})
	})
}

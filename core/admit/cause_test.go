package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/admit"
)

// TestCause guards against refusals of which an operator cannot see why other requests of
// the same class are served.
func TestCause(t *testing.T) {
	newHotLine := func(bound int) *line {
		line := newLine(bound)
		line.run("other", "any", time.Millisecond)
		line.run("hot", "any", time.Millisecond)
		line.run("hot", "any", time.Second)
		return line
	}
	t.Run("a request that a more urgent one displaces", func(t *testing.T) {
		is := is.New(t)
		line := newLine(1)
		line.add("a", 1)
		queued := line.add("a", 2)
		_, effects := line.arrive("b", "any", 1, time.Minute, time.Hour)
		is.Equal(refusal(effects).ID, queued)
		cause := refusal(effects).Cause
		is.Equal(cause.Criterion(), admit.CriterionRank)
		is.Equal(cause.String(), "displaced, 1 before it by rank")
	})
	t.Run("a request of a workspace that uses more than its share", func(t *testing.T) {
		is := is.New(t)
		line := newHotLine(2)
		line.add("hot", 1)
		line.add("other", 1)
		line.add("other", 1)
		_, effects := line.arrive("hot", "any", 1, time.Minute, time.Hour)
		cause := refusal(effects).Cause
		is.Equal(cause.Criterion(), admit.CriterionUse)
		is.Equal(cause.AheadByUse, 2)
		is.True(!cause.Displaced)
		is.True(cause.OverUse > 0)
	})
	t.Run("a request that is displaced because of its workspace's use", func(t *testing.T) {
		is := is.New(t)
		line := newHotLine(1)
		line.add("hot", 1)
		line.add("hot", 1)
		_, effects := line.arrive("other", "any", 1, time.Minute, time.Hour)
		cause := refusal(effects).Cause
		is.Equal(cause.Criterion(), admit.CriterionUse)
		is.True(cause.Displaced)
	})
	t.Run("a request that is refused for want of capacity alone", func(t *testing.T) {
		is := is.New(t)
		line := newLine(1)
		line.add("a", 1)
		line.add("a", 1)
		_, effects := line.arrive("a", "any", 1, 2*time.Minute, time.Hour)
		is.Equal(refusal(effects).Reason, admit.ReasonQueueFull)
		is.Equal(refusal(effects).Cause.Criterion(), admit.CriterionNone)
	})
	t.Run("no cause without the order by cost", func(t *testing.T) {
		is := is.New(t)
		line := newHotLine(1)
		line.gate.Order = admit.OrderObjective
		line.add("hot", 1)
		line.add("hot", 2)
		_, effects := line.arrive("other", "any", 1, time.Minute, time.Hour)
		is.Equal(refusal(effects).Reason, admit.ReasonQueueFull)
		is.Equal(refusal(effects).Cause, admit.Cause{})
	})
	t.Run("the text names the use", func(t *testing.T) {
		is := is.New(t)
		is.Equal(admit.Cause{OverUse: 3.14, AheadByUse: 2}.String(), "workspace uses 3.1 times its share")
		is.Equal(admit.Cause{OverUse: 3.14, Keyless: true}.String(), "requests without a key use 3.1 times their share")
		is.Equal(admit.Cause{OverUse: 0.5}.String(), "")
	})
	t.Run("the text is bounded", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			cause := admit.Cause{
				Displaced: rapid.Bool().Draw(t, "displaced"), Keyless: rapid.Bool().Draw(t, "keyless"), OverUse: rapid.Float64Min(0).Draw(t, "use"),
				AheadByRank: rapid.IntRange(0, 999_999).Draw(t, "byRank"), AheadByUse: rapid.IntRange(0, 999_999).Draw(t, "byUse"),
			}
			if text := cause.String(); len(text) > 100 {
				t.Fatalf("%d bytes: %s", len(text), text)
			}
		})
	})
}

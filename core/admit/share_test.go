package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestShares(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	t.Run("the state is bounded, whatever number of workspaces sends", func(t *testing.T) {
		is := is.New(t)
		var shares shares
		for number := range 10_000 {
			shares.charge(fmt.Sprint(number), start, time.Second)
		}
		is.Equal(len(shares.byWorkspace), maxShares)
	})
	t.Run("an idle workspace costs nothing", func(t *testing.T) {
		is := is.New(t)
		var shares shares
		shares.charge("a", start, time.Second)
		shares.count("a", start, true)
		shares.prune(start.Add(time.Second))
		is.True(shares.inUse())
		shares.prune(start.Add(10 * usualUseTime))
		is.True(!shares.inUse())
	})
	t.Run("a large workspace at its usual rate uses less of its share than a small one that surges", func(t *testing.T) {
		// Guards against equal shares, under which the largest workspace pays for the
		// surge of a small one.
		is := is.New(t)
		var shares shares
		at := start
		for step := range 600 {
			at = at.Add(100 * time.Millisecond)
			shares.charge("large", at, 300*time.Millisecond)
			if step%10 == 0 || step > 560 {
				shares.charge("small", at, 200*time.Millisecond)
			}
			shares.charge(fmt.Sprint("other", step%20), at, 100*time.Millisecond)
			shares.prune(at)
		}
		is.True(shares.overUse("large", at, 7) < shares.overUse("small", at, 7))
		is.Equal(shares.overUse("unknown", at, 7), 0.0)
	})
	t.Run("a request without a workspace is not counted", func(t *testing.T) {
		var shares shares
		shares.charge("", start, time.Second)
		shares.count("", start, false)
		is.New(t).True(!shares.inUse())
	})
	t.Run("the requests without a workspace share one entry", func(t *testing.T) {
		// Guards against a flood of them that counts as using nothing, also where more
		// workspaces are known than have an entry.
		is := is.New(t)
		var shares shares
		for number := range maxShares {
			shares.charge(fmt.Sprint(number), start, time.Second)
		}
		for range 10 {
			shares.charge("", start, time.Second)
		}
		is.Equal(len(shares.byWorkspace), maxShares+1)
		is.True(shares.overUse("", start, 7) > shares.overUse("1", start, 7))
	})
	t.Run("the entry of the requests without a workspace does not count as a workspace", func(t *testing.T) {
		// Guards against the order by cost that stays in force after the workspaces have
		// left.
		is := is.New(t)
		var shares shares
		shares.charge("a", start, time.Second)
		later := start.Add(10 * usualUseTime)
		shares.charge("", later, time.Second)
		shares.prune(later)
		is.True(!shares.inUse())
		is.Equal(len(shares.byWorkspace), 1)
	})
}

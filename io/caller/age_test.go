package caller

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAge(t *testing.T) {
	taught := func() *ages {
		ages := &ages{}
		for range 64 {
			ages.of("r", time.Second, 2500*time.Millisecond)
		}
		return ages
	}
	t.Run("of the first requests nothing is known", func(t *testing.T) {
		is.New(t).Equal((&ages{}).of("r", time.Second, time.Second), time.Duration(0))
	})
	t.Run("one with less left is older", func(t *testing.T) {
		is.New(t).Equal(taught().of("r", time.Second, 2100*time.Millisecond), 400*time.Millisecond)
	})
	t.Run("where callers leave no time to come again, nobody is old", func(t *testing.T) {
		is.New(t).Equal(taught().of("r", 2500*time.Millisecond, 100*time.Millisecond), time.Duration(0))
	})
	t.Run("one with more left is new", func(t *testing.T) {
		is.New(t).Equal(taught().of("r", time.Second, 10*time.Second), time.Duration(0))
	})
	t.Run("many that come back or have waited change little", func(t *testing.T) {
		ages := taught()
		for number := range 2000 {
			ages.of("r", time.Second, time.Duration(1000+number*7%1500)*time.Millisecond)
		}
		age := ages.of("r", time.Second, 2000*time.Millisecond)
		is.New(t).True(age > 350*time.Millisecond && age <= 500*time.Millisecond)
	})
	t.Run("a few patient callers do not make the others old", func(t *testing.T) {
		ages := taught()
		for number := range 2000 {
			left := 2500 * time.Millisecond
			if number%25 == 0 {
				left = 20 * time.Second
			}
			ages.of("r", time.Second, left)
		}
		is.New(t).Equal(ages.of("r", time.Second, 2500*time.Millisecond), time.Duration(0))
	})
	t.Run("new habits of callers are learnt", func(t *testing.T) {
		ages := taught()
		for range 2000 {
			ages.of("r", time.Second, time.Second)
		}
		is.New(t).Equal(ages.of("r", time.Second/2, time.Second), time.Duration(0))
	})
}

func TestComeback(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	within := func(t *testing.T, request *request, room, low, high time.Duration) {
		t.Helper()
		for range 100 {
			after := request.comeback(now, room)
			is.New(t).True(after >= low && after <= high)
		}
	}
	t.Run("one that can still be in time comes back when there is room", func(t *testing.T) {
		within(t, &request{patience: now.Add(2500 * time.Millisecond), objective: now.Add(400 * time.Millisecond)}, 80*time.Millisecond, 50*time.Millisecond, 110*time.Millisecond)
	})
	t.Run("one that cannot waits for as long as it may", func(t *testing.T) {
		within(t, &request{patience: now.Add(2400 * time.Millisecond), objective: now}, 80*time.Millisecond, 500*time.Millisecond, 800*time.Millisecond)
	})
	t.Run("never at once", func(t *testing.T) {
		within(t, &request{patience: now, objective: now}, time.Millisecond, minComeback, minComeback)
	})
}

package pick_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/pick"
)

func TestAge(t *testing.T) {
	taught := func() *pick.Ages {
		ages := &pick.Ages{}
		for range 64 {
			ages.Of("r", time.Second, 2500*time.Millisecond)
		}
		return ages
	}
	t.Run("of the first requests nothing is known", func(t *testing.T) {
		is.New(t).Equal((&pick.Ages{}).Of("r", time.Second, time.Second), time.Duration(0))
	})
	t.Run("one with less left is older", func(t *testing.T) {
		is.New(t).Equal(taught().Of("r", time.Second, 2100*time.Millisecond), 400*time.Millisecond)
	})
	t.Run("where callers leave no time to come again, nobody is old", func(t *testing.T) {
		is.New(t).Equal(taught().Of("r", 2500*time.Millisecond, 100*time.Millisecond), time.Duration(0))
	})
	t.Run("one with more left is new", func(t *testing.T) {
		is.New(t).Equal(taught().Of("r", time.Second, 10*time.Second), time.Duration(0))
	})
	t.Run("many that come back or have waited change little", func(t *testing.T) {
		ages := taught()
		for number := range 2000 {
			ages.Of("r", time.Second, time.Duration(1000+number*7%1500)*time.Millisecond)
		}
		age := ages.Of("r", time.Second, 2000*time.Millisecond)
		is.New(t).True(age > 350*time.Millisecond && age <= 500*time.Millisecond)
	})
	t.Run("a few patient callers do not make the others old", func(t *testing.T) {
		ages := taught()
		for number := range 2000 {
			left := 2500 * time.Millisecond
			if number%25 == 0 {
				left = 20 * time.Second
			}
			ages.Of("r", time.Second, left)
		}
		is.New(t).Equal(ages.Of("r", time.Second, 2500*time.Millisecond), time.Duration(0))
	})
	t.Run("new habits of callers are learnt", func(t *testing.T) {
		ages := taught()
		for range 2000 {
			ages.Of("r", time.Second, time.Second)
		}
		is.New(t).Equal(ages.Of("r", time.Second/2, time.Second), time.Duration(0))
	})
}

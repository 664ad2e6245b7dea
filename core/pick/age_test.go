package pick_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/pick"
)

func TestAge(t *testing.T) {
	trained := func() *pick.AgeEstimator {
		estimator := &pick.AgeEstimator{}
		for range 64 {
			estimator.Estimate("r", time.Second, 2500*time.Millisecond)
		}
		return estimator
	}
	t.Run("the age of the first requests is unknown", func(t *testing.T) {
		is.New(t).Equal((&pick.AgeEstimator{}).Estimate("r", time.Second, time.Second), time.Duration(0))
	})
	t.Run("a request with less time left is older", func(t *testing.T) {
		is.New(t).Equal(trained().Estimate("r", time.Second, 2100*time.Millisecond), 400*time.Millisecond)
	})
	t.Run("the age is 0 if callers leave no time for a retry", func(t *testing.T) {
		is.New(t).Equal(trained().Estimate("r", 2500*time.Millisecond, 100*time.Millisecond), time.Duration(0))
	})
	t.Run("a request with more time left has age 0", func(t *testing.T) {
		is.New(t).Equal(trained().Estimate("r", time.Second, 10*time.Second), time.Duration(0))
	})
	t.Run("many retried or delayed requests change the age little", func(t *testing.T) {
		estimator := trained()
		for number := range 2000 {
			estimator.Estimate("r", time.Second, time.Duration(1000+number*7%1500)*time.Millisecond)
		}
		age := estimator.Estimate("r", time.Second, 2000*time.Millisecond)
		is.New(t).True(age > 350*time.Millisecond && age <= 500*time.Millisecond)
	})
	t.Run("a few long deadlines do not make other requests older", func(t *testing.T) {
		estimator := trained()
		for number := range 2000 {
			remaining := 2500 * time.Millisecond
			if number%25 == 0 {
				remaining = 20 * time.Second
			}
			estimator.Estimate("r", time.Second, remaining)
		}
		is.New(t).Equal(estimator.Estimate("r", time.Second, 2500*time.Millisecond), time.Duration(0))
	})
	t.Run("the usual time left changes when all callers change theirs", func(t *testing.T) {
		estimator := trained()
		for range 2000 {
			estimator.Estimate("r", time.Second, time.Second)
		}
		is.New(t).Equal(estimator.Estimate("r", time.Second/2, time.Second), time.Duration(0))
	})
}

package play_test

import (
	"testing"

	"github.com/matryer/is"

	"ibislift/standin/play"
)

// Targets of the small scenario get 33 requests a second each.
func TestRateLimits(t *testing.T) {
	limited := func(share, perSecond float64) *play.Scenario {
		return withFault(withNoise(smallScenario()), play.Fault{Kind: "limited", Share: share, Factor: perSecond})
	}
	t.Run("other targets take what one may not", func(t *testing.T) {
		is.New(t).Equal(checkCredit(t, limited(0.25, 5), 0.9).OverLimit, 0)
	})
	t.Run("with all targets limited, callers get what the limits allow", func(t *testing.T) {
		is.New(t).Equal(checkCredit(t, limited(1, 20), 0.7).OverLimit, 0)
	})
	t.Run("without gates the limit is broken", func(t *testing.T) {
		is.New(t).True(simulate(t, limited(0.25, 5), "powerOfTwo").OverLimit > 0)
	})
}

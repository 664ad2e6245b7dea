package once_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
)

// The position at which a paused coordinator writes is free again once its segment is deleted.
func TestLongPauseOfACoordinator(t *testing.T) {
	is := is.New(t)
	harness := newHarness(15, 4)
	first := harness.requestClaim("first", "d0", false)
	expectStatus(t, harness, first, kernel.ClaimGranted)
	paused := first.node
	paused.FrozenUntil = harness.fleet.Now.Add(retention + 2*time.Minute)
	harness.fleet.Run(15 * time.Second)
	other := firstOther(harness.names, paused.Settings.Self)
	coordinator := harness.fleet.Nodes[other].View.ClaimCoordinators[first.partition][0]
	is.True(coordinator != paused.Settings.Self)
	request := func(key string) {
		t.Helper()
		expectStatus(t, harness, harness.requestKeyFrom(coordinator, key, first.partition, false), kernel.ClaimGranted)
		harness.fleet.Run(time.Second)
	}
	for _, key := range []string{"x1", "x2", "x3"} {
		request(key)
	}
	harness.fleet.Run(retention + 30*time.Second)
	request("disputed")
	is.True(harness.fleet.Now.Before(paused.FrozenUntil))
	stale := harness.requestKeyFrom(paused.Settings.Self, "disputed", first.partition, true)
	harness.fleet.Run(2 * time.Minute)
	result, replied := stale.result()
	is.True(replied)
	is.True(result.Status != kernel.ClaimGranted)
}

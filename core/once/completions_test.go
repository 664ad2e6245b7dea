package once_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
	"ibislift/core/once"
)

func TestCompletions(t *testing.T) {
	t.Run("a coordinator that takes over knows a completion reported before", func(t *testing.T) {
		harness := newHarness(13, 4)
		coordinators := harness.fleet.Nodes["d0"].View.ClaimCoordinators[once.PartitionOf("a", partitions)]
		first := harness.requestFresh(coordinators[1], "a", once.PartitionOf("a", partitions), true)
		expectStatus(t, harness, first, kernel.ClaimGranted)
		for _, coordinator := range coordinators {
			harness.fleet.Deliver(coordinator, first.completion())
		}
		harness.fleet.Run(100 * time.Millisecond)
		resent := harness.requestFresh(coordinators[0], "a", first.partition, false)
		expectStatus(t, harness, resent, kernel.ClaimGranted)
		expectStatus(t, harness, harness.requestKeyFrom(coordinators[0], first.key, first.partition, true), kernel.ClaimAlreadyRun)
	})
	t.Run("a replaced coordinator knows a completion after it takes the partition back", func(t *testing.T) {
		harness := newHarness(14, 4)
		first := harness.requestClaim("a", "d0", false)
		expectStatus(t, harness, first, kernel.ClaimGranted)
		coordinators := harness.fleet.Nodes["d0"].View.ClaimCoordinators[first.partition]
		expectStatus(t, harness, harness.requestFresh(coordinators[1], "b", first.partition, true), kernel.ClaimGranted)
		harness.fleet.Deliver(coordinators[0], first.completion())
		expectStatus(t, harness, harness.requestFresh(coordinators[0], "c", first.partition, false), kernel.ClaimNotCoordinator)
		expectStatus(t, harness, harness.requestKeyFrom(coordinators[0], first.key, first.partition, true), kernel.ClaimAlreadyRun)
	})
	t.Run("the completion of a request outlives its coordinator", func(t *testing.T) {
		harness := newHarness(15, 4)
		first := harness.requestClaim("a", "d0", false)
		expectStatus(t, harness, first, kernel.ClaimGranted)
		coordinators := harness.fleet.Nodes["d0"].View.ClaimCoordinators[first.partition]
		harness.fleet.Deliver(coordinators[0], first.completion())
		harness.fleet.Run(3 * time.Second)
		harness.fleet.Stop(coordinators[0])
		expectStatus(t, harness, harness.requestFresh(coordinators[1], "warm", first.partition, true), kernel.ClaimGranted)
		expectStatus(t, harness, harness.requestKeyFrom(coordinators[1], first.key, first.partition, true), kernel.ClaimAlreadyRun)
	})
	t.Run("many completions share a write", func(t *testing.T) {
		harness := newHarness(16, 3)
		for number := range 100 {
			harness.requestClaim(fmt.Sprintf("key%d", number), "d0", false)
		}
		harness.fleet.Run(time.Second)
		before := harness.fleet.Platform.Writes
		harness.closeGranted(func() bool { return true })
		harness.fleet.Run(10 * time.Second)
		is.New(t).True(harness.fleet.Platform.Writes-before <= partitions)
	})
}

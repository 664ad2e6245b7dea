package quota_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/quota"
)

// TestRestartOfAll guards against votes that are divided among many daemons when all start
// at the same time, as after a power failure: none of them can grant until the lease of the
// votes has ended once more.
func TestRestartOfAll(t *testing.T) {
	for _, spread := range []time.Duration{0, 500 * time.Millisecond} {
		for seed := range uint64(8) {
			network := newNetwork(seed, 60, map[string]quota.Limit{"large": {Rate: 203, Burst: 203}, "medium": {Rate: 20, Burst: 20}, "few": {Rate: 3, Burst: 3}})
			for _, workspace := range []string{"large", "medium", "few"} {
				network.load(workspace, network.limits[workspace].Rate/1.6, network.now+20*time.Second, network.anywhere)
			}
			network.run(5 * time.Second)
			for _, daemon := range network.daemons {
				daemon.up = false
				daemon.life++
			}
			network.run(2 * time.Second)
			for _, daemon := range network.daemons {
				network.after(time.Duration(network.random.Int64N(int64(spread)+1)), func() { network.start(daemon) })
			}
			network.run(spread)
			started := network.now
			last := time.Duration(0)
			for network.now < started+5*time.Second {
				before := 0
				for _, count := range network.unreachable {
					before += count
				}
				network.run(20 * time.Millisecond)
				for _, count := range network.unreachable {
					before -= count
				}
				if before < 0 {
					last = network.now - started
				}
			}
			t.Logf("spread %s, seed %d: unreachable until %s after the last start", spread, seed, last)
			is.New(t).True(last < 1800*time.Millisecond) // 1.2 s for loans of earlier processes, and some retries
		}
	}
}

package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"ibislift/core/kernel"
	"ibislift/standin/fleet"
)

// stableTime is how long after its start a daemon may still lack a change that was written
// meanwhile.
const stableTime = 4 * time.Second

// restartAll kills all daemons and starts them again.
func restartAll(cluster *fleet.Fleet, daemons int, down time.Duration) {
	for name := range cluster.Nodes {
		cluster.Stop(name)
	}
	cluster.Run(down)
	addDaemons(cluster, daemons)
}

// newStaleFleet is newFleet with a platform whose stale reads return objects as they were
// some seconds ago, so that a daemon that starts brings nothing new.
func newStaleFleet(seed uint64, daemons int) *fleet.Fleet {
	cluster := fleet.New(seed)
	cluster.Platform.StaleAge = 3 * time.Second
	cluster.Platform.Set(cluster, "config/main", tableBody(1))
	addDaemons(cluster, daemons)
	return cluster
}

// depart lets the upstreams of some daemons leave, one after the other. Each adds a
// replicated record.
func depart(cluster *fleet.Fleet, count int, first, interval time.Duration) {
	for number := range count {
		cluster.Schedule(first+time.Duration(number)*interval, func() {
			departed := kernel.Departure{Instance: fmt.Sprintf("i%d", number), StartedAt: 1}
			cluster.Deliver(fmt.Sprintf("d%d", number), kernel.UpstreamDeparted{Departure: departed})
		})
	}
}

// requireInForceFrom runs the fleet until the end and fails if a daemon lacks the version
// at any time after the beginning.
func requireInForceFrom(t *testing.T, cluster *fleet.Fleet, version uint64, beginning, end time.Duration) {
	t.Helper()
	cluster.Run(beginning)
	for elapsed := beginning; elapsed < end; elapsed += 100 * time.Millisecond {
		if late := lagging(cluster, version); len(late) > 0 {
			t.Fatalf("version %d is not in force after %s on %d daemons: %v", version, elapsed, len(late), late)
		}
		cluster.Run(100 * time.Millisecond)
	}
}

// Guards against daemons that start together and read the platform only when no record has
// arrived for a while, so that a change stays unnoticed while targets leave.
func TestChangeAroundARestartOfAllDaemons(t *testing.T) {
	const daemons = 24
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("written after the restart, seed %d", seed), func(t *testing.T) {
			cluster := newFleet(seed, daemons)
			cluster.Run(40 * time.Second)
			restartAll(cluster, daemons, 500*time.Millisecond)
			depart(cluster, 8, 2600*time.Millisecond, 800*time.Millisecond)
			written := time.Duration(1+seed%4) * 400 * time.Millisecond
			cluster.Run(written)
			cluster.Platform.Set(cluster, "config/main", tableBody(2))
			requireInForceFrom(t, cluster, 2, stableTime-written, 10*time.Second)
		})
		t.Run(fmt.Sprintf("written before the restart, with stale reads after it, seed %d", seed), func(t *testing.T) {
			cluster := newStaleFleet(seed, daemons)
			cluster.Run(40 * time.Second)
			cluster.Platform.Set(cluster, "config/main", tableBody(2))
			restartAll(cluster, daemons, 500*time.Millisecond)
			depart(cluster, 8, 2600*time.Millisecond, 800*time.Millisecond)
			requireInForceFrom(t, cluster, 2, stableTime, 10*time.Second)
		})
	}
}

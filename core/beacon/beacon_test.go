package beacon_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/beacon"
	"ibislift/core/kernel"
	"ibislift/standin/fleet"
)

func start(joined *fleet.Fleet, name string, firstPeers ...string) *fleet.Node {
	return joined.Add(kernel.Settings{
		Self: name, Region: "east", DataCentre: "e1", PeerAddress: name, FirstPeers: firstPeers,
	})
}

func newFleet() *fleet.Fleet {
	joined := fleet.New(1)
	for number := range 6 {
		start(joined, fmt.Sprintf("d%d", number), "d0")
	}
	joined.Run(10 * time.Second)
	return joined
}

func knows(node *fleet.Node, count int) func() bool {
	return func() bool { return len(node.View.Members) == count }
}

func TestNewDaemonFindsOthers(t *testing.T) {
	t.Run("without first peers", func(t *testing.T) {
		joined := newFleet()
		is.New(t).True(joined.RunUntil(10*time.Second, knows(start(joined, "new"), 7)))
	})
	t.Run("after all watchers have been replaced", func(t *testing.T) {
		joined := newFleet()
		for name, node := range joined.Nodes {
			if node.View.Watching {
				joined.Stop(name)
			}
		}
		joined.Run(2 * beacon.Interval)
		fresh := start(joined, "new")
		is.New(t).True(joined.RunUntil(10*time.Second, func() bool { return len(fresh.View.Members) >= 5 }))
	})
	t.Run("when the platform comes back", func(t *testing.T) {
		joined := newFleet()
		joined.Platform.Down = true
		fresh := start(joined, "new")
		joined.Run(10 * time.Second)
		is := is.New(t)
		is.Equal(len(fresh.View.Members), 1)
		joined.Platform.Down = false
		is.True(joined.RunUntil(10*time.Second, knows(fresh, 7)))
	})
	t.Run("beacons do not grow with the fleet", func(t *testing.T) {
		joined := newFleet()
		joined.Run(5 * beacon.Interval)
		is.New(t).True(len(joined.Platform.Names(beacon.Prefix)) <= 2)
	})
}

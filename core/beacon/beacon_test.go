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

// start adds a daemon to the fleet.
func start(daemons *fleet.Fleet, name string, firstPeers ...string) *fleet.Node {
	return daemons.Add(kernel.Settings{
		Self: name, Region: "east", DataCentre: "e1", PeerAddress: name, FirstPeers: firstPeers,
	})
}

// newFleet returns a running fleet of six daemons with the first peer d0.
func newFleet() *fleet.Fleet {
	daemons := fleet.New(1)
	for number := range 6 {
		start(daemons, fmt.Sprintf("d%d", number), "d0")
	}
	daemons.Run(10 * time.Second)
	return daemons
}

// hasMembers returns a condition that a daemon knows count members.
func hasMembers(node *fleet.Node, count int) func() bool {
	return func() bool { return len(node.View.Members) == count }
}

func TestNewDaemonFindsOthers(t *testing.T) {
	t.Run("without first peers", func(t *testing.T) {
		daemons := newFleet()
		is.New(t).True(daemons.RunUntil(10*time.Second, hasMembers(start(daemons, "new"), 7)))
	})
	t.Run("after all watchers have been replaced", func(t *testing.T) {
		daemons := newFleet()
		for name, node := range daemons.Nodes {
			if node.View.Watching {
				daemons.Stop(name)
			}
		}
		daemons.Run(2 * beacon.RefreshInterval)
		started := start(daemons, "new")
		is.New(t).True(daemons.RunUntil(10*time.Second, func() bool { return len(started.View.Members) >= 5 }))
	})
	t.Run("when the platform becomes reachable again", func(t *testing.T) {
		daemons := newFleet()
		daemons.Platform.Down = true
		started := start(daemons, "new")
		daemons.Run(10 * time.Second)
		is := is.New(t)
		is.Equal(len(started.View.Members), 1)
		daemons.Platform.Down = false
		is.True(daemons.RunUntil(10*time.Second, hasMembers(started, 7)))
	})
	t.Run("soon after the platform has been silent", func(t *testing.T) {
		for phase := range 10 {
			daemons := newFleet()
			daemons.Platform.Silent = func(kernel.Settings) bool { return true }
			started := start(daemons, "new")
			daemons.Run(time.Duration(10_000+phase*400) * time.Millisecond)
			daemons.Platform.Silent = nil
			is.New(t).True(daemons.RunUntil(3*time.Second, hasMembers(started, 7)))
		}
	})
	t.Run("after the platform was silent when a new watcher wrote its beacon", func(t *testing.T) {
		daemons := newFleet()
		for name, node := range daemons.Nodes {
			if node.View.Watching {
				daemons.Stop(name)
			}
		}
		daemons.Platform.Silent = func(kernel.Settings) bool { return true }
		daemons.Run(beacon.RefreshInterval / 4)
		daemons.Platform.Silent = nil
		daemons.Run(10 * time.Second)
		started := start(daemons, "new")
		is.New(t).True(daemons.RunUntil(10*time.Second, func() bool { return len(started.View.Members) >= 5 }))
	})
	t.Run("after all have been killed and those with beacons do not come back", func(t *testing.T) {
		for seed := range uint64(5) {
			daemons := fleet.New(seed)
			add := func(number int) {
				region := fmt.Sprintf("r%d", number%3)
				daemons.Add(kernel.Settings{
					Self: fmt.Sprintf("d%d", number), PeerAddress: fmt.Sprintf("d%d", number), Region: region, DataCentre: fmt.Sprintf("%s-%d", region, number%2),
				})
			}
			for number := range 18 {
				add(number)
			}
			daemons.Run(20 * time.Second)
			withBeacon := map[string]bool{}
			for _, name := range daemons.Platform.Names(beacon.Prefix) {
				object, _ := daemons.Platform.Object(name)
				for other := range daemons.Nodes {
					withBeacon[other] = withBeacon[other] || string(object.Body) == fmt.Sprintf(`{"peerAddress":%q}`, other)
				}
			}
			back := 0
			for number := range 18 {
				name := fmt.Sprintf("d%d", number)
				daemons.Stop(name)
				if !withBeacon[name] {
					add(number)
					back++
				}
			}
			is := is.New(t)
			is.True(back > 2 && back < 18)
			daemons.Run(15 * time.Second)
			for name, node := range daemons.Nodes {
				alive := 0
				for _, member := range node.View.Members {
					if member.State == kernel.MemberAlive && !withBeacon[member.ID] {
						alive++
					}
				}
				is.True(withBeacon[name] || alive == back)
			}
		}
	})
	t.Run("a daemon without others lists the beacons ever more seldom", func(t *testing.T) {
		daemons := fleet.New(1)
		start(daemons, "d0")
		daemons.Run(time.Minute)
		reads := daemons.Platform.StaleReads
		daemons.Run(time.Minute)
		is.New(t).True(daemons.Platform.StaleReads-reads <= 8)
	})
	t.Run("beside beacons that name no peer", func(t *testing.T) {
		daemons := newFleet()
		for number := range 150 {
			odd := []string{`{"peerAddress":"d%d:99999"}`, `{"peerAddress":"d%d:0"}`, `{"peerAddress":"d%d:"}`, `{"peerAddress":%d}`, `[%d]`}[number%5]
			odd = fmt.Sprintf(odd, number)
			daemons.Platform.Set(daemons, fmt.Sprintf("%sa/%d", beacon.Prefix, number), []byte(odd))
		}
		is.New(t).True(daemons.RunUntil(3*time.Second, hasMembers(start(daemons, "new"), 7)))
	})
	t.Run("number of beacons does not grow with the fleet", func(t *testing.T) {
		daemons := newFleet()
		daemons.Run(5 * beacon.RefreshInterval)
		is.New(t).True(len(daemons.Platform.Names(beacon.Prefix)) <= 2)
	})
}

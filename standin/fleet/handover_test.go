package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibislift/core/kernel"
	"ibislift/standin/fleet"
)

// plannedLimit is config-apply-s: the time within which a change has to be in force while
// nothing but planned work goes on.
const plannedLimit = 2500 * time.Millisecond

// firstInRank returns names that come before all d0, d1, ... in the order in which daemons
// watch the platform.
func firstInRank(daemons, count int) []string {
	rank := func(name string) uint64 { return xxhash.Sum64String("watch\x00" + name) }
	lowest := rank("d0")
	for number := range daemons {
		lowest = min(lowest, rank(fmt.Sprintf("d%d", number)))
	}
	var names []string
	for number := 0; len(names) < count; number++ {
		if name := fmt.Sprintf("n%d", number); rank(name) < lowest {
			names = append(names, name)
		}
	}
	return names
}

// addFirstInRank adds daemons to each data centre that become its first watchers.
func addFirstInRank(cluster *fleet.Fleet, daemons, perDataCentre int) {
	names := firstInRank(daemons, 9*perDataCentre)
	for number, name := range names {
		cluster.Add(kernel.Settings{
			Self: name, PeerAddress: name,
			Region: fmt.Sprintf("r%d", number%3), DataCentre: fmt.Sprintf("r%d-%d", number%3, number%9/3),
			PlatformRegion: "r0", RouteObject: "config/main", NoClaims: true, NoProfiles: true,
		})
	}
}

// addOneByOne adds daemons as addFirstInRank does, and then others, so that new members
// appear while the first ones start.
func addOneByOne(cluster *fleet.Fleet, daemons int) {
	addFirstInRank(cluster, daemons, 1)
	for number := range 9 {
		name := fmt.Sprintf("late%d", number)
		cluster.Schedule(time.Duration(1+number)*400*time.Millisecond, func() {
			cluster.Add(kernel.Settings{
				Self: name, PeerAddress: name, Region: fmt.Sprintf("r%d", number%3), DataCentre: fmt.Sprintf("r%d-0", number%3),
				PlatformRegion: "r0", RouteObject: "config/main", NoClaims: true, NoProfiles: true,
			})
		})
	}
}

// restartWatchers kills the watchers of all regions and starts them again.
func restartWatchers(cluster *fleet.Fleet) {
	names := watcherNames(cluster)
	for _, name := range names {
		cluster.Stop(name)
	}
	cluster.Run(500 * time.Millisecond)
	for _, name := range names {
		settings := cluster.Nodes[name].Settings
		settings.Epoch = 0
		cluster.Add(settings)
	}
}

// laggingOf returns those of the daemons that have not applied a version.
func laggingOf(cluster *fleet.Fleet, names []string, version uint64) []string {
	var late []string
	for _, name := range names {
		if view := cluster.Nodes[name].View; view.Routes == nil || view.Routes.Version < version {
			late = append(late, name)
		}
	}
	return late
}

// Guards against a time without anybody who follows the platform: the watchers of all
// regions are new, and those before them have stopped.
func TestChangesWhileWatchersAreReplaced(t *testing.T) {
	const daemons = 24
	for _, test := range []struct {
		name    string
		disturb func(*fleet.Fleet)
	}{
		{"added daemons come first in rank", func(cluster *fleet.Fleet) { addFirstInRank(cluster, daemons, 1) }},
		{"as many daemons are added as may become watchers", func(cluster *fleet.Fleet) { addFirstInRank(cluster, daemons, 3) }},
		{"daemons are added one after another", func(cluster *fleet.Fleet) { addOneByOne(cluster, daemons) }},
		{"all watchers are restarted", restartWatchers},
	} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%s, seed %d", test.name, seed), func(t *testing.T) {
				cluster := newStaleFleet(seed, daemons)
				cluster.Run(40 * time.Second)
				replaced := map[string]bool{}
				for _, name := range watcherNames(cluster) {
					replaced[name] = true
				}
				var others []string
				for number := range daemons {
					if name := fmt.Sprintf("d%d", number); !replaced[name] {
						others = append(others, name)
					}
				}
				test.disturb(cluster)
				cluster.Run(time.Duration(seed%4) * 50 * time.Millisecond)
				for version := 2; version <= 12; version++ {
					cluster.Platform.Set(cluster, "config/main", tableBody(version))
					cluster.Schedule(plannedLimit, func() {
						if late := laggingOf(cluster, others, uint64(version)); len(late) > 0 {
							t.Errorf("version %d is not in force after %s on %v", version, plannedLimit, late)
						}
					})
					cluster.Run(time.Duration(100+50*seed) * time.Millisecond)
				}
				cluster.Run(plannedLimit)
				cluster.Run(10 * time.Second)
				if watchers := watcherNames(cluster); len(watchers) != 6 {
					t.Errorf("watchers at the end: %v", watchers)
				}
			})
		}
	}
}

// Guards against a daemon that relieves others before its own watch has begun.
func TestFollowersHaveBegunToWatch(t *testing.T) {
	const daemons = 24
	cluster := newFleet(1, daemons)
	watched := map[string]bool{}
	cluster.Platform.OnWatch = func(caller kernel.Settings) { watched[caller.Self] = true }
	step := func(duration time.Duration) {
		for range duration / kernel.TickInterval {
			cluster.Run(kernel.TickInterval)
			for name, node := range cluster.Nodes {
				if self, _ := node.View.Member(name); self.Following && !watched[name] {
					t.Fatalf("%s reports that it follows the platform and has not watched it", name)
				}
			}
		}
	}
	step(10 * time.Second)
	addOneByOne(cluster, daemons)
	step(10 * time.Second)
}

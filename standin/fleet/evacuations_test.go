package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "ibislift/core/evacuate"
	"ibislift/core/kernel"
	"ibislift/standin/fleet"
)

// evacuationLimit is the time within which an evacuation has to be in force everywhere.
const evacuationLimit = 5 * time.Second

// newEvacuable starts daemons in nine data centres, with a route table in the store.
func newEvacuable(seed uint64, daemons int) *fleet.Fleet {
	cluster := fleet.New(seed)
	cluster.Platform.Era = 1
	cluster.Platform.Set(cluster, "config/main", tableBody(1))
	for number := range daemons {
		cluster.Add(evacuableSettings(number))
	}
	return cluster
}

func evacuableSettings(number int) kernel.Settings {
	return kernel.Settings{
		Self: fmt.Sprintf("d%d", number), PeerAddress: fmt.Sprintf("d%d", number),
		Region: fmt.Sprintf("r%d", number%3), DataCentre: fmt.Sprintf("r%d-%d", number%3, number%9/3),
		PlatformRegion: "r0", RouteObject: "config/main", EvacuationPrefix: "evacuations/", NoClaims: true, NoProfiles: true,
	}
}

func evacuate(cluster *fleet.Fleet, dataCentre string) {
	cluster.Platform.Set(cluster, "evacuations/"+dataCentre, []byte(`{}`))
}

// disagreeing returns the running daemons for which not exactly the given data centres are
// evacuated, or which are not ready.
func disagreeing(cluster *fleet.Fleet, dataCentres ...string) []string {
	var names []string
	for name, node := range cluster.Nodes {
		running := !node.Stopped && !node.FrozenUntil.After(cluster.Now)
		if running && (!node.View.Ready || !slices.Equal(node.View.Evacuated, dataCentres)) {
			names = append(names, fmt.Sprintf("%s (ready %t, %v)", name, node.View.Ready, node.View.Evacuated))
		}
	}
	slices.Sort(names)
	return names
}

func requireEvacuated(t fataler, cluster *fleet.Fleet, dataCentres ...string) {
	t.Helper()
	if wrong := disagreeing(cluster, dataCentres...); len(wrong) > 0 {
		t.Fatalf("not exactly %v evacuated on %d daemons: %v", dataCentres, len(wrong), wrong)
	}
}

type fataler interface {
	Helper()
	Fatalf(format string, arguments ...any)
}

// runWithRestarts runs the cluster and checks that no daemon that started since is ready
// before it knows the evacuation of a data centre.
func runWithRestarts(t fataler, cluster *fleet.Fleet, duration time.Duration, restarted []string, dataCentre string) {
	t.Helper()
	for end := cluster.Now.Add(duration); cluster.Now.Before(end); {
		cluster.Run(10 * time.Millisecond)
		for _, name := range restarted {
			if view := cluster.Nodes[name].View; view.Ready && !view.IsEvacuated(dataCentre) {
				t.Fatalf("%s is ready and does not know that %s is evacuated", name, dataCentre)
			}
		}
	}
}

// Nothing may be sent to an evacuated data centre, whatever happens to the store after it
// has acknowledged the evacuation.
func TestEvacuations(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("the store is down right after the change, seed %d", seed), func(t *testing.T) {
			cluster := newEvacuable(seed, 27)
			cluster.Run(30 * time.Second)
			requireEvacuated(t, cluster)
			evacuate(cluster, "r1-0")
			cluster.Platform.Down = true
			cluster.Run(evacuationLimit)
			requireEvacuated(t, cluster, "r1-0")
		})
		t.Run(fmt.Sprintf("daemons restart while the store is down, seed %d", seed), func(t *testing.T) {
			cluster := newEvacuable(seed, 27)
			cluster.Run(30 * time.Second)
			evacuate(cluster, "r1-0")
			cluster.Run(evacuationLimit)
			cluster.Platform.Down = true
			var restarted []string
			for number := range 9 {
				settings := evacuableSettings(number)
				settings.FirstPeers = []string{"d20", "d21"}
				cluster.Add(settings)
				restarted = append(restarted, settings.Self)
			}
			runWithRestarts(t, cluster, 8*time.Second, restarted, "r1-0")
			requireEvacuated(t, cluster, "r1-0")
		})
		t.Run(fmt.Sprintf("a daemon restarts right after the change, seed %d", seed), func(t *testing.T) {
			cluster := newEvacuable(seed, 27)
			cluster.Run(30 * time.Second)
			evacuate(cluster, "r1-0")
			cluster.Add(evacuableSettings(3))
			runWithRestarts(t, cluster, evacuationLimit, []string{"d3"}, "r1-0")
			requireEvacuated(t, cluster, "r1-0")
		})
		t.Run(fmt.Sprintf("the whole fleet starts, seed %d", seed), func(t *testing.T) {
			for _, after := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
				cluster := newEvacuable(seed, 27)
				cluster.Run(after)
				evacuate(cluster, "r1-0")
				cluster.Run(evacuationLimit)
				requireEvacuated(t, cluster, "r1-0")
			}
		})
		t.Run(fmt.Sprintf("the store is down soon after the whole fleet has started, seed %d", seed), func(t *testing.T) {
			cluster := newEvacuable(seed, 27)
			cluster.Run(time.Second)
			evacuate(cluster, "r1-0")
			cluster.Run(1500 * time.Millisecond) // the watchers have not watched before
			cluster.Platform.Down = true
			cluster.Run(evacuationLimit - 1500*time.Millisecond)
			requireEvacuated(t, cluster, "r1-0")
		})
		t.Run(fmt.Sprintf("it ends with the removal of its object, seed %d", seed), func(t *testing.T) {
			cluster := newEvacuable(seed, 27)
			evacuate(cluster, "r1-0")
			evacuate(cluster, "r2-1")
			cluster.Run(30 * time.Second)
			requireEvacuated(t, cluster, "r1-0", "r2-1")
			cluster.Platform.Remove(cluster, "evacuations/r1-0")
			cluster.Platform.Down = true
			cluster.Run(evacuationLimit)
			requireEvacuated(t, cluster, "r2-1")
		})
		t.Run(fmt.Sprintf("watches miss the removal, seed %d", seed), func(t *testing.T) {
			cluster := newEvacuable(seed, 27)
			evacuate(cluster, "r1-0")
			cluster.Run(30 * time.Second)
			cluster.Platform.HidesRemovals = true
			cluster.Platform.Remove(cluster, "evacuations/r1-0")
			cluster.Run(evacuationLimit)
			requireEvacuated(t, cluster)
		})
		t.Run(fmt.Sprintf("the store comes back from an older copy, seed %d", seed), func(t *testing.T) {
			cluster := newEvacuable(seed, 27)
			cluster.Run(30 * time.Second)
			evacuate(cluster, "r1-0")
			cluster.Run(evacuationLimit)
			cluster.Platform.Restore(cluster, 20*time.Second)
			cluster.Run(evacuationLimit)
			requireEvacuated(t, cluster, "r1-0") // nobody has removed it
			evacuate(cluster, "r2-0")
			cluster.Run(evacuationLimit)
			requireEvacuated(t, cluster, "r1-0", "r2-0")
			cluster.Add(evacuableSettings(5)) // what it reads does not replace what the others know
			cluster.Run(2 * evacuationLimit)
			requireEvacuated(t, cluster, "r1-0", "r2-0")
			evacuate(cluster, "r1-0")
			cluster.Run(evacuationLimit)
			cluster.Platform.Remove(cluster, "evacuations/r1-0")
			cluster.Run(evacuationLimit)
			requireEvacuated(t, cluster, "r2-0")
		})
		t.Run(fmt.Sprintf("an object that survives in the copy ends with its removal, seed %d", seed), func(t *testing.T) {
			cluster := newEvacuable(seed, 27)
			evacuate(cluster, "r1-0")
			cluster.Run(30 * time.Second)
			cluster.Platform.Restore(cluster, time.Second)
			cluster.Run(evacuationLimit)
			cluster.Platform.Remove(cluster, "evacuations/r1-0")
			cluster.Run(evacuationLimit)
			requireEvacuated(t, cluster)
		})
	}
}

// An evacuation is in force everywhere in time although watchers are killed, paused or
// turned away by the store, and daemons restart.
func TestEvacuationsUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		cluster := newEvacuable(rapid.Uint64().Draw(t, "seed"), 27)
		cluster.Run(40 * time.Second)
		refused := map[string]bool{}
		cluster.Platform.Refuses = func(caller kernel.Settings) bool { return refused[caller.Self] }
		for number := range 27 {
			if rapid.IntRange(0, 4).Draw(t, "disturbed") == 0 {
				disturb(t, cluster, cluster.Nodes[fmt.Sprintf("d%d", number)], refused)
			}
		}
		cluster.Run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "later")) * time.Millisecond)
		evacuate(cluster, "r0-1")
		cluster.Run(evacuationLimit)
		requireEvacuated(t, cluster, "r0-1")
		var restarted []string
		for range rapid.IntRange(0, 5).Draw(t, "restarts") {
			settings := evacuableSettings(rapid.IntRange(0, 26).Draw(t, "restarted"))
			settings.FirstPeers = []string{"d1", "d8", "d12", "d22"}
			cluster.Add(settings)
			restarted = append(restarted, settings.Self)
		}
		runWithRestarts(t, cluster, 10*time.Second, restarted, "r0-1")
		if rapid.Bool().Draw(t, "removed") {
			cluster.Run(20 * time.Second) // until no daemon is paused
			cluster.Platform.Remove(cluster, "evacuations/r0-1")
			cluster.Run(evacuationLimit)
			requireEvacuated(t, cluster)
		}
	})
}

// Each call to the store has a price.
func TestCallsForEvacuations(t *testing.T) {
	is := is.New(t)
	calls := func(enabled bool) (atStart, later, revisions int) {
		cluster := fleet.New(1)
		cluster.Platform.Set(cluster, "config/main", tableBody(1))
		for number := range 27 {
			settings := evacuableSettings(number)
			if !enabled {
				settings.EvacuationPrefix = ""
			}
			cluster.Add(settings)
		}
		cluster.Run(20 * time.Second)
		atStart = cluster.Platform.Reads - cluster.Platform.StaleReads
		stale, reads, checks := cluster.Platform.StaleReads, cluster.Platform.Reads, cluster.Platform.RevisionReads
		cluster.Run(time.Minute)
		t.Logf("enabled %t: at the start %d reads and %d stale ones, in a minute %d reads and %d checks", enabled, atStart, stale,
			cluster.Platform.Reads-reads, cluster.Platform.RevisionReads-checks)
		return atStart, cluster.Platform.Reads - reads, cluster.Platform.RevisionReads - checks
	}
	startBefore, laterBefore, checksBefore := calls(false)
	start, later, checks := calls(true)
	is.True(start-startBefore <= 3*6) // the six watchers read and watch
	is.True(later-laterBefore <= 3*6) // and watch again
	is.True(checks-checksBefore <= 3) // the checks of the route table serve both
}

package crash_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/kernel"
	"ibislift/core/profile"
	"ibislift/standin/fleet"
)

const blockFor = time.Minute

// newFleet returns a fleet of six daemons that have had time to find each other.
func newFleet(seed uint64) *fleet.Fleet {
	cluster := fleet.New(seed)
	for number := range 6 {
		name := fmt.Sprintf("d%d", number)
		cluster.Add(kernel.Settings{Self: name, Region: "east", DataCentre: "e1", PeerAddress: name, FirstPeers: []string{"d0"}})
	}
	cluster.Run(5 * time.Second)
	return cluster
}

// blockedAt reports whether a daemon currently blocks a fingerprint.
func blockedAt(cluster *fleet.Fleet, name, fingerprint string) bool {
	suspect, known := cluster.Nodes[name].View.CrashSuspect(fingerprint)
	return known && cluster.Now.Before(suspect.BlockedUntil(profile.Default().CrashLimit.Crashes))
}

// reportCrash reports to a daemon that its upstream crashed while requests with the
// fingerprints were running.
func reportCrash(cluster *fleet.Fleet, name string, fingerprints ...string) {
	cluster.Deliver(name, kernel.UpstreamCrashed{Fingerprints: fingerprints, BlockFor: blockFor})
}

func TestBlocking(t *testing.T) {
	// onAllDaemons reports whether all daemons block a fingerprint, or none does if
	// blocked is false.
	onAllDaemons := func(cluster *fleet.Fleet, fingerprint string, blocked bool) bool {
		for name := range cluster.Nodes {
			if blockedAt(cluster, name, fingerprint) != blocked {
				return false
			}
		}
		return true
	}
	t.Run("two crashes block a fingerprint on every daemon", func(t *testing.T) {
		cluster := newFleet(1)
		reportCrash(cluster, "d1", "poison", "harmless")
		reportCrash(cluster, "d2", "poison", "other")
		is := is.New(t)
		is.True(cluster.RunUntil(2*time.Second, func() bool { return onAllDaemons(cluster, "poison", true) }))
		is.True(onAllDaemons(cluster, "harmless", false))
		is.True(onAllDaemons(cluster, "other", false))
	})
	t.Run("two crashes of the same upstream count as two", func(t *testing.T) {
		cluster := newFleet(2)
		reportCrash(cluster, "d1", "poison")
		cluster.Run(time.Second)
		reportCrash(cluster, "d1", "poison")
		is.New(t).True(cluster.RunUntil(2*time.Second, func() bool { return onAllDaemons(cluster, "poison", true) }))
	})
	t.Run("a response clears a suspect on every daemon", func(t *testing.T) {
		cluster := newFleet(4)
		reportCrash(cluster, "d1", "popular", "poison")
		reportCrash(cluster, "d2", "popular", "poison")
		is := is.New(t)
		is.True(cluster.RunUntil(2*time.Second, func() bool { return onAllDaemons(cluster, "popular", true) }))
		cluster.Run(time.Second)
		cluster.Deliver("d3", kernel.SuspectCompleted{Fingerprint: "popular"})
		is.True(cluster.RunUntil(2*time.Second, func() bool { return onAllDaemons(cluster, "popular", false) }))
		is.True(onAllDaemons(cluster, "poison", true))
	})
	t.Run("a block expires", func(t *testing.T) {
		cluster := newFleet(3)
		reportCrash(cluster, "d1", "unlucky")
		reportCrash(cluster, "d2", "unlucky")
		cluster.Run(blockFor + time.Second)
		is := is.New(t)
		is.True(onAllDaemons(cluster, "unlucky", false))
		for _, node := range cluster.Nodes {
			is.Equal(len(node.View.CrashSuspects), 0)
		}
	})
}

// TestPoisonReachesNoThirdUpstream resends a request that crashes every upstream
// through random daemons, together with a harmless request. It checks that at most
// two upstreams crash, and that the harmless request is unblocked in the end.
func TestPoisonReachesNoThirdUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newFleet(rapid.Uint64().Draw(t, "seed"))
		crashes := 0
		harmless := fmt.Sprintf("harmless%d", rapid.IntRange(0, 3).Draw(t, "harmless"))
		for range rapid.IntRange(1, 10).Draw(t, "resends") {
			ingress := fmt.Sprintf("d%d", rapid.IntRange(0, 5).Draw(t, "ingress"))
			gate := fmt.Sprintf("d%d", rapid.IntRange(0, 5).Draw(t, "gate"))
			if !blockedAt(cluster, ingress, "poison") {
				crashes++
				reportCrash(cluster, gate, "poison", harmless)
			}
			cluster.Run(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second)
		}
		if crashes > 2 {
			t.Fatalf("%d upstreams crashed, want at most 2", crashes)
		}
		cluster.Run(blockFor)
		for name := range cluster.Nodes {
			if blockedAt(cluster, name, harmless) {
				t.Fatalf("%s still blocks a harmless request", name)
			}
		}
	})
}

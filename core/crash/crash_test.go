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

func newFleet(seed uint64) *fleet.Fleet {
	joined := fleet.New(seed)
	for number := range 6 {
		name := fmt.Sprintf("d%d", number)
		joined.Add(kernel.Settings{Self: name, Region: "east", DataCentre: "e1", PeerAddress: name, FirstPeers: []string{"d0"}})
	}
	joined.Run(5 * time.Second)
	return joined
}

// blockedAt says whether a daemon refuses a fingerprint now.
func blockedAt(joined *fleet.Fleet, name, fingerprint string) bool {
	suspect, known := joined.Nodes[name].View.Suspect(fingerprint)
	return known && joined.Now.Before(suspect.BlockedUntil(profile.Default().CrashLimit.Crashes))
}

func crash(joined *fleet.Fleet, name string, fingerprints ...string) {
	joined.Tell(name, kernel.UpstreamCrashed{Fingerprints: fingerprints, BlockFor: blockFor})
}

func TestBlocking(t *testing.T) {
	everywhere := func(joined *fleet.Fleet, fingerprint string, blocked bool) bool {
		for name := range joined.Nodes {
			if blockedAt(joined, name, fingerprint) != blocked {
				return false
			}
		}
		return true
	}
	t.Run("two crashes block on every daemon", func(t *testing.T) {
		joined := newFleet(1)
		crash(joined, "d1", "poison", "innocent")
		crash(joined, "d2", "poison", "other")
		is := is.New(t)
		is.True(joined.RunUntil(2*time.Second, func() bool { return everywhere(joined, "poison", true) }))
		is.True(everywhere(joined, "innocent", false))
		is.True(everywhere(joined, "other", false))
	})
	t.Run("two crashes of one upstream count twice", func(t *testing.T) {
		joined := newFleet(2)
		crash(joined, "d1", "poison")
		joined.Run(time.Second)
		crash(joined, "d1", "poison")
		is.New(t).True(joined.RunUntil(2*time.Second, func() bool { return everywhere(joined, "poison", true) }))
	})
	t.Run("an answer clears a suspect on every daemon", func(t *testing.T) {
		joined := newFleet(4)
		crash(joined, "d1", "popular", "poison")
		crash(joined, "d2", "popular", "poison")
		is := is.New(t)
		is.True(joined.RunUntil(2*time.Second, func() bool { return everywhere(joined, "popular", true) }))
		joined.Run(time.Second)
		joined.Tell("d3", kernel.SuspectCompleted{Fingerprint: "popular"})
		is.True(joined.RunUntil(2*time.Second, func() bool { return everywhere(joined, "popular", false) }))
		is.True(everywhere(joined, "poison", true))
	})
	t.Run("a block ends", func(t *testing.T) {
		joined := newFleet(3)
		crash(joined, "d1", "unlucky")
		crash(joined, "d2", "unlucky")
		joined.Run(blockFor + time.Second)
		is := is.New(t)
		is.True(everywhere(joined, "unlucky", false))
		for _, node := range joined.Nodes {
			is.Equal(len(node.View.Suspects), 0)
		}
	})
}

// TestPoisonReachesNoThirdUpstream sends a request that crashes every upstream
// through random daemons, again and again, with innocent ones beside it.
func TestPoisonReachesNoThirdUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		joined := newFleet(rapid.Uint64().Draw(t, "seed"))
		crashes := 0
		innocent := fmt.Sprintf("innocent%d", rapid.IntRange(0, 3).Draw(t, "innocent"))
		for range rapid.IntRange(1, 10).Draw(t, "resends") {
			entry := fmt.Sprintf("d%d", rapid.IntRange(0, 5).Draw(t, "entry"))
			gate := fmt.Sprintf("d%d", rapid.IntRange(0, 5).Draw(t, "gate"))
			if !blockedAt(joined, entry, "poison") {
				crashes++
				crash(joined, gate, "poison", innocent)
			}
			joined.Run(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second)
		}
		if crashes > 2 {
			t.Fatalf("%d upstreams crashed", crashes)
		}
		joined.Run(blockFor)
		for name := range joined.Nodes {
			if blockedAt(joined, name, innocent) {
				t.Fatalf("%s still blocks an innocent request", name)
			}
		}
	})
}

package member_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/kernel"
	"ibislift/core/member"
	"ibislift/standin/fleet"
)

func settings(number int, regions int) kernel.Settings {
	name := fmt.Sprintf("d%d", number)
	region := fmt.Sprintf("r%d", number%regions)
	return kernel.Settings{
		Self: name, Region: region, DataCentre: region + "a", PeerAddress: name,
		FirstPeers: []string{"d0", "d1"}, PlatformRegion: "r0",
	}
}

func newFleet(seed uint64, count, regions int) *fleet.Fleet {
	cluster := fleet.New(seed)
	for number := range count {
		cluster.Add(settings(number, regions))
	}
	cluster.Run(8 * time.Second)
	return cluster
}

// observedState returns the state that one daemon records for another.
func observedState(cluster *fleet.Fleet, observer, name string) kernel.MemberState {
	known, _ := cluster.Nodes[observer].View.Member(name)
	return known.State
}

// allConsider reports whether all running daemons except the named one record
// the given state for it.
func allConsider(cluster *fleet.Fleet, name string, state kernel.MemberState) bool {
	for observer, node := range cluster.Nodes {
		if observer != name && !node.Stopped && observedState(cluster, observer, name) != state {
			return false
		}
	}
	return true
}

// settingsWithClaims are settings with claims, for one region.
func settingsWithClaims(number int) kernel.Settings {
	settings := settings(number, 1)
	settings.ClaimPartitions = 2
	return settings
}

// checkCoordinators checks that a view with members names claim coordinators, as
// many as there can be.
func checkCoordinators(t *testing.T, view *kernel.View) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(view.ClaimCoordinators), 2)
	for _, coordinators := range view.ClaimCoordinators {
		is.Equal(len(coordinators), min(len(view.Members), 3))
	}
}

func TestCoordinatorsAreKnownWithTheMembers(t *testing.T) {
	for _, count := range []int{1, 2, 3, 5} {
		t.Run(fmt.Sprintf("%d daemons", count), func(t *testing.T) {
			cluster := fleet.New(uint64(count))
			for number := range count {
				cluster.Add(settingsWithClaims(number))
			}
			for range 400 {
				cluster.Run(5 * time.Millisecond)
				for _, node := range cluster.Nodes {
					if len(node.View.Members) > 0 {
						checkCoordinators(t, node.View)
					}
				}
			}
		})
	}
}

func TestMembership(t *testing.T) {
	t.Run("every daemon knows all daemons", func(t *testing.T) {
		cluster := newFleet(1, 12, 3)
		is := is.New(t)
		for _, node := range cluster.Nodes {
			is.Equal(len(node.View.Members), 12)
		}
	})
	t.Run("all daemons consider a killed daemon dead", func(t *testing.T) {
		cluster := newFleet(2, 12, 3)
		cluster.Stop("d4")
		is.New(t).True(cluster.RunUntil(15*time.Second, func() bool { return allConsider(cluster, "d4", kernel.MemberDead) }))
	})
	t.Run("a frozen daemon is declared dead and alive again after the freeze", func(t *testing.T) {
		cluster := newFleet(3, 12, 3)
		cluster.Nodes["d5"].FrozenUntil = cluster.Now.Add(20 * time.Second)
		is := is.New(t)
		is.True(cluster.RunUntil(15*time.Second, func() bool { return allConsider(cluster, "d5", kernel.MemberDead) }))
		cluster.Run(10 * time.Second)
		is.True(cluster.RunUntil(10*time.Second, func() bool { return allConsider(cluster, "d5", kernel.MemberAlive) }))
	})
	t.Run("a frozen neighbour does not delay the detection of another failure", func(t *testing.T) {
		cluster := newFleet(4, 12, 1)
		cluster.Nodes["d1"].FrozenUntil = cluster.Now.Add(time.Minute)
		cluster.Stop("d7")
		is.New(t).True(cluster.RunUntil(20*time.Second, func() bool {
			for observer := range cluster.Nodes {
				if observer != "d1" && observer != "d7" && observedState(cluster, observer, "d7") != kernel.MemberDead {
					return false
				}
			}
			return true
		}))
	})
	t.Run("the daemons of a disconnected region are not declared dead", func(t *testing.T) {
		cluster := newFleet(5, 12, 3)
		cluster.DropMessage = func(from, to kernel.Settings) bool { return (from.Region == "r1") != (to.Region == "r1") }
		cluster.Run(time.Minute)
		is.New(t).True(allConsider(cluster, "d1", kernel.MemberAlive))
	})
	t.Run("a daemon that receives no messages suspects nobody", func(t *testing.T) {
		cluster := newFleet(10, 12, 1)
		cluster.DropMessage = func(from, to kernel.Settings) bool { return from.Self == "d5" || to.Self == "d5" }
		cluster.Run(time.Minute)
		is := is.New(t)
		for _, known := range cluster.Nodes["d5"].View.Members {
			is.Equal(known.State, kernel.MemberAlive)
		}
	})
	t.Run("the daemons of a region rejoin after a partition", func(t *testing.T) {
		cluster := newFleet(6, 12, 1)
		inFirstHalf := func(settings kernel.Settings) bool { return settings.Self < "d2" }
		cluster.DropMessage = func(from, to kernel.Settings) bool { return inFirstHalf(from) != inFirstHalf(to) }
		cluster.Run(time.Minute)
		cluster.DropMessage = nil
		is.New(t).True(cluster.RunUntil(30*time.Second, func() bool {
			for name := range cluster.Nodes {
				if !allConsider(cluster, name, kernel.MemberAlive) {
					return false
				}
			}
			return true
		}))
	})
	t.Run("the daemons of a region rejoin after a partition without the first peers", func(t *testing.T) {
		cluster := newFleet(11, 14, 1)
		isEven := func(settings kernel.Settings) bool { return settings.Self[len(settings.Self)-1]%2 == 0 }
		cluster.DropMessage = func(from, to kernel.Settings) bool { return isEven(from) != isEven(to) }
		bothDead := func() bool {
			return observedState(cluster, "d2", "d3") == kernel.MemberDead && observedState(cluster, "d3", "d2") == kernel.MemberDead
		}
		is := is.New(t)
		is.True(cluster.RunUntil(time.Minute, bothDead))
		cluster.Stop("d0")
		cluster.Stop("d1")
		cluster.Run(30 * time.Second) // long after their last replies
		cluster.DropMessage = nil
		is.True(cluster.RunUntil(time.Minute, func() bool { return viewsAgree(cluster) && observedState(cluster, "d2", "d3") == kernel.MemberAlive }))
	})
	t.Run("a restarted daemon is considered alive even if its clock is behind", func(t *testing.T) {
		cluster := newFleet(7, 6, 1)
		cluster.Stop("d3")
		cluster.Run(15 * time.Second)
		restarted := settings(3, 1)
		restarted.Epoch = 1
		cluster.Add(restarted)
		is.New(t).True(cluster.RunUntil(10*time.Second, func() bool { return allConsider(cluster, "d3", kernel.MemberAlive) }))
	})
	t.Run("no daemon considers a draining target to be serving", func(t *testing.T) {
		cluster := newFleet(8, 12, 3)
		target := kernel.Target{Service: "sleeplog", Slots: 4, State: kernel.TargetServing, StartedAt: 1}
		cluster.Deliver("d2", kernel.UpstreamAnnounced{Target: target})
		cluster.Run(2 * time.Second)
		cluster.Deliver("d2", kernel.DrainRequested{})
		is := is.New(t)
		is.True(cluster.RunUntil(2*time.Second, func() bool { return noneConsidersServing(cluster, "d2") }))
		cluster.Deliver("d2", kernel.UpstreamAnnounced{Target: target})
		cluster.Run(2 * time.Second)
		is.True(noneConsidersServing(cluster, "d2"))
	})
	t.Run("all daemons remove a dead member permanently", func(t *testing.T) {
		cluster := newFleet(9, 6, 1)
		cluster.Stop("d3")
		cluster.Run(member.DeadRetention + 30*time.Second)
		is := is.New(t)
		for name, node := range cluster.Nodes {
			_, known := node.View.Member("d3")
			is.True(name == "d3" || !known)
		}
	})
}

func noneConsidersServing(cluster *fleet.Fleet, name string) bool {
	for _, node := range cluster.Nodes {
		if known, _ := node.View.Member(name); known.Serves() {
			return false
		}
	}
	return true
}

func TestMessagesGrowWithTheLogarithm(t *testing.T) {
	for _, count := range []int{8, 64, 256} {
		cluster := fleet.New(1)
		for number := range count {
			cluster.Add(settings(number, 1))
		}
		cluster.Run(10 * time.Second)
		sentBefore := 0
		for _, node := range cluster.Nodes {
			sentBefore += node.EnvelopesSent
		}
		cluster.Run(20 * time.Second)
		sentAfter := 0
		for _, node := range cluster.Nodes {
			sentAfter += node.EnvelopesSent
		}
		perDaemon := float64(sentAfter-sentBefore) / float64(count) / 20
		limit := 4 + 2*math.Log2(float64(count))
		if perDaemon > limit {
			t.Fatalf("%d daemons: %.1f messages per second per daemon, want at most %.1f", count, perDaemon, limit)
		}
	}
}

func TestRunningDaemonsAgreeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newFleet(rapid.Uint64().Draw(t, "seed"), 8, 2)
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			name := fmt.Sprintf("d%d", rapid.IntRange(0, 7).Draw(t, "node"))
			node := cluster.Nodes[name]
			switch rapid.SampledFrom([]string{"stop", "restart", "freeze", "cut", "heal", "clock"}).Draw(t, "fault") {
			case "stop":
				node.Stopped = true
			case "restart":
				cluster.Add(node.Settings)
			case "freeze":
				node.FrozenUntil = cluster.Now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "frozen")) * time.Second)
			case "cut":
				cluster.DropMessage = func(from, to kernel.Settings) bool { return (from.Self < name) != (to.Self < name) }
			case "heal":
				cluster.DropMessage = nil
			case "clock":
				node.ClockOffset = time.Duration(rapid.IntRange(-30, 30).Draw(t, "clock")) * time.Second
			}
			cluster.Run(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
		}
		cluster.DropMessage = nil
		agreed := cluster.RunUntil(90*time.Second, func() bool { return viewsAgree(cluster) })
		if !agreed {
			t.Fatalf("views still differ 90 s after the faults: %s", firstDifference(cluster))
		}
	})
}

// viewsAgree reports whether all running daemons consider each other alive
// and each stopped daemon dead or unknown.
func viewsAgree(cluster *fleet.Fleet) bool { return firstDifference(cluster) == "" }

// firstDifference describes one wrong state in a daemon's view, or returns "".
// Stopped daemons of a region without running daemons may have any state: such
// a region looks the same as a disconnected one, whose daemons must not be
// declared dead.
func firstDifference(cluster *fleet.Fleet) string {
	hasLiveDaemon := map[string]bool{}
	for _, node := range cluster.Nodes {
		hasLiveDaemon[node.Settings.Region] = hasLiveDaemon[node.Settings.Region] || !node.Stopped
	}
	for observer, node := range cluster.Nodes {
		if node.Stopped {
			continue
		}
		for name, other := range cluster.Nodes {
			state := observedState(cluster, observer, name)
			if other.Stopped && hasLiveDaemon[other.Settings.Region] && state != kernel.MemberDead && state != "" {
				return fmt.Sprintf("%s considers %s, which is stopped, %s", observer, name, state)
			}
			if !other.Stopped && state != kernel.MemberAlive {
				return fmt.Sprintf("%s considers %s, which is running, %q", observer, name, state)
			}
		}
	}
	return ""
}

// A record that cannot be read is left out, and the others of its message are not.
func TestOddRecords(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, body := range map[string]string{
		"nested deeply":      `{"id":"odd","target":` + deep + `}`,
		"a number too large": `{"id":"odd","epoch":1e400}`,
		"another type":       `[]`,
		"another name":       `{"id":"d1"}`,
		"no JSON":            "\xff",
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newFleet(5, 2, 1)
			sound := kernel.Record{Key: kernel.Key{Kind: kernel.KindMember, Name: "sound"}, Version: 1, Body: []byte(`{"id":"sound","region":"r0","peerAddress":"sound","state":"alive"}`)}
			var records []kernel.Record
			for _, kind := range []kernel.Kind{kernel.KindMember, kernel.KindProfile, kernel.KindCrash, kernel.KindRoutes, kernel.KindDepartures, 200} {
				records = append(records, kernel.Record{Key: kernel.Key{Kind: kind, Name: "odd"}, Version: 1, Body: []byte(body)})
			}
			records = append(records, sound)
			cluster.Deliver("d0", kernel.EnvelopeReceived{Envelope: kernel.Envelope{From: "d1", Records: records, ComparedBuckets: []int{-1, 1 << 30}}})
			cluster.Run(100 * time.Millisecond)
			_, oddKnown := cluster.Nodes["d0"].View.Member("odd")
			_, soundKnown := cluster.Nodes["d0"].View.Member("sound")
			is := is.New(t)
			is.True(!oddKnown)
			is.True(soundKnown)
		})
	}
}

package member_test

import (
	"fmt"
	"math"
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
	joined := fleet.New(seed)
	for number := range count {
		joined.Add(settings(number, regions))
	}
	joined.Run(8 * time.Second)
	return joined
}

// stateOf is what one daemon believes of another.
func stateOf(joined *fleet.Fleet, observer, name string) kernel.MemberState {
	known, _ := joined.Nodes[observer].View.Member(name)
	return known.State
}

// allBelieve says whether all living daemons but the named one believe the
// same of it.
func allBelieve(joined *fleet.Fleet, name string, state kernel.MemberState) bool {
	for observer, node := range joined.Nodes {
		if observer != name && !node.Stopped && stateOf(joined, observer, name) != state {
			return false
		}
	}
	return true
}

func TestMembership(t *testing.T) {
	t.Run("all daemons learn of all", func(t *testing.T) {
		joined := newFleet(1, 12, 3)
		is := is.New(t)
		for _, node := range joined.Nodes {
			is.Equal(len(node.View.Members), 12)
		}
	})
	t.Run("a killed daemon is dead for all", func(t *testing.T) {
		joined := newFleet(2, 12, 3)
		joined.Stop("d4")
		is.New(t).True(joined.RunUntil(15*time.Second, func() bool { return allBelieve(joined, "d4", kernel.MemberDead) }))
	})
	t.Run("a frozen daemon is dead, and comes back", func(t *testing.T) {
		joined := newFleet(3, 12, 3)
		joined.Nodes["d5"].FrozenUntil = joined.Now.Add(20 * time.Second)
		is := is.New(t)
		is.True(joined.RunUntil(15*time.Second, func() bool { return allBelieve(joined, "d5", kernel.MemberDead) }))
		joined.Run(10 * time.Second)
		is.True(joined.RunUntil(10*time.Second, func() bool { return allBelieve(joined, "d5", kernel.MemberAlive) }))
	})
	t.Run("a frozen neighbour delays nobody else's death", func(t *testing.T) {
		joined := newFleet(4, 12, 1)
		joined.Nodes["d1"].FrozenUntil = joined.Now.Add(time.Minute)
		joined.Stop("d7")
		is.New(t).True(joined.RunUntil(20*time.Second, func() bool {
			for observer := range joined.Nodes {
				if observer != "d1" && observer != "d7" && stateOf(joined, observer, "d7") != kernel.MemberDead {
					return false
				}
			}
			return true
		}))
	})
	t.Run("a cut region is not declared dead", func(t *testing.T) {
		joined := newFleet(5, 12, 3)
		joined.Lost = func(from, to kernel.Settings) bool { return (from.Region == "r1") != (to.Region == "r1") }
		joined.Run(time.Minute)
		is.New(t).True(allBelieve(joined, "d1", kernel.MemberAlive))
	})
	t.Run("a daemon that hears from nobody accuses nobody", func(t *testing.T) {
		joined := newFleet(10, 12, 1)
		joined.Lost = func(from, to kernel.Settings) bool { return from.Self == "d5" || to.Self == "d5" }
		joined.Run(time.Minute)
		is := is.New(t)
		for _, known := range joined.Nodes["d5"].View.Members {
			is.Equal(known.State, kernel.MemberAlive)
		}
	})
	t.Run("a partition inside a region grows together again", func(t *testing.T) {
		joined := newFleet(6, 12, 1)
		half := func(settings kernel.Settings) bool { return settings.Self < "d2" }
		joined.Lost = func(from, to kernel.Settings) bool { return half(from) != half(to) }
		joined.Run(time.Minute)
		joined.Lost = nil
		is.New(t).True(joined.RunUntil(30*time.Second, func() bool {
			for name := range joined.Nodes {
				if !allBelieve(joined, name, kernel.MemberAlive) {
					return false
				}
			}
			return true
		}))
	})
	t.Run("a partition grows together again without the first peers", func(t *testing.T) {
		joined := newFleet(11, 14, 1)
		isEven := func(settings kernel.Settings) bool { return settings.Self[len(settings.Self)-1]%2 == 0 }
		joined.Lost = func(from, to kernel.Settings) bool { return isEven(from) != isEven(to) }
		other := func() bool {
			return stateOf(joined, "d2", "d3") == kernel.MemberDead && stateOf(joined, "d3", "d2") == kernel.MemberDead
		}
		is := is.New(t)
		is.True(joined.RunUntil(time.Minute, other))
		joined.Stop("d0")
		joined.Stop("d1")
		joined.Run(30 * time.Second) // their last answers are long past
		joined.Lost = nil
		is.True(joined.RunUntil(time.Minute, func() bool { return livingAgree(joined) && stateOf(joined, "d2", "d3") == kernel.MemberAlive }))
	})
	t.Run("a restarted daemon is alive whatever its clock says", func(t *testing.T) {
		joined := newFleet(7, 6, 1)
		joined.Stop("d3")
		joined.Run(15 * time.Second)
		restarted := settings(3, 1)
		restarted.Epoch = 1
		joined.Add(restarted)
		is.New(t).True(joined.RunUntil(10*time.Second, func() bool { return allBelieve(joined, "d3", kernel.MemberAlive) }))
	})
	t.Run("a leaving target gets no new work anywhere", func(t *testing.T) {
		joined := newFleet(8, 12, 3)
		target := kernel.Target{Service: "sleeplog", Slots: 4, State: kernel.TargetServing, StartedAt: 1}
		joined.Tell("d2", kernel.UpstreamAnnounced{Target: target})
		joined.Run(2 * time.Second)
		joined.Tell("d2", kernel.DrainRequested{})
		is := is.New(t)
		is.True(joined.RunUntil(2*time.Second, func() bool { return nobodyServes(joined, "d2") }))
		joined.Tell("d2", kernel.UpstreamAnnounced{Target: target})
		joined.Run(2 * time.Second)
		is.True(nobodyServes(joined, "d2"))
	})
	t.Run("the dead are forgotten by all, for good", func(t *testing.T) {
		joined := newFleet(9, 6, 1)
		joined.Stop("d3")
		joined.Run(member.DeadRetention + 30*time.Second)
		is := is.New(t)
		for name, node := range joined.Nodes {
			_, known := node.View.Member("d3")
			is.True(name == "d3" || !known)
		}
	})
}

func nobodyServes(joined *fleet.Fleet, name string) bool {
	for _, node := range joined.Nodes {
		if known, _ := node.View.Member(name); known.Serves() {
			return false
		}
	}
	return true
}

func TestNeighboursGrowWithTheLogarithm(t *testing.T) {
	for _, count := range []int{8, 64, 256} {
		joined := fleet.New(1)
		for number := range count {
			joined.Add(settings(number, 1))
		}
		joined.Run(10 * time.Second)
		before := 0
		for _, node := range joined.Nodes {
			before += node.Sent
		}
		joined.Run(20 * time.Second)
		after := 0
		for _, node := range joined.Nodes {
			after += node.Sent
		}
		perDaemon := float64(after-before) / float64(count) / 20
		most := 4 + 2*math.Log2(float64(count))
		if perDaemon > most {
			t.Fatalf("%d daemons: %.1f messages a second each, at most %.1f", count, perDaemon, most)
		}
	}
}

func TestLivingAgreeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		joined := newFleet(rapid.Uint64().Draw(t, "seed"), 8, 2)
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			name := fmt.Sprintf("d%d", rapid.IntRange(0, 7).Draw(t, "node"))
			node := joined.Nodes[name]
			switch rapid.SampledFrom([]string{"stop", "restart", "freeze", "cut", "heal", "clock"}).Draw(t, "fault") {
			case "stop":
				node.Stopped = true
			case "restart":
				joined.Add(node.Settings)
			case "freeze":
				node.FrozenUntil = joined.Now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "frozen")) * time.Second)
			case "cut":
				joined.Lost = func(from, to kernel.Settings) bool { return (from.Self < name) != (to.Self < name) }
			case "heal":
				joined.Lost = nil
			case "clock":
				node.ClockOff = time.Duration(rapid.IntRange(-30, 30).Draw(t, "clock")) * time.Second
			}
			joined.Run(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
		}
		joined.Lost = nil
		agreed := joined.RunUntil(90*time.Second, func() bool { return livingAgree(joined) })
		if !agreed {
			t.Fatalf("views differ 90 s after the faults: %s", differences(joined))
		}
	})
}

// livingAgree says whether the living see each other alive, and all others
// dead or not at all.
func livingAgree(joined *fleet.Fleet) bool { return differences(joined) == "" }

// differences names one false belief, or none. Of a region in which nobody
// lives nothing can be told: it looks the same as one that is cut off, and its
// daemons must not be declared dead for that.
func differences(joined *fleet.Fleet) string {
	living := map[string]bool{}
	for _, node := range joined.Nodes {
		living[node.Settings.Region] = living[node.Settings.Region] || !node.Stopped
	}
	for observer, node := range joined.Nodes {
		if node.Stopped {
			continue
		}
		for name, other := range joined.Nodes {
			state := stateOf(joined, observer, name)
			if other.Stopped && living[other.Settings.Region] && state != kernel.MemberDead && state != "" {
				return fmt.Sprintf("%s believes that %s, which is stopped, is %s", observer, name, state)
			}
			if !other.Stopped && state != kernel.MemberAlive {
				return fmt.Sprintf("%s believes that %s, which lives, is %q", observer, name, state)
			}
		}
	}
	return ""
}

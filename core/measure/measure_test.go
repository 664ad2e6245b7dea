package measure_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/kernel"
	"ibislift/core/measure"
	"ibislift/core/profile"
	"ibislift/standin/fleet"
)

// mostIn is the largest number of times that fall into one window.
func mostIn(times []time.Time, window time.Duration) int {
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	most, start := 0, 0
	for end := range times {
		for times[end].Sub(times[start]) >= window {
			start++
		}
		most = max(most, end-start+1)
	}
	return most
}

func TestBudgetHoldsInEveryWindow(t *testing.T) {
	budget := profile.Default().MeasuringBudget.ProbesPerMinute
	rapid.Check(t, func(t *rapid.T) {
		joined := fleet.New(rapid.Uint64().Draw(t, "seed"))
		capacity := rapid.IntRange(2, 12).Draw(t, "capacity")
		// The default budget is made scarce by a capacity that stands for many.
		scarce := capacity * rapid.SampledFrom([]int{1, 10, 50, 60}).Draw(t, "scarcity")
		var probes []time.Time
		start := func(name string) {
			joined.Add(kernel.Settings{
				Self: name, Region: "east", DataCentre: "e1", PeerAddress: name,
				FirstPeers: []string{"d0"}, RegionCapacity: scarce,
			})
			joined.Tell(name, kernel.UpstreamAnnounced{Target: kernel.Target{Service: "sleeplog", Slots: 1, State: kernel.TargetServing}})
		}
		names := []string{}
		for number := range capacity {
			names = append(names, fmt.Sprintf("d%d", number))
			start(names[number])
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "node")
			switch rapid.SampledFrom([]string{"restart", "freeze", "cut", "heal", "run"}).Draw(t, "event") {
			case "restart":
				probes = append(probes, joined.Nodes[name].Probes...)
				start(name)
			case "freeze":
				joined.Nodes[name].FrozenUntil = joined.Now.Add(20 * time.Second)
			case "cut":
				joined.Lost = func(from, to kernel.Settings) bool { return from.Self < name != (to.Self < name) }
			case "heal":
				joined.Lost = nil
			}
			joined.Run(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
		}
		for _, name := range names {
			probes = append(probes, joined.Nodes[name].Probes...)
		}
		if most := mostIn(probes, measure.Window); most > budget {
			t.Fatalf("%d probes in a minute, the budget is %d", most, budget)
		}
	})
}

func TestNoProbeRightAfterAStart(t *testing.T) {
	joined := fleet.New(1)
	joined.Add(kernel.Settings{Self: "d0", Region: "east", DataCentre: "e1", PeerAddress: "d0"})
	joined.Tell("d0", kernel.UpstreamAnnounced{Target: kernel.Target{Service: "sleeplog", Slots: 1, State: kernel.TargetServing}})
	gap, _ := measure.Gap(profile.Default().MeasuringBudget.ProbesPerMinute, kernel.DefaultRegionCapacity)
	joined.Run(gap / 2)
	is := is.New(t)
	is.Equal(len(joined.Nodes["d0"].Probes), 0)
	joined.Run(gap)
	is.Equal(len(joined.Nodes["d0"].Probes), 1)
}

func TestGap(t *testing.T) {
	t.Run("a budget below one probe each allows none", func(t *testing.T) {
		_, allowed := measure.Gap(10, 11)
		is.New(t).True(!allowed)
	})
	t.Run("the share fits into the window with both its ends", func(t *testing.T) {
		gap, allowed := measure.Gap(600, 60)
		is := is.New(t)
		is.True(allowed)
		is.True(int(measure.Window/gap)+1 <= 10)
	})
}

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

// maxInWindow returns the largest number of times that fall into one window.
func maxInWindow(times []time.Time, window time.Duration) int {
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

// TestBudgetHoldsInEveryWindow checks the measuring budget while daemons restart,
// freeze and are partitioned.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	budget := profile.Default().MeasuringBudget.ProbesPerMinute
	rapid.Check(t, func(t *rapid.T) {
		cluster := fleet.New(rapid.Uint64().Draw(t, "seed"))
		capacity := rapid.IntRange(2, 12).Draw(t, "capacity")
		// A large region capacity leaves each daemon a small share of the
		// default budget.
		regionCapacity := capacity * rapid.SampledFrom([]int{1, 10, 50, 60}).Draw(t, "scarcity")
		var probes []time.Time
		start := func(name string) {
			cluster.Add(kernel.Settings{
				Self: name, Region: "east", DataCentre: "e1", PeerAddress: name,
				FirstPeers: []string{"d0"}, RegionCapacity: regionCapacity,
			})
			cluster.Deliver(name, kernel.UpstreamAnnounced{Target: kernel.Target{Service: "sleeplog", Slots: 1, State: kernel.TargetServing}})
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
				probes = append(probes, cluster.Nodes[name].ProbeTimes...)
				start(name)
			case "freeze":
				cluster.Nodes[name].FrozenUntil = cluster.Now.Add(20 * time.Second)
			case "cut":
				cluster.DropMessage = func(from, to kernel.Settings) bool { return from.Self < name != (to.Self < name) }
			case "heal":
				cluster.DropMessage = nil
			}
			cluster.Run(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
		}
		for _, name := range names {
			probes = append(probes, cluster.Nodes[name].ProbeTimes...)
		}
		if most := maxInWindow(probes, measure.Window); most > budget {
			t.Fatalf("%d probes in one minute, but the budget is %d", most, budget)
		}
	})
}

// TestNoProbeRightAfterAStart checks that a daemon waits for the minimum interval
// after its start. Otherwise restarts would exceed the budget.
func TestNoProbeRightAfterAStart(t *testing.T) {
	cluster := fleet.New(1)
	cluster.Add(kernel.Settings{Self: "d0", Region: "east", DataCentre: "e1", PeerAddress: "d0"})
	cluster.Deliver("d0", kernel.UpstreamAnnounced{Target: kernel.Target{Service: "sleeplog", Slots: 1, State: kernel.TargetServing}})
	minInterval, _ := measure.MinProbeInterval(profile.Default().MeasuringBudget.ProbesPerMinute, kernel.DefaultRegionCapacity)
	cluster.Run(minInterval / 2)
	is := is.New(t)
	is.Equal(len(cluster.Nodes["d0"].ProbeTimes), 0)
	cluster.Run(minInterval)
	is.Equal(len(cluster.Nodes["d0"].ProbeTimes), 1)
}

func TestMinProbeInterval(t *testing.T) {
	t.Run("a budget below one probe per daemon allows none", func(t *testing.T) {
		_, allowed := measure.MinProbeInterval(10, 11)
		is.New(t).True(!allowed)
	})
	t.Run("the share is not exceeded in a window that includes both its ends", func(t *testing.T) {
		minInterval, allowed := measure.MinProbeInterval(600, 60)
		is := is.New(t)
		is.True(allowed)
		is.True(int(measure.Window/minInterval)+1 <= 10)
	})
}

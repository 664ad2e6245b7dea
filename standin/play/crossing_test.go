package play_test

import (
	"os"
	"sync"
	"testing"

	"github.com/matryer/is"

	"ibislift/standin/play"
)

// outcome holds means over several seeds.
type outcome struct{ credit, net, served, regionMegabytes float64 }

// meanOutcome simulates a scenario under a policy with the seeds 1 to 8, on all processors.
func meanOutcome(t *testing.T, scenario *play.Scenario, name string) outcome {
	t.Helper()
	return meanOutcomeOf(t, 8, scenario, name)
}

// meanOutcomeOf is meanOutcome with the seeds from 1 to a number.
func meanOutcomeOf(t *testing.T, seeds int, scenario *play.Scenario, name string) outcome {
	t.Helper()
	policy, err := play.FindPolicy(name)
	is.New(t).NoErr(err)
	reports := make([]*play.Report, seeds)
	var group sync.WaitGroup
	for seed := range seeds {
		seeded := *scenario
		seeded.Seed = uint64(seed + 1)
		group.Go(func() { reports[seed] = play.Run(&seeded, policy) })
	}
	group.Wait()
	var mean outcome
	for _, report := range reports {
		mean.credit += report.Credit() / float64(seeds)
		mean.net += report.NetCredit() / float64(seeds)
		mean.served += report.ServedFraction() / float64(seeds)
		mean.regionMegabytes += report.CrossRegionBytes() / 1e6 / float64(seeds)
	}
	t.Logf("%s: %+.4f", name, mean)
	return mean
}

// withWaves lets demand alternate between the two regions of a small scenario, so that each
// in turn has more than its targets can take.
func withWaves(scenario *play.Scenario) *play.Scenario {
	for index := range scenario.Zones {
		zone := &scenario.Zones[index]
		zone.RequestsPerSecond, zone.Amplitude, zone.PeriodSeconds = 40, 0.55, 10
		if zone.Region == "s" {
			zone.Phase = 0.5
		}
	}
	return scenario
}

func readScenario(t *testing.T, name string) *play.Scenario {
	t.Helper()
	text, err := os.ReadFile("../../scenarios/" + name + ".json")
	is := is.New(t)
	is.NoErr(err)
	scenario, err := play.Parse(text)
	is.NoErr(err)
	return scenario
}

// TestCrossing guards against requests that stay in a region with too little capacity, and
// against bytes between regions that are worth less to callers than they cost.
func TestCrossing(t *testing.T) {
	t.Parallel()
	t.Run("waves: more credit net of bytes than if requests stay in their region", func(t *testing.T) {
		current, ownRegion := meanOutcome(t, withWaves(withNoise(smallScenario())), play.Current), meanOutcome(t, withWaves(withNoise(smallScenario())), "ownRegion")
		is.New(t).True(current.net > ownRegion.net+0.03)
	})
	t.Run("large responses: less than half the bytes and more credit net of them than without a price", func(t *testing.T) {
		scenario := withWaves(withNoise(smallScenario()))
		scenario.Classes[0].ResponseBytes = 20_000
		current, withoutPrice, ownRegion := meanOutcome(t, scenario, play.Current), meanOutcome(t, scenario, "withoutPrice"), meanOutcome(t, scenario, "ownRegion")
		is := is.New(t)
		is.True(current.regionMegabytes < 0.5*withoutPrice.regionMegabytes)
		is.True(current.net > withoutPrice.net+0.03)
		is.True(current.credit > ownRegion.credit+0.005)
	})
	t.Run("cards: waves and a service with few targets", func(t *testing.T) {
		scenario := readScenario(t, "cards-waves")
		scenario.Seconds = 16 // one period of the waves
		// Two seeds: under the race detector, eight take two minutes.
		current, ownRegion := meanOutcomeOf(t, 2, scenario, play.Current), meanOutcomeOf(t, 2, scenario, "ownRegion")
		is.New(t).True(current.net > ownRegion.net+0.01)
	})
	t.Run("workspaces: the loss of value decides, for more credit net of bytes than the time", func(t *testing.T) {
		scenario := withWorkspaces(withWaves(withNoise(smallScenario())))
		current, byTime := meanOutcome(t, scenario, play.Current), meanOutcome(t, scenario, "crossByTime")
		is := is.New(t)
		is.True(current.credit >= byTime.credit-0.005)
		is.True(current.net > byTime.net)
	})
	t.Run("without workspaces the time decides", func(t *testing.T) {
		scenario := withWaves(withNoise(smallScenario()))
		is.New(t).Equal(meanOutcome(t, scenario, play.Current), meanOutcome(t, scenario, "crossByTime"))
	})
}

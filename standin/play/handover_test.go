package play_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/standin/play"
)

// kneeScenario has targets that slow down when more than 0.8 of their slots are in use, of
// which gates keep 0.2 free. Callers ask for more than the capacity for some seconds, and
// noise makes daemons cancel many requests.
func kneeScenario(slots int) *play.Scenario {
	scenario := withFault(withNoise(smallScenario()), play.Fault{Kind: "burst", Factor: 1.5})
	scenario.Headroom = 0.2
	service := &scenario.Services[0]
	service.Slots, service.Knee, service.KneeFactor = slots, 0.8, 1.7
	return scenario
}

// means are the results of several seeds.
type means struct {
	credit, served, highestUse float64
	offered, aboveHeadroom     int
	foundFull, heldInVain      int
	lastAbove                  time.Duration
	loadProbes                 int
}

const handoverSeeds = 12

// meansOf simulates a scenario with several seeds.
func meansOf(t *testing.T, policy string, scenarioOf func() *play.Scenario) means {
	t.Helper()
	result := means{}
	for seed := range handoverSeeds {
		scenario := scenarioOf()
		scenario.Seed = uint64(seed + 1)
		report := simulate(t, scenario, policy)
		result.credit += report.Credit() / handoverSeeds
		result.served += report.ServedFraction() / handoverSeeds
		result.highestUse = max(result.highestUse, report.HighestUse)
		result.aboveHeadroom += report.AboveHeadroom
		result.foundFull += report.FoundFull
		result.lastAbove = max(result.lastAbove, report.LastAbove)
		result.loadProbes += report.LoadProbes
		result.heldInVain += report.HeldInVain
		result.offered += findTally(report, "look").Offered
	}
	t.Logf("%s: credit %.4f, served %.4f, highest use %.3f, %d requests, %d above the headroom, the last at %s, %d found full, %d held in vain, %d probes",
		policy, result.credit, result.served, result.highestUse, result.offered, result.aboveHeadroom, result.lastAbove, result.foundFull, result.heldInVain, result.loadProbes)
	return result
}

// TestCancelledRunsAtTargets guards against targets that get more than the slots without the
// headroom since they run cancelled requests on, and against capacity that is lost where
// targets drop them.
func TestCancelledRunsAtTargets(t *testing.T) {
	t.Parallel()
	scenarioOf := func(runsCancelled bool) func() *play.Scenario {
		return func() *play.Scenario {
			scenario := kneeScenario(9)
			scenario.Services[0].RunsCancelled = runsCancelled
			return scenario
		}
	}
	t.Run("targets that run cancelled requests on", func(t *testing.T) {
		is := is.New(t)
		with, without := meansOf(t, play.Current, scenarioOf(true)), meansOf(t, "withoutLoad", scenarioOf(true))
		is.True(without.lastAbove > 15*time.Second)
		// A gate learns from the first cancelled requests that its target runs them on.
		is.True(with.aboveHeadroom <= 2*handoverSeeds*len(kneeScenario(9).Zones))
		is.True(with.lastAbove < 10*time.Second)
		is.True(with.credit >= without.credit)
	})
	t.Run("targets that drop cancelled requests", func(t *testing.T) {
		is := is.New(t)
		with, without := meansOf(t, play.Current, scenarioOf(false)), meansOf(t, "withoutLoad", scenarioOf(false))
		is.Equal(with.aboveHeadroom, 0)
		// A gate learns from a few probes for each target that it drops them.
		is.True(with.loadProbes > 0)
		is.True(with.loadProbes <= 6*handoverSeeds*len(kneeScenario(9).Zones))
		with.loadProbes = 0
		is.Equal(with, without)
	})
}

// TestHeadroom shows why gates keep 0.2 of the slots free: targets that slow down above serve
// fewer requests, and fewer of them in time, when gates hand over as many as there are slots.
func TestHeadroom(t *testing.T) {
	t.Parallel()
	scenarioWith := func(headroom float64) func() *play.Scenario {
		return func() *play.Scenario {
			scenario := kneeScenario(18)
			for index := range scenario.Zones {
				scenario.Zones[index].RequestsPerSecond *= 2
			}
			scenario.Headroom = headroom
			return scenario
		}
	}
	with, without := meansOf(t, play.Current, scenarioWith(0.2)), meansOf(t, play.Current, scenarioWith(0))
	is := is.New(t)
	is.True(with.highestUse <= 14.0/18)
	is.True(without.highestUse > 14.0/18)
	is.True(with.credit > without.credit)
	is.True(with.served >= without.served)
}

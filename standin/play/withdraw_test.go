package play_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"ibislift/standin/play"
)

// withdrawal is the policy of the product with withdrawal from callers.
const withdrawal = "withdrawal"

// slowDaemonScenario returns a scenario with four targets in each zone and an objective of
// 200 ms. For 5.5 s of 12 s a share of the daemons is late by some milliseconds at each step.
func slowDaemonScenario(share, late float64) *play.Scenario {
	scenario := smallScenario()
	scenario.Seconds = 12
	check := class("check", 1)
	check.Objective, check.ServiceTime, check.Deadline = 200, 64, 2500
	scenario.Classes = []play.Class{check}
	for index := range scenario.Zones {
		zone := &scenario.Zones[index]
		zone.RequestsPerSecond, zone.Targets = 50, map[string]int{"shop": 4}
	}
	if share > 0 {
		scenario.Faults = []play.Fault{{StartSeconds: 3, DurationSeconds: 5.5, Kind: "slowDaemon", Share: share, Factor: late}}
	}
	return scenario
}

// meanCredits returns the mean credit of eight seeds without and with withdrawal.
func meanCredits(t *testing.T, scenario *play.Scenario) (without, with float64) {
	t.Helper()
	const seeds = 8
	for seed := range seeds {
		scenario.Seed = uint64(seed + 1)
		without += simulate(t, scenario, play.Current).Credit() / seeds
		with += simulate(t, scenario, withdrawal).Credit() / seeds
	}
	t.Logf("mean credit %.4f, with withdrawal %.4f", without, with)
	return without, with
}

func TestCallersGainFromWithdrawals(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ share, late, margin float64 }{{0.15, 60, 0.004}, {0.4, 60, 0.004}, {0.15, 25, 0}} {
		t.Run(fmt.Sprintf("a share of %g of the daemons is late by %g ms", test.share, test.late), func(t *testing.T) {
			without, with := meanCredits(t, slowDaemonScenario(test.share, test.late))
			is.New(t).True(with > without+test.margin)
		})
	}
}

// With every daemon slow, or none, no daemon may withdraw, so that callers get the same
// responses at the same times.
func TestWithdrawalChangesNothing(t *testing.T) {
	for name, scenario := range map[string]*play.Scenario{
		"while all daemons are slow": slowDaemonScenario(1, 60),
		"while no daemon is slow":    slowDaemonScenario(0, 0),
	} {
		t.Run(name, func(t *testing.T) {
			without, with := simulate(t, scenario, play.Current), simulate(t, scenario, withdrawal)
			is := is.New(t)
			is.Equal(with.Credit(), without.Credit())
			is.Equal(with.Steps, without.Steps)
		})
	}
}

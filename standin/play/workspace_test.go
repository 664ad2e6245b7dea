package play_test

import (
	"testing"

	"github.com/matryer/is"

	"ibislift/standin/play"
)

// withWorkspaces divides the callers into workspaces of different sizes.
func withWorkspaces(scenario *play.Scenario) *play.Scenario {
	scenario.Workspaces = play.Workspaces{Count: 12, Exponent: 1.2}
	return scenario
}

// TestSurges guards against surges that change other requests than those that they name,
// because comparisons between policies would then be between different loads.
func TestSurges(t *testing.T) {
	surge := func(fault play.Fault) *play.Report {
		scenario := withWorkspaces(smallScenario())
		scenario.Classes = append(scenario.Classes, class("buy", 1))
		fault.Kind = "surge"
		return simulate(t, withFault(scenario, fault), "random")
	}
	plain := surge(play.Fault{Factor: 1})
	t.Run("a surge of a workspace", func(t *testing.T) {
		report := surge(play.Fault{Workspace: 2, Factor: 5})
		is := is.New(t)
		is.True(report.Workspaces[1].Offered > 2*plain.Workspaces[1].Offered)
		is.True(report.Workspaces[0].Offered < plain.Workspaces[0].Offered*5/4)
	})
	t.Run("a surge of a class", func(t *testing.T) {
		report := surge(play.Fault{Class: "buy", Factor: 3})
		is := is.New(t)
		is.True(2*findTally(report, "buy").Offered > 3*findTally(plain, "buy").Offered)
		is.True(findTally(report, "look").Offered < findTally(plain, "look").Offered*5/4)
	})
	t.Run("each request belongs to a workspace", func(t *testing.T) {
		total := 0
		for _, tally := range plain.Workspaces {
			total += tally.Offered
		}
		is.New(t).Equal(total, findTally(plain, "look").Offered+findTally(plain, "buy").Offered)
	})
}

// TestCallsAtOnce guards against calls that are made one after the other although the
// scenario says at once, which would make runs of the callers too long.
func TestCallsAtOnce(t *testing.T) {
	medianWith := func(atOnce bool) float64 {
		scenario := smallScenario()
		inner := class("stock", 0)
		inner.ServiceTime, inner.Objective = 50, 200
		scenario.Classes = append(scenario.Classes, inner)
		scenario.Classes[0].Calls = []play.Call{{Class: "stock", Count: 2, Share: 1, AtOnce: atOnce}}
		return findTally(simulate(t, scenario, play.Current), "look").Quantile(0.5).Seconds()
	}
	is.New(t).True(medianWith(true) < medianWith(false)-0.03)
}

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

// servedTwice simulates a scenario with the product's order of queues and with
// OrderObjective.
func servedTwice(t *testing.T, scenario *play.Scenario) (current, earlier *play.Report) {
	t.Helper()
	return simulate(t, scenario, play.Current), simulate(t, scenario, "byObjective")
}

// othersServed returns how often the requests of all workspaces but one are served.
func othersServed(report *play.Report, number int) float64 {
	served, offered := 0, 0
	for _, tally := range report.Workspaces {
		if tally.Number != number {
			served += tally.Served
			offered += tally.Offered
		}
	}
	return float64(served) / float64(offered)
}

// TestKeylessFlood guards against a flood of requests that need no key, which costs the
// callers of workspaces because gates take it for calls of running requests.
func TestKeylessFlood(t *testing.T) {
	scenario := withWorkspaces(smallScenario())
	flood, inner := class("flood", 0.2), class("stock", 0)
	flood.Keyless, inner.ServiceTime, inner.Objective = true, 30, 200
	scenario.Classes = append(scenario.Classes, flood, inner)
	scenario.Classes[0].Calls = []play.Call{{Class: "stock", Count: 2, Share: 1, AtOnce: true}}
	withFault(scenario, play.Fault{Kind: "surge", Class: "flood", Factor: 30})
	marked, all := simulate(t, scenario, play.Current), simulate(t, scenario, "keylessAreCalls")
	t.Logf("look %.3f (before %.3f), stock %.3f (%.3f), flood %.3f (%.3f)", servedFraction(findTally(marked, "look")), servedFraction(findTally(all, "look")),
		servedFraction(findTally(marked, "stock")), servedFraction(findTally(all, "stock")), servedFraction(findTally(marked, "flood")), servedFraction(findTally(all, "flood")))
	is := is.New(t)
	is.True(servedFraction(findTally(marked, "look")) >= servedFraction(findTally(all, "look"))+0.1)
}

func servedFraction(tally *play.Tally) float64 {
	return float64(tally.InTime+tally.Late) / float64(tally.Awaited())
}

// TestHotWorkspace guards against a surge of one workspace that costs the others, and
// against a hot workspace that is hardly served at all.
func TestHotWorkspace(t *testing.T) {
	for name, hot := range map[string]play.Fault{
		"the second largest": {Kind: "surge", Workspace: 2, Factor: 25}, "a small one": {Kind: "surge", Workspace: 8, Factor: 130},
	} {
		t.Run(name, func(t *testing.T) {
			current, earlier := servedTwice(t, withFault(withWorkspaces(smallScenario()), hot))
			mean, least := current.WorstTenth()
			t.Logf("others %.3f, before %.3f; hot %.3f, all %.3f, worst tenth %.3f", othersServed(current, hot.Workspace),
				othersServed(earlier, hot.Workspace), current.Workspaces[hot.Workspace-1].ServedFraction(), current.ServedFraction(), mean)
			is := is.New(t)
			is.True(othersServed(current, hot.Workspace) >= othersServed(earlier, hot.Workspace)+0.05)
			is.True(least >= current.ServedFraction()/4)
		})
	}
}

// TestUrgentClass guards against a class of urgent requests with a short objective that is
// refused while less urgent ones with a long objective wait.
func TestUrgentClass(t *testing.T) {
	check, upload := class("check", 1), class("upload", 1)
	check.Rank, check.ServiceTime, check.Objective, check.Deadline, check.Timeout, check.MaxRetries = 0, 60, 200, 2500, 0, 1
	upload.Rank, upload.ServiceTime, upload.Objective, upload.Deadline, upload.Timeout, upload.MaxRetries = 2, 190, 2000, 6000, 0, 1
	for name, factor := range map[string]float64{"a burst of uploads": 2.5, "a large burst of uploads": 5} {
		t.Run(name, func(t *testing.T) {
			scenario := withNoise(withWorkspaces(smallScenario()))
			scenario.Classes = []play.Class{check, upload}
			current, earlier := servedTwice(t, withFault(scenario, play.Fault{Kind: "surge", Class: "upload", Factor: factor}))
			urgent, other := findTally(current, "check"), findTally(current, "upload")
			t.Logf("check %.3f (before %.3f), upload %.3f (before %.3f), credit %.3f and %.3f", servedFraction(urgent), servedFraction(findTally(earlier, "check")),
				servedFraction(other), servedFraction(findTally(earlier, "upload")), urgent.Credit/float64(urgent.Awaited()), other.Credit/float64(other.Awaited()))
			is := is.New(t)
			is.True(servedFraction(urgent) >= servedFraction(findTally(earlier, "check")))
			is.True(servedFraction(urgent) >= servedFraction(other)-0.05)
			is.True(urgent.Credit/float64(urgent.Awaited()) >= other.Credit/float64(other.Awaited())-0.15)
		})
	}
}

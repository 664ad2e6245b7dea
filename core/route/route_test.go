package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/core/profile"
	"ibislift/core/route"
)

var start = time.Unix(1_800_000_000, 0)

// candidateOf returns a candidate with a new report.
func candidateOf(id string, running int) route.Candidate {
	return route.Candidate{
		ID: id, HasReport: true, Warmth: 1, Latency: 10 * time.Millisecond,
		Load: admit.Load{Running: running, Slots: 10},
	}
}

// timesChosen returns how often a policy chooses the first candidate in 1000
// choices.
func timesChosen(t *testing.T, policy string, candidates ...route.Candidate) int {
	t.Helper()
	built, err := route.New(policy)
	is.New(t).NoErr(err)
	count := 0
	random := uint64(88172645463325252)
	for range 1000 {
		random ^= random << 13
		random ^= random >> 7
		random ^= random << 17
		request := route.Request{Random: random, Weights: profile.Default().Weights}
		if built.Choose(request, candidates) == 0 {
			count++
		}
	}
	return count
}

func TestAdaptive(t *testing.T) {
	checkAvoided := func(t *testing.T, first route.Candidate) {
		t.Helper()
		is.New(t).True(timesChosen(t, "adaptive", first, candidateOf("b", 2), candidateOf("c", 2), candidateOf("d", 2)) < 10)
	}
	t.Run("equal targets get equal shares", func(t *testing.T) {
		count := timesChosen(t, "adaptive", candidateOf("a", 2), candidateOf("b", 2), candidateOf("c", 2), candidateOf("d", 2))
		is.New(t).True(count > 150 && count < 350)
	})
	t.Run("a busy target is avoided", func(t *testing.T) { checkAvoided(t, candidateOf("a", 30)) })
	t.Run("a target that fails fast is avoided", func(t *testing.T) {
		failing := candidateOf("a", 0)
		failing.Latency = time.Microsecond
		failing.FailureRate = 0.5
		checkAvoided(t, failing)
	})
	t.Run("a slow target is avoided", func(t *testing.T) {
		slow := candidateOf("a", 2)
		slow.Latency = 100 * time.Millisecond
		checkAvoided(t, slow)
	})
	t.Run("an ejected target is avoided", func(t *testing.T) {
		ejected := candidateOf("a", 0)
		ejected.Ejected = true
		checkAvoided(t, ejected)
	})
	t.Run("a target in slow start gets fewer requests", func(t *testing.T) {
		cold := candidateOf("a", 2)
		cold.Warmth = 0.1
		checkAvoided(t, cold)
	})
	t.Run("an old report does not attract most requests", func(t *testing.T) {
		old := candidateOf("a", 0)
		old.ReportAge = 10 * time.Second
		count := timesChosen(t, "adaptive", old, candidateOf("b", 8), candidateOf("c", 8), candidateOf("d", 8))
		is.New(t).True(count < 600)
	})
	t.Run("another region is used only if the local one is full", func(t *testing.T) {
		far := candidateOf("a", 0)
		far.LinkLatency = 30 * time.Millisecond
		far.LinkCost = 1
		is := is.New(t)
		is.Equal(timesChosen(t, "adaptive", far, candidateOf("b", 5), candidateOf("c", 5)), 0)
		is.True(timesChosen(t, "adaptive", far, candidateOf("b", 200), candidateOf("c", 200)) > 900)
	})
	t.Run("a profile with a high link cost weight stays in its region longer", func(t *testing.T) {
		policy, err := route.New("adaptive")
		is := is.New(t)
		is.NoErr(err)
		far := candidateOf("a", 0)
		far.LinkLatency = 30 * time.Millisecond
		far.LinkCost = 1
		candidates := []route.Candidate{far, candidateOf("b", 55), candidateOf("c", 55)}
		is.Equal(policy.Choose(route.Request{Weights: profile.Weights{Latency: 1, LinkCost: 0}}, candidates), 0)
		is.True(policy.Choose(route.Request{Weights: profile.Weights{Latency: 0.5, LinkCost: 1}}, candidates) != 0)
	})
	t.Run("all targets are used if all are ejected", func(t *testing.T) {
		a, b := candidateOf("a", 0), candidateOf("b", 0)
		a.Ejected, b.Ejected = true, true
		count := timesChosen(t, "adaptive", a, b)
		is.New(t).True(count > 0 && count < 1000)
	})
}

func TestListedPoliciesChooseACandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy, err := route.New(rapid.SampledFrom([]string{"adaptive", "soonest", "random", "roundRobin", "leastInFlight", "powerOfTwo"}).Draw(t, "policy"))
		if err != nil {
			t.Fatal(err)
		}
		var candidates []route.Candidate
		for range rapid.IntRange(1, 8).Draw(t, "count") {
			candidates = append(candidates, route.Candidate{
				InFlight:    rapid.IntRange(0, 50).Draw(t, "inFlight"),
				Ejected:     rapid.Bool().Draw(t, "ejected"),
				HasReport:   rapid.Bool().Draw(t, "known"),
				LinkLatency: time.Duration(rapid.IntRange(0, 60).Draw(t, "link")) * time.Millisecond,
				Load:        admit.Load{Slots: rapid.IntRange(0, 20).Draw(t, "slots"), Draining: rapid.Bool().Draw(t, "draining")},
			})
		}
		index := policy.Choose(route.Request{Random: rapid.Uint64().Draw(t, "random")}, candidates)
		if index < 0 || index >= len(candidates) {
			t.Fatalf("chose index %d of %d candidates", index, len(candidates))
		}
	})
}

func members(count int) []kernel.Member {
	var all []kernel.Member
	for number := range count {
		all = append(all, kernel.Member{ID: string(rune('a' + number)), Target: kernel.Target{Slots: 4}})
	}
	return all
}

func zeroLink(kernel.Member) route.Link { return route.Link{} }

func TestEjection(t *testing.T) {
	settings := profile.Default()
	ejectedCount := func(tracker *route.Tracker, at time.Time) int {
		count := 0
		for _, candidate := range tracker.Candidates(at, settings, members(4), zeroLink) {
			if candidate.Ejected {
				count++
			}
		}
		return count
	}
	fail := func(tracker *route.Tracker, id string) {
		for range settings.Ejection.ConsecutiveFailures {
			tracker.RecordFailure(id, start, settings.Ejection)
		}
	}
	t.Run("consecutive failures eject a target for a time", func(t *testing.T) {
		tracker := &route.Tracker{}
		fail(tracker, "a")
		is := is.New(t)
		is.Equal(ejectedCount(tracker, start), 1)
		is.Equal(ejectedCount(tracker, start.Add(settings.Ejection.BaseTime.Duration())), 0)
	})
	t.Run("nothing is ejected above the maximum fraction", func(t *testing.T) {
		tracker := &route.Tracker{}
		for _, id := range []string{"a", "b", "c"} {
			fail(tracker, id)
		}
		is.New(t).Equal(ejectedCount(tracker, start), 0)
	})
	t.Run("a response resets the count of failures", func(t *testing.T) {
		tracker := &route.Tracker{}
		for range 3 * settings.Ejection.ConsecutiveFailures {
			tracker.RecordFailure("a", start, settings.Ejection)
			tracker.RecordResponse("a", start, time.Millisecond)
		}
		is.New(t).Equal(ejectedCount(tracker, start), 0)
	})
}

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

// fresh is a candidate with a fresh report.
func fresh(id string, running int) route.Candidate {
	return route.Candidate{
		ID: id, Known: true, Warmth: 1, Latency: 10 * time.Millisecond,
		Load: admit.Load{Running: running, Slots: 10},
	}
}

// share is how often a policy chooses the first candidate, of a thousand times.
func share(t *testing.T, policy string, candidates ...route.Candidate) int {
	t.Helper()
	chosen, err := route.New(policy)
	is.New(t).NoErr(err)
	count := 0
	random := uint64(88172645463325252)
	for range 1000 {
		random ^= random << 13
		random ^= random >> 7
		random ^= random << 17
		request := route.Request{Random: random, Weights: profile.Default().Weights}
		if chosen.Choose(request, candidates) == 0 {
			count++
		}
	}
	return count
}

func TestAdaptive(t *testing.T) {
	avoided := func(t *testing.T, first route.Candidate) {
		t.Helper()
		is.New(t).True(share(t, "adaptive", first, fresh("b", 2), fresh("c", 2), fresh("d", 2)) < 10)
	}
	t.Run("equal targets get equal shares", func(t *testing.T) {
		count := share(t, "adaptive", fresh("a", 2), fresh("b", 2), fresh("c", 2), fresh("d", 2))
		is.New(t).True(count > 150 && count < 350)
	})
	t.Run("a busy target is avoided", func(t *testing.T) { avoided(t, fresh("a", 30)) })
	t.Run("a target that fails fast is avoided", func(t *testing.T) {
		failing := fresh("a", 0)
		failing.Latency = time.Microsecond
		failing.Failing = 0.5
		avoided(t, failing)
	})
	t.Run("a slow target is avoided", func(t *testing.T) {
		slow := fresh("a", 2)
		slow.Latency = 100 * time.Millisecond
		avoided(t, slow)
	})
	t.Run("an ejected target is avoided", func(t *testing.T) {
		ejected := fresh("a", 0)
		ejected.Ejected = true
		avoided(t, ejected)
	})
	t.Run("a cold target gets less", func(t *testing.T) {
		cold := fresh("a", 2)
		cold.Warmth = 0.1
		avoided(t, cold)
	})
	t.Run("an old report does not attract a herd", func(t *testing.T) {
		old := fresh("a", 0)
		old.Age = 10 * time.Second
		count := share(t, "adaptive", old, fresh("b", 8), fresh("c", 8), fresh("d", 8))
		is.New(t).True(count < 600)
	})
	t.Run("another region is used only when the own one is full", func(t *testing.T) {
		far := fresh("a", 0)
		far.Link = 30 * time.Millisecond
		far.Cost = 1
		is := is.New(t)
		is.Equal(share(t, "adaptive", far, fresh("b", 5), fresh("c", 5)), 0)
		is.True(share(t, "adaptive", far, fresh("b", 200), fresh("c", 200)) > 900)
	})
	t.Run("a profile that minds the cost stays in its region longer", func(t *testing.T) {
		policy, err := route.New("adaptive")
		is := is.New(t)
		is.NoErr(err)
		far := fresh("a", 0)
		far.Link = 30 * time.Millisecond
		far.Cost = 1
		candidates := []route.Candidate{far, fresh("b", 55), fresh("c", 55)}
		is.Equal(policy.Choose(route.Request{Weights: profile.Weights{Latency: 1, Measuring: 0}}, candidates), 0)
		is.True(policy.Choose(route.Request{Weights: profile.Weights{Latency: 0.5, Measuring: 1}}, candidates) != 0)
	})
	t.Run("if all are ejected, all are used", func(t *testing.T) {
		one, other := fresh("a", 0), fresh("b", 0)
		one.Ejected, other.Ejected = true, true
		count := share(t, "adaptive", one, other)
		is.New(t).True(count > 0 && count < 1000)
	})
}

func TestEveryPolicyChoosesACandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy, err := route.New(rapid.SampledFrom([]string{"adaptive", "random", "roundRobin", "leastInFlight", "powerOfTwo"}).Draw(t, "policy"))
		if err != nil {
			t.Fatal(err)
		}
		var candidates []route.Candidate
		for range rapid.IntRange(1, 8).Draw(t, "count") {
			candidates = append(candidates, route.Candidate{
				InFlight: rapid.IntRange(0, 50).Draw(t, "inFlight"),
				Ejected:  rapid.Bool().Draw(t, "ejected"),
				Known:    rapid.Bool().Draw(t, "known"),
				Link:     time.Duration(rapid.IntRange(0, 60).Draw(t, "link")) * time.Millisecond,
				Load:     admit.Load{Slots: rapid.IntRange(0, 20).Draw(t, "slots"), Draining: rapid.Bool().Draw(t, "draining")},
			})
		}
		index := policy.Choose(route.Request{Random: rapid.Uint64().Draw(t, "random")}, candidates)
		if index < 0 || index >= len(candidates) {
			t.Fatalf("chose %d of %d", index, len(candidates))
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

func noDistance(kernel.Member) route.Distance { return route.Distance{} }

func TestEjection(t *testing.T) {
	rules := profile.Default()
	ejected := func(book *route.Book, at time.Time) int {
		count := 0
		for _, candidate := range book.Candidates(at, rules, members(4), noDistance) {
			if candidate.Ejected {
				count++
			}
		}
		return count
	}
	fail := func(book *route.Book, id string) {
		for range rules.Ejection.ConsecutiveFailures {
			book.Failed(id, start, rules.Ejection)
		}
	}
	t.Run("after failures in a row, for a time", func(t *testing.T) {
		book := &route.Book{}
		fail(book, "a")
		is := is.New(t)
		is.Equal(ejected(book, start), 1)
		is.Equal(ejected(book, start.Add(rules.Ejection.BaseTime.Duration())), 0)
	})
	t.Run("never of more than the fraction", func(t *testing.T) {
		book := &route.Book{}
		for _, id := range []string{"a", "b", "c"} {
			fail(book, id)
		}
		is.New(t).Equal(ejected(book, start), 0)
	})
	t.Run("an answer ends the row", func(t *testing.T) {
		book := &route.Book{}
		for range 3 * rules.Ejection.ConsecutiveFailures {
			book.Failed("a", start, rules.Ejection)
			book.Answered("a", start, time.Millisecond)
		}
		is.New(t).Equal(ejected(book, start), 0)
	})
}

package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/core/profile"
	"ibislift/core/route"
)

// candidateWith returns a candidate that has just reported its load.
func candidateWith(running int, slowness float64) route.Candidate {
	return route.Candidate{HasReport: true, Warmth: 1, Load: admit.Load{Running: running, Slots: 10, Slowness: slowness}}
}

var typicalRequest = route.Request{ServiceTime: 100 * time.Millisecond, Bytes: 5000, MeanUtilization: 0.4, MeanSlowness: 1.75}

// checkChosen checks which candidate is chosen.
func checkChosen(t *testing.T, request route.Request, expected int, candidates ...route.Candidate) {
	t.Helper()
	best, _ := route.ChooseLeastTime(request, candidates)
	is.New(t).Equal(best, expected)
}

func TestLeastTime(t *testing.T) {
	far := func(candidate route.Candidate) route.Candidate {
		candidate.LinkLatency = 30 * time.Millisecond
		candidate.BytePrice = 30e-6
		return candidate
	}
	t.Run("a slowed target is avoided", func(t *testing.T) {
		checkChosen(t, typicalRequest, 1, candidateWith(0, 4), candidateWith(3, 1))
	})
	t.Run("a near target is preferred over an equal far one", func(t *testing.T) {
		checkChosen(t, typicalRequest, 1, far(candidateWith(0, 1)), candidateWith(2, 1))
	})
	t.Run("a far target is preferred over a near one with a queue", func(t *testing.T) {
		checkChosen(t, typicalRequest, 0, far(candidateWith(0, 1)), candidateWith(40, 1))
	})
	t.Run("a request with a large response stays near, even on a slowed target", func(t *testing.T) {
		large := typicalRequest
		large.Bytes, large.Objective = 90_000, time.Second
		checkChosen(t, large, 1, far(candidateWith(0, 1)), candidateWith(0, 4))
	})
	t.Run("a large response crosses a link rather than wait for longer than its objective", func(t *testing.T) {
		large := typicalRequest
		large.Bytes, large.Objective = 90_000, 500*time.Millisecond
		checkChosen(t, large, 0, far(candidateWith(0, 1)), candidateWith(100, 1))
	})
	t.Run("the price of bytes grows with the objective", func(t *testing.T) {
		patient := typicalRequest
		patient.Objective = 5 * time.Second
		checkChosen(t, patient, 1, far(candidateWith(0, 1)), candidateWith(0, 6))
		patient.Objective = time.Second
		checkChosen(t, patient, 0, far(candidateWith(0, 1)), candidateWith(0, 6))
	})
	t.Run("an old report of slowness moves to the mean", func(t *testing.T) {
		old := candidateWith(0, 4)
		old.ReportAge = 2 * time.Second
		checkChosen(t, typicalRequest, 0, old, candidateWith(0, 3))
	})
	t.Run("a target that has not reported is tried", func(t *testing.T) {
		checkChosen(t, typicalRequest, 0, route.Candidate{Warmth: 0, Load: admit.Load{Slots: 10}}, candidateWith(2, 1.5))
	})
	t.Run("a far target that has not reported is not preferred to a near one with an old report", func(t *testing.T) {
		old := candidateWith(0, 1)
		old.ReportAge = time.Minute
		unknown := route.Candidate{Warmth: 1, Load: admit.Load{Slots: 10}, LinkLatency: 30 * time.Millisecond}
		checkChosen(t, typicalRequest, 0, old, unknown)
	})
	t.Run("the maximum delay is the second-best target's expected time minus the best one's idle time", func(t *testing.T) {
		_, maxDelay := route.ChooseLeastTime(typicalRequest, []route.Candidate{candidateWith(0, 1), candidateWith(0, 3)})
		is.New(t).True(maxDelay > 150*time.Millisecond && maxDelay < 250*time.Millisecond)
		_, maxDelay = route.ChooseLeastTime(typicalRequest, []route.Candidate{candidateWith(0, 1)})
		is.New(t).Equal(maxDelay, time.Duration(0))
	})
}

func TestClasses(t *testing.T) {
	is := is.New(t)
	tracker := &route.Tracker{}
	is.Equal(tracker.Class("a"), route.Class{})
	for range 100 {
		tracker.UpdateClass("a", 80*time.Millisecond, 5000)
		tracker.UpdateClass("b", 20*time.Millisecond, 10)
	}
	is.Equal(tracker.Class("a"), route.Class{ServiceTime: 80 * time.Millisecond, ResponseBytes: 5000})
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	tracker := &route.Tracker{}
	settings := profile.Default()
	now := time.Unix(1_800_000_000, 0)
	for range 20 {
		tracker.RecordRefusal("full", now)
	}
	members := []kernel.Member{{ID: "full"}, {ID: "other"}}
	candidates := tracker.Candidates(now, settings, members, func(kernel.Member) route.Link { return route.Link{} })
	is.True(candidates[0].FailureRate > 0.9)
	is.True(!candidates[0].Ejected)
	is.Equal(candidates[1].FailureRate, 0.0)
	checkChosen(t, typicalRequest, 1, candidates...)
}

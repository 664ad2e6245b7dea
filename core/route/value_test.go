package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/admit"
	"ibislift/core/route"
)

// acrossRegions returns a candidate behind a link whose bytes cost 35 responses a megabyte.
func acrossRegions(candidate route.Candidate) route.Candidate {
	candidate.LinkLatency, candidate.BytePrice, candidate.CrossesRegion = 30*time.Millisecond, 35e-6, true
	return candidate
}

// valuedRequest returns a request with a service time of 100 ms and an objective, for which the
// loss of value decides.
func valuedRequest(objective time.Duration, bytes float64) route.Request {
	request := typicalRequest
	request.Objective, request.ObjectiveLeft, request.Bytes, request.CrossesByValue = objective, objective, bytes, true
	return request
}

// TestCrossingByValue guards against requests that cross regions although they would be in time
// in their own, and against requests that stay where they miss their objective.
func TestCrossingByValue(t *testing.T) {
	slow, idle := candidateWith(0, 4), acrossRegions(candidateWith(0, 1))
	t.Run("a request that is well within its objective stays, however much faster another region is", func(t *testing.T) {
		checkChosen(t, valuedRequest(time.Second, 1000), 1, idle, slow) // only the heads
		checkChosen(t, valuedRequest(time.Second, 3000), 1, idle, slow)
	})
	t.Run("a request that would miss its objective crosses", func(t *testing.T) {
		checkChosen(t, valuedRequest(300*time.Millisecond, 3000), 0, idle, slow)
	})
	t.Run("a request whose bytes cost more than the value of its response stays", func(t *testing.T) {
		checkChosen(t, valuedRequest(300*time.Millisecond, 20_000), 0, idle, slow)
		checkChosen(t, valuedRequest(300*time.Millisecond, 60_000), 1, idle, slow)
	})
	t.Run("a request that misses its objective in all regions stays", func(t *testing.T) {
		checkChosen(t, valuedRequest(50*time.Millisecond, 3000), 1, idle, slow)
	})
	t.Run("a retry has only the time that is left", func(t *testing.T) {
		request := valuedRequest(time.Second, 3000)
		request.ObjectiveLeft = 300 * time.Millisecond
		checkChosen(t, request, 0, idle, slow)
		request.ObjectiveLeft = -time.Second
		checkChosen(t, request, 1, idle, slow)
	})
	t.Run("a request crosses if its own region refuses or fails most requests", func(t *testing.T) {
		failing := candidateWith(0, 1)
		failing.FailureRate = 0.8
		checkChosen(t, valuedRequest(time.Second, 3000), 0, idle, failing)
		checkChosen(t, valuedRequest(time.Second, 60_000), 1, idle, failing)
		failing.FailureRate = 1
		checkChosen(t, valuedRequest(time.Second, 3000), 0, idle, failing)
	})
	t.Run("a stale report of a slowed target moves to the mean", func(t *testing.T) {
		request := valuedRequest(300*time.Millisecond, 3000)
		stale := slow
		stale.ReportAge = 2 * time.Second
		checkChosen(t, request, 0, idle, slow)
		checkChosen(t, request, 1, idle, stale)
	})
	t.Run("a request without any target in its own region crosses at any price", func(t *testing.T) {
		checkChosen(t, valuedRequest(time.Second, 1e6), 1, acrossRegions(slow), idle)
	})
}

// TestCrossingDelay guards against gates that hold a request although another region would
// answer in time, and against gates that send one on for a gain that nobody needs.
func TestCrossingDelay(t *testing.T) {
	idle := acrossRegions(candidateWith(0, 1))
	maxDelay := func(request route.Request, candidates ...route.Candidate) time.Duration {
		_, maxDelay := route.ChooseLeastTime(request, candidates)
		return maxDelay
	}
	t.Run("a request may wait for about as long as it can still be in time", func(t *testing.T) {
		delay := maxDelay(valuedRequest(time.Second, 3000), candidateWith(0, 1), idle)
		is.New(t).True(delay > 800*time.Millisecond && delay < 900*time.Millisecond)
	})
	t.Run("for less time than until a faster target of its region responds", func(t *testing.T) {
		delay := maxDelay(valuedRequest(time.Second, 3000), candidateWith(0, 1), candidateWith(0, 3), idle)
		is.New(t).True(delay > 150*time.Millisecond && delay < 250*time.Millisecond)
	})
	t.Run("without a limit if it is not worth the price of its bytes elsewhere", func(t *testing.T) {
		is.New(t).Equal(maxDelay(valuedRequest(time.Second, 60_000), candidateWith(0, 1), idle), time.Duration(0))
	})
	t.Run("a request that has crossed is refused if its own region is better by then", func(t *testing.T) {
		delay := maxDelay(valuedRequest(300*time.Millisecond, 3000), candidateWith(0, 4), idle)
		is.New(t).True(delay >= time.Millisecond && delay < 200*time.Millisecond)
	})
	t.Run("never below 1 ms, which would mean no limit", func(t *testing.T) {
		failing := candidateWith(0, 1)
		failing.FailureRate = 0.5
		request := valuedRequest(160*time.Millisecond, 1720) // costs 0.00004 less in the other region
		checkChosen(t, request, 1, failing, idle)
		is.New(t).Equal(maxDelay(request, failing, idle), time.Millisecond)
	})
}

// drawCandidates draws candidates, some of them in other regions if bytes there have a price.
func drawCandidates(t *rapid.T, price float64) []route.Candidate {
	candidates := make([]route.Candidate, rapid.IntRange(1, 8).Draw(t, "count"))
	for index := range candidates {
		candidates[index] = route.Candidate{
			HasReport: rapid.Bool().Draw(t, "reported"), Warmth: 1, ReportAge: time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond,
			Load:        admit.Load{Running: rapid.IntRange(0, 60).Draw(t, "running"), Slots: 10, Slowness: float64(rapid.IntRange(0, 6).Draw(t, "slowness"))},
			FailureRate: rapid.Float64Range(0, 1).Draw(t, "failing"), InFlight: rapid.IntRange(0, 5).Draw(t, "inFlight"),
		}
		if rapid.Bool().Draw(t, "other") {
			candidates[index].LinkLatency, candidates[index].BytePrice, candidates[index].CrossesRegion = 30*time.Millisecond, price, true
		}
	}
	return candidates
}

func drawRequest(t *rapid.T) route.Request {
	milliseconds := func(name string, least, most int) time.Duration {
		return time.Duration(rapid.IntRange(least, most).Draw(t, name)) * time.Millisecond
	}
	return route.Request{
		Random: rapid.Uint64().Draw(t, "random"), ServiceTime: milliseconds("service time", 1, 1000), Bytes: rapid.Float64Range(0, 1e5).Draw(t, "bytes"),
		Objective: milliseconds("objective", 1, 3000), ObjectiveLeft: milliseconds("left", -1000, 3000), CrossesByValue: true, MeanUtilization: 0.4, MeanSlowness: 1.75,
	}
}

// TestCrossingProperties guards against a decision that changes more than which requests
// cross regions.
func TestCrossingProperties(t *testing.T) {
	t.Run("without a price or an objective the choice is that of a single region", rapid.MakeCheck(func(t *rapid.T) {
		request, candidates := drawRequest(t), drawCandidates(t, 0)
		if rapid.Bool().Draw(t, "without an objective") {
			request.Objective, candidates = 0, drawCandidates(t, 35e-6)
		}
		best, maxDelay := route.ChooseLeastTime(request, candidates)
		for index := range candidates {
			candidates[index].CrossesRegion = false
		}
		expected, expectedDelay := route.ChooseLeastTime(request, candidates)
		if best != expected || maxDelay != expectedDelay {
			t.Fatalf("%d, %s; expected %d, %s", best, maxDelay, expected, expectedDelay)
		}
	}))
	t.Run("where the time decides nothing depends on the time that is left", rapid.MakeCheck(func(t *rapid.T) {
		request, candidates := drawRequest(t), drawCandidates(t, 35e-6)
		request.CrossesByValue = false
		best, maxDelay := route.ChooseLeastTime(request, candidates)
		request.ObjectiveLeft = 0
		for index := range candidates {
			candidates[index].CrossesRegion = false
		}
		expected, expectedDelay := route.ChooseLeastTime(request, candidates)
		if best != expected || maxDelay != expectedDelay {
			t.Fatalf("%d, %s; expected %d, %s", best, maxDelay, expected, expectedDelay)
		}
	}))
	t.Run("within a region load is spread as without other regions", rapid.MakeCheck(func(t *rapid.T) {
		request, candidates := drawRequest(t), drawCandidates(t, 35e-6)
		request.Random = 0 // the order of the comparison depends on the number of candidates
		best, maxDelay := route.ChooseLeastTime(request, candidates)
		for index := range candidates {
			candidates[index].Ejected = candidates[index].CrossesRegion != candidates[best].CrossesRegion
		}
		alone, aloneDelay := route.ChooseLeastTime(request, candidates)
		if best != alone {
			t.Fatalf("%d; %d without the other regions", best, alone)
		}
		if maxDelay < 0 || aloneDelay > 0 && (maxDelay == 0 || maxDelay > aloneDelay) {
			t.Fatalf("delay %s; %s without the other regions", maxDelay, aloneDelay)
		}
	}))
	t.Run("large requests cross only where small ones do", rapid.MakeCheck(func(t *rapid.T) {
		request, candidates := drawRequest(t), drawCandidates(t, 35e-6)
		large, _ := route.ChooseLeastTime(request, candidates)
		request.Bytes *= rapid.Float64Range(0, 1).Draw(t, "smaller")
		small, _ := route.ChooseLeastTime(request, candidates)
		if candidates[large].CrossesRegion && !candidates[small].CrossesRegion {
			t.Fatalf("the small request stays at %d, the large one crosses to %d", small, large)
		}
	}))
}

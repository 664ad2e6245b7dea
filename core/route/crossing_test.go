package route_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ibislift/core/admit"
	"ibislift/core/route"
)

// inOtherRegion returns a candidate behind a link whose bytes cost 35 responses a megabyte.
func inOtherRegion(candidate route.Candidate) route.Candidate {
	candidate.LinkLatency, candidate.BytePrice = 30*time.Millisecond, 35e-6
	return candidate
}

// requestWith returns a request with a service time of 100 ms and an objective.
func requestWith(objective time.Duration, bytes float64) route.Request {
	request := typicalRequest
	request.Objective, request.Bytes = objective, bytes
	return request
}

// TestCrossing guards against requests that wait in their own region although another one
// is faster by more than their bytes cost, and against requests that cross for less.
func TestCrossing(t *testing.T) {
	slow, idle := candidateWith(0, 4), inOtherRegion(candidateWith(0, 1)) // 400 ms and 160 ms
	t.Run("a request crosses for a gain of time above the price of its bytes", func(t *testing.T) {
		checkChosen(t, requestWith(time.Second, 6000), 0, idle, slow)
	})
	t.Run("a request with larger bodies stays", func(t *testing.T) {
		checkChosen(t, requestWith(time.Second, 8000), 1, idle, slow)
	})
	t.Run("the same gain of time is worth less to a request with a longer objective", func(t *testing.T) {
		checkChosen(t, requestWith(2*time.Second, 6000), 1, idle, slow)
	})
	t.Run("a request of which only the heads are known crosses for little", func(t *testing.T) {
		checkChosen(t, requestWith(time.Second, 1000), 0, idle, candidateWith(0, 2.2))
		checkChosen(t, requestWith(time.Second, 1000), 1, idle, candidateWith(0, 1.6))
	})
	t.Run("a large request crosses if its region is slower by the whole objective", func(t *testing.T) {
		checkChosen(t, requestWith(200*time.Millisecond, 60_000), 0, idle, slow)
		checkChosen(t, requestWith(300*time.Millisecond, 60_000), 1, idle, slow)
	})
	t.Run("without an objective a response is worth its service time", func(t *testing.T) {
		checkChosen(t, requestWith(0, 20_000), 0, idle, slow)
		checkChosen(t, requestWith(0, 20_000), 1, idle, candidateWith(0, 2))
	})
}

// TestCrossingOfSizes guards against a price that sends large requests across regions while
// small ones of the same class stay.
func TestCrossingOfSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) route.Candidate {
			return route.Candidate{
				HasReport: true, Warmth: 1, ReportAge: time.Duration(rapid.IntRange(0, 2000).Draw(t, name+" age")) * time.Millisecond,
				Load:        admit.Load{Running: rapid.IntRange(0, 60).Draw(t, name+" running"), Slots: 10, Slowness: rapid.Float64Range(1, 6).Draw(t, name+" slowness")},
				FailureRate: rapid.Float64Range(0, 1).Draw(t, name+" failing"),
			}
		}
		candidates := []route.Candidate{draw("near"), inOtherRegion(draw("far"))}
		request := requestWith(time.Duration(rapid.IntRange(1, 3000).Draw(t, "objective"))*time.Millisecond, rapid.Float64Range(0, 1e5).Draw(t, "bytes"))
		request.Random = rapid.Uint64().Draw(t, "random")
		large, _ := route.ChooseLeastTime(request, candidates)
		request.Bytes *= rapid.Float64Range(0, 1).Draw(t, "smaller")
		request.Random = 1 // of two that are tied the far one is chosen
		if small, _ := route.ChooseLeastTime(request, candidates); large == 1 && small == 0 {
			t.Fatal("the small request stays, the large one crosses")
		}
	})
}

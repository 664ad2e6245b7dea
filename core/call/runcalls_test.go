package call_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/call"
)

// TestRunCalls guards against a flood of requests without a key that gates take for calls
// of running requests, and against calls that are not marked.
func TestRunCalls(t *testing.T) {
	t.Run("nothing is marked while no request runs", func(t *testing.T) {
		is.New(t).True(!new(call.RunCalls).Begin("call", 0))
	})
	t.Run("two are marked for each running request", func(t *testing.T) {
		is := is.New(t)
		runCalls := &call.RunCalls{}
		for range 4 {
			is.True(runCalls.Begin("call", 2))
		}
		is.True(!runCalls.Begin("call", 2))
		runCalls.End("call")
		runCalls.End("call")
		is.True(runCalls.Begin("call", 2))
	})
	t.Run("a flood of a class loses the marks, and calls of another keep theirs", func(t *testing.T) {
		// Load: a flood on a route that needs no key, while runs call another route.
		is := is.New(t)
		runCalls := &call.RunCalls{}
		for range 30 {
			runCalls.Begin("flood", 0)
			runCalls.End("flood")
		}
		is.True(!runCalls.Begin("flood", 1))
		is.True(runCalls.Begin("call", 1))
		is.True(runCalls.Begin("call", 1))
	})
	t.Run("a class gets the marks again after a flood", func(t *testing.T) {
		is := is.New(t)
		runCalls := &call.RunCalls{}
		for range 1000 {
			runCalls.Begin("call", 0)
			runCalls.End("call")
		}
		for range 60 {
			runCalls.Begin("call", 1)
			runCalls.End("call")
		}
		is.True(runCalls.Begin("call", 1))
	})
	t.Run("a flood that stays within the limit leaves other routes their marks", func(t *testing.T) {
		// Load: a client keeps as many requests open as the runs could have made.
		is := is.New(t)
		runCalls := &call.RunCalls{}
		for range 14 {
			runCalls.Begin("flood", 7)
		}
		is.True(runCalls.Begin("call", 7))
	})
	t.Run("of four calls that each run makes at once two are marked", func(t *testing.T) {
		is := is.New(t)
		runCalls := &call.RunCalls{}
		marked := 0
		for range 200 {
			for range 4 {
				if runCalls.Begin("call", 1) {
					marked++
				}
			}
			for range 4 {
				runCalls.End("call")
			}
		}
		is.Equal(marked, 400)
	})
	t.Run("no more of a class are ever marked than the runs can have made", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			runCalls, inFlight, marked := &call.RunCalls{}, map[string][]bool{}, map[string]int{}
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				class := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "class")
				if open := inFlight[class]; len(open) > 0 && rapid.Bool().Draw(t, "end") {
					runCalls.End(class)
					if open[0] {
						marked[class]--
					}
					inFlight[class] = open[1:]
					continue
				}
				running := rapid.IntRange(0, 5).Draw(t, "running")
				isMarked := runCalls.Begin(class, running)
				if isMarked {
					marked[class]++
				}
				if isMarked && (marked[class] > 2*running || len(inFlight[class]) >= 2*running) {
					t.Fatalf("%d of the class marked, %d in flight, %d running", marked[class], len(inFlight[class]), running)
				}
				inFlight[class] = append(inFlight[class], isMarked)
			}
		})
	})
}

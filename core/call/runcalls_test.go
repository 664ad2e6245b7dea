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
		runCalls.End("call", true)
		runCalls.End("call", false)
		is.True(runCalls.Begin("call", 2))
	})
	t.Run("a flood of a class loses the marks, and calls of another keep theirs", func(t *testing.T) {
		// Load: a flood on a route that needs no key, while runs call another route.
		is := is.New(t)
		runCalls := &call.RunCalls{}
		for range 20 {
			runCalls.End("flood", runCalls.Begin("flood", 0))
		}
		is.True(!runCalls.Begin("flood", 1))
		is.True(runCalls.Begin("call", 1))
		is.True(runCalls.Begin("call", 1))
	})
	t.Run("a class gets the marks again after a flood", func(t *testing.T) {
		is := is.New(t)
		runCalls := &call.RunCalls{}
		for range 1000 {
			runCalls.End("call", runCalls.Begin("call", 0))
		}
		for range 60 {
			runCalls.End("call", runCalls.Begin("call", 1))
		}
		is.True(runCalls.Begin("call", 1))
	})
	t.Run("no more are ever marked than the runs can have made", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			runCalls, inFlight, marked := &call.RunCalls{}, map[string][]bool{}, 0
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				class := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "class")
				if open := inFlight[class]; len(open) > 0 && rapid.Bool().Draw(t, "end") {
					runCalls.End(class, open[0])
					if open[0] {
						marked--
					}
					inFlight[class] = open[1:]
					continue
				}
				running := rapid.IntRange(0, 5).Draw(t, "running")
				isMarked := runCalls.Begin(class, running)
				if isMarked {
					marked++
				}
				if isMarked && (marked > 2*running || len(inFlight[class]) >= 2*running) {
					t.Fatalf("%d marked, %d of the class in flight, %d running", marked, len(inFlight[class]), running)
				}
				inFlight[class] = append(inFlight[class], isMarked)
			}
		})
	})
}

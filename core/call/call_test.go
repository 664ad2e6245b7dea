package call_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/call"
)

// world plays the gates, the clerk and the caller of one request, and notes
// what really happened.
type world struct {
	machine *call.Call
	// committed says which attempts may run; refused which never will.
	reserve   map[int]bool
	committed map[int]bool
	refused   map[int]bool
	ran       map[int]bool
	withdrawn map[int]bool
	sent      []int
	choosing  int
	claims    int
	held      bool
	finish    *call.Finish
	relayed   bool
	released  bool
}

func newWorld(repeatable, keyed bool) *world {
	return &world{
		machine: &call.Call{
			Repeatable: repeatable,
			Keyed:      keyed,
			Retries:    &call.Budget{Ratio: 0.2, Burst: 10},
			Hedges:     &call.Budget{Ratio: 0.2, Burst: 10},
		},
		reserve:   map[int]bool{},
		committed: map[int]bool{},
		refused:   map[int]bool{},
		ran:       map[int]bool{},
		withdrawn: map[int]bool{},
	}
}

func (world *world) apply(event call.Event) {
	for _, effect := range world.machine.Update(event) {
		switch effect := effect.(type) {
		case call.Choose:
			world.choosing++
		case call.Send:
			world.sent = append(world.sent, effect.Attempt)
			world.reserve[effect.Attempt] = effect.Reserve
			world.committed[effect.Attempt] = !effect.Reserve
		case call.Commit:
			world.committed[effect.Attempt] = true
		case call.Claim:
			world.claims++
		case call.Withdraw:
			world.withdrawn[effect.Attempt] = true
		case call.Finish:
			world.finish = &effect
		case call.Relay:
			world.relayed = true
		case call.ReleaseClaim:
			world.released = true
		}
	}
}

// runs counts the attempts that the gates have run.
func (world *world) runs() int { return len(world.ran) }

// step lets one thing happen that could happen now.
func (world *world) step(t *rapid.T) {
	attempt := -1
	if len(world.sent) > 0 {
		attempt = rapid.SampledFrom(world.sent).Draw(t, "attempt")
	}
	switch rapid.SampledFrom([]string{
		"chosen", "none", "grant", "run", "refuse", "lose", "answer", "failing",
		"claim", "claimHeld", "claimFailed", "hedge", "deadline", "left",
	}).Draw(t, "event") {
	case "chosen":
		if world.choosing > 0 {
			world.choosing--
			world.apply(call.Chosen{Target: "any"})
		}
	case "none":
		if world.choosing > 0 {
			world.choosing--
			world.apply(call.NoneLeft{})
		}
	case "grant":
		if attempt >= 0 && world.reserve[attempt] && !world.refused[attempt] {
			world.apply(call.Granted{Attempt: attempt})
		}
	case "run":
		// A gate runs what is committed, whatever the entry thinks by now.
		if attempt >= 0 && world.committed[attempt] && !world.refused[attempt] {
			world.ran[attempt] = true
		}
	case "refuse":
		if attempt >= 0 && !world.ran[attempt] {
			world.refused[attempt] = true
			world.apply(call.Refused{Attempt: attempt, RetryAfter: time.Second})
		}
	case "lose":
		if attempt >= 0 {
			world.apply(call.Lost{Attempt: attempt, Crashed: rapid.Bool().Draw(t, "crashed")})
		}
	case "answer":
		if attempt >= 0 && world.ran[attempt] {
			world.apply(call.Answered{Attempt: attempt})
		}
	case "failing":
		if attempt >= 0 && world.ran[attempt] {
			world.apply(call.Failing{Attempt: attempt})
		}
	case "claim":
		world.answerClaim(call.ClaimGranted{})
	case "claimHeld":
		world.answerClaim(call.ClaimRefused{Held: true, Known: call.OutcomeRun})
	case "claimFailed":
		world.answerClaim(call.ClaimRefused{})
	case "hedge":
		world.apply(call.HedgeDue{})
	case "deadline":
		world.apply(call.DeadlinePassed{})
	case "left":
		world.apply(call.CallerLeft{})
	}
}

func (world *world) answerClaim(event call.Event) {
	if world.claims == 0 {
		return
	}
	world.claims--
	_, granted := event.(call.ClaimGranted)
	world.held = world.held || granted
	world.apply(event)
}

// play runs a random course of events and checks a condition after each.
func play(t *testing.T, repeatable bool, check func(t *rapid.T, world *world)) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(repeatable, rapid.Bool().Draw(t, "keyed"))
		world.apply(call.Arrived{})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			world.step(t)
			check(t, world)
		}
	})
}

func TestNotRepeatableRunsAtMostOnce(t *testing.T) {
	play(t, false, func(t *rapid.T, world *world) {
		if world.runs() > 1 {
			t.Fatalf("the request ran %d times", world.runs())
		}
	})
}

func TestNotRunIsNeverARun(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		play(t, repeatable, func(t *rapid.T, world *world) {
			told := world.finish != nil && world.finish.Outcome == call.OutcomeNotRun
			if told && world.runs() > 0 {
				t.Fatalf("told notRun, but attempts %v ran", world.ran)
			}
		})
	}
}

func TestKeyedRunsOnlyWithClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(false, true)
		world.apply(call.Arrived{})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			world.step(t)
			if world.runs() > 0 && !world.held {
				t.Fatal("the request ran before its key was claimed")
			}
			if world.runs() > 0 && world.released {
				t.Fatal("the claim of a request that ran was given back")
			}
		}
	})
}

func TestOneEndForTheCaller(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		play(t, repeatable, func(t *rapid.T, world *world) {
			if world.finish != nil && world.relayed {
				t.Fatal("the caller was told an end and sent an answer")
			}
		})
	}
}

func TestBudgetState(t *testing.T) {
	budget := &call.Budget{Burst: 2}
	for range 5 {
		budget.Take()
	}
	taken, denied, left := budget.State()
	is := is.New(t)
	is.Equal(taken, 2)
	is.Equal(denied, 3)
	is.Equal(left, 0.0)
}

func TestBudgetHoldsWhenEverythingFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		burst := rapid.IntRange(0, 20).Draw(t, "burst")
		budget := &call.Budget{Ratio: ratio, Burst: burst}
		noted := 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "note") {
				budget.Note()
				noted++
			}
			budget.Take()
			taken, _, _ := budget.State()
			if most := float64(burst) + ratio*float64(noted); float64(taken) > most+1e-6 {
				t.Fatalf("%d extra attempts for %d requests, at most %.1f allowed", taken, noted, most)
			}
		}
	})
}

func TestCourse(t *testing.T) {
	finished := func(t *testing.T, world *world, outcome call.Outcome, problem call.Problem) {
		t.Helper()
		is := is.New(t)
		is.True(world.finish != nil)
		is.Equal(world.finish.Outcome, outcome)
		is.Equal(world.finish.Problem, problem)
	}
	t.Run("lost before the commit goes elsewhere", func(t *testing.T) {
		world := newWorld(false, false)
		world.apply(call.Arrived{})
		world.apply(call.Chosen{Target: "one"})
		world.apply(call.Lost{Attempt: 0})
		is.New(t).Equal(world.choosing, 2)
	})
	t.Run("lost after the commit is unknown", func(t *testing.T) {
		world := newWorld(false, false)
		world.apply(call.Arrived{})
		world.apply(call.Chosen{Target: "one"})
		world.apply(call.Granted{Attempt: 0})
		world.apply(call.Lost{Attempt: 0})
		finished(t, world, call.OutcomeUnknown, call.ProblemLost)
	})
	t.Run("refused after the commit goes elsewhere", func(t *testing.T) {
		world := newWorld(false, false)
		world.apply(call.Arrived{})
		world.apply(call.Chosen{Target: "one"})
		world.apply(call.Granted{Attempt: 0})
		world.apply(call.Refused{Attempt: 0})
		is.New(t).Equal(world.choosing, 2)
	})
	t.Run("deadline before the commit is not run", func(t *testing.T) {
		world := newWorld(false, true)
		world.apply(call.Arrived{})
		world.apply(call.Chosen{Target: "one"})
		world.apply(call.Granted{Attempt: 0})
		world.apply(call.DeadlinePassed{})
		finished(t, world, call.OutcomeNotRun, call.ProblemDeadline)
	})
	t.Run("a claim granted after the end is given back", func(t *testing.T) {
		world := newWorld(false, true)
		world.apply(call.Arrived{})
		world.apply(call.Chosen{Target: "one"})
		world.apply(call.Granted{Attempt: 0})
		world.apply(call.DeadlinePassed{})
		world.apply(call.ClaimGranted{})
		is.New(t).True(world.released)
	})
	t.Run("a repeatable request that crashes is tried once more", func(t *testing.T) {
		world := newWorld(true, false)
		world.apply(call.Arrived{})
		world.apply(call.Chosen{Target: "one"})
		world.apply(call.Lost{Attempt: 0, Crashed: true})
		world.apply(call.Chosen{Target: "two"})
		world.apply(call.Lost{Attempt: 1, Crashed: true})
		finished(t, world, call.OutcomeUnknown, call.ProblemCrashed)
		is.New(t).Equal(len(world.sent), 2)
	})
	t.Run("a failing answer is relayed if there is no better one", func(t *testing.T) {
		world := newWorld(true, false)
		world.apply(call.Arrived{})
		world.apply(call.Chosen{Target: "one"})
		world.apply(call.Failing{Attempt: 0})
		world.apply(call.NoneLeft{})
		is.New(t).True(world.relayed)
	})
}

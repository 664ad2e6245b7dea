package admit_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/admit"
)

// line is a gate with one slot, of which tests read who gets the slot next.
type line struct {
	gate   admit.Gate
	now    time.Time
	lastID uint64
}

func newLine(bound int) *line {
	return &line{gate: admit.Gate{Slots: 1, QueueBound: bound}, now: time.Unix(1_800_000_000, 0)}
}

// arrive lets a request arrive that has an objective and a deadline after some time. One
// without a workspace is a call of a running request.
func (line *line) arrive(workspace, class string, rank int, objective, deadline time.Duration) (uint64, []admit.Effect) {
	return line.arriveAs(admit.Arrived{Workspace: workspace, Call: workspace == "", Class: class, Rank: rank}, objective, deadline)
}

// arriveAs is arrive for a request that may be keyless, and not be a call.
func (line *line) arriveAs(arrived admit.Arrived, objective, deadline time.Duration) (uint64, []admit.Effect) {
	line.lastID++
	arrived.ID, arrived.At, arrived.Important = line.lastID, line.now, arrived.Rank == 0
	arrived.Objective, arrived.Deadline = line.now.Add(objective), line.now.Add(deadline)
	return line.lastID, line.gate.Update(arrived)
}

// addKeyless lets a new request without a workspace arrive that has much time.
func (line *line) addKeyless(rank int) (uint64, []admit.Effect) {
	return line.arriveAs(admit.Arrived{Class: "any", Rank: rank}, time.Minute, time.Hour)
}

// add lets a request arrive that has much time.
func (line *line) add(workspace string, rank int) uint64 {
	id, _ := line.arrive(workspace, "any", rank, time.Minute, time.Hour)
	return id
}

func (line *line) finish(id uint64, after time.Duration) []admit.Effect {
	line.now = line.now.Add(after)
	return line.gate.Update(admit.Finished{ID: id, At: line.now})
}

// run lets a request use the free slot for a time.
func (line *line) run(workspace, class string, took time.Duration) {
	id, _ := line.arrive(workspace, class, 1, time.Minute, time.Hour)
	line.finish(id, took)
}

func requireNext(t *testing.T, effects []admit.Effect, id uint64) {
	t.Helper()
	for _, effect := range effects {
		if handOver, is := effect.(admit.HandOver); is {
			if handOver.ID != id {
				t.Fatalf("request %d got the slot, expected %d", handOver.ID, id)
			}
			return
		}
	}
	t.Fatalf("no request got the slot, expected %d: %v", id, effects)
}

func refusal(effects []admit.Effect) admit.Refuse {
	for _, effect := range effects {
		if refuse, is := effect.(admit.Refuse); is {
			return refuse
		}
	}
	return admit.Refuse{}
}

func TestOrderCost(t *testing.T) {
	t.Run("calls of running requests go before new requests", func(t *testing.T) {
		// Load: a service that new requests and calls of another service's runs share.
		line := newLine(8)
		running := line.add("a", 1)
		line.add("b", 0)
		call := line.add("", 3)
		requireNext(t, line.finish(running, time.Millisecond), call)
	})
	t.Run("a more urgent request that is late goes before a less urgent one", func(t *testing.T) {
		// Load: targets that are slow for 300 ms, so that all checks are late while
		// uploads with long objectives are not.
		line := newLine(8)
		line.run("a", "check", 100*time.Millisecond)
		running := line.add("a", 1)
		line.add("b", 2)
		late, _ := line.arrive("c", "check", 1, 50*time.Millisecond, time.Hour)
		requireNext(t, line.finish(running, time.Millisecond), late)
	})
	t.Run("a call that is late does not go before a new request that is in time", func(t *testing.T) {
		// Load: calls with short objectives under overload, where serving late calls first
		// makes all checks late.
		line := newLine(8)
		line.run("a", "call", 100*time.Millisecond)
		running := line.add("a", 1)
		line.arrive("", "call", 0, 50*time.Millisecond, time.Hour)
		inTime := line.add("b", 0)
		requireNext(t, line.finish(running, time.Millisecond), inTime)
	})
	t.Run("the workspace that uses more than its share goes last within a rank", func(t *testing.T) {
		// Load: a workspace that sends several times its usual.
		line := newLine(8)
		for range 5 {
			line.run("hot", "any", 100*time.Millisecond)
		}
		line.run("other", "any", 100*time.Millisecond)
		running := line.add("hot", 1)
		line.add("hot", 1)
		other := line.add("other", 1)
		requireNext(t, line.finish(running, time.Millisecond), other)
	})
	t.Run("rank goes before share", func(t *testing.T) {
		// Load: as above, where the hot workspace sends urgent requests too.
		line := newLine(8)
		line.run("hot", "any", time.Second)
		running := line.add("hot", 1)
		line.add("other", 2)
		urgent := line.add("hot", 1)
		requireNext(t, line.finish(running, time.Millisecond), urgent)
	})
	t.Run("a full queue refuses the workspace that uses more than its share", func(t *testing.T) {
		// Load: a workspace whose burst has filled the queue.
		line := newLine(2)
		line.run("hot", "any", time.Second)
		line.add("hot", 1)
		line.add("hot", 1)
		last := line.add("hot", 1)
		_, effects := line.arrive("other", "any", 1, time.Minute, time.Hour)
		is := is.New(t)
		is.Equal(refusal(effects).ID, last)
		is.Equal(refusal(effects).Reason, admit.ReasonQueueFull)
		is.True(refusal(effects).RetryAfter > time.Second) // It was the last of two that wait a second each.
	})
	t.Run("a workspace that is hardly served goes before more urgent requests", func(t *testing.T) {
		// Load: long overload with urgent requests, under which strict ranks starve a
		// workspace of a low rank.
		line := newLine(1)
		running := line.add("urgent", 1)
		is := is.New(t)
		for range 2 {
			queued := line.add("urgent", 1)
			poor, effects := line.arrive("poor", "any", 9, time.Minute, time.Hour)
			is.Equal(refusal(effects).ID, poor)
			line.finish(running, time.Millisecond)
			running = queued
		}
		queued := line.add("urgent", 1)
		_, effects := line.arrive("poor", "any", 9, time.Minute, time.Hour)
		is.Equal(refusal(effects).ID, queued)
	})
	t.Run("the actual time of a run counts, not the estimated one", func(t *testing.T) {
		// Load: a workspace whose requests need much more work than those of others of
		// the same class.
		line := newLine(8)
		for range 10 {
			line.run("light", "any", 10*time.Millisecond)
		}
		line.run("heavy", "any", 500*time.Millisecond)
		running := line.add("light", 1)
		line.add("heavy", 1)
		light := line.add("light", 1)
		requireNext(t, line.finish(running, time.Millisecond), light)
	})
}

// TestKeylessRequests guards against a flood on a route that needs no key, whose requests
// went before all others as if they were calls of running requests.
func TestKeylessRequests(t *testing.T) {
	t.Run("a keyless request waits behind requests of a more urgent rank", func(t *testing.T) {
		line := newLine(8)
		running := line.add("a", 1)
		line.addKeyless(2)
		urgent := line.add("b", 1)
		requireNext(t, line.finish(running, time.Millisecond), urgent)
	})
	t.Run("keyless requests share one entry in the use of slots", func(t *testing.T) {
		line := newLine(8)
		line.run("a", "any", 10*time.Millisecond)
		for range 5 {
			id, _ := line.addKeyless(1)
			line.finish(id, 100*time.Millisecond)
		}
		running := line.add("a", 1)
		line.addKeyless(1)
		other := line.add("a", 1)
		requireNext(t, line.finish(running, time.Millisecond), other)
	})
	t.Run("calls are not charged to that entry", func(t *testing.T) {
		line := newLine(8)
		for range 2 { // the first one's charge is an estimate without any measurement
			line.run("a", "any", 200*time.Millisecond)
		}
		for range 5 {
			line.run("", "any", 100*time.Millisecond)
		}
		running := line.add("", 1)
		line.add("a", 1)
		keyless, _ := line.addKeyless(1)
		requireNext(t, line.finish(running, time.Millisecond), keyless)
	})
	t.Run("a refused flood does not count as neglected", func(t *testing.T) {
		line := newLine(1)
		running := line.add("a", 1)
		queued := line.add("a", 1)
		is := is.New(t)
		for range 5 {
			flooding, effects := line.addKeyless(9)
			is.Equal(refusal(effects).ID, flooding)
			requireNext(t, line.finish(running, time.Millisecond), queued)
			running, queued = queued, line.add("a", 1)
		}
	})
}

// TestBusyOrderCost guards against a class of urgent requests that is refused for a short
// wait while less urgent requests with long objectives wait: uploads rose to 2.5 times
// their rate, and checks were served less often than they were.
func TestBusyOrderCost(t *testing.T) {
	decide := func(order admit.Order, objective time.Duration) admit.Refuse {
		line := newLine(8)
		line.gate.Order = order
		line.run("a", "check", 100*time.Millisecond)
		line.add("a", 2)
		for range 4 {
			line.add("b", 2)
		}
		line.now = line.now.Add(300 * time.Millisecond)
		_, effects := line.arrive("c", "check", 1, objective, 5*time.Second)
		return refusal(effects)
	}
	is := is.New(t)
	is.Equal(decide(admit.OrderObjective, 50*time.Millisecond).Reason, admit.ReasonBusy)
	is.Equal(decide(admit.OrderCost, 50*time.Millisecond).Reason, admit.Reason(""))
	// A request that can be in time at another target is sent there.
	is.Equal(decide(admit.OrderCost, 120*time.Millisecond).Reason, admit.ReasonBusy)
}

// TestOrderWithoutWorkspaces guards against any change to deployments without workspaces:
// the effects are those of OrderObjective, whatever happens.
func TestOrderWithoutWorkspaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, bound := rapid.IntRange(1, 4).Draw(t, "slots"), rapid.IntRange(0, 5).Draw(t, "bound")
		current := &admit.Gate{Slots: slots, QueueBound: bound, MaxSlownessAge: 100 * time.Millisecond}
		earlier := &admit.Gate{Slots: slots, QueueBound: bound, MaxSlownessAge: 100 * time.Millisecond, Order: admit.OrderObjective}
		requireSameEffects(t, current, earlier, func() string { return "" })
	})
}

// TestOrderObjective guards against a profile with today's order under which workspaces
// still change a decision.
func TestOrderObjective(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, bound := rapid.IntRange(1, 4).Draw(t, "slots"), rapid.IntRange(0, 5).Draw(t, "bound")
		with := &admit.Gate{Slots: slots, QueueBound: bound, Order: admit.OrderObjective}
		without := &admit.Gate{Slots: slots, QueueBound: bound}
		requireSameEffects(t, with, without, func() string { return rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "workspace") })
	})
}

// requireSameEffects sends the same random events to two gates, of which the second gets
// no workspaces, and checks that their effects are the same.
func requireSameEffects(t *rapid.T, gate, other *admit.Gate, workspace func() string) {
	now := time.Unix(1_800_000_000, 0)
	milliseconds := func(low, high int, label string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}
	for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
		now = now.Add(milliseconds(0, 400, "pause"))
		id := rapid.Uint64Range(1, uint64(step+1)).Draw(t, "id")
		var event admit.Event
		switch rapid.SampledFrom([]string{"arrive", "arrive", "arrive", "finish", "finish", "commit", "cancel", "tick", "slowness"}).Draw(t, "event") {
		case "arrive":
			arrived := admit.Arrived{
				ID: uint64(step + 1), At: now, Deadline: now.Add(milliseconds(1, 5000, "deadline")),
				Objective: now.Add(milliseconds(-100, 2000, "objective")), Rank: rapid.IntRange(0, 3).Draw(t, "rank"),
				Class: rapid.SampledFrom([]string{"", "read", "write"}).Draw(t, "class"), Reserve: rapid.Bool().Draw(t, "reserve"),
				MaxDelay: time.Duration(rapid.SampledFrom([]int{0, 0, 50, 1000}).Draw(t, "maxDelay")) * time.Millisecond,
			}
			arrived.Important, arrived.Call = arrived.Rank == 0, rapid.Bool().Draw(t, "call")
			withWorkspace := arrived
			withWorkspace.Workspace = workspace()
			compareEffects(t, gate.Update(withWorkspace), other.Update(arrived))
			continue
		case "finish":
			event = admit.Finished{ID: id, At: now}
		case "commit":
			event = admit.Committed{ID: id, At: now}
		case "cancel":
			event = admit.Cancelled{ID: id, At: now}
		case "tick":
			event = admit.Ticked{At: now}
		default:
			event = admit.SlownessReported{At: now, Slowness: float64(rapid.IntRange(1, 5).Draw(t, "slowness"))}
		}
		compareEffects(t, gate.Update(event), other.Update(event))
	}
}

func compareEffects(t *rapid.T, effects, others []admit.Effect) {
	if len(effects)+len(others) > 0 && !reflect.DeepEqual(effects, others) {
		t.Fatalf("effects differ: %s and %s", fmt.Sprint(effects), fmt.Sprint(others))
	}
}

package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/admit"
)

// checker runs a gate, records its effects and fails the test if they break one of
// the guarantees of admission.
type checker struct {
	gate       admit.Gate
	now        time.Time
	lastID     uint64
	reserve    map[uint64]bool
	commits    map[uint64]bool
	handedOver map[uint64]bool
	refused    map[uint64]bool
	arrived    map[uint64]bool
	running    map[uint64]bool
	slots      int
	drained    bool
	// drainedFrom is the first request ID that arrives after the start of the
	// drain. 0 means that the gate does not drain.
	drainedFrom uint64
}

func newChecker(slots, bound int) *checker {
	return &checker{
		gate:    admit.Gate{Slots: slots, QueueBound: bound, MaxSlownessAge: 100 * time.Millisecond},
		now:     time.Unix(1_800_000_000, 0),
		reserve: map[uint64]bool{}, commits: map[uint64]bool{}, handedOver: map[uint64]bool{},
		refused: map[uint64]bool{}, arrived: map[uint64]bool{}, running: map[uint64]bool{},
		slots: slots,
	}
}

func (checker *checker) apply(t fataler, event admit.Event) {
	for _, effect := range checker.gate.Update(event) {
		switch effect := effect.(type) {
		case admit.HandOver:
			checker.handOver(t, effect.ID)
		case admit.Refuse:
			if checker.handedOver[effect.ID] && !checker.hasFinished(effect.ID) {
				t.Fatalf("request %d was refused after it had been handed over", effect.ID)
			}
			checker.refused[effect.ID] = true
		case admit.Drained:
			checker.drained = true
			if len(checker.running) > 0 {
				t.Fatalf("the gate drained while requests %v were running", checker.running)
			}
		}
	}
}

// hasFinished reports whether a request that was handed over has finished. A late
// commit of such a request may be refused, because no caller waits for a response.
func (checker *checker) hasFinished(id uint64) bool { return !checker.running[id] }

// fataler is the part of testing.T and rapid.T that checker uses.
type fataler interface {
	Fatalf(format string, arguments ...any)
}

func (checker *checker) handOver(t fataler, id uint64) {
	switch {
	case checker.handedOver[id]:
		t.Fatalf("request %d was handed over twice", id)
	case checker.refused[id]:
		t.Fatalf("request %d was handed over after it had been refused", id)
	case checker.reserve[id] && !checker.commits[id]:
		t.Fatalf("request %d was handed over without a commit", id)
	case checker.drainedFrom > 0 && id >= checker.drainedFrom:
		t.Fatalf("request %d arrived after the drain had started, but was handed over", id)
	}
	checker.handedOver[id] = true
	checker.running[id] = true
	if len(checker.running) > checker.slots {
		t.Fatalf("%d requests run on %d slots", len(checker.running), checker.slots)
	}
}

func (checker *checker) step(t *rapid.T) {
	checker.now = checker.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
	known := uint64(0)
	if checker.lastID > 0 {
		known = rapid.Uint64Range(1, checker.lastID).Draw(t, "known")
	}
	switch rapid.SampledFrom([]string{"arrive", "arrive", "arrive", "commit", "commit", "cancel", "finish", "finish", "tick", "slowness", "drain"}).Draw(t, "event") {
	case "arrive":
		checker.lastID++
		id := checker.lastID
		checker.reserve[id] = rapid.Bool().Draw(t, "reserve")
		checker.apply(t, admit.Arrived{
			ID: id, At: checker.now,
			Deadline:  checker.now.Add(time.Duration(rapid.IntRange(1, 10_000).Draw(t, "deadline")) * time.Millisecond),
			Important: rapid.Bool().Draw(t, "important"),
			Reserve:   checker.reserve[id],
			MaxDelay:  time.Duration(rapid.SampledFrom([]int{0, 0, 1, 200, 5000}).Draw(t, "maxDelay")) * time.Millisecond,
		})
	case "slowness":
		checker.apply(t, admit.SlownessReported{At: checker.now, Slowness: float64(rapid.IntRange(1, 5).Draw(t, "slowness"))})
	case "commit":
		if known > 0 && !checker.commits[known] {
			checker.commits[known] = true
			checker.apply(t, admit.Committed{ID: known, At: checker.now})
		}
	case "cancel":
		checker.apply(t, admit.Cancelled{ID: known, At: checker.now})
	case "finish":
		if checker.running[known] {
			delete(checker.running, known)
			checker.apply(t, admit.Finished{ID: known, At: checker.now})
		}
	case "tick":
		checker.apply(t, admit.Ticked{At: checker.now})
	case "drain":
		if checker.drainedFrom == 0 {
			checker.drainedFrom = checker.lastID + 1
			checker.apply(t, admit.DrainRequested{At: checker.now})
		}
	}
}

// TestGateKeepsItsPromises sends random events to a gate and checks that each request
// is handed over at most once, never after a refusal and only after its commit, that
// no more requests run than there are slots, and that a drain admits no request.
func TestGateKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checker := newChecker(rapid.IntRange(1, 4).Draw(t, "slots"), rapid.IntRange(0, 5).Draw(t, "bound"))
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			checker.step(t)
		}
	})
}

// TestDrainEndsWhenAllIsFinished checks that a gate reports Drained and has no slot
// in use once all running requests have finished and all reservations have expired.
func TestDrainEndsWhenAllIsFinished(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checker := newChecker(rapid.IntRange(1, 4).Draw(t, "slots"), 5)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			checker.step(t)
		}
		checker.apply(t, admit.DrainRequested{At: checker.now})
		for id := range checker.running {
			delete(checker.running, id)
			checker.apply(t, admit.Finished{ID: id, At: checker.now})
		}
		checker.now = checker.now.Add(admit.ReservationTimeout)
		checker.apply(t, admit.Ticked{At: checker.now})
		if !checker.drained {
			t.Fatalf("no request is running, but the gate has not drained: %+v", checker.gate.Load())
		}
		if running := checker.gate.Load().Running; running != 0 {
			t.Fatalf("no request is running, but %d slots are in use", running)
		}
	})
}

// lastEffects applies events to a gate with one slot and the given queue bound, and
// returns the effects of the last event.
func lastEffects(bound int, events ...admit.Event) []admit.Effect {
	gate := admit.Gate{Slots: 1, QueueBound: bound}
	var last []admit.Effect
	for _, event := range events {
		last = gate.Update(event)
	}
	return last
}

func TestQueue(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	arrive := func(id uint64, important bool) admit.Arrived {
		return admit.Arrived{ID: id, At: start, Deadline: start.Add(time.Minute), Important: important}
	}
	expectRefusal := func(t *testing.T, effects []admit.Effect, id uint64, reason admit.Reason) {
		t.Helper()
		is := is.New(t)
		refuse, found := effects[0].(admit.Refuse)
		is.True(found)
		is.Equal(refuse.ID, id)
		is.Equal(refuse.Reason, reason)
	}
	t.Run("a full queue refuses a request", func(t *testing.T) {
		expectRefusal(t, lastEffects(1, arrive(1, false), arrive(2, false), arrive(3, false)), 3, admit.ReasonQueueFull)
	})
	t.Run("an important request displaces an ordinary one", func(t *testing.T) {
		expectRefusal(t, lastEffects(1, arrive(1, false), arrive(2, false), arrive(3, true)), 2, admit.ReasonQueueFull)
	})
	t.Run("an important request leaves the queue first", func(t *testing.T) {
		effects := lastEffects(5, arrive(1, false), arrive(2, false), arrive(3, true), admit.Finished{ID: 1, At: start})
		is.New(t).Equal(effects[0], admit.Effect(admit.HandOver{ID: 3}))
	})
	t.Run("a request that would miss its deadline is refused at once", func(t *testing.T) {
		slow := admit.Finished{ID: 1, At: start.Add(10 * time.Second)}
		late := admit.Arrived{ID: 3, At: start.Add(10 * time.Second), Deadline: start.Add(11 * time.Second)}
		busy := admit.Arrived{ID: 2, At: start.Add(10 * time.Second), Deadline: start.Add(time.Minute)}
		expectRefusal(t, lastEffects(5, arrive(1, false), slow, busy, late), 3, admit.ReasonDeadline)
	})
	t.Run("a reservation that is not committed in time expires", func(t *testing.T) {
		reserved := admit.Arrived{ID: 1, At: start, Deadline: start.Add(time.Minute), Reserve: true}
		late := admit.Committed{ID: 1, At: start.Add(admit.ReservationTimeout)}
		expectRefusal(t, lastEffects(1, reserved, late), 1, admit.ReasonReservationExpired)
	})
	t.Run("a draining gate refuses new requests", func(t *testing.T) {
		expectRefusal(t, lastEffects(1, admit.DrainRequested{At: start}, arrive(1, false)), 1, admit.ReasonDraining)
	})
}

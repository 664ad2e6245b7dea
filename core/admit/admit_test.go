package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/admit"
)

// watched is a gate with a note of all that it has done.
type watched struct {
	gate    admit.Gate
	now     time.Time
	next    uint64
	reserve map[uint64]bool
	commits map[uint64]bool
	handed  map[uint64]bool
	refused map[uint64]bool
	arrived map[uint64]bool
	running map[uint64]bool
	slots   int
	drained bool
	// draining is the first name that came after the drain began, or 0.
	draining uint64
}

func newWatched(slots, bound int) *watched {
	return &watched{
		gate:    admit.Gate{Slots: slots, QueueBound: bound},
		now:     time.Unix(1_800_000_000, 0),
		reserve: map[uint64]bool{}, commits: map[uint64]bool{}, handed: map[uint64]bool{},
		refused: map[uint64]bool{}, arrived: map[uint64]bool{}, running: map[uint64]bool{},
		slots: slots,
	}
}

func (watched *watched) apply(t failer, event admit.Event) {
	for _, effect := range watched.gate.Update(event) {
		switch effect := effect.(type) {
		case admit.HandOver:
			watched.handOver(t, effect.ID)
		case admit.Refuse:
			if watched.handed[effect.ID] && !watched.finishedLate(effect.ID) {
				t.Fatalf("request %d was refused after its hand-over", effect.ID)
			}
			watched.refused[effect.ID] = true
		case admit.Drained:
			watched.drained = true
			if len(watched.running) > 0 {
				t.Fatalf("drained while %v run", watched.running)
			}
		}
	}
}

// finishedLate says whether a request was handed over and is over: then a late
// commit of it may be refused, since nobody waits for the word.
func (watched *watched) finishedLate(id uint64) bool { return !watched.running[id] }

type failer interface {
	Fatalf(format string, arguments ...any)
}

func (watched *watched) handOver(t failer, id uint64) {
	switch {
	case watched.handed[id]:
		t.Fatalf("request %d was handed over twice", id)
	case watched.refused[id]:
		t.Fatalf("request %d was handed over after its refusal", id)
	case watched.reserve[id] && !watched.commits[id]:
		t.Fatalf("request %d was handed over without a commit", id)
	case watched.draining > 0 && id >= watched.draining:
		t.Fatalf("request %d came after the drain and was handed over", id)
	}
	watched.handed[id] = true
	watched.running[id] = true
	if len(watched.running) > watched.slots {
		t.Fatalf("%d requests run on %d slots", len(watched.running), watched.slots)
	}
}

func (watched *watched) step(t *rapid.T) {
	watched.now = watched.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
	known := uint64(0)
	if watched.next > 0 {
		known = rapid.Uint64Range(1, watched.next).Draw(t, "known")
	}
	switch rapid.SampledFrom([]string{"arrive", "arrive", "arrive", "commit", "commit", "cancel", "finish", "finish", "tick", "drain"}).Draw(t, "event") {
	case "arrive":
		watched.next++
		id := watched.next
		watched.reserve[id] = rapid.Bool().Draw(t, "reserve")
		watched.apply(t, admit.Arrived{
			ID: id, At: watched.now,
			Deadline:  watched.now.Add(time.Duration(rapid.IntRange(1, 10_000).Draw(t, "deadline")) * time.Millisecond),
			Important: rapid.Bool().Draw(t, "important"),
			Reserve:   watched.reserve[id],
		})
	case "commit":
		if known > 0 && !watched.commits[known] {
			watched.commits[known] = true
			watched.apply(t, admit.Committed{ID: known, At: watched.now})
		}
	case "cancel":
		watched.apply(t, admit.Cancelled{ID: known, At: watched.now})
	case "finish":
		if watched.running[known] {
			delete(watched.running, known)
			watched.apply(t, admit.Finished{ID: known, At: watched.now})
		}
	case "tick":
		watched.apply(t, admit.Ticked{At: watched.now})
	case "drain":
		if watched.draining == 0 {
			watched.draining = watched.next + 1
			watched.apply(t, admit.DrainAsked{At: watched.now})
		}
	}
}

func TestGateKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		watched := newWatched(rapid.IntRange(1, 4).Draw(t, "slots"), rapid.IntRange(0, 5).Draw(t, "bound"))
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			watched.step(t)
		}
	})
}

func TestDrainEndsWhenAllIsFinished(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		watched := newWatched(rapid.IntRange(1, 4).Draw(t, "slots"), 5)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			watched.step(t)
		}
		watched.apply(t, admit.DrainAsked{At: watched.now})
		for id := range watched.running {
			delete(watched.running, id)
			watched.apply(t, admit.Finished{ID: id, At: watched.now})
		}
		watched.now = watched.now.Add(admit.ReservationTime)
		watched.apply(t, admit.Ticked{At: watched.now})
		if !watched.drained {
			t.Fatalf("nothing runs, but the gate has not drained: %+v", watched.gate.Load())
		}
		if running := watched.gate.Load().Running; running != 0 {
			t.Fatalf("nothing runs, but %d slots are held", running)
		}
	})
}

// effectsOf is the course of a gate with one slot and the given queue bound.
func effectsOf(bound int, events ...admit.Event) []admit.Effect {
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
	refused := func(t *testing.T, effects []admit.Effect, id uint64, reason admit.Reason) {
		t.Helper()
		is := is.New(t)
		refuse, found := effects[0].(admit.Refuse)
		is.True(found)
		is.Equal(refuse.ID, id)
		is.Equal(refuse.Reason, reason)
	}
	t.Run("a full queue refuses", func(t *testing.T) {
		refused(t, effectsOf(1, arrive(1, false), arrive(2, false), arrive(3, false)), 3, admit.ReasonQueueFull)
	})
	t.Run("an important request displaces an ordinary one", func(t *testing.T) {
		refused(t, effectsOf(1, arrive(1, false), arrive(2, false), arrive(3, true)), 2, admit.ReasonQueueFull)
	})
	t.Run("an important request goes first", func(t *testing.T) {
		effects := effectsOf(5, arrive(1, false), arrive(2, false), arrive(3, true), admit.Finished{ID: 1, At: start})
		is.New(t).Equal(effects[0], admit.Effect(admit.HandOver{ID: 3}))
	})
	t.Run("a request that would be late is refused at once", func(t *testing.T) {
		slow := admit.Finished{ID: 1, At: start.Add(10 * time.Second)}
		late := admit.Arrived{ID: 3, At: start.Add(10 * time.Second), Deadline: start.Add(11 * time.Second)}
		busy := admit.Arrived{ID: 2, At: start.Add(10 * time.Second), Deadline: start.Add(time.Minute)}
		refused(t, effectsOf(5, arrive(1, false), slow, busy, late), 3, admit.ReasonLate)
	})
	t.Run("a reservation that is not committed ends", func(t *testing.T) {
		reserved := admit.Arrived{ID: 1, At: start, Deadline: start.Add(time.Minute), Reserve: true}
		late := admit.Committed{ID: 1, At: start.Add(admit.ReservationTime)}
		refused(t, effectsOf(1, reserved, late), 1, admit.ReasonExpired)
	})
	t.Run("draining refuses new work", func(t *testing.T) {
		refused(t, effectsOf(1, admit.DrainAsked{At: start}, arrive(1, false)), 1, admit.ReasonDraining)
	})
}

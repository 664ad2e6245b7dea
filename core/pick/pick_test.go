package pick_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/core/pick"
	"ibislift/core/profile"
	"ibislift/core/route"
)

func TestComeback(t *testing.T) {
	const ms = time.Millisecond
	within := func(t *testing.T, refusal pick.Refusal, low, high time.Duration) {
		t.Helper()
		for step := range 101 {
			after := refusal.Comeback(float64(step) / 100)
			is.New(t).True(after >= low && after <= high)
		}
	}
	t.Run("one that can still be in time comes back when there is room", func(t *testing.T) {
		within(t, pick.Refusal{Left: 2500 * ms, Objective: 400 * ms, Room: 80 * ms}, 50*ms, 110*ms)
	})
	t.Run("one that cannot waits for as long as it may", func(t *testing.T) {
		within(t, pick.Refusal{Left: 2400 * ms, Room: 80 * ms}, 500*ms, 800*ms)
	})
	t.Run("never at once", func(t *testing.T) {
		within(t, pick.Refusal{Room: ms}, 50*ms, 50*ms)
	})
}

// world is a service with three targets whose requests work for 50 ms.
type world struct {
	book    *route.Book
	members []kernel.Member
	now     time.Time
}

func newWorld() *world {
	world := &world{book: &route.Book{}, now: time.Unix(1_800_000_000, 0)}
	for number := range 3 {
		id := fmt.Sprintf("t%d", number)
		world.members = append(world.members, kernel.Member{ID: id, Target: kernel.Target{Slots: 10}})
		world.report(id, 0)
	}
	world.book.Learn("c", 50*time.Millisecond, 1000)
	return world
}

func (world *world) report(id string, running int) {
	world.book.Reported(id, world.now, admit.Load{Running: min(running, 10), Queued: max(0, running-10), Slots: 10, Slowness: 1, SlotInterval: 5 * time.Millisecond})
}

func (world *world) picker(objective time.Duration) *pick.Picker {
	policy, _ := route.New("random")
	return &pick.Picker{
		Book: world.book, Rules: profile.Default(), Policy: policy, Class: "c",
		Timed: true, Objective: world.now.Add(objective), Random: 7,
	}
}

func (world *world) choose(picker *pick.Picker) (string, bool) {
	choice, found := picker.Choose(world.now, world.members, func(kernel.Member) route.Distance { return route.Distance{} })
	if found {
		picker.Sent(choice.Member.ID)
	}
	return choice.Member.ID, found
}

func TestChoose(t *testing.T) {
	t.Run("the target with the least expected time", func(t *testing.T) {
		world := newWorld()
		world.report("t0", 40)
		world.report("t2", 40)
		target, found := world.choose(world.picker(time.Second))
		is := is.New(t)
		is.True(found)
		is.Equal(target, "t1")
	})
	t.Run("no target twice", func(t *testing.T) {
		world := newWorld()
		picker := world.picker(time.Second)
		seen := map[string]bool{}
		for range 3 {
			target, found := world.choose(picker)
			is.New(t).True(found && !seen[target])
			seen[target] = true
		}
		_, found := world.choose(picker)
		is.New(t).True(!found)
	})
	t.Run("one that only knew a better place is asked again", func(t *testing.T) {
		world := newWorld()
		world.members = world.members[:1]
		picker := world.picker(time.Second)
		first, _ := world.choose(picker)
		picker.Refused(0, admit.ReasonSlower)
		second, found := world.choose(picker)
		is := is.New(t)
		is.True(found)
		is.Equal(second, first)
	})
	t.Run("a refused request is not sent around without hope", func(t *testing.T) {
		world := newWorld()
		for _, member := range world.members {
			world.report(member.ID, 60)
		}
		picker := world.picker(60 * time.Millisecond)
		_, found := world.choose(picker)
		is := is.New(t)
		is.True(found) // the first gate knows best
		picker.Refused(0, admit.ReasonBusy)
		_, found = world.choose(picker)
		is.True(!found)
	})
}

func TestHedgeDelay(t *testing.T) {
	world := newWorld()
	is := is.New(t)
	is.Equal(world.picker(400*time.Millisecond).HedgeDelay(world.now), 325*time.Millisecond) // the last moment for another
	is.Equal(world.picker(60*time.Millisecond).HedgeDelay(world.now), 100*time.Millisecond)  // never before the answer is late
}

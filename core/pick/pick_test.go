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

func TestRetryAfter(t *testing.T) {
	const ms = time.Millisecond
	checkRange := func(t *testing.T, refusal pick.Refusal, low, high time.Duration) {
		t.Helper()
		for step := range 101 {
			delay := refusal.RetryAfter(float64(step) / 100)
			is.New(t).True(delay >= low && delay <= high)
		}
	}
	t.Run("a request that can meet its objective retries when capacity is expected", func(t *testing.T) {
		checkRange(t, pick.Refusal{DeadlineIn: 2500 * ms, ObjectiveIn: 400 * ms, CapacityIn: 80 * ms}, 50*ms, 110*ms)
	})
	t.Run("a request that cannot meet its objective gets the longest delay", func(t *testing.T) {
		checkRange(t, pick.Refusal{DeadlineIn: 2400 * ms, CapacityIn: 80 * ms}, 500*ms, 800*ms)
	})
	t.Run("the delay never exceeds a third of the time to the deadline", func(t *testing.T) {
		checkRange(t, pick.Refusal{DeadlineIn: 90 * ms, CapacityIn: 10 * ms}, 30*ms, 30*ms)
	})
	t.Run("cold targets have no capacity before the time that they say", func(t *testing.T) {
		checkRange(t, pick.Refusal{DeadlineIn: 1500 * ms, ObjectiveIn: 400 * ms, CapacityIn: 900 * ms, IsCold: true}, 900*ms, 900*ms)
		checkRange(t, pick.Refusal{DeadlineIn: 3000 * ms, ObjectiveIn: 900 * ms, CapacityIn: 400 * ms, IsCold: true}, 400*ms, 520*ms)
		checkRange(t, pick.Refusal{DeadlineIn: 2400 * ms, CapacityIn: 80 * ms, IsCold: true}, 500*ms, 800*ms)
	})
	t.Run("the delay has a minimum", func(t *testing.T) {
		checkRange(t, pick.Refusal{CapacityIn: ms}, 50*ms, 50*ms)
	})
}

// fixture is a service with three targets whose requests have a service time of 50 ms.
type fixture struct {
	tracker *route.Tracker
	members []kernel.Member
	now     time.Time
}

func newFixture() *fixture {
	fixture := &fixture{tracker: &route.Tracker{}, now: time.Unix(1_800_000_000, 0)}
	for number := range 3 {
		id := fmt.Sprintf("t%d", number)
		fixture.members = append(fixture.members, kernel.Member{ID: id, Target: kernel.Target{Slots: 10}})
		fixture.report(id, 0)
	}
	fixture.tracker.UpdateClass("c", 50*time.Millisecond, 1000)
	return fixture
}

func (fixture *fixture) report(id string, running int) {
	fixture.tracker.RecordReport(id, fixture.now, admit.Load{Running: min(running, 10), Queued: max(0, running-10), Slots: 10, Slowness: 1, SlotInterval: 5 * time.Millisecond})
}

func (fixture *fixture) picker(objective time.Duration) *pick.Picker {
	policy, _ := route.New("random")
	return &pick.Picker{
		Tracker: fixture.tracker, Profile: profile.Default(), Policy: policy, Class: "c",
		HasObjective: true, Objective: fixture.now.Add(objective), Random: 7,
	}
}

func (fixture *fixture) choose(picker *pick.Picker) (string, bool) {
	choice, found := picker.Choose(fixture.now, fixture.members, func(kernel.Member) route.Link { return route.Link{} })
	if found {
		picker.RecordAttempt(choice.Member.ID)
	}
	return choice.Member.ID, found
}

func TestChoose(t *testing.T) {
	t.Run("the target with the least expected time is chosen", func(t *testing.T) {
		fixture := newFixture()
		fixture.report("t0", 40)
		fixture.report("t2", 40)
		target, found := fixture.choose(fixture.picker(time.Second))
		is := is.New(t)
		is.True(found)
		is.Equal(target, "t1")
	})
	t.Run("a large body keeps a request away from a link that is paid by the byte", func(t *testing.T) {
		fixture := newFixture()
		fixture.report("t0", 14) // the only target without such a link waits for a slot
		chooseWith := func(bodyBytes float64) string {
			picker := fixture.picker(time.Second)
			picker.BodyBytes, picker.ObjectiveLength = bodyBytes, time.Second
			choice, found := picker.Choose(fixture.now, fixture.members, func(member kernel.Member) route.Link {
				if member.ID == "t0" {
					return route.Link{}
				}
				return route.Link{BytePrice: 8e-6}
			})
			is.New(t).True(found)
			return choice.Member.ID
		}
		is := is.New(t)
		is.True(chooseWith(0) != "t0")
		is.Equal(chooseWith(60_000), "t0")
	})
	t.Run("no target is chosen twice", func(t *testing.T) {
		fixture := newFixture()
		picker := fixture.picker(time.Second)
		seen := map[string]bool{}
		for range 3 {
			target, found := fixture.choose(picker)
			is.New(t).True(found && !seen[target])
			seen[target] = true
		}
		_, found := fixture.choose(picker)
		is.New(t).True(!found)
	})
	t.Run("a target that refused because another should be faster is tried again", func(t *testing.T) {
		fixture := newFixture()
		fixture.members = fixture.members[:1]
		picker := fixture.picker(time.Second)
		first, _ := fixture.choose(picker)
		picker.RecordRefusal(0, admit.ReasonSlower)
		second, found := fixture.choose(picker)
		is := is.New(t)
		is.True(found)
		is.Equal(second, first)
	})
	t.Run("a target whose response was lost is tried once more when no other is left", func(t *testing.T) {
		fixture := newFixture()
		fixture.members = fixture.members[:2]
		picker := fixture.picker(time.Second)
		first, _ := fixture.choose(picker)
		picker.RecordLoss(0)
		second, _ := fixture.choose(picker)
		is := is.New(t)
		is.True(second != first)
		third, found := fixture.choose(picker)
		is.True(found)
		is.Equal(third, first)
		picker.RecordLoss(2)
		_, found = fixture.choose(picker)
		is.True(!found)
		is.Equal(picker.DescribeExclusions(fixture.members, fixture.members), "2 tried: t0 t1")
	})
	t.Run("a refused request is not sent on if no target can meet the objective", func(t *testing.T) {
		fixture := newFixture()
		for _, member := range fixture.members {
			fixture.report(member.ID, 60)
		}
		picker := fixture.picker(60 * time.Millisecond)
		_, found := fixture.choose(picker)
		is := is.New(t)
		is.True(found) // the first target is always tried
		picker.RecordRefusal(0, admit.ReasonBusy)
		_, found = fixture.choose(picker)
		is.True(!found)
	})
}

func TestHedgeDelay(t *testing.T) {
	fixture := newFixture()
	is := is.New(t)
	is.Equal(fixture.picker(400*time.Millisecond).HedgeDelay(fixture.now), 325*time.Millisecond) // the last moment for another target
	is.Equal(fixture.picker(60*time.Millisecond).HedgeDelay(fixture.now), 100*time.Millisecond)  // not before twice the service time
}

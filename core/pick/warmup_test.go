package pick_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
	"ibislift/core/pick"
	"ibislift/core/profile"
	"ibislift/core/route"
)

// firstChoices returns how often each target is chosen by a picker that knows the warm-up
// of the service, while earlier choices are in flight if they are.
func (fixture *fixture) firstChoices(requests int, inFlight bool) map[string]int {
	counts := map[string]int{}
	rules := profile.Default()
	rules.SlowStart = 0 // it would keep requests away for longer
	for random := range uint64(requests) {
		picker := &pick.Picker{
			Tracker: fixture.tracker, Profile: rules, Class: "c", HasObjective: true, Random: random + 1,
			Objective: fixture.now.Add(time.Second), ObjectiveLength: time.Second,
			Warmup: route.Warmup{PerSecond: 12, Time: 3 * time.Second},
		}
		choice, found := picker.Choose(fixture.now, fixture.members, func(kernel.Member) route.Link { return route.Link{} })
		if !found {
			continue
		}
		counts[choice.Member.ID]++
		if inFlight {
			fixture.tracker.RecordStart(choice.Member.ID, fixture.now)
		}
	}
	return counts
}

// The caller is told when cold targets have capacity only if one was asked.
func TestPickerRemembersColdTargets(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	picker := &pick.Picker{
		Tracker: fixture.tracker, Profile: profile.Default(), Class: "c", HasObjective: true, Random: 1,
		Objective: fixture.now.Add(time.Second), ObjectiveLength: time.Second, Warmup: route.Warmup{PerSecond: 12, Time: 3 * time.Second},
	}
	link := func(kernel.Member) route.Link { return route.Link{} }
	picker.Choose(fixture.now, fixture.members, link)
	is.True(!picker.WasLimitedByWarmup())
	for index := range fixture.members {
		fixture.members[index].Target.StartedAt = fixture.now.UnixMilli()
	}
	picker.Choose(fixture.now, fixture.members, link)
	is.True(picker.WasLimitedByWarmup())
}

// All ingresses see a target that has just started as idle, and would send it more than a
// cold target can take before the first report arrives.
func TestTargetThatHasJustStartedIsNotFlooded(t *testing.T) {
	start := func(fixture *fixture) { fixture.members[0].Target.StartedAt = fixture.now.UnixMilli() }
	t.Run("others go first", func(t *testing.T) {
		is := is.New(t)
		fixture := newFixture()
		is.True(fixture.firstChoices(100, false)["t0"] > 0)
		fixture.now = fixture.now.Add(time.Second)
		start(fixture) // its report is older
		is.Equal(fixture.firstChoices(100, false)["t0"], 0)
		fixture.now = fixture.now.Add(3 * time.Second)
		is.True(fixture.firstChoices(100, false)["t0"] > 0)
	})
	t.Run("it gets few of a burst that fills the others", func(t *testing.T) {
		is := is.New(t)
		fixture := newFixture()
		fixture.now = fixture.now.Add(time.Second)
		start(fixture)
		counts := fixture.firstChoices(80, true)
		is.True(counts["t0"] >= 1)
		is.True(counts["t0"] <= 6) // without the warm-up it gets a third
	})
	t.Run("a report after the start counts, and so do the requests in flight", func(t *testing.T) {
		is := is.New(t)
		fixture := newFixture()
		fixture.now = fixture.now.Add(time.Second)
		start(fixture)
		fixture.report("t0", 0)
		fixture.report("t1", 40)
		fixture.report("t2", 40)
		counts := fixture.firstChoices(6, true)
		is.True(counts["t0"] >= 1 && counts["t0"] <= 3)
	})
	t.Run("a clock that is far ahead does not count", func(t *testing.T) {
		fixture := newFixture()
		fixture.members[0].Target.StartedAt = fixture.now.Add(time.Hour).UnixMilli()
		is.New(t).True(fixture.firstChoices(100, false)["t0"] > 0)
	})
}

package pick_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/core/pick"
	"ibislift/core/profile"
	"ibislift/core/route"
)

// chosen returns how often each target of the fixture is chosen first.
func (fixture *fixture) chosen() map[string]int {
	counts := map[string]int{}
	for random := range uint64(100) {
		picker := &pick.Picker{
			Tracker: fixture.tracker, Profile: profile.Default(), Class: "c", HasObjective: true, Random: random + 1,
			Objective: fixture.now.Add(time.Second), ObjectiveLength: time.Second,
		}
		if choice, found := picker.Choose(fixture.now, fixture.members, func(kernel.Member) route.Link { return route.Link{} }); found {
			counts[choice.Member.ID]++
		}
	}
	return counts
}

func TestTargetWithoutRoomInItsRateLimitIsPassedOver(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	full := admit.Load{Slots: 10, RateLimit: admit.RateLimit{InForce: true, PerSecond: 5}, RateDelay: 200 * time.Millisecond}
	fixture.tracker.RecordReport("t0", fixture.now, full)
	is.Equal(fixture.chosen()["t0"], 0)
	fixture.now = fixture.now.Add(250 * time.Millisecond) // the report foretells room by then
	is.True(fixture.chosen()["t0"] > 0)
}

func TestLeavingTargetIsNotChosenAgain(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	fixture.members[0].Target.StartedAt = 7
	fixture.tracker.RecordLeaving("t0", 7)
	is.Equal(fixture.chosen()["t0"], 0)
	fixture.report("t0", 0) // a gate that has been restarted does not know it
	is.Equal(fixture.chosen()["t0"], 0)
	fixture.members[0].Target.StartedAt = 8
	is.True(fixture.chosen()["t0"] > 0)
	fixture.members[0].Target.StartedAt = 0
	fixture.tracker.RecordLeaving("t0", 0) // the next one could not be told from it
	is.True(fixture.chosen()["t0"] > 0)
	for index := range fixture.members {
		fixture.members[index].Target.StartedAt = 9
		fixture.tracker.RecordLeaving(fixture.members[index].ID, 9)
	}
	is.Equal(len(fixture.chosen()), 0)
}

// A request may wait at a gate while another data centre is evacuated.
func TestTargetInAnEvacuatedDataCentreIsNotChosen(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	for index := range fixture.members {
		fixture.members[index].DataCentre = []string{"a", "b", "b"}[index]
		fixture.members[index].State = kernel.MemberAlive
	}
	evacuated := map[string]bool{"a": true}
	picker := &pick.Picker{Tracker: fixture.tracker, Profile: profile.Default(), Class: "c", HasObjective: true, Random: 1, ObjectiveLength: time.Second}
	picker.IsEvacuated = func(dataCentre string) bool { return evacuated[dataCentre] }
	link := func(kernel.Member) route.Link { return route.Link{} }
	for range 20 {
		choice, found := picker.Choose(fixture.now, fixture.members, link)
		is.True(found)
		is.Equal(choice.Member.DataCentre, "b")
	}
	evacuated["b"] = true
	_, found := picker.Choose(fixture.now, fixture.members, link)
	is.True(!found)
	is.Equal(picker.DescribeExclusions(fixture.members, fixture.members), "3 evacuated: t0 t1 t2")
}

func TestRateLimitIsKnownUntilTheGateSaysOtherwise(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	limit := admit.RateLimit{InForce: true, PerSecond: 5, StartedAt: 7}
	fixture.tracker.RecordReport("t0", fixture.now, admit.Load{Slots: 10, RateLimit: limit})
	fixture.report("t0", 0) // a gate that has been restarted does not know it
	is.Equal(fixture.tracker.RateLimit("t0"), limit)
	fixture.tracker.RecordReport("t0", fixture.now, admit.Load{Slots: 10, RateLimit: admit.RateLimit{StartedAt: 7}})
	is.Equal(fixture.tracker.RateLimit("t0"), admit.RateLimit{})
}

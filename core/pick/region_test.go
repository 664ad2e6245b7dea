package pick_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/core/pick"
	"ibislift/core/route"
)

// Whatever happens to the attempts, no further attempt and no hedge may go to a member
// outside the allowed regions: it would disclose the request there.
func TestNoAttemptLeavesTheAllowedRegions(t *testing.T) {
	reasons := []admit.Reason{admit.ReasonBusy, admit.ReasonSlower, admit.ReasonDraining}
	rapid.Check(t, func(t *rapid.T) {
		fixture := newFixture()
		fixture.members = nil
		for number := range rapid.IntRange(1, 9).Draw(t, "members") {
			region := rapid.SampledFrom([]string{"north", "south", "east"}).Draw(t, "region")
			fixture.members = append(fixture.members, kernel.Member{ID: fmt.Sprintf("t%d", number), Region: region, Target: kernel.Target{Slots: 10}})
		}
		picker := fixture.picker(time.Second)
		picker.HasObjective = rapid.Bool().Draw(t, "objective")
		picker.Regions = rapid.SampledFrom([][]string{{}, {"north"}, {"north", "east"}, {"west"}}).Draw(t, "regions")
		for attempt := range 20 {
			choice, found := picker.Choose(fixture.now, fixture.members, func(kernel.Member) route.Link { return route.Link{} })
			if !found {
				return
			}
			if !slices.Contains(picker.Regions, choice.Member.Region) {
				t.Fatalf("attempt %d goes to %s", attempt, choice.Member.Region)
			}
			for _, candidate := range choice.Candidates {
				index := slices.IndexFunc(fixture.members, func(member kernel.Member) bool { return member.ID == candidate.ID })
				if !slices.Contains(picker.Regions, fixture.members[index].Region) {
					t.Fatalf("%s is a candidate of attempt %d", candidate.ID, attempt)
				}
			}
			picker.RecordAttempt(choice.Member.ID)
			if rapid.Bool().Draw(t, "lost") {
				picker.RecordLoss(attempt)
			} else {
				picker.RecordRefusal(attempt, rapid.SampledFrom(reasons).Draw(t, "reason"))
			}
		}
	})
}

func TestExclusionsNameTheRegions(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	picker := fixture.picker(time.Second)
	picker.Regions = []string{"north", "south"}
	text := picker.DescribeExclusions(fixture.members, nil)
	is.True(strings.Contains(text, "3 otherRegion: t0 t1 t2"))
	is.True(strings.Contains(text, "allowed regions: north south"))
}

// A subset that was chosen before the filter would leave a daemon far from the allowed
// region with a few of its 45 targets.
func TestSubsetOfTheAllowedRegions(t *testing.T) {
	for _, self := range fleet(15) {
		is := is.New(t)
		used := pick.Subset(self, pick.InRegions([]string{"r2"}, fleet(15)))
		is.True(len(used) >= 13)
		for _, member := range used {
			is.Equal(member.Region, "r2")
		}
	}
}

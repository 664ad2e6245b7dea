package routes_test

import (
	"cmp"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/routes"
)

// A request of a less urgent workspace must not go before one of a more urgent
// workspace, whatever the ranks of their routes are.
func TestCombinedRanksCompareLexicographically(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(0, 1000)
		combine := func(first, second int) int {
			rank, _ := routes.CombineRanks(&routes.Route{Rank: second}, &routes.Workspace{Rank: &first})
			if rank != int(int32(rank)) {
				t.Fatalf("%d does not fit into the message to the gate", rank)
			}
			return rank
		}
		one, other := [2]int{ranks.Draw(t, "workspace"), ranks.Draw(t, "route")}, [2]int{ranks.Draw(t, "workspace"), ranks.Draw(t, "route")}
		if cmp.Compare(combine(one[0], one[1]), combine(other[0], other[1])) != slices.Compare(one[:], other[:]) {
			t.Fatalf("%v and %v are combined in another order", one, other)
		}
	})
}

func TestCombineRanks(t *testing.T) {
	check := func(t *testing.T, workspace *routes.Workspace, routeRank, want int, wantImportant bool) {
		t.Helper()
		rank, important := routes.CombineRanks(&routes.Route{Rank: routeRank}, workspace)
		is := is.New(t)
		is.Equal(rank, want)
		is.Equal(important, wantImportant)
	}
	zero, one, huge := 0, 1, 1<<40
	t.Run("no workspace", func(t *testing.T) { check(t, nil, 3, 3, false) })
	t.Run("no workspace, most urgent route", func(t *testing.T) { check(t, nil, 0, 0, true) })
	t.Run("a workspace without a rank counts as 0", func(t *testing.T) { check(t, &routes.Workspace{}, 0, 0, true) })
	t.Run("rank 0", func(t *testing.T) { check(t, &routes.Workspace{Rank: &zero}, 2, 2, false) })
	t.Run("the most urgent route of a less urgent workspace is not important", func(t *testing.T) {
		check(t, &routes.Workspace{Rank: &one}, 0, 1024, false)
	})
	t.Run("ranks out of range are limited", func(t *testing.T) { check(t, &routes.Workspace{Rank: &huge}, huge, 1<<30+1023, false) })
}

func TestAllowedRegions(t *testing.T) {
	check := func(t *testing.T, route, workspace, want []string, wantPossible bool) {
		t.Helper()
		regions, possible := routes.AllowedRegions(&routes.Route{Regions: route}, &routes.Workspace{Regions: workspace})
		is := is.New(t)
		is.Equal(regions, want)
		is.Equal(possible, wantPossible)
	}
	north, both := []string{"north"}, []string{"north", "south"}
	t.Run("no lists", func(t *testing.T) { check(t, nil, nil, nil, true) })
	t.Run("empty lists allow all", func(t *testing.T) { check(t, []string{}, []string{}, nil, true) })
	t.Run("the route alone", func(t *testing.T) { check(t, both, nil, both, true) })
	t.Run("the workspace alone", func(t *testing.T) { check(t, nil, north, north, true) })
	t.Run("both", func(t *testing.T) { check(t, both, []string{"east", "north"}, north, true) })
	t.Run("no common region", func(t *testing.T) { check(t, north, []string{"south"}, nil, false) })
	t.Run("no workspace", func(t *testing.T) {
		regions, possible := routes.AllowedRegions(&routes.Route{Regions: north}, nil)
		is := is.New(t)
		is.Equal(regions, north)
		is.True(possible)
	})
}

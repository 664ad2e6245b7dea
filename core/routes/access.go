package routes

import "slices"

// Limits of the parts of a combined rank, which has to fit into 32 bits.
const (
	// ranksPerWorkspaceRank is the distance between two ranks of workspaces, so that
	// every rank of a route fits between them.
	ranksPerWorkspaceRank = 1 << 10
	maxRouteRank          = ranksPerWorkspaceRank - 1
	maxWorkspaceRank      = 1 << 20
)

// CombineRanks returns one rank that orders requests by the rank of their workspace and
// then by that of their route. It is the route's own rank if the workspace has rank 0 or
// none, or if there is no workspace. important is set for rank 0 of both.
func CombineRanks(route *Route, workspace *Workspace) (rank int, important bool) {
	first := 0
	if workspace != nil && workspace.Rank != nil {
		first = min(max(0, *workspace.Rank), maxWorkspaceRank)
	}
	second := min(max(0, route.Rank), maxRouteRank)
	return first*ranksPerWorkspaceRank + second, first == 0 && route.Rank == 0
}

// AllowedRegions returns the regions that both the route and the workspace allow; nil
// allows all regions. The workspace may be nil. possible is false if there is no such
// region.
func AllowedRegions(route *Route, workspace *Workspace) (regions []string, possible bool) {
	switch {
	case workspace == nil || len(workspace.Regions) == 0:
		return emptyToNil(route.Regions), true
	case len(route.Regions) == 0:
		return workspace.Regions, true
	}
	for _, region := range route.Regions {
		if slices.Contains(workspace.Regions, region) {
			regions = append(regions, region)
		}
	}
	return regions, len(regions) > 0
}

func emptyToNil(regions []string) []string {
	if len(regions) == 0 {
		return nil
	}
	return regions
}

// HasWorkspaces reports whether requests need an API key, unless their route is
// anonymous.
func (table *Table) HasWorkspaces() bool { return len(table.Workspaces) > 0 }

package pick

import (
	"slices"

	"ibislift/core/kernel"
)

// IsAllowed reports whether a member is in one of the allowed regions. nil allows all
// regions.
func IsAllowed(regions []string, member kernel.Member) bool {
	return regions == nil || slices.Contains(regions, member.Region)
}

// InRegions returns the members that are in one of the allowed regions. Subset must be
// applied to the result: applied before, it could leave a daemon outside these regions
// with few targets in them, or none.
func InRegions(regions []string, members []kernel.Member) []kernel.Member {
	if regions == nil {
		return members
	}
	var allowed []kernel.Member
	for _, member := range members {
		if IsAllowed(regions, member) {
			allowed = append(allowed, member)
		}
	}
	return allowed
}

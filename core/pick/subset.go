package pick

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ibislift/core/kernel"
)

// Limits on the number of targets of a service that one daemon uses: in its own
// data centre, in its own region, including those, and in all. If fewer are in the
// own region, more are used in others.
const (
	maxTargetsInDataCentre = 9
	maxTargetsInRegion     = 13
	MaxTargets             = 18
)

// Subset returns the targets of a service that a daemon uses, so that its number of
// connections does not grow with the fleet. It chooses them by rendezvous
// hashing: most from its own data centre, where they are reached soonest and at no
// price, and a few beyond it, for when those are busy.
func Subset(self kernel.Member, members []kernel.Member) []kernel.Member {
	if len(members) <= MaxTargets {
		return members
	}
	order := slices.Clone(members)
	slices.SortFunc(order, func(one, other kernel.Member) int {
		return cmp.Compare(xxhash.Sum64String(self.ID+"\x00"+one.ID), xxhash.Sum64String(self.ID+"\x00"+other.ID))
	})
	var own, near, far []kernel.Member
	for _, member := range order {
		switch {
		case member.Region != self.Region:
			far = append(far, member)
		case member.DataCentre != self.DataCentre:
			near = append(near, member)
		default:
			own = append(own, member)
		}
	}
	var chosen []kernel.Member
	for _, group := range []struct {
		members []kernel.Member
		limit   int
	}{{own, maxTargetsInDataCentre}, {near, maxTargetsInRegion}, {far, MaxTargets}} {
		chosen = append(chosen, group.members[:min(len(group.members), group.limit-len(chosen))]...)
	}
	return chosen
}

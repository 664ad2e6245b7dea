package pick

import (
	"fmt"
	"slices"
	"strings"

	"ibislift/core/kernel"
)

// Exclusion is why a target of the service was not chosen.
type Exclusion string

// The reasons why a target is not chosen.
const (
	// ExcludedTried means that the request has already been sent to the target.
	ExcludedTried Exclusion = "tried"
	// ExcludedTooSlow means that a gate has refused the request for lack of
	// capacity and that the target is not expected to respond within the objective.
	ExcludedTooSlow Exclusion = "tooSlow"
	// ExcludedDead, ExcludedLeaving and ExcludedDraining mean that the target's
	// daemon or the target itself accepts no requests.
	ExcludedDead     Exclusion = "dead"
	ExcludedLeaving  Exclusion = "leaving"
	ExcludedDraining Exclusion = "draining"
	// ExcludedRegion means that the target is outside the regions that the request's
	// route and workspace allow.
	ExcludedRegion Exclusion = "otherRegion"
	// ExcludedEvacuated means that the target's data centre is evacuated.
	ExcludedEvacuated Exclusion = "evacuated"
	// ExcludedUnused means that this daemon does not use the target, since it
	// uses only some of the service's targets.
	ExcludedUnused Exclusion = "unused"
)

// maxNamedTargets is the number of targets that are named for each exclusion.
const maxNamedTargets = 4

// DescribeExclusions says why none of the members of a service was chosen, as
// one line: each exclusion with the number of targets and the names of the first
// few, and the regions that the request is restricted to. usable are the members that
// were passed to Choose.
func (picker *Picker) DescribeExclusions(members, usable []kernel.Member) string {
	if len(members) == 0 {
		return "the service has no targets"
	}
	names := map[Exclusion][]string{}
	var order []Exclusion
	for _, member := range members {
		reason := picker.exclusionOf(member, usable)
		if names[reason] == nil {
			order = append(order, reason)
		}
		names[reason] = append(names[reason], member.ID)
	}
	var parts []string
	for _, reason := range order {
		named := names[reason][:min(maxNamedTargets, len(names[reason]))]
		parts = append(parts, fmt.Sprintf("%d %s: %s", len(names[reason]), reason, strings.Join(named, " ")))
	}
	if picker.Regions != nil {
		parts = append(parts, "allowed regions: "+strings.Join(picker.Regions, " "))
	}
	return strings.Join(parts, ", ")
}

func (picker *Picker) exclusionOf(member kernel.Member, usable []kernel.Member) Exclusion {
	switch {
	case slices.Contains(picker.targets, member.ID):
		return ExcludedTried
	case !IsAllowed(picker.Regions, member):
		return ExcludedRegion
	case picker.isEvacuated(member):
		return ExcludedEvacuated
	case member.State == kernel.MemberDead:
		return ExcludedDead
	case member.Leaving || picker.Tracker.IsLeaving(member.ID, member.Target.StartedAt):
		return ExcludedLeaving
	case !member.Serves():
		return ExcludedDraining
	case !slices.ContainsFunc(usable, func(other kernel.Member) bool { return other.ID == member.ID }):
		return ExcludedUnused
	default:
		return ExcludedTooSlow
	}
}

package member

import "ibislift/core/kernel"

// departures holds for each member the start of the target beside it that has left. A
// daemon that has been restarted does not know that its target has left, and may publish
// it as serving after a heartbeat that was delayed.
type departures map[string]int64

// apply records a target that is draining, and keeps it draining in later records of the
// member. A target whose daemon is leaving may serve on after the daemon's restart.
func (departures departures) apply(member kernel.Member) kernel.Member {
	startedAt := member.Target.StartedAt
	switch {
	case startedAt == 0:
		// There is no target, or its start is not known.
	case member.Target.State == kernel.TargetDraining && !member.Leaving:
		departures[member.ID] = startedAt
	case departures[member.ID] == startedAt:
		member.Target.State = kernel.TargetDraining
	}
	return member
}

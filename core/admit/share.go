package admit

import (
	"math"
	"time"
)

// Parameters of the use of slots by workspaces.
const (
	// recentUseTime is the time constant of the recent use of slots. A surge of a
	// workspace lasts a few seconds and must show while it lasts.
	recentUseTime = 2 * time.Second
	// usualUseTime is the time constant of the usual use. It is much longer than a surge,
	// so that a surge hardly counts as usual.
	usualUseTime = time.Minute
	// servedTime is the time constant of the counts of starts and refusals. A small
	// workspace sends a gate a request in half a minute.
	servedTime = 30 * time.Second
	// maxShares limits the number of workspaces that the gate knows the use of. A gate
	// serves at most some tens of requests a second, so more are not active at once.
	maxShares = 256
	// idleUse is the recent use, in slots, and idleCount the number of starts and refusals
	// below which a workspace is idle. Its data are then dropped.
	idleUse   = 0.002
	idleCount = 0.05
)

// share is what a workspace has lately had of the slots. The values decay exponentially.
type share struct {
	// recent and usual are the slot-seconds that requests have used, as integrals that
	// decay with recentUseTime and usualUseTime.
	recent, usual float64
	// started and refused count requests. They decay with servedTime.
	started, refused float64
	at               time.Time
}

// decay brings the values to a time.
func (share *share) decay(at time.Time) {
	elapsed := at.Sub(share.at).Seconds()
	if elapsed <= 0 {
		return
	}
	share.recent *= math.Exp(-elapsed / recentUseTime.Seconds())
	share.usual *= math.Exp(-elapsed / usualUseTime.Seconds())
	served := math.Exp(-elapsed / servedTime.Seconds())
	share.started *= served
	share.refused *= served
	share.at = at
}

// servedFraction returns the fraction of the decided requests that have been started.
func (share *share) servedFraction() float64 {
	return share.started / max(idleCount, share.started+share.refused)
}

// noWorkspace is the name under which the requests of no workspace, other than calls of
// running requests, share one entry.
const noWorkspace = ""

// shares holds the use of an upstream's slots by workspaces. A workspace that is idle has
// no entry.
type shares struct {
	byWorkspace map[string]*share
	all         share
	// since is when the first request of a workspace was recorded.
	since time.Time
	// active is the number of workspaces that are in use, as of the last prune.
	active int
}

// inUse reports whether requests carry workspaces.
func (shares *shares) inUse() bool {
	if _, found := shares.byWorkspace[noWorkspace]; found {
		return len(shares.byWorkspace) > 1
	}
	return len(shares.byWorkspace) > 0
}

// of returns the share of a workspace at a time, and creates it unless too many are known.
// The requests of no workspace always have one while requests carry workspaces.
func (shares *shares) of(workspace string, at time.Time) *share {
	known := shares.byWorkspace[workspace]
	if known == nil {
		if workspace == noWorkspace && !shares.inUse() {
			return nil
		}
		if len(shares.byWorkspace) >= maxShares {
			shares.prune(at)
		}
		if len(shares.byWorkspace) >= maxShares && workspace != noWorkspace {
			return nil
		}
		if shares.byWorkspace == nil {
			shares.byWorkspace = map[string]*share{}
			shares.since = at
			shares.all.at = at
		}
		known = &share{at: at}
		shares.byWorkspace[workspace] = known
	}
	known.decay(at)
	shares.all.decay(at)
	return known
}

// charge adds slot-seconds, which may be negative, to the use of a workspace.
func (shares *shares) charge(workspace string, at time.Time, amount time.Duration) {
	if share := shares.of(workspace, at); share != nil {
		share.recent = max(0, share.recent+amount.Seconds())
		share.usual = max(0, share.usual+amount.Seconds())
	}
}

// count records that a request of a workspace was started or refused for want of capacity.
// Those of no workspace do not count: if a flood of them were refused, no workspace would
// seem to be served less often than all.
func (shares *shares) count(workspace string, at time.Time, started bool) {
	if workspace == noWorkspace {
		return
	}
	share := shares.of(workspace, at)
	if share == nil {
		return
	}
	if started {
		share.started++
		shares.all.started++
		return
	}
	share.refused++
	shares.all.refused++
}

// prune drops the idle workspaces and counts the others.
func (shares *shares) prune(at time.Time) {
	shares.active = 0
	for workspace, share := range shares.byWorkspace {
		share.decay(at)
		recent := share.recent / recentUseTime.Seconds()
		if recent >= idleUse {
			shares.active++
		}
		usual := share.usual / usualUseTime.Seconds()
		if recent < idleUse && usual < idleUse && share.started+share.refused < idleCount {
			delete(shares.byWorkspace, workspace)
		}
	}
}

// overUse returns the recent use of a workspace as a multiple of what it may use: its
// usual use, and in addition an equal part of the capacity, so that a workspace of which
// little is known may use some.
func (shares *shares) overUse(workspace string, at time.Time, capacity int) float64 {
	known := shares.byWorkspace[workspace]
	if known == nil {
		return 0
	}
	known.decay(at)
	recent := known.recent / recentUseTime.Seconds()
	// The integral of the usual use is complete only after a few times usualUseTime.
	observed := usualUseTime.Seconds() * (1 - math.Exp(-max(recentUseTime.Seconds(), at.Sub(shares.since).Seconds())/usualUseTime.Seconds()))
	usual := known.usual / observed
	return recent / (usual + float64(capacity)/float64(max(1, shares.active)))
}

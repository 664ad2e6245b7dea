package member

import (
	"slices"
	"time"

	"ibislift/core/kernel"
)

// Parameters of the choice of watchers.
const (
	// watchersPerRegion is how many daemons of a region watch the platform.
	watchersPerRegion = 2
	// maxWatcherCandidates is how many daemons of a region may become watchers because
	// those before them do not reach the platform. It bounds the calls while the
	// platform is down for all.
	maxWatcherCandidates = 6
	// reportDelay is how long after its start a daemon reports that it follows the
	// platform. Before, it does not know the other members and takes itself for a watcher.
	reportDelay = 2 * time.Second
	// takeOverDelay is how long no watcher of a region has followed the platform before
	// the next one in rank does so in its place. Each further one waits as long again.
	// firstTakeOver is the least time from the start of a daemon until then; watchers that
	// start with it follow the platform after 3 s at the latest.
	takeOverDelay = 500 * time.Millisecond
	firstTakeOver = 3 * time.Second
)

// standInRank is kernel.State.WatcherRank of a watcher that is not among the first in rank.
const standInRank = -1

// watcherChoice decides whether this daemon watches the platform, which is the task of the
// first daemons of a region in rank. Their watches begin some time after they have got the
// task. A daemon that follows the platform therefore goes on until those before it have reported
// that they do, and the next one in rank stands in if none does.
type watcherChoice struct {
	// candidates are the daemons of the region that may watch, in the order of their rank.
	candidates []kernel.Member
	// followedAt is when a candidate was last known to follow the platform.
	followedAt time.Time
}

// update returns whether this daemon watches, and its rank. follows says that it watches
// already and that its watch has begun.
func (watcherChoice *watcherChoice) update(self kernel.Member, at time.Time, follows bool) (rank int, watching bool) {
	position := positionIn(watcherChoice.candidates, self)
	followers := 0
	for number, candidate := range watcherChoice.candidates {
		if candidate.ID == self.ID || !candidate.Following || candidate.State != kernel.MemberAlive {
			continue
		}
		watcherChoice.followedAt = at
		if number < position {
			followers++
		}
	}
	unfollowed := at.Sub(watcherChoice.followedAt)
	isCandidate := position < len(watcherChoice.candidates)
	switch {
	case isCandidate && position < watchersPerRegion:
		return position, true
	case self.PlatformLost:
		return standInRank, false
	case follows:
		return standInRank, followers < watchersPerRegion
	case !isCandidate:
		return standInRank, false
	default:
		return standInRank, unfollowed >= time.Duration(position-watchersPerRegion+1)*takeOverDelay
	}
}

// positionIn returns the position of a member, or the number of members if it is not among
// them.
func positionIn(members []kernel.Member, member kernel.Member) int {
	position := slices.IndexFunc(members, func(other kernel.Member) bool { return other.ID == member.ID })
	if position < 0 {
		return len(members)
	}
	return position
}

// watcherCandidates returns the daemons of a region that may watch the platform, in the
// order of their rank. Daemons that do not reach the platform are passed over, and those
// in different data centres come first.
func watcherCandidates(self kernel.Member, members []kernel.Member) []kernel.Member {
	var region []kernel.Member
	for _, member := range members {
		if member.Region == self.Region {
			region = append(region, member)
		}
	}
	candidates := firstN(spreadOverDataCentres(rankByHash(region, "watch")), maxWatcherCandidates)
	var reaching []kernel.Member
	for _, candidate := range candidates {
		if !candidate.PlatformLost {
			reaching = append(reaching, candidate)
		}
	}
	if len(reaching) > 0 {
		return reaching
	}
	return candidates
}

// spreadOverDataCentres moves the first daemon of each data centre to the front,
// and keeps the order otherwise.
func spreadOverDataCentres(ranked []kernel.Member) []kernel.Member {
	seen := map[string]bool{}
	var first, others []kernel.Member
	for _, member := range ranked {
		if seen[member.DataCentre] {
			others = append(others, member)
			continue
		}
		seen[member.DataCentre] = true
		first = append(first, member)
	}
	return append(first, others...)
}

// updateWatching decides whether this daemon watches the platform, and publishes whether it
// follows it, so that the watchers before it may end.
func (plugin *plugin) updateWatching(state *kernel.State, at time.Time) []kernel.Effect {
	follows := state.Watching && state.Following && at.Sub(plugin.startedAt) >= reportDelay
	rank, watching := plugin.watcherChoice.update(plugin.self, at, follows)
	if watching != state.Watching || rank != state.WatcherRank {
		state.ViewDirty = true
	}
	state.WatcherRank, state.Watching = rank, watching
	plugin.watching = watching
	follows = follows && watching && !plugin.self.PlatformLost
	if follows == plugin.self.Following {
		return nil
	}
	plugin.self.Following = follows
	return plugin.publishSelf()
}

// Package member maintains the membership of the fleet: which daemons exist, where
// they run, and the state of their targets.
//
// Each daemon describes itself in one replicated record, and only that daemon
// increments the record's counter. Neighbours exchange messages. A neighbour
// that does not reply becomes suspect. It can refute the suspicion by
// publishing its record again; otherwise it is declared dead. A daemon that
// receives messages from no peer assumes that its own link has failed and
// suspects nobody.
//
// # Usage
//
// The package registers a kernel plug-in when it is imported:
//
//	import _ "ibislift/core/member"
package member

import (
	"encoding/json"
	"slices"
	"sort"
	"time"

	"ibislift/core/kernel"
)

// Parameters of failure detection.
const (
	// failuresToSuspect is the number of consecutive failed exchanges after
	// which a neighbour becomes suspect.
	failuresToSuspect = 2
	// minFailureInterval is the minimum time between two counted failures, so
	// that several messages that fail together count as one.
	minFailureInterval = 500 * time.Millisecond
	// SuspicionTimeout is how long a suspect member has to refute before it is
	// declared dead.
	SuspicionTimeout = 3 * time.Second
	// contactTimeout is how long after the last message from any peer a daemon
	// still considers its own link to be working.
	contactTimeout = 2 * time.Second
	// DeadRetention is how long the record of a dead member is kept.
	DeadRetention = 10 * time.Minute
	// platformLossTime is how long the calls of a watcher fail before it reports
	// that it does not reach the platform, and platformLossRetention how long
	// that holds before it may watch again.
	platformLossTime      = time.Second
	platformLossRetention = 10 * time.Second
	// cleanupInterval is the time between two searches for expired members.
	cleanupInterval = 5 * time.Second
)

func init() {
	kernel.Register("member", func() kernel.Plugin { return &plugin{} })
}

// trackedMember is a member's record together with the version and the times
// that this daemon keeps for it.
type trackedMember struct {
	member    kernel.Member
	version   uint64
	changedAt time.Time
	diedAt    time.Time
}

type plugin struct {
	self           kernel.Member
	counter        uint64
	members        map[string]trackedMember
	failures       map[string]int
	lastFailure    map[string]time.Time
	lastContact    time.Time
	membersChanged bool
	// claimsChanged is set if a record differs only in the claim to withdraw from callers,
	// which changes nothing else that is derived from the members.
	claimsChanged bool
	lastCleanup   time.Time
	coordinators  [][]string
	neighbours    []kernel.Neighbour
	watching      bool
	watcherChoice watcherChoice
	startedAt     time.Time
	// platformLostAt is when this daemon last reported that it does not reach the
	// platform.
	platformLostAt time.Time
	departures     departures
	ownDepartures  ownDepartures
	// synced means that another daemon has sent its records, or that there is none.
	synced bool
}

// record is the replicated form of a member. Died is in Unix milliseconds.
type record struct {
	kernel.Member
	Died int64 `json:"died,omitempty"`
}

// Accepts reports whether a record may be merged. It rejects malformed records of this
// plug-in and those of members that died at least DeadRetention ago.
func (plugin *plugin) Accepts(at time.Time, offered kernel.Record) bool {
	if offered.Kind == kernel.KindDepartures {
		_, err := decodeDepartures(offered.Body)
		return err == nil
	}
	if offered.Kind != kernel.KindMember {
		return true
	}
	var update record
	if json.Unmarshal(offered.Body, &update) != nil || update.ID != offered.Name {
		return false
	}
	return update.State != kernel.MemberDead || at.Sub(time.UnixMilli(update.Died)) < DeadRetention
}

func (plugin *plugin) Update(state *kernel.State, event kernel.Event) []kernel.Effect {
	switch message := event.Message.(type) {
	case kernel.Started:
		return plugin.start(state, event)
	case kernel.Ticked:
		return plugin.tick(state, event)
	case kernel.RecordsMerged:
		return plugin.applyRecords(state, event.At, message)
	case kernel.EnvelopeReceived:
		plugin.lastContact = event.At
	case kernel.PeerReplied:
		plugin.lastContact = event.At
		delete(plugin.failures, message.Peer.ID)
	case kernel.PeerFailed:
		return plugin.recordFailure(state, event.At, message.Peer)
	case kernel.PeerSynced, kernel.NoPeersFound:
		state.ViewDirty = state.ViewDirty || !plugin.synced
		plugin.synced = true
		return plugin.join(state)
	case kernel.UpstreamAnnounced:
		return plugin.announceTarget(state, message)
	case kernel.UpstreamDeparted:
		return plugin.recordDeparture(state, message.Departure)
	case kernel.UpstreamSilent:
		return plugin.updateTarget(kernel.Target{}, "")
	case kernel.DrainRequested:
		return plugin.requestDrain(state, message.Leaving)
	case kernel.WithdrawalClaimed:
		plugin.self = plugin.self.WithClaim(message.Order)
		return plugin.publishSelf()
	case kernel.StopRequested:
		return plugin.stop(event.At)
	}
	return nil
}

func (plugin *plugin) start(state *kernel.State, event kernel.Event) []kernel.Effect {
	settings := state.Settings
	plugin.members = map[string]trackedMember{}
	plugin.departures = departures{}
	plugin.startedAt = event.At
	plugin.watcherChoice.followedAt = event.At.Add(firstTakeOver)
	plugin.ownDepartures = ownDepartures{startedAt: event.At}
	plugin.failures = map[string]int{}
	plugin.lastFailure = map[string]time.Time{}
	plugin.lastContact = event.At
	plugin.self = kernel.Member{
		ID:              settings.Self,
		Epoch:           settings.Epoch,
		Region:          settings.Region,
		DataCentre:      settings.DataCentre,
		PeerAddress:     settings.PeerAddress,
		ForwardAddress:  settings.ForwardAddress,
		CallerAddress:   settings.CallerAddress,
		OperatorAddress: settings.OperatorAddress,
		State:           kernel.MemberAlive,
	}
	return plugin.publishSelf()
}

// publishSelf publishes this daemon's own record with a higher counter.
func (plugin *plugin) publishSelf() []kernel.Effect {
	plugin.counter++
	version := encodeVersion(plugin.self.Epoch, plugin.counter, rankOwn)
	return []kernel.Effect{mergeMember(plugin.self, version, 0)}
}

// mergeMember returns the effect that merges a member record into the replicated
// table.
func mergeMember(member kernel.Member, version uint64, died int64) kernel.Effect {
	body, err := json.Marshal(record{Member: member, Died: died})
	if err != nil {
		panic("member: encoding a member record: " + err.Error())
	}
	key := kernel.Key{Kind: kernel.KindMember, Name: member.ID}
	return kernel.MergeRecords{Records: []kernel.Record{{Key: key, Version: version, Body: body}}}
}

// applyRecords stores the merged member records and refutes any newer record
// about this daemon.
func (plugin *plugin) applyRecords(state *kernel.State, at time.Time, merged kernel.RecordsMerged) []kernel.Effect {
	var effects []kernel.Effect
	for _, replica := range merged.Records {
		if replica.Kind == kernel.KindDepartures && replica.Name == plugin.self.ID {
			effects = append(effects, plugin.adoptDepartures(state, replica)...)
		}
		if replica.Kind != kernel.KindMember {
			continue
		}
		var update record
		if json.Unmarshal(replica.Body, &update) != nil {
			continue
		}
		tracked := plugin.members[update.ID]
		if isClaim := tracked.member.WithClaim(update.WithdrawalOrder) == plugin.departures.apply(update.Member); isClaim {
			plugin.claimsChanged = true
		} else {
			plugin.membersChanged = true
		}
		if tracked.member.State == kernel.MemberSuspect && update.State == kernel.MemberAlive {
			// The member has refuted the suspicion, so it must fail again
			// before it becomes suspect again.
			delete(plugin.failures, update.ID)
		}
		plugin.members[update.ID] = trackedMember{member: plugin.departures.apply(update.Member), version: replica.Version, changedAt: at, diedAt: time.UnixMilli(update.Died)}
		if update.ID == plugin.self.ID {
			effects = append(effects, plugin.refute(replica.Version)...)
		}
	}
	if plugin.membersChanged && plugin.lacksCoordinators() {
		plugin.rebuildCoordinators(state, plugin.liveMembers())
	}
	return effects
}

// lacksCoordinators reports whether a partition could have more claim coordinators
// than it has. Then the next member is added at once and not with the next tick:
// a daemon that knows members and no coordinators would refuse all claims.
func (plugin *plugin) lacksCoordinators() bool {
	return len(plugin.coordinators) == 0 || len(plugin.coordinators[0]) < coordinatorsPerPartition
}

// refute overrides a record about this daemon that another process has written
// by publishing one with a higher version.
func (plugin *plugin) refute(version uint64) []kernel.Effect {
	if version <= encodeVersion(plugin.self.Epoch, plugin.counter, rankOwn) {
		return nil
	}
	if epochOf(version) > plugin.self.Epoch {
		plugin.self.Epoch = epochOf(version)
	}
	plugin.counter = counterOf(version)
	return plugin.publishSelf()
}

// updateTarget publishes the target that the upstream announced. A draining
// target stays draining until another incarnation of the upstream announces
// itself, or for good if the daemon is leaving. One that has left is draining.
func (plugin *plugin) updateTarget(target kernel.Target, instance string) []kernel.Effect {
	current := plugin.self.Target
	draining := current.State == kernel.TargetDraining
	plugin.ownDepartures.current = instance
	switch {
	case draining && (plugin.self.Leaving || target.StartedAt == current.StartedAt):
		target.State = kernel.TargetDraining
	case target.Service != "" && plugin.ownDepartures.includes(instance, target.StartedAt):
		target.State = kernel.TargetDraining
	}
	if current == target {
		return nil
	}
	plugin.self.Target = target
	return plugin.publishSelf()
}

// drain marks the target as draining and, if leaving is set, the daemon as
// leaving.
func (plugin *plugin) drain(leaving bool) []kernel.Effect {
	previous := plugin.self
	plugin.self.Leaving = plugin.self.Leaving || leaving
	plugin.self.Target.State = kernel.TargetDraining
	if plugin.self == previous {
		return nil
	}
	return plugin.publishSelf()
}

// stop publishes this daemon as dead, so that its neighbours need not detect
// the failure.
func (plugin *plugin) stop(at time.Time) []kernel.Effect {
	plugin.self.State = kernel.MemberDead
	plugin.counter++
	version := encodeVersion(plugin.self.Epoch, plugin.counter, rankOwn)
	return []kernel.Effect{mergeMember(plugin.self, version, at.UnixMilli())}
}

// recordFailure counts a failed exchange with a monitored neighbour and marks the
// neighbour suspect after failuresToSuspect failures.
func (plugin *plugin) recordFailure(state *kernel.State, at time.Time, peer kernel.Neighbour) []kernel.Effect {
	if peer.ID == "" || !peer.Monitored {
		return nil
	}
	if at.Sub(plugin.lastFailure[peer.ID]) < minFailureInterval {
		return nil
	}
	plugin.lastFailure[peer.ID] = at
	plugin.failures[peer.ID]++
	tracked := plugin.members[peer.ID]
	if plugin.failures[peer.ID] < failuresToSuspect || tracked.member.State != kernel.MemberAlive {
		return nil
	}
	if plugin.isIsolated(state, at) {
		return nil
	}
	suspect := tracked.member.WithState(kernel.MemberSuspect)
	return []kernel.Effect{mergeMember(suspect, withRank(tracked.version, rankSuspect), 0)}
}

// isIsolated reports whether this daemon has received nothing from any peer
// for contactTimeout although it has several neighbours. Its own link is then
// more likely to have failed than all of theirs.
func (plugin *plugin) isIsolated(state *kernel.State, at time.Time) bool {
	return len(state.Neighbours) > 1 && at.Sub(plugin.lastContact) > contactTimeout
}

func (plugin *plugin) tick(state *kernel.State, event kernel.Event) []kernel.Effect {
	effects := plugin.declareDead(state, event.At)
	effects = append(effects, plugin.joinAfterTimeout(state, event.At)...)
	effects = append(effects, plugin.reportPlatformLoss(state, event.At)...)
	plugin.removeExpired(state, event.At)
	if plugin.membersChanged || plugin.claimsChanged {
		state.DataCentreMembers = plugin.dataCentreMembers()
	}
	if plugin.membersChanged {
		plugin.rebuildTopology(state)
	}
	plugin.membersChanged, plugin.claimsChanged = false, false
	return append(effects, plugin.updateWatching(state, event.At)...)
}

// reportPlatformLoss publishes that this daemon is to watch the platform and does
// not reach it, so that the next one in rank watches in its place.
func (plugin *plugin) reportPlatformLoss(state *kernel.State, at time.Time) []kernel.Effect {
	since := state.PlatformDownSince
	lost := plugin.self.PlatformLost && at.Sub(plugin.platformLostAt) < platformLossRetention
	if state.Watching && !since.IsZero() && at.Sub(since) >= platformLossTime {
		lost = true
	}
	if lost == plugin.self.PlatformLost {
		return nil
	}
	if lost {
		plugin.platformLostAt = at
		state.Following = false
		plugin.self.Following = false
	}
	plugin.self.PlatformLost = lost
	return plugin.publishSelf()
}

// declareDead declares the monitored neighbours dead that have been suspect for
// the suspicion timeout without refuting.
func (plugin *plugin) declareDead(state *kernel.State, at time.Time) []kernel.Effect {
	var effects []kernel.Effect
	for _, neighbour := range state.Neighbours {
		tracked := plugin.members[neighbour.ID]
		silent := neighbour.Monitored && plugin.failures[neighbour.ID] >= failuresToSuspect
		if !silent || tracked.member.State != kernel.MemberSuspect || plugin.isIsolated(state, at) {
			continue
		}
		if at.Sub(tracked.changedAt) >= SuspicionTimeout {
			dead := tracked.member.WithState(kernel.MemberDead)
			effects = append(effects, mergeMember(dead, withRank(tracked.version, rankDead), at.UnixMilli()))
		}
	}
	return effects
}

// removeExpired removes members that have been dead for DeadRetention. It
// scans all members and therefore runs only once every cleanupInterval.
func (plugin *plugin) removeExpired(state *kernel.State, at time.Time) {
	if at.Sub(plugin.lastCleanup) < cleanupInterval {
		return
	}
	plugin.lastCleanup = at
	for id, tracked := range plugin.members {
		if tracked.member.State == kernel.MemberDead && at.Sub(tracked.diedAt) >= DeadRetention {
			delete(plugin.members, id)
			delete(plugin.failures, id)
			delete(plugin.departures, id)
			state.Table.Remove(kernel.Key{Kind: kernel.KindMember, Name: id})
			state.Table.Remove(kernel.Key{Kind: kernel.KindDepartures, Name: id})
			plugin.membersChanged = true
		}
	}
}

// rebuildTopology recomputes the neighbours, the watchers and the claim
// coordinators from the current members.
func (plugin *plugin) rebuildTopology(state *kernel.State) {
	live := plugin.liveMembers()
	state.DeadPeers = nil
	for _, member := range plugin.sortedMembers() {
		if member.State == kernel.MemberDead && member.ID != plugin.self.ID {
			state.DeadPeers = append(state.DeadPeers, kernel.Neighbour{ID: member.ID, Address: member.PeerAddress})
		}
	}
	state.Neighbours = chooseNeighbours(plugin.self, live)
	plugin.neighbours = state.Neighbours
	plugin.watcherChoice.candidates = watcherCandidates(plugin.self, live)
	plugin.rebuildCoordinators(state, live)
	state.ViewDirty = true
}

// dataCentreMembers returns the members of the data centre of this daemon that are not dead.
func (plugin *plugin) dataCentreMembers() []kernel.Member {
	var members []kernel.Member
	for _, tracked := range plugin.members {
		member := tracked.member
		if member.Region == plugin.self.Region && member.DataCentre == plugin.self.DataCentre && member.State != kernel.MemberDead {
			members = append(members, member)
		}
	}
	return members
}

func (plugin *plugin) rebuildCoordinators(state *kernel.State, live []kernel.Member) {
	state.ClaimCoordinators = chooseCoordinators(state.Settings, live)
	plugin.coordinators = state.ClaimCoordinators
	state.ViewDirty = true
}

// liveMembers returns the members that are not dead, in the order of their IDs.
func (plugin *plugin) liveMembers() []kernel.Member {
	return slices.DeleteFunc(plugin.sortedMembers(), func(member kernel.Member) bool { return member.State == kernel.MemberDead })
}

// sortedMembers returns all members in the order of their IDs.
func (plugin *plugin) sortedMembers() []kernel.Member {
	members := make([]kernel.Member, 0, len(plugin.members))
	for _, tracked := range plugin.members {
		members = append(members, tracked.member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

func (plugin *plugin) FillView(view *kernel.View) {
	view.Members = plugin.sortedMembers()
	view.ClaimCoordinators = plugin.coordinators
	view.Neighbours = plugin.neighbours
	view.Watching = plugin.watching
	view.Joined = plugin.ownDepartures.joined
	view.Synced = plugin.synced
	view.Departures = plugin.ownDepartures.departed
}

// Package member keeps the membership: which daemons there are, where they
// stand, and what their targets do.
//
// Each daemon describes itself in one replicated record and is the only one
// to raise its counter. Neighbours watch each other; one that does not answer
// is suspected, may refute that with its next statement, and is otherwise
// declared dead. A daemon that hears from nobody doubts itself and accuses
// no one.
//
// # Usage
//
// The package registers itself with the kernel; importing it is enough:
//
//	import _ "ibislift/core/member"
package member

import (
	"encoding/json"
	"sort"
	"time"

	"ibislift/core/kernel"
)

// Times of failure detection.
const (
	// failuresToSuspect is the number of probes in a row without an answer.
	failuresToSuspect = 2
	// failureGap is the least time between two failures that count, so that
	// many messages which fail together count once.
	failureGap = 500 * time.Millisecond
	// SuspicionTime is how long a suspect has to refute.
	SuspicionTime = 3 * time.Second
	// hearingTime is how long a daemon trusts its own links after the last
	// sign of life from anyone.
	hearingTime = 2 * time.Second
	// DeadRetention is how long a dead member is remembered.
	DeadRetention = 10 * time.Minute
	// forgetInterval is the time between two searches for the long dead.
	forgetInterval = 5 * time.Second
)

func init() {
	kernel.Register("member", func() kernel.Plugin { return &plugin{} })
}

// entry is a member with what is known here about it.
type entry struct {
	member  kernel.Member
	version uint64
	changed time.Time
	died    time.Time
}

type plugin struct {
	self       kernel.Member
	counter    uint64
	entries    map[string]entry
	failures   map[string]int
	failedAt   map[string]time.Time
	heard      time.Time
	stale      bool
	forgotAt   time.Time
	clerks     [][]string
	neighbours []kernel.Neighbour
	watching   bool
}

// record is a member as it is replicated. Died is in Unix milliseconds.
type record struct {
	kernel.Member
	Died int64 `json:"died,omitempty"`
}

func (plugin *plugin) Accepts(at time.Time, offered kernel.Record) bool {
	if offered.Kind != kernel.KindMember {
		return true
	}
	var decoded record
	if json.Unmarshal(offered.Body, &decoded) != nil || decoded.ID != offered.Name {
		return false
	}
	return decoded.State != kernel.MemberDead || at.Sub(time.UnixMilli(decoded.Died)) < DeadRetention
}

func (plugin *plugin) Update(state *kernel.State, event kernel.Event) []kernel.Effect {
	switch message := event.Message.(type) {
	case kernel.Started:
		return plugin.start(state, event)
	case kernel.Ticked:
		return plugin.tick(state, event)
	case kernel.RecordsMerged:
		return plugin.learn(event.At, message)
	case kernel.EnvelopeReceived:
		plugin.heard = event.At
	case kernel.PeerReplied:
		plugin.heard = event.At
		delete(plugin.failures, message.Peer.ID)
	case kernel.PeerFailed:
		return plugin.fail(state, event.At, message.Peer)
	case kernel.UpstreamAnnounced:
		return plugin.announce(message.Target)
	case kernel.UpstreamSilent:
		return plugin.announce(kernel.Target{})
	case kernel.DrainRequested:
		return plugin.drain(message.Leaving)
	case kernel.StopRequested:
		return plugin.stop(event.At)
	}
	return nil
}

func (plugin *plugin) start(state *kernel.State, event kernel.Event) []kernel.Effect {
	settings := state.Settings
	plugin.entries = map[string]entry{}
	plugin.failures = map[string]int{}
	plugin.failedAt = map[string]time.Time{}
	plugin.heard = event.At
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
	return plugin.state()
}

// state makes the next statement of this daemon about itself.
func (plugin *plugin) state() []kernel.Effect {
	plugin.counter++
	version := versionOf(plugin.self.Epoch, plugin.counter, rankAlive)
	return []kernel.Effect{adopt(plugin.self, version, 0)}
}

func adopt(member kernel.Member, version uint64, died int64) kernel.Effect {
	body, err := json.Marshal(record{Member: member, Died: died})
	if err != nil {
		panic("member: a member always encodes: " + err.Error())
	}
	key := kernel.Key{Kind: kernel.KindMember, Name: member.ID}
	return kernel.MergeRecords{Records: []kernel.Record{{Key: key, Version: version, Body: body}}}
}

// learn takes in fresh member records and refutes what is wrong about self.
func (plugin *plugin) learn(at time.Time, adopted kernel.RecordsMerged) []kernel.Effect {
	var effects []kernel.Effect
	for _, fresh := range adopted.Records {
		if fresh.Kind != kernel.KindMember {
			continue
		}
		var decoded record
		if json.Unmarshal(fresh.Body, &decoded) != nil {
			continue
		}
		plugin.stale = true
		if known := plugin.entries[decoded.ID]; known.member.State == kernel.MemberSuspect && decoded.State == kernel.MemberAlive {
			// The member has refuted: it takes new failures to suspect it.
			delete(plugin.failures, decoded.ID)
		}
		plugin.entries[decoded.ID] = entry{member: decoded.Member, version: fresh.Version, changed: at, died: time.UnixMilli(decoded.Died)}
		if decoded.ID == plugin.self.ID {
			effects = append(effects, plugin.refute(fresh.Version)...)
		}
	}
	return effects
}

// refute answers a record about self that this process did not write.
func (plugin *plugin) refute(version uint64) []kernel.Effect {
	if version <= versionOf(plugin.self.Epoch, plugin.counter, rankAlive) {
		return nil
	}
	if epochOf(version) > plugin.self.Epoch {
		plugin.self.Epoch = epochOf(version)
	}
	plugin.counter = counterOf(version)
	return plugin.state()
}

// announce takes the upstream's word about itself. One that drains goes on to
// drain until another incarnation of it comes.
func (plugin *plugin) announce(target kernel.Target) []kernel.Effect {
	current := plugin.self.Target
	draining := current.State == kernel.TargetDraining
	if draining && (plugin.self.Leaving || target.StartedAt == current.StartedAt) {
		target.State = kernel.TargetDraining
	}
	if current == target {
		return nil
	}
	plugin.self.Target = target
	return plugin.state()
}

func (plugin *plugin) drain(leaving bool) []kernel.Effect {
	before := plugin.self
	plugin.self.Leaving = plugin.self.Leaving || leaving
	plugin.self.Target.State = kernel.TargetDraining
	if plugin.self == before {
		return nil
	}
	return plugin.state()
}

// stop says good-bye: the daemon declares itself dead, so that no neighbour
// has to find out.
func (plugin *plugin) stop(at time.Time) []kernel.Effect {
	plugin.self.State = kernel.MemberDead
	plugin.counter++
	version := versionOf(plugin.self.Epoch, plugin.counter, rankAlive)
	return []kernel.Effect{adopt(plugin.self, version, at.UnixMilli())}
}

// fail counts a probe without an answer and suspects the neighbour when there
// have been enough.
func (plugin *plugin) fail(state *kernel.State, at time.Time, peer kernel.Neighbour) []kernel.Effect {
	if peer.ID == "" || !peer.Monitored {
		return nil
	}
	if at.Sub(plugin.failedAt[peer.ID]) < failureGap {
		return nil
	}
	plugin.failedAt[peer.ID] = at
	plugin.failures[peer.ID]++
	known := plugin.entries[peer.ID]
	if plugin.failures[peer.ID] < failuresToSuspect || known.member.State != kernel.MemberAlive {
		return nil
	}
	if plugin.isolated(state, at) {
		return nil
	}
	suspect := known.member.WithState(kernel.MemberSuspect)
	return []kernel.Effect{adopt(suspect, withRank(known.version, rankSuspect), 0)}
}

// isolated says that this daemon has heard from nobody although there are
// others to hear from: then its own link is the likelier fault.
func (plugin *plugin) isolated(state *kernel.State, at time.Time) bool {
	return len(state.Neighbours) > 1 && at.Sub(plugin.heard) > hearingTime
}

func (plugin *plugin) tick(state *kernel.State, event kernel.Event) []kernel.Effect {
	effects := plugin.bury(state, event.At)
	plugin.forget(state, event.At)
	if plugin.stale {
		plugin.stale = false
		plugin.reshape(state)
	}
	return effects
}

// bury declares the watched suspects dead that have not refuted in time.
func (plugin *plugin) bury(state *kernel.State, at time.Time) []kernel.Effect {
	var effects []kernel.Effect
	for _, neighbour := range state.Neighbours {
		known := plugin.entries[neighbour.ID]
		silent := neighbour.Monitored && plugin.failures[neighbour.ID] >= failuresToSuspect
		if !silent || known.member.State != kernel.MemberSuspect || plugin.isolated(state, at) {
			continue
		}
		if at.Sub(known.changed) >= SuspicionTime {
			dead := known.member.WithState(kernel.MemberDead)
			effects = append(effects, adopt(dead, withRank(known.version, rankDead), at.UnixMilli()))
		}
	}
	return effects
}

// forget drops members that have been dead for long. It looks through all
// members, and so only now and then.
func (plugin *plugin) forget(state *kernel.State, at time.Time) {
	if at.Sub(plugin.forgotAt) < forgetInterval {
		return
	}
	plugin.forgotAt = at
	for id, known := range plugin.entries {
		if known.member.State == kernel.MemberDead && at.Sub(known.died) >= DeadRetention {
			delete(plugin.entries, id)
			delete(plugin.failures, id)
			state.Table.Remove(kernel.Key{Kind: kernel.KindMember, Name: id})
			plugin.stale = true
		}
	}
}

// reshape works out all that follows from the membership.
func (plugin *plugin) reshape(state *kernel.State) {
	var living []kernel.Member
	state.DeadPeers = nil
	for _, member := range plugin.sorted() {
		if member.State != kernel.MemberDead {
			living = append(living, member)
			continue
		}
		if member.ID != plugin.self.ID {
			state.DeadPeers = append(state.DeadPeers, kernel.Neighbour{ID: member.ID, Address: member.PeerAddress})
		}
	}
	state.Neighbours = neighboursOf(plugin.self, living)
	plugin.neighbours = state.Neighbours
	state.WatcherRank, state.Watching = watchRank(plugin.self, living)
	state.ClaimCoordinators = clerksOf(state.Settings, living)
	plugin.clerks = state.ClaimCoordinators
	plugin.watching = state.Watching
	state.ViewDirty = true
}

func (plugin *plugin) sorted() []kernel.Member {
	members := make([]kernel.Member, 0, len(plugin.entries))
	for _, known := range plugin.entries {
		members = append(members, known.member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

func (plugin *plugin) FillView(view *kernel.View) {
	view.Members = plugin.sorted()
	view.ClaimCoordinators = plugin.clerks
	view.Neighbours = plugin.neighbours
	view.Watching = plugin.watching
}

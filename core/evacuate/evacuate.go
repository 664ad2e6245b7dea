// Package evacuate distributes to all daemons which data centres operators have evacuated:
// nothing may be sent to the targets of a data centre while the platform's store holds the
// object PREFIX/DATACENTRE. Each daemon reads the objects when it starts. After that, the
// watchers of each region watch them and merge each change into one replicated record,
// which reaches the other daemons within a few round trips. A daemon that has lost contact
// with its neighbours watches for itself.
//
// A daemon is ready only when it knows the record from a neighbour, or has read the current
// objects itself: the first read may be some seconds old, so it counts only if no neighbour
// knows more.
//
// Records are ordered by the era of the store and its revision. A store that comes back from
// an older copy may have lost objects; their data centres stay evacuated until the objects have
// been written and removed again.
//
// # Usage
//
// The package registers a kernel plug-in when it is imported. The plug-in makes no call
// unless kernel.Settings.EvacuationPrefix is set. kernel.View.IsEvacuated has the result.
package evacuate

import (
	"time"

	"ibislift/core/contact"
	"ibislift/core/kernel"
)

const pluginName = "evacuate"

// Timing of the reads and watches.
const (
	// watchTimeout is how long the store holds a watch open. It is long because each
	// watch costs a call; a watch that has missed a change is found by its check.
	watchTimeout = 25 * time.Second
	// checkInterval is the time between two checks of a waiting watch, and verifyDelay
	// how long a watch has to report a change that another call has shown. With the
	// timeout of a call they stay below the 5 s in which an evacuation must be in force.
	checkInterval = 1500 * time.Millisecond
	verifyDelay   = 300 * time.Millisecond
	// maxRevisionAge is how old a revision may be from which a watch starts. The
	// store may meanwhile have lost the history since then.
	maxRevisionAge = 500 * time.Millisecond
	// retryDelay is the time from the beginning of a failed call until it is repeated,
	// to which up to retryJitter is added, so that daemons do not call together.
	retryDelay  = 700 * time.Millisecond
	retryJitter = 600 * time.Millisecond
	// joinTime is how long a daemon waits after its start for a neighbour that knows the
	// evacuations, before it pays for a read that is not stale.
	joinTime = 2 * time.Second
)

// settling is shorter than for route tables, since an evacuation that is acknowledged while
// the whole fleet starts must be in force within 5 s, too. In a fleet of 27 in virtual time it
// adds no call; with 1.5 s there are 8 more at the start, of daemons that need not watch.
var settling = contact.Settling{Least: 2 * time.Second, Quiet: 500 * time.Millisecond, Most: 4 * time.Second}

// Tokens of the plug-in's calls. Each watch has its own, from firstWatchToken on, so
// that the result of an abandoned one is recognized.
const (
	staleReadToken = iota + 1
	readToken
	checkToken
	verifyToken
	firstWatchToken
)

func init() {
	kernel.Register(pluginName, func() kernel.Plugin { return &plugin{} })
}

type plugin struct {
	contact contact.Contact
	enabled bool
	// joinUntil is when this daemon no longer waits for a neighbour.
	joinUntil time.Time
	// evacuated is what the record says. It is replaced and never modified, since views
	// share it.
	evacuated []string
	// synced is set when a neighbour has sent all it knows or there is none, and current
	// when this daemon has read the objects as they were at that time.
	synced  bool
	current bool
	// stale is the result of the first read, which may be some seconds old, until it
	// has been merged or is of no more use.
	stale *kernel.PlatformResult

	// held are the data centres with an object as of revision, from which the next
	// watch starts. revisionAt is when the store returned the revision.
	held       []string
	revision   uint64
	revisionAt time.Time
	era        uint64
	// removed are the data centres whose object was removed in this era, so that the
	// store has not lost it.
	removed []string
	// checkedRevision is the last one at which the waiting watch is known to have
	// missed nothing. seenRevision is the latest that any call of this daemon has
	// returned, and seenAt when it did.
	checkedRevision uint64
	seenRevision    uint64
	seenAt          time.Time
	// readPending and checkPending are true during a read and a check. watchToken is
	// the token of the waiting watch, or 0 if none waits.
	readPending  bool
	checkPending bool
	watchToken   uint64
	watchCount   uint64
	calledAt     time.Time
	retryAt      time.Time
}

// Accepts reports whether a record may be merged. It rejects those that cannot be decoded.
func (plugin *plugin) Accepts(_ time.Time, record kernel.Record) bool {
	if record.Kind != kernel.KindEvacuations {
		return true
	}
	_, err := decodeState(record.Body)
	return err == nil
}

func (plugin *plugin) Update(state *kernel.State, event kernel.Event) []kernel.Effect {
	if state.Settings.EvacuationPrefix == "" {
		return nil
	}
	plugin.contact.Update(event)
	switch message := event.Message.(type) {
	case kernel.Started:
		plugin.enabled = true
		plugin.joinUntil = event.At.Add(joinTime)
		state.ViewDirty = true
		return plugin.read(state, event.At, staleReadToken)
	case kernel.PeerSynced, kernel.NoPeersFound:
		return plugin.handleSync(state)
	case kernel.Ticked:
		return plugin.tick(state, event.At)
	case kernel.RecordsMerged:
		plugin.applyRecords(state, message)
	case kernel.PlatformCallEnded:
		if message.Owner == pluginName {
			return plugin.handleCallEnd(state, event, message)
		}
		return plugin.observe(state, event.At, message.Result)
	}
	return nil
}

// FillView sets the evacuated data centres.
func (plugin *plugin) FillView(view *kernel.View) {
	view.Evacuated = plugin.evacuated
	view.EvacuationsUnknown = plugin.enabled && !plugin.knows()
}

// knows reports whether the record shows all evacuations that were acknowledged before
// the start of this daemon.
func (plugin *plugin) knows() bool {
	return plugin.evacuated != nil && (plugin.synced || plugin.current)
}

// applyRecords applies a merged record.
func (plugin *plugin) applyRecords(state *kernel.State, merged kernel.RecordsMerged) {
	for _, record := range merged.Records {
		if record.Key != recordKey(state) {
			continue
		}
		if decoded, err := decodeState(record.Body); err == nil {
			plugin.evacuated = append([]string{}, decoded.all()...)
			state.ViewDirty = true
		}
	}
}

// handleSync records that the neighbour's records have been received, or that there is no
// neighbour: then the fleet is just starting, and the first read suffices until the watchers
// read.
func (plugin *plugin) handleSync(state *kernel.State) []kernel.Effect {
	if !plugin.synced {
		plugin.synced = true
		state.ViewDirty = true
	}
	return plugin.mergeStale(state)
}

// mergeStale merges the first read if there is no record that would be newer.
func (plugin *plugin) mergeStale(state *kernel.State) []kernel.Effect {
	stale := plugin.stale
	if stale == nil || !plugin.synced {
		return nil
	}
	plugin.stale = nil
	if _, known := state.Table.Get(recordKey(state)); known {
		return nil
	}
	return plugin.merge(state, dataCentresOf(state.Settings.EvacuationPrefix, stale.Objects), stale.Revision)
}

// tick starts the next call if one is due.
func (plugin *plugin) tick(state *kernel.State, at time.Time) []kernel.Effect {
	if plugin.readPending || at.Before(plugin.retryAt) {
		return nil
	}
	if plugin.watchToken != 0 {
		return plugin.checkWatch(state, at)
	}
	isFollower := !state.Watching && plugin.contact.IsConnected(at)
	switch {
	case !plugin.knows() && at.Before(plugin.joinUntil):
		return nil
	case !plugin.knows():
		return plugin.read(state, at, readToken)
	case isFollower || plugin.contact.IsSettling(state, at, settling):
		return nil
	case plugin.revision == 0 || at.Sub(plugin.revisionAt) > maxRevisionAge:
		return plugin.read(state, at, readToken)
	default:
		return plugin.watch(state, at)
	}
}

// Package rollout distributes the operators' route table to all daemons. Each
// daemon reads the table from the platform when it starts. After that, the
// watchers of each data centre watch the platform and merge each newer version
// into the replicated records, which reach the other daemons within a few
// round trips. While a watch waits, the watcher reads the platform's revision now and
// then, which shows a change that the watch has missed and a platform that does not
// reply. A daemon that has lost contact with its neighbours watches the
// platform itself. A table is always applied as a whole, and an older version
// never replaces a newer one.
//
// # Usage
//
// The package registers a kernel plug-in when it is imported. The plug-in is
// active if kernel.Settings.RouteObject names the object that holds the table.
// The current table is in kernel.View.Routes.
package rollout

import (
	"bytes"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibislift/core/contact"
	"ibislift/core/kernel"
	"ibislift/core/routes"
)

const pluginName = "rollout"

// Timing of the reads and watches.
const (
	// watchTimeout is how long the platform holds a watch open. It is long
	// because each watch costs a call, and keep-alives detect a dead
	// connection earlier.
	watchTimeout = 25 * time.Second
	// recheckInterval is the time between two reads of a daemon that does not
	// watch and whose last call has failed.
	recheckInterval = 20 * time.Second
	// maxRevisionAge is how old a revision may be from which a watch starts. The
	// platform may meanwhile have lost the history since then, or have come back
	// from an older copy and given out the revision again.
	maxRevisionAge = 500 * time.Millisecond
	// confirmTime is how long a watcher has been connected before it confirms a
	// table in a new era. Neighbours compare their tables once a second.
	confirmTime = 3 * time.Second
	// retryDelay is the time from the beginning of a failed call until it is repeated,
	// to which up to retryJitter is added. A call that has lasted longer, as until its
	// timeout or until a watch was cut off, is repeated at once. The sum stays well below the 4 s within which a change must
	// be in force.
	retryDelay  = 700 * time.Millisecond
	retryJitter = 600 * time.Millisecond
)

// Tokens of the plug-in's calls. Each watch has its own, from firstWatchToken on, so
// that the result of an abandoned one is recognized.
const (
	readToken = iota + 1
	checkToken
	verifyToken
	firstWatchToken
)

func init() {
	kernel.Register(pluginName, func() kernel.Plugin { return &plugin{} })
}

type plugin struct {
	table *routes.Table
	// lastParsed is the result of the last call of parse, and lastBody its input.
	lastParsed *routes.Table
	lastBody   []byte
	// lastDigest is a hash of lastBody before its compression.
	lastDigest uint64
	pastTables pastTables
	source     string
	eraTracker eraTracker
	// revision is the revision from which the next watch starts, and checkedRevision
	// the last one at which the waiting watch is known to have missed nothing.
	revision        uint64
	checkedRevision uint64
	// readPending and checkPending are true during a read and a check. watchToken is
	// the token of the waiting watch, or 0 if none waits.
	readPending  bool
	checkPending bool
	watchToken   uint64
	watchCount   uint64
	// calledAt is when the last call began.
	calledAt time.Time
	// revisionAt is when the platform returned the revision.
	revisionAt time.Time
	// hasRead is true after the first read. That one may be stale, since
	// neighbours bring what is newer. The others must be current.
	hasRead bool
	contact contact.Contact
	// connectedSince is when this daemon was last not connected to its
	// neighbours.
	connectedSince    time.Time
	retryAt           time.Time
	platformDownSince time.Time
}

// Accepts reports whether a record may be merged. It rejects route tables that
// cannot be parsed or whose version differs from that of the record.
func (plugin *plugin) Accepts(_ time.Time, record kernel.Record) bool {
	if record.Kind != kernel.KindRoutes {
		return true
	}
	table, err := plugin.parse(record.Body)
	return err == nil && table.Version == decodeVersion(record.Version).number
}

// parse decodes the body of a record. It keeps the last result, since a table is
// first accepted and then applied.
func (plugin *plugin) parse(body []byte) (*routes.Table, error) {
	if plugin.lastParsed != nil && bytes.Equal(plugin.lastBody, body) {
		return plugin.lastParsed, nil
	}
	plain, err := decompress(body)
	if err != nil {
		return nil, err
	}
	table, err := routes.Parse(plain)
	if err == nil {
		plugin.lastParsed, plugin.lastBody, plugin.lastDigest = table, body, xxhash.Sum64(plain)
	}
	return table, err
}

func (plugin *plugin) Update(state *kernel.State, event kernel.Event) []kernel.Effect {
	if state.Settings.RouteObject == "" {
		return nil
	}
	plugin.contact.Update(event)
	switch message := event.Message.(type) {
	case kernel.Started:
		plugin.connectedSince = event.At
		return plugin.read(state, event.At)
	case kernel.Ticked:
		return append(plugin.confirmEra(state, event.At), plugin.tick(state, event.At)...)
	case kernel.RecordsMerged:
		plugin.applyRecords(state, message)
	case kernel.PlatformCallEnded:
		if message.Owner == pluginName {
			return plugin.handleCallEnd(state, event, message)
		}
	}
	return nil
}

// applyRecords applies a merged route table.
func (plugin *plugin) applyRecords(state *kernel.State, merged kernel.RecordsMerged) {
	for _, record := range merged.Records {
		if record.Key != routeKey(state) {
			continue
		}
		if table, err := plugin.parse(record.Body); err == nil {
			plugin.table = table
			plugin.pastTables = plugin.pastTables.with(pastTable{number: table.Version, digest: plugin.lastDigest})
			plugin.source = merged.From
			state.ViewDirty = true
		}
	}
}

// tick starts the next read or watch if neither is pending, or a check of the watch.
func (plugin *plugin) tick(state *kernel.State, at time.Time) []kernel.Effect {
	if plugin.readPending || at.Before(plugin.retryAt) {
		return nil
	}
	if plugin.watchToken != 0 {
		return plugin.checkWatch(state, at)
	}
	if !state.Watching && plugin.contact.IsConnected(at) {
		state.Following = false
		return plugin.recheck(state, at)
	}
	if plugin.revision == 0 {
		return plugin.read(state, at)
	}
	if plugin.isSettling(state, at) {
		return nil
	}
	if at.Sub(plugin.revisionAt) > maxRevisionAge {
		return plugin.read(state, at)
	}
	return plugin.watch(state, at)
}

// recheck reads the table now and then if the last call has failed, although the
// neighbours send it, so that this daemon learns that the platform is back.
func (plugin *plugin) recheck(state *kernel.State, at time.Time) []kernel.Effect {
	if plugin.platformDownSince.IsZero() || at.Sub(plugin.calledAt) < recheckInterval {
		return nil
	}
	return plugin.read(state, at)
}

// read reads the table.
func (plugin *plugin) read(state *kernel.State, at time.Time) []kernel.Effect {
	plugin.readPending = true
	return plugin.call(at, readToken, kernel.ListObjects{Prefix: objectPrefix(state), StaleAllowed: !plugin.hasRead})
}

func (plugin *plugin) watch(state *kernel.State, at time.Time) []kernel.Effect {
	state.Following = true
	plugin.watchToken = firstWatchToken + plugin.watchCount
	plugin.watchCount++
	return plugin.call(at, plugin.watchToken, kernel.WatchObjects{Prefix: objectPrefix(state), Revision: plugin.revision, Wait: watchTimeout})
}

// objectPrefix returns the name of the route object up to its last slash.
func objectPrefix(state *kernel.State) string {
	name := state.Settings.RouteObject
	return name[:strings.LastIndex(name, "/")+1]
}

// call returns the effect that makes a platform call.
func (plugin *plugin) call(at time.Time, token uint64, call kernel.PlatformCall) []kernel.Effect {
	plugin.calledAt = at
	return []kernel.Effect{kernel.CallPlatform{Owner: pluginName, Token: token, Call: call}}
}

// endCall records the end of a call. It reports false for a watch that was abandoned.
func (plugin *plugin) endCall(token uint64) bool {
	switch token {
	case readToken, verifyToken:
		plugin.readPending = false
	case checkToken:
		plugin.checkPending = false
	case plugin.watchToken:
		plugin.watchToken = 0
	default:
		return false
	}
	return true
}

// handleCallEnd merges the table that a call returned and continues with a watch
// if this daemon has to watch. After a failed call the table is read again,
// because the platform may have dropped the history in the meantime.
func (plugin *plugin) handleCallEnd(state *kernel.State, event kernel.Event, ended kernel.PlatformCallEnded) []kernel.Effect {
	if !plugin.endCall(ended.Token) {
		return nil
	}
	result := ended.Result
	plugin.updatePlatformStatus(state, event.At, result.Status)
	var effects []kernel.Effect
	era := plugin.eraTracker.era
	usable := plugin.enterEra(ended)
	if era != 0 && plugin.eraTracker.era != era {
		plugin.revision = 0
		plugin.checkedRevision = 0
		effects = plugin.abandonWatch()
	}
	switch {
	case !usable:
		plugin.revision = 0
		plugin.retryAt = event.At
		if result.Era < plugin.eraTracker.era {
			plugin.retryAt = event.At.Add(retryDelay)
		}
		return append(effects, plugin.tick(state, event.At)...)
	case result.Status != kernel.PlatformOK:
		plugin.handleFailure(event, ended)
		return effects
	case ended.Token == checkToken:
		effects = append(effects, plugin.handleCheck(state, event.At, result)...)
	case ended.Token == verifyToken:
		effects = append(effects, plugin.handleVerification(state, result)...)
	default:
		effects = append(effects, plugin.handleObjects(state, event.At, ended)...)
	}
	return append(effects, plugin.tick(state, event.At)...)
}

// handleFailure schedules the call after a failed one. A failed check says nothing
// about what the waiting watch may have missed.
func (plugin *plugin) handleFailure(event kernel.Event, ended kernel.PlatformCallEnded) {
	if ended.Token != checkToken && ended.Token != verifyToken {
		plugin.revision = 0
	}
	if ended.Result.Status == kernel.PlatformHistoryLost {
		plugin.retryAt = event.At
		return
	}
	plugin.retryAt = plugin.calledAt.Add(retryDelay + time.Duration(event.Random%uint64(retryJitter)))
}

// handleObjects merges the table among the objects that a read or a watch returned.
func (plugin *plugin) handleObjects(state *kernel.State, at time.Time, ended kernel.PlatformCallEnded) []kernel.Effect {
	result := ended.Result
	isCurrent := plugin.hasRead
	plugin.hasRead = true
	plugin.revision = result.Revision
	plugin.checkedRevision = result.Revision
	plugin.revisionAt = at
	if isCurrent && ended.Token == readToken && len(result.Objects)+result.Invalid == 0 {
		plugin.eraTracker.record(0, 0)
	}
	return plugin.mergeTable(state, result.Objects, isCurrent)
}

// mergeTable merges the table among the objects. isCurrent is false if they may be some
// seconds old.
func (plugin *plugin) mergeTable(state *kernel.State, objects []kernel.Object, isCurrent bool) []kernel.Effect {
	var records []kernel.Record
	for _, object := range objects {
		if object.Name != state.Settings.RouteObject {
			continue
		}
		body := compress(object.Body)
		table, err := plugin.parse(body)
		if err != nil {
			continue
		}
		known, _ := state.Table.Get(routeKey(state))
		wasInForce := plugin.pastTables.includes(pastTable{number: table.Version, digest: plugin.lastDigest})
		version, mayReplace := plugin.eraTracker.read(table.Version, object.Version, decodeVersion(known.Version), isCurrent, wasInForce)
		if mayReplace {
			records = append(records, kernel.Record{Key: routeKey(state), Version: version.encode(), Body: body})
		}
	}
	return []kernel.Effect{kernel.MergeRecords{Records: records}}
}

// routeKey is the key of the record with the route table.
func routeKey(state *kernel.State) kernel.Key {
	return kernel.Key{Kind: kernel.KindRoutes, Name: state.Settings.RouteObject}
}

// enterEra records the era of a reply. It reports false if the reply is of no use
// because of its era: it is from before the current one, or it continues, from a
// revision of an earlier era, in a history that may lack or repeat that revision.
func (plugin *plugin) enterEra(ended kernel.PlatformCallEnded) (usable bool) {
	era, before := ended.Result.Era, plugin.eraTracker.era
	switch {
	case era == 0 || era == before:
		return true
	case era < before:
		return false
	}
	plugin.eraTracker.enter(era)
	return before == 0 || ended.Token < firstWatchToken
}

// confirmEra gives the known table the version of the current era, so that a daemon
// which comes back with a table of an earlier one does not replace it. Only a watcher
// does so that has been connected to its neighbours for long enough to know what they
// know.
func (plugin *plugin) confirmEra(state *kernel.State, at time.Time) []kernel.Effect {
	if !plugin.contact.IsConnected(at) {
		plugin.connectedSince = at
		return nil
	}
	if !state.Watching || at.Sub(plugin.connectedSince) < confirmTime {
		return nil
	}
	record, found := state.Table.Get(routeKey(state))
	version, needed := plugin.eraTracker.confirm(decodeVersion(record.Version))
	if !found || !needed {
		return nil
	}
	record.Version = version.encode()
	return []kernel.Effect{kernel.MergeRecords{Records: []kernel.Record{record}}}
}

// updatePlatformStatus records the time since which calls to the platform have
// failed, or clears it after a call that did not fail.
func (plugin *plugin) updatePlatformStatus(state *kernel.State, at time.Time, status kernel.PlatformStatus) {
	failed := status == kernel.PlatformNotExecuted || status == kernel.PlatformUnknown
	switch {
	case failed && plugin.platformDownSince.IsZero():
		plugin.platformDownSince = at
		state.PlatformDownSince = at
		state.ViewDirty = true
	case !failed && !plugin.platformDownSince.IsZero():
		plugin.platformDownSince = time.Time{}
		state.PlatformDownSince = time.Time{}
		state.ViewDirty = true
	}
}

func (plugin *plugin) FillView(view *kernel.View) {
	if !plugin.platformDownSince.IsZero() {
		view.PlatformDownSince = plugin.platformDownSince
	}
	if plugin.table == nil {
		return
	}
	view.Routes = plugin.table
	view.RoutesSource = plugin.source
	view.Ready = true
}

// Package rollout puts the operators' route table in force. Each daemon reads
// the table from the platform when it starts. Then the watchers of each data
// centre watch it there and hand each newer version to the replicated records,
// which bring it to the others within a few round trips. A daemon that has lost
// touch with its neighbours watches for itself. A table is applied whole, and
// never an older one after a newer one.
//
// # Usage
//
// The package registers itself with the kernel and works when
// kernel.Settings.RouteObject names the object that holds the table. Traffic
// reads view.Routes.
package rollout

import (
	"strings"
	"time"

	"ibislift/core/kernel"
	"ibislift/core/routes"
)

const pluginName = "rollout"

// Times of the watch.
const (
	// watchWait is how long one watch waits at the platform: long, since each
	// waiting watch is a call, and a dead connection shows by its keep-alive.
	watchWait = 25 * time.Second
	// touchTime is how long a daemon counts as in touch after its last exchange
	// with a neighbour, which is one a second.
	touchTime = 2500 * time.Millisecond
	// failureTime is how long a neighbour counts as lost after an exchange with
	// it has failed.
	failureTime = 3 * time.Second
	// lostNeighbours is how many lost neighbours are more than a restart.
	lostNeighbours = 2
	// retryWait is the time before a failed call is made again; with its
	// jitter it stays well under the time in which a change has to be applied.
	retryWait   = 700 * time.Millisecond
	retryJitter = 600 * time.Millisecond
)

// Tokens of the plug-in's calls.
const (
	readToken = iota + 1
	watchToken
)

func init() {
	kernel.Register(pluginName, func() kernel.Plugin { return &plugin{} })
}

type plugin struct {
	table    *routes.Table
	from     string
	revision uint64
	waiting  bool
	// rested says that this daemon has not watched since its last answer.
	rested  bool
	retryAt time.Time
	failing time.Time
	// heard is the last exchange with a neighbour, lost the last failure of
	// each.
	heard time.Time
	lost  map[string]time.Time
}

func (plugin *plugin) Accepts(_ time.Time, record kernel.Record) bool {
	if record.Kind != kernel.KindRoutes {
		return true
	}
	table, err := routes.Parse(record.Body)
	return err == nil && table.Version == record.Version
}

func (plugin *plugin) Update(state *kernel.State, event kernel.Event) []kernel.Effect {
	if state.Settings.RouteObject == "" {
		return nil
	}
	switch message := event.Message.(type) {
	case kernel.Started:
		plugin.heard = event.At
		plugin.lost = map[string]time.Time{}
		return plugin.read(state)
	case kernel.PeerReplied:
		plugin.heard = event.At
		delete(plugin.lost, message.Peer.Address)
	case kernel.PeerFailed:
		plugin.lost[message.Peer.Address] = event.At
	case kernel.Ticked:
		return plugin.tick(state, event.At)
	case kernel.RecordsMerged:
		plugin.learn(state, message)
	case kernel.PlatformCallEnded:
		if message.Owner == pluginName {
			return plugin.answered(state, event, message)
		}
	}
	return nil
}

func (plugin *plugin) learn(state *kernel.State, adopted kernel.RecordsMerged) {
	for _, record := range adopted.Records {
		if record.Kind != kernel.KindRoutes || record.Name != state.Settings.RouteObject {
			continue
		}
		if table, err := routes.Parse(record.Body); err == nil {
			plugin.table = table
			plugin.from = adopted.From
			state.ViewDirty = true
		}
	}
}

func (plugin *plugin) tick(state *kernel.State, at time.Time) []kernel.Effect {
	if plugin.waiting || at.Before(plugin.retryAt) {
		return nil
	}
	if plugin.revision == 0 {
		return plugin.read(state)
	}
	if !state.Watching && plugin.inTouch(at) {
		plugin.rested = true
		return nil
	}
	if plugin.rested {
		// Others watched meanwhile: the revision may be long past.
		plugin.rested = false
		return plugin.read(state)
	}
	return plugin.watch(state)
}

// inTouch says whether neighbours bring this daemon what the watchers learn.
func (plugin *plugin) inTouch(at time.Time) bool {
	lost := 0
	for address, failed := range plugin.lost {
		if at.Sub(failed) > failureTime {
			delete(plugin.lost, address)
			continue
		}
		lost++
	}
	return at.Sub(plugin.heard) <= touchTime && lost < lostNeighbours
}

func (plugin *plugin) read(state *kernel.State) []kernel.Effect {
	return plugin.call(readToken, kernel.ListObjects{Prefix: prefixOf(state)})
}

func (plugin *plugin) watch(state *kernel.State) []kernel.Effect {
	return plugin.call(watchToken, kernel.WatchObjects{Prefix: prefixOf(state), Revision: plugin.revision, Wait: watchWait})
}

// prefixOf is the start of the object's name up to its last slash.
func prefixOf(state *kernel.State) string {
	name := state.Settings.RouteObject
	return name[:strings.LastIndex(name, "/")+1]
}

func (plugin *plugin) call(token uint64, call kernel.PlatformCall) []kernel.Effect {
	plugin.waiting = true
	return []kernel.Effect{kernel.CallPlatform{Owner: pluginName, Token: token, Call: call}}
}

// answered goes on from a call's end. After a failed watch the table is read
// again, since the platform may have dropped the history in between.
func (plugin *plugin) answered(state *kernel.State, event kernel.Event, answered kernel.PlatformCallEnded) []kernel.Effect {
	plugin.waiting = false
	result := answered.Result
	plugin.judge(state, event.At, result.Status)
	if result.Status != kernel.PlatformOK {
		plugin.revision = 0
		plugin.retryAt = event.At.Add(retryWait + time.Duration(event.Random%uint64(retryJitter)))
		if result.Status == kernel.PlatformGone {
			plugin.retryAt = event.At
		}
		return nil
	}
	plugin.revision = result.Revision
	var records []kernel.Record
	for _, object := range result.Objects {
		table, err := routes.Parse(object.Body)
		if object.Name != state.Settings.RouteObject || err != nil {
			continue
		}
		key := kernel.Key{Kind: kernel.KindRoutes, Name: object.Name}
		records = append(records, kernel.Record{Key: key, Version: table.Version, Body: object.Body})
	}
	effects := []kernel.Effect{kernel.MergeRecords{Records: records}}
	if !state.Watching && plugin.inTouch(event.At) {
		plugin.rested = true
		return effects
	}
	return append(effects, plugin.watch(state)...)
}

// judge keeps the time since when the platform has not answered.
func (plugin *plugin) judge(state *kernel.State, at time.Time, status kernel.PlatformStatus) {
	failed := status == kernel.PlatformRefused || status == kernel.PlatformUnknown
	switch {
	case failed && plugin.failing.IsZero():
		plugin.failing = at
		state.ViewDirty = true
	case !failed && !plugin.failing.IsZero():
		plugin.failing = time.Time{}
		state.ViewDirty = true
	}
}

func (plugin *plugin) FillView(view *kernel.View) {
	if !plugin.failing.IsZero() {
		view.PlatformDownSince = plugin.failing
	}
	if plugin.table == nil {
		return
	}
	view.Routes = plugin.table
	view.RoutesSource = plugin.from
	view.Ready = true
}

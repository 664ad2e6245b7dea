package kernel

import (
	"sort"
	"time"
)

// Event is an input of the kernel: a message, the time at which it arrived and
// a random value for the plug-ins.
type Event struct {
	At      time.Time
	Random  uint64
	Message Message
}

// Plugin implements one part of the control state.
type Plugin interface {
	// Update handles an event and returns the resulting effects. It must not
	// keep a reference to the state after it returns.
	Update(state *State, event Event) []Effect
	// Accepts reports whether a record may be stored in the table. A plug-in
	// rejects malformed and expired records of its own kinds and accepts all
	// others.
	Accepts(at time.Time, record Record) bool
	// FillView sets the fields of the view that this plug-in provides.
	FillView(view *View)
}

var registry = map[string]func() Plugin{}

// Register registers the constructor of a plug-in under a name. It is meant to
// be called from init functions and panics if the name is already registered.
func Register(name string, newPlugin func() Plugin) {
	if _, taken := registry[name]; taken {
		panic("kernel: plug-in registered twice: " + name)
	}
	registry[name] = newPlugin
}

// State is shared by all plug-ins. It has the daemon's settings, the table of
// replicated records, and what the member plug-in derives from the membership:
// Neighbours, DeadPeers, DataCentreMembers, Watching, WatcherRank and ClaimCoordinators.
type State struct {
	Settings   Settings
	Table      Table
	Neighbours []Neighbour
	// DeadPeers are members recorded as dead. They may become reachable again
	// when a network partition heals.
	DeadPeers []Neighbour
	// DataCentreMembers are the members of this daemon's data centre that are not dead,
	// with this one, in no order.
	DataCentreMembers []Member
	// Watching means that this daemon is one of the watchers of its region,
	// which follow changes on the platform. WatcherRank is its position among
	// them, or negative if it watches in place of others.
	Watching    bool
	WatcherRank int
	// Following means that the watch of this daemon has begun. The plug-in whose watch brings
	// the configuration sets it.
	Following bool
	// PlatformDownSince is when the calls of this daemon's watches began to fail,
	// or zero while they succeed.
	PlatformDownSince time.Time
	// ClaimCoordinators has, for each claim partition, the ID of the daemon
	// that coordinates its claims, followed by those that may take over.
	ClaimCoordinators [][]string
	// ViewDirty makes the kernel publish a new view after this event.
	ViewDirty bool
}

// Kernel runs the registered plug-ins on a shared State. Settings must be set
// before the first Update. A Kernel is not safe for concurrent use.
type Kernel struct {
	Settings Settings

	state   State
	plugins []Plugin
}

// Update handles an event and returns the effects for the driver to perform.
func (kernel *Kernel) Update(event Event) []Effect {
	if kernel.plugins == nil {
		kernel.buildPlugins()
	}
	effects := kernel.process(event)
	if kernel.state.ViewDirty {
		kernel.state.ViewDirty = false
		// The view comes first: who gets a reply may rely on what it reports.
		effects = append([]Effect{Publish{View: kernel.View()}}, effects...)
	}
	return effects
}

// process passes the event to all plug-ins, and then each event that results
// from MergeRecords and Dispatch effects.
func (kernel *Kernel) process(event Event) []Effect {
	var effects []Effect
	queue := []Event{event}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for _, plugin := range kernel.plugins {
			for _, effect := range plugin.Update(&kernel.state, next) {
				switch effect := effect.(type) {
				case MergeRecords:
					queue = append(queue, kernel.mergeRecords(event, effect)...)
				case Dispatch:
					queue = append(queue, Event{At: event.At, Random: event.Random, Message: effect.Message})
				default:
					effects = append(effects, effect)
				}
			}
		}
	}
	return effects
}

// mergeRecords stores the accepted records that are newer than those in the
// table, and returns an event that reports them if there are any.
func (kernel *Kernel) mergeRecords(event Event, merge MergeRecords) []Event {
	var stored []Record
	for _, record := range merge.Records {
		// Plug-ins may decode the record, so copies of a known one are left out first.
		if kernel.state.Table.IsNewer(record) && kernel.accepts(event.At, record) && kernel.state.Table.Put(record) {
			stored = append(stored, record)
		}
	}
	if len(stored) == 0 {
		return nil
	}
	kernel.state.ViewDirty = true
	return []Event{{At: event.At, Random: event.Random, Message: RecordsMerged{From: merge.From, Records: stored}}}
}

// accepts reports whether all plug-ins accept a record.
func (kernel *Kernel) accepts(at time.Time, record Record) bool {
	for _, plugin := range kernel.plugins {
		if !plugin.Accepts(at, record) {
			return false
		}
	}
	return true
}

// buildPlugins creates the registered plug-ins, sorted by name so that every
// run calls them in the same order.
func (kernel *Kernel) buildPlugins() {
	kernel.state.Settings = kernel.Settings.withDefaults()
	names := make([]string, 0, len(registry))
	for name := range registry {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		kernel.plugins = append(kernel.plugins, registry[name]())
	}
}

// View returns a snapshot of the current control state. It is never modified
// afterwards.
func (kernel *Kernel) View() *View {
	view := &View{Self: kernel.state.Settings.Self, TableDigest: kernel.state.Table.Digest()}
	for _, plugin := range kernel.plugins {
		plugin.FillView(view)
	}
	if kernel.state.Settings.RouteObject != "" && view.Routes == nil {
		// Only the route table says which requests need an API key.
		view.Ready = false
	}
	view.Ready = view.Ready && !view.EvacuationsUnknown
	view.index()
	return view
}

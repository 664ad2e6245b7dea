package kernel

import (
	"sort"
	"time"
)

// Event is one input of the kernel: something that happened, when it
// happened, and a random value that the plug-ins may use up.
type Event struct {
	At      time.Time
	Random  uint64
	Message Message
}

// Plugin is one part of the control state.
//
// Update must not keep a reference to the state after it returns.
type Plugin interface {
	Update(state *State, event Event) []Effect
	// Admits says whether a record may enter the table. A plug-in refuses
	// malformed and expired records of its own kinds.
	Admits(at time.Time, record Record) bool
	// Contribute adds what traffic goroutines need to the next view.
	Contribute(view *View)
}

var registry = map[string]func() Plugin{}

// Register makes a plug-in known under a name. It is called from init
// functions; a name that is registered twice is a programming error.
func Register(name string, build func() Plugin) {
	if _, taken := registry[name]; taken {
		panic("kernel: plug-in registered twice: " + name)
	}
	registry[name] = build
}

// State is what all plug-ins may read: the daemon's settings, the table of
// replicated records, and the neighbours that the member plug-in keeps.
type State struct {
	Settings   Settings
	Table      Table
	Neighbours []Neighbour
	// Strangers are daemons believed dead that a healed partition may bring
	// back.
	Strangers []Neighbour
	// Watching says that this daemon watches the platform for its data
	// centre, as the WatchRank-th of those that do.
	Watching  bool
	WatchRank int
	// Clerks names, for each partition, the daemon that keeps its claims, and
	// after it those that may take over from it.
	Clerks [][]string
	// Dirty asks the kernel to publish a new view after this event.
	Dirty bool
}

// Kernel runs the registered plug-ins over a common state. Set Settings
// before the first Update. A Kernel is used by one goroutine at a time.
type Kernel struct {
	Settings Settings

	state   State
	plugins []Plugin
}

// Update takes one event and returns what has to be done because of it.
func (kernel *Kernel) Update(event Event) []Effect {
	if kernel.plugins == nil {
		kernel.build()
	}
	effects := kernel.settle(event)
	if kernel.state.Dirty {
		kernel.state.Dirty = false
		effects = append(effects, Publish{View: kernel.View()})
	}
	return effects
}

// settle hands the event to all plug-ins, and then each event that it raised.
func (kernel *Kernel) settle(event Event) []Effect {
	var effects []Effect
	queue := []Event{event}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for _, plugin := range kernel.plugins {
			for _, effect := range plugin.Update(&kernel.state, next) {
				switch effect := effect.(type) {
				case Adopt:
					queue = append(queue, kernel.adopt(event, effect)...)
				case Raise:
					queue = append(queue, Event{At: event.At, Random: event.Random, Message: effect.Message})
				default:
					effects = append(effects, effect)
				}
			}
		}
	}
	return effects
}

// adopt puts the newer ones of the offered records into the table.
func (kernel *Kernel) adopt(event Event, adopt Adopt) []Event {
	var fresh []Record
	for _, record := range adopt.Records {
		if kernel.admits(event.At, record) && kernel.state.Table.Put(record) {
			fresh = append(fresh, record)
		}
	}
	if len(fresh) == 0 {
		return nil
	}
	kernel.state.Dirty = true
	return []Event{{At: event.At, Random: event.Random, Message: Adopted{From: adopt.From, Records: fresh}}}
}

func (kernel *Kernel) admits(at time.Time, record Record) bool {
	for _, plugin := range kernel.plugins {
		if !plugin.Admits(at, record) {
			return false
		}
	}
	return true
}

func (kernel *Kernel) build() {
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

// View returns what traffic goroutines may know at this moment. The value is
// never changed afterwards.
func (kernel *Kernel) View() *View {
	view := &View{Self: kernel.state.Settings.Self, Root: kernel.state.Table.Root()}
	for _, plugin := range kernel.plugins {
		plugin.Contribute(view)
	}
	view.index()
	return view
}

package member

import (
	"encoding/json"
	"slices"
	"time"

	"ibislift/core/kernel"
)

// maxOwnDepartures is how many departures a daemon remembers of its own upstream.
const maxOwnDepartures = 8

// joinTimeout is how long a daemon waits after its start for the records of another
// one.
const joinTimeout = 2 * time.Second

// ownDepartures holds the instances of the local upstream that have said that they are
// leaving. The daemon has acknowledged that, so the acknowledgement must outlast its
// process: a heartbeat that was sent earlier may arrive after a restart. The other
// daemons keep a record of them, from which the next process learns them.
type ownDepartures struct {
	// departed is replaced and never modified, since views share it.
	departed []kernel.Departure
	// current is the instance that the local upstream announced last.
	current string
	// joined is true once the records of another daemon have been received, or when
	// there is none to receive them from. The record is published only then, so that it
	// does not replace one with more departures.
	joined      bool
	unpublished bool
	startedAt   time.Time
}

func (ownDepartures *ownDepartures) includes(instance string, startedAt int64) bool {
	return slices.ContainsFunc(ownDepartures.departed, func(departure kernel.Departure) bool { return departure.Covers(instance, startedAt) })
}

// set replaces the departures by the newest of those given, and reports whether that
// changes them.
func (ownDepartures *ownDepartures) set(departed []kernel.Departure) bool {
	departed = departed[max(0, len(departed)-maxOwnDepartures):]
	if slices.Equal(departed, ownDepartures.departed) {
		return false
	}
	ownDepartures.departed = departed
	return true
}

// union returns the earlier departures and those of the later ones that are not among
// them.
func union(earlier, later []kernel.Departure) []kernel.Departure {
	all := slices.Clone(earlier)
	for _, departure := range later {
		if !slices.Contains(all, departure) {
			all = append(all, departure)
		}
	}
	return all
}

// announceTarget publishes the announced target, and its departure if it is draining.
func (plugin *plugin) announceTarget(state *kernel.State, announced kernel.UpstreamAnnounced) []kernel.Effect {
	effects := plugin.updateTarget(announced.Target, announced.Instance)
	if announced.Target.State != kernel.TargetDraining {
		return effects
	}
	departure := kernel.Departure{Instance: announced.Instance, StartedAt: announced.Target.StartedAt}
	return append(effects, plugin.recordDeparture(state, departure)...)
}

// requestDrain drains the target, which departs unless only its daemon is leaving.
func (plugin *plugin) requestDrain(state *kernel.State, leaving bool) []kernel.Effect {
	effects := plugin.drain(leaving)
	startedAt := plugin.self.Target.StartedAt
	if plugin.self.Leaving || startedAt == 0 {
		return effects
	}
	departure := kernel.Departure{Instance: plugin.ownDepartures.current, StartedAt: startedAt}
	return append(effects, plugin.recordDeparture(state, departure)...)
}

// recordDeparture publishes that an instance of the local upstream has left.
func (plugin *plugin) recordDeparture(state *kernel.State, departure kernel.Departure) []kernel.Effect {
	if !plugin.ownDepartures.set(union(plugin.ownDepartures.departed, []kernel.Departure{departure})) {
		return nil
	}
	plugin.ownDepartures.unpublished = true
	state.ViewDirty = true
	return append(plugin.drainDeparted(), plugin.publishDepartures(state)...)
}

// adoptDepartures merges the record of an earlier process, or of this one, into the
// known departures.
func (plugin *plugin) adoptDepartures(state *kernel.State, record kernel.Record) []kernel.Effect {
	departed, err := decodeDepartures(record.Body)
	if err != nil {
		return nil
	}
	all := union(departed, plugin.ownDepartures.departed)
	plugin.ownDepartures.unpublished = plugin.ownDepartures.unpublished || len(all) > len(departed)
	if !plugin.ownDepartures.set(all) {
		return nil
	}
	state.ViewDirty = true
	return append(plugin.drainDeparted(), plugin.publishDepartures(state)...)
}

// drainDeparted publishes the target as draining if it has left.
func (plugin *plugin) drainDeparted() []kernel.Effect {
	target := plugin.self.Target
	if target.State != kernel.TargetServing || !plugin.ownDepartures.includes(plugin.ownDepartures.current, target.StartedAt) {
		return nil
	}
	return plugin.drain(false)
}

func (plugin *plugin) publishDepartures(state *kernel.State) []kernel.Effect {
	if !plugin.ownDepartures.joined || !plugin.ownDepartures.unpublished {
		return nil
	}
	plugin.ownDepartures.unpublished = false
	body, err := json.Marshal(plugin.ownDepartures.departed)
	if err != nil {
		panic("member: encoding departures: " + err.Error())
	}
	key := kernel.Key{Kind: kernel.KindDepartures, Name: plugin.self.ID}
	stored, _ := state.Table.Get(key)
	version := max(encodeVersion(plugin.self.Epoch, plugin.counter, rankOwn), stored.Version+1)
	return []kernel.Effect{kernel.MergeRecords{Records: []kernel.Record{{Key: key, Version: version, Body: body}}}}
}

// join records that the daemon has received what the others know.
func (plugin *plugin) join(state *kernel.State) []kernel.Effect {
	if plugin.ownDepartures.joined {
		return nil
	}
	plugin.ownDepartures.joined = true
	state.ViewDirty = true
	return plugin.publishDepartures(state)
}

// joinAfterTimeout ends the wait for another daemon, for example while the platform,
// which names them, is down.
func (plugin *plugin) joinAfterTimeout(state *kernel.State, at time.Time) []kernel.Effect {
	if at.Sub(plugin.ownDepartures.startedAt) < joinTimeout {
		return nil
	}
	return plugin.join(state)
}

func decodeDepartures(body []byte) ([]kernel.Departure, error) {
	var departed []kernel.Departure
	err := json.Unmarshal(body, &departed)
	return departed, err
}

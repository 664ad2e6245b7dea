// Package spread brings the replicated records of all daemons together.
//
// A record that is new here is flooded at once to all neighbours but the one
// it came from. What a lost message leaves behind is repaired by comparison:
// every second a daemon sends the digest of its table to a neighbour, and
// where the digests differ the two narrow the difference down to buckets, then
// to versions, and exchange just the records that one of them lacks.
//
// # Usage
//
// The package registers itself with the kernel; importing it is enough:
//
//	import _ "ibislift/core/spread"
package spread

import (
	"time"

	"ibislift/core/kernel"
)

// ProbeInterval is the time between two comparisons that a daemon starts.
// Each goes to one watched neighbour and to one other in turn.
const ProbeInterval = time.Second

// RejoinInterval is the time between two attempts to reach a daemon that is
// believed dead, or a first peer, so that a healed partition grows together.
const RejoinInterval = 5 * time.Second

// startTime is how long after its start a daemon asks all first peers again and
// again: after a fault of the whole fleet they start at the same time.
const startTime = 5 * time.Second

func init() {
	kernel.Register("spread", func() kernel.Plugin { return &plugin{} })
}

type plugin struct {
	lastProbe  time.Time
	lastRejoin time.Time
	started    time.Time
	turn       int
	joined     bool
}

func (plugin *plugin) Admits(time.Time, kernel.Record) bool { return true }

func (plugin *plugin) Contribute(*kernel.View) {}

func (plugin *plugin) Update(state *kernel.State, event kernel.Event) []kernel.Effect {
	switch message := event.Message.(type) {
	case kernel.Started:
		return plugin.join(state, event)
	case kernel.PeersFound:
		return ask(state, message.Addresses)
	case kernel.Ticked:
		return plugin.tick(state, event)
	case kernel.Adopted:
		return flood(state, message)
	case kernel.EnvelopeReceived:
		return receive(state, message)
	case kernel.EnvelopeAnswered:
		return plugin.compare(state, message)
	default:
		return nil
	}
}

// join asks all first peers at once.
func (plugin *plugin) join(state *kernel.State, event kernel.Event) []kernel.Effect {
	plugin.lastRejoin = event.At
	plugin.started = event.At
	return ask(state, state.Settings.FirstPeers)
}

// ask starts a comparison with the daemons at some addresses.
func ask(state *kernel.State, addresses []string) []kernel.Effect {
	var effects []kernel.Effect
	for _, address := range addresses {
		if address != state.Settings.PeerAddress {
			effects = append(effects, probe(state, kernel.Neighbour{Address: address}))
		}
	}
	return effects
}

func (plugin *plugin) tick(state *kernel.State, event kernel.Event) []kernel.Effect {
	var effects []kernel.Effect
	if event.At.Sub(plugin.lastProbe) >= ProbeInterval {
		plugin.lastProbe = event.At
		effects = append(effects, plugin.probeNeighbours(state)...)
	}
	interval := RejoinInterval
	if !plugin.joined || event.At.Sub(plugin.started) < startTime {
		interval = ProbeInterval
	}
	if event.At.Sub(plugin.lastRejoin) >= interval {
		plugin.lastRejoin = event.At
		if event.At.Sub(plugin.started) < startTime {
			return append(effects, ask(state, state.Settings.FirstPeers)...)
		}
		effects = append(effects, plugin.rejoin(state, event)...)
	}
	return effects
}

// probeNeighbours starts a comparison with every watched neighbour, which is
// a bounded number, and with one of the others in turn.
func (plugin *plugin) probeNeighbours(state *kernel.State) []kernel.Effect {
	var effects []kernel.Effect
	var others []kernel.Neighbour
	for _, neighbour := range state.Neighbours {
		if neighbour.Watched {
			effects = append(effects, probe(state, neighbour))
			continue
		}
		others = append(others, neighbour)
	}
	if len(others) == 0 {
		return effects
	}
	plugin.turn++
	return append(effects, probe(state, others[plugin.turn%len(others)]))
}

// rejoin tries one daemon outside the neighbourhood: a first peer or one that
// is believed dead.
func (plugin *plugin) rejoin(state *kernel.State, event kernel.Event) []kernel.Effect {
	candidates := make([]kernel.Neighbour, 0, len(state.Settings.FirstPeers)+len(state.Strangers))
	for _, address := range state.Settings.FirstPeers {
		if address != state.Settings.PeerAddress {
			candidates = append(candidates, kernel.Neighbour{Address: address})
		}
	}
	candidates = append(candidates, state.Strangers...)
	if len(candidates) == 0 {
		return nil
	}
	return []kernel.Effect{probe(state, candidates[event.Random%uint64(len(candidates))])}
}

func probe(state *kernel.State, peer kernel.Neighbour) kernel.Effect {
	return kernel.AskPeer{Peer: peer, Envelope: kernel.Envelope{From: state.Settings.Self, Root: state.Table.Root()}}
}

// flood passes fresh records on to all neighbours but the one they came from.
func flood(state *kernel.State, adopted kernel.Adopted) []kernel.Effect {
	envelope := kernel.Envelope{From: state.Settings.Self, Records: adopted.Records}
	var effects []kernel.Effect
	for _, neighbour := range state.Neighbours {
		if neighbour.ID != adopted.From {
			effects = append(effects, kernel.AskPeer{Peer: neighbour, Envelope: envelope})
		}
	}
	return effects
}

// receive answers another daemon's envelope.
func receive(state *kernel.State, received kernel.EnvelopeReceived) []kernel.Effect {
	envelope := received.Envelope
	answer := kernel.Envelope{From: state.Settings.Self, Root: state.Table.Root()}
	switch {
	case envelope.Compared != nil:
		answer.Records, answer.Wanted = difference(state, envelope)
	case envelope.Root != 0 && envelope.Root != answer.Root:
		answer.Buckets = state.Table.Buckets()
	}
	return []kernel.Effect{
		kernel.Adopt{From: envelope.From, Records: envelope.Records},
		kernel.AnswerPeer{Token: received.Token, Envelope: answer},
	}
}

// difference lists the records of the compared buckets that the sender lacks,
// and the keys of those that are newer at the sender.
func difference(state *kernel.State, envelope kernel.Envelope) ([]kernel.Record, []kernel.Key) {
	theirs := make(map[kernel.Key]uint64, len(envelope.Versions))
	var wanted []kernel.Key
	for _, version := range envelope.Versions {
		theirs[version.Key] = version.Version
		mine, _ := state.Table.Get(version.Key)
		if mine.Version < version.Version {
			wanted = append(wanted, version.Key)
		}
	}
	var records []kernel.Record
	for _, version := range state.Table.Versions(envelope.Compared) {
		if theirs[version.Key] < version.Version {
			record, _ := state.Table.Get(version.Key)
			records = append(records, record)
		}
	}
	return records, wanted
}

// compare goes on with a comparison after the peer's answer.
func (plugin *plugin) compare(state *kernel.State, answered kernel.EnvelopeAnswered) []kernel.Effect {
	envelope := answered.Envelope
	effects := []kernel.Effect{kernel.Adopt{From: envelope.From, Records: envelope.Records}}
	if len(envelope.Wanted) > 0 {
		effects = append(effects, deliver(state, answered.Peer, envelope.Wanted))
	}
	if len(envelope.Buckets) == kernel.BucketCount {
		if next, differs := narrow(state, answered.Peer, envelope.Buckets); differs {
			return append(effects, next)
		}
	}
	if envelope.Root == 0 {
		return effects
	}
	plugin.joined = true
	return append(effects, kernel.Raise{Message: kernel.PeerSynced{Peer: answered.Peer}})
}

// narrow asks for the records of the buckets that differ.
func narrow(state *kernel.State, peer kernel.Neighbour, theirs []uint64) (kernel.Effect, bool) {
	var compared []int
	for bucket, digest := range state.Table.Buckets() {
		if digest != theirs[bucket] {
			compared = append(compared, bucket)
		}
	}
	envelope := kernel.Envelope{
		From:     state.Settings.Self,
		Compared: compared,
		Versions: state.Table.Versions(compared),
	}
	return kernel.AskPeer{Peer: peer, Envelope: envelope}, len(compared) > 0
}

// deliver sends the records that a peer asked for.
func deliver(state *kernel.State, peer kernel.Neighbour, wanted []kernel.Key) kernel.Effect {
	envelope := kernel.Envelope{From: state.Settings.Self}
	for _, key := range wanted {
		if record, known := state.Table.Get(key); known {
			envelope.Records = append(envelope.Records, record)
		}
	}
	return kernel.AskPeer{Peer: peer, Envelope: envelope}
}

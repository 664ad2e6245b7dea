// Package spread replicates records between all daemons.
//
// A daemon that stores a new record, such as the news of one target, sends it to all
// neighbours except the one that it came from. Large records, or many at a time, are
// offered: each neighbour hears of such a record from several daemons and requests
// it once, from the first. Records that arrive shortly after each other, as during a
// start of the whole fleet, are offered together. Records missed because of lost
// messages are repaired by anti-entropy: every second a daemon sends the digest of its
// table to its monitored neighbours and one other. Where the digests differ, the two
// daemons compare the digests of buckets, then the versions of records, and exchange
// only the records that one of them lacks.
//
// # Usage
//
// The package registers itself with the kernel; importing it is enough:
//
//	import _ "ibislift/core/spread"
package spread

import (
	"slices"
	"time"

	"ibislift/core/kernel"
)

// CompareInterval is the interval at which a daemon starts comparisons with all
// monitored neighbours and with one of the others in turn.
const CompareInterval = time.Second

// A daemon compares its table every joinCompareInterval for joinPeriod after its start.
// When a whole fleet starts, those that a daemon asks first know only a part of the
// others. What they learn later reaches it only by a comparison until they are
// neighbours.
const (
	joinCompareInterval = 300 * time.Millisecond
	joinPeriod          = time.Second
)

// ReconnectInterval is the time between two attempts to reach a first peer or a
// daemon recorded as dead, so that the fleet reunites after a network partition.
const ReconnectInterval = 5 * time.Second

// startRetryDelay is the time after which a daemon that has reached nobody yet tries
// again if a first peer cannot be reached. Peers that start at the same time may not
// listen yet.
const startRetryDelay = 200 * time.Millisecond

// startupPeriod is how long after its start a daemon contacts some first peers
// at every interval. After an outage of the whole fleet, the first peers start
// at the same time and may not be reachable at first.
const startupPeriod = 5 * time.Second

// maxFloodedSize is the size in bytes up to which all records of a flood are sent
// without being requested. An offer takes a round trip more on each hop, in which
// other daemons do not know a target that has come, left or begun to drain.
const maxFloodedSize = 600

// maxUnofferedSize is the size in bytes up to which a record of a larger flood is not
// offered, because its key and version are hardly shorter.
const maxUnofferedSize = 100

// The minimum time between two floods of a daemon. Many pending records mean that
// many daemons start or leave together, and that more records are on their way.
const (
	shortFloodInterval = 25 * time.Millisecond
	longFloodInterval  = 100 * time.Millisecond
	// manyPending is the number of pending records from which longFloodInterval
	// applies.
	manyPending = 16
)

// requestTimeout is how long a daemon waits for a record that it has requested
// before it requests it from another daemon. It allows for a large record on a slow
// link.
const requestTimeout = 400 * time.Millisecond

func init() {
	kernel.Register("spread", func() kernel.Plugin { return &plugin{} })
}

// requestedRecord is a record that a neighbour has been asked for.
type requestedRecord struct {
	version uint64
	at      time.Time
}

// pendingRecord is a record that is to be flooded, with the daemon it came from.
type pendingRecord struct {
	record kernel.Record
	from   string
}

type plugin struct {
	// pending holds the records to flood, in the order in which they arrived.
	pending     []pendingRecord
	lastFloodAt time.Time
	// requested holds the last request for each large record.
	requested   map[kernel.Key]requestedRecord
	lastCompare time.Time
	reconnectAt time.Time
	startedAt   time.Time
	nextOther   int
	synced      bool
}

func (plugin *plugin) Accepts(time.Time, kernel.Record) bool { return true }

func (plugin *plugin) FillView(*kernel.View) {}

func (plugin *plugin) Update(state *kernel.State, event kernel.Event) []kernel.Effect {
	switch message := event.Message.(type) {
	case kernel.Started:
		return plugin.join(state, event)
	case kernel.PeersFound:
		return compareWithSome(state, message.Addresses, event.Random)
	case kernel.Ticked:
		return plugin.tick(state, event)
	case kernel.RecordsMerged:
		for _, record := range message.Records {
			plugin.pending = append(plugin.pending, pendingRecord{record: record, from: message.From})
		}
		return plugin.flood(state, event.At)
	case kernel.EnvelopeReceived:
		return plugin.handleEnvelope(state, event.At, message)
	case kernel.PeerReplied:
		return plugin.handleReply(state, message)
	case kernel.PeerFailed:
		if !plugin.synced {
			plugin.reconnectAt = event.At.Add(startRetryDelay)
		}
		return nil
	default:
		return nil
	}
}

// join starts a comparison with some first peers.
func (plugin *plugin) join(state *kernel.State, event kernel.Event) []kernel.Effect {
	plugin.reconnectAt = event.At.Add(CompareInterval)
	plugin.startedAt = event.At
	return compareWithSome(state, state.Settings.FirstPeers, event.Random)
}

// maxContacts is how many addresses of first peers a daemon contacts at a time. All
// daemons of a starting fleet know the same few addresses.
const maxContacts = 2

// compareWithSome starts a comparison with the daemons at maxContacts of the
// addresses, starting at a random one.
func compareWithSome(state *kernel.State, addresses []string, random uint64) []kernel.Effect {
	var effects []kernel.Effect
	for offset := range addresses {
		address := addresses[(random+uint64(offset))%uint64(len(addresses))]
		if address != state.Settings.PeerAddress && len(effects) < maxContacts {
			effects = append(effects, startComparison(state, kernel.Neighbour{Address: address}))
		}
	}
	return effects
}

// tick starts the comparisons that are due.
func (plugin *plugin) tick(state *kernel.State, event kernel.Event) []kernel.Effect {
	effects := plugin.flood(state, event.At)
	if len(state.Neighbours) > 0 && event.At.Sub(plugin.lastCompare) >= plugin.compareInterval(event.At) {
		plugin.lastCompare = event.At
		effects = append(effects, plugin.compareWithNeighbours(state)...)
	}
	if !event.At.Before(plugin.reconnectAt) {
		interval := ReconnectInterval
		if !plugin.synced || event.At.Sub(plugin.startedAt) < startupPeriod {
			interval = CompareInterval
		}
		plugin.reconnectAt = event.At.Add(interval)
		if event.At.Sub(plugin.startedAt) < startupPeriod {
			return append(effects, compareWithSome(state, state.Settings.FirstPeers, event.Random)...)
		}
		effects = append(effects, plugin.reconnect(state, event)...)
	}
	return effects
}

// compareWithNeighbours starts a comparison with every monitored neighbour,
// whose number is bounded, and with one of the others in turn.
func (plugin *plugin) compareWithNeighbours(state *kernel.State) []kernel.Effect {
	var effects []kernel.Effect
	var others []kernel.Neighbour
	for _, neighbour := range state.Neighbours {
		if neighbour.Monitored {
			effects = append(effects, startComparison(state, neighbour))
			continue
		}
		others = append(others, neighbour)
	}
	if len(others) == 0 {
		return effects
	}
	plugin.nextOther++
	return append(effects, startComparison(state, others[plugin.nextOther%len(others)]))
}

// reconnect starts a comparison with a random first peer or daemon recorded as
// dead.
func (plugin *plugin) reconnect(state *kernel.State, event kernel.Event) []kernel.Effect {
	candidates := make([]kernel.Neighbour, 0, len(state.Settings.FirstPeers)+len(state.DeadPeers))
	for _, address := range state.Settings.FirstPeers {
		if address != state.Settings.PeerAddress {
			candidates = append(candidates, kernel.Neighbour{Address: address})
		}
	}
	candidates = append(candidates, state.DeadPeers...)
	if len(candidates) == 0 {
		return nil
	}
	return []kernel.Effect{startComparison(state, candidates[event.Random%uint64(len(candidates))])}
}

// startComparison sends the digest of this daemon's table to a peer.
func startComparison(state *kernel.State, peer kernel.Neighbour) kernel.Effect {
	return kernel.CallPeer{Peer: peer, Envelope: kernel.Envelope{From: state.Settings.Self, TableDigest: state.Table.Digest()}}
}

// flood sends or offers the pending records to all neighbours except those that they
// came from, unless the last flood was too recent.
func (plugin *plugin) flood(state *kernel.State, at time.Time) []kernel.Effect {
	if len(state.Neighbours) == 0 {
		plugin.keepOwn(state)
	}
	if len(plugin.pending) == 0 || len(state.Neighbours) == 0 {
		return nil
	}
	if wait := plugin.floodInterval() - at.Sub(plugin.lastFloodAt); wait > 0 {
		return []kernel.Effect{kernel.Wake{After: wait}}
	}
	plugin.lastFloodAt = at
	var effects []kernel.Effect
	for _, neighbour := range state.Neighbours {
		envelope := plugin.floodTo(state, neighbour)
		if len(envelope.Versions)+len(envelope.Records) > 0 {
			effects = append(effects, kernel.CallPeer{Peer: neighbour, Envelope: envelope})
		}
	}
	plugin.pending = nil
	return effects
}

// keepOwn drops the pending records that came from others or are outdated. A daemon
// that starts has no neighbours yet, and floods its own records to the first ones.
func (plugin *plugin) keepOwn(state *kernel.State) {
	plugin.pending = slices.DeleteFunc(plugin.pending, func(pending pendingRecord) bool {
		return pending.from != "" || pending.isOutdated(state)
	})
}

func (plugin *plugin) compareInterval(at time.Time) time.Duration {
	if at.Sub(plugin.startedAt) < joinPeriod {
		return joinCompareInterval
	}
	return CompareInterval
}

func (plugin *plugin) floodInterval() time.Duration {
	if len(plugin.pending) < manyPending {
		return shortFloodInterval
	}
	return longFloodInterval
}

// floodTo returns the message that floods the pending records to a neighbour. A few
// records are sent at once; more of them, or large ones, are offered.
func (plugin *plugin) floodTo(state *kernel.State, neighbour kernel.Neighbour) kernel.Envelope {
	whole := kernel.Envelope{From: state.Settings.Self}
	offer := whole
	size := 0
	for _, pending := range plugin.pending {
		if pending.from == neighbour.ID || pending.isOutdated(state) {
			continue
		}
		record := pending.record
		size += len(record.Body)
		whole.Records = append(whole.Records, record)
		if len(record.Body) > maxUnofferedSize {
			offer.Versions = append(offer.Versions, kernel.KeyVersion{Key: record.Key, Version: record.Version})
		} else {
			offer.Records = append(offer.Records, record)
		}
	}
	if size <= maxFloodedSize {
		return whole
	}
	return offer
}

// isOutdated reports whether a newer version of the record is stored, which is
// pending too.
func (pending pendingRecord) isOutdated(state *kernel.State) bool {
	stored, _ := state.Table.Get(pending.record.Key)
	return stored.Version != pending.record.Version
}

// handleEnvelope merges the records of another daemon's envelope and replies
// with the next step of the comparison or the keys of offered records that it
// wants.
func (plugin *plugin) handleEnvelope(state *kernel.State, at time.Time, received kernel.EnvelopeReceived) []kernel.Effect {
	envelope := received.Envelope
	reply := kernel.Envelope{From: state.Settings.Self}
	switch {
	case envelope.ComparedBuckets != nil:
		reply.TableDigest = state.Table.Digest()
		reply.Records, reply.Wanted = difference(state, envelope)
	case len(envelope.Versions) > 0:
		reply.Wanted = plugin.request(state, at, envelope.Versions)
	case envelope.TableDigest != 0:
		reply.TableDigest = state.Table.Digest()
		if envelope.TableDigest != reply.TableDigest {
			reply.BucketDigests = state.Table.BucketDigests()
		}
	}
	return []kernel.Effect{
		kernel.MergeRecords{From: envelope.From, Records: envelope.Records},
		kernel.ReplyToPeer{Token: received.Token, Envelope: reply},
	}
}

// request returns the keys of the offered records that are newer than the stored
// ones and have not been requested within requestTimeout.
func (plugin *plugin) request(state *kernel.State, at time.Time, offered []kernel.KeyVersion) []kernel.Key {
	if plugin.requested == nil {
		plugin.requested = map[kernel.Key]requestedRecord{}
	}
	var wanted []kernel.Key
	for _, offer := range offered {
		last := plugin.requested[offer.Key]
		isPending := last.version >= offer.Version && at.Sub(last.at) < requestTimeout
		if isPending || !state.Table.IsNewer(kernel.Record{Key: offer.Key, Version: offer.Version}) {
			continue
		}
		plugin.requested[offer.Key] = requestedRecord{version: offer.Version, at: at}
		wanted = append(wanted, offer.Key)
	}
	return wanted
}

// difference returns the records of the compared buckets that are missing or
// older at the sender, and the keys of those that are newer at the sender.
func difference(state *kernel.State, envelope kernel.Envelope) ([]kernel.Record, []kernel.Key) {
	senderVersions := make(map[kernel.Key]uint64, len(envelope.Versions))
	var wanted []kernel.Key
	for _, version := range envelope.Versions {
		senderVersions[version.Key] = version.Version
		own, _ := state.Table.Get(version.Key)
		if own.Version < version.Version {
			wanted = append(wanted, version.Key)
		}
	}
	var records []kernel.Record
	for _, version := range state.Table.Versions(envelope.ComparedBuckets) {
		if senderVersions[version.Key] < version.Version {
			record, _ := state.Table.Get(version.Key)
			records = append(records, record)
		}
	}
	return records, wanted
}

// handleReply merges the records of a peer's reply, sends the records that the peer
// wants, and compares the buckets whose digests differ. If no bucket differs, it
// reports PeerSynced. A reply to records that were sent without a comparison has no
// digest and tells nothing about the peer's other records.
func (plugin *plugin) handleReply(state *kernel.State, replied kernel.PeerReplied) []kernel.Effect {
	envelope := replied.Envelope
	effects := []kernel.Effect{kernel.MergeRecords{From: envelope.From, Records: envelope.Records}}
	if len(envelope.Wanted) > 0 {
		effects = append(effects, sendRecords(state, replied.Peer, envelope.Wanted))
	}
	if len(envelope.BucketDigests) == kernel.BucketCount {
		if next, differs := compareBuckets(state, replied.Peer, envelope.BucketDigests); differs {
			return append(effects, next)
		}
	}
	if envelope.TableDigest == 0 {
		return effects
	}
	plugin.synced = true
	return append(effects, kernel.Dispatch{Message: kernel.PeerSynced{Peer: replied.Peer}})
}

// compareBuckets sends the peer the versions of all records in the buckets
// whose digests differ. It reports whether there are any such buckets.
func compareBuckets(state *kernel.State, peer kernel.Neighbour, peerDigests []uint64) (kernel.Effect, bool) {
	var compared []int
	for bucket, digest := range state.Table.BucketDigests() {
		if digest != peerDigests[bucket] {
			compared = append(compared, bucket)
		}
	}
	envelope := kernel.Envelope{
		From:            state.Settings.Self,
		ComparedBuckets: compared,
		Versions:        state.Table.Versions(compared),
	}
	return kernel.CallPeer{Peer: peer, Envelope: envelope}, len(compared) > 0
}

// sendRecords sends the records that a peer has requested.
func sendRecords(state *kernel.State, peer kernel.Neighbour, wanted []kernel.Key) kernel.Effect {
	envelope := kernel.Envelope{From: state.Settings.Self}
	for _, key := range wanted {
		if record, known := state.Table.Get(key); known {
			envelope.Records = append(envelope.Records, record)
		}
	}
	return kernel.CallPeer{Peer: peer, Envelope: envelope}
}

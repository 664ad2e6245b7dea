// Package fleet joins several kernels in one process by small fakes: a queue
// of messages in virtual time for the network, and a map for the platform.
// Tests and the measurement of slopes use it; it models no traffic.
//
// # Usage
//
//	joined := fleet.New(7)
//	joined.Add(kernel.Settings{Self: "one", Region: "east", PeerAddress: "one"})
//	joined.Run(5 * time.Second)
package fleet

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"ibislift/core/kernel"

	// The plug-ins of the kernel register themselves.
	_ "ibislift/core/beacon"
	_ "ibislift/core/crash"
	_ "ibislift/core/measure"
	_ "ibislift/core/member"
	_ "ibislift/core/once"
	_ "ibislift/core/profile"
	_ "ibislift/core/route"
	_ "ibislift/core/spread"
)

// peerTimeout is after how long an unanswered envelope has failed.
const peerTimeout = time.Second

// Node is one daemon's kernel with what the fleet does to it.
type Node struct {
	Kernel   *kernel.Kernel
	Settings kernel.Settings
	View     *kernel.View
	Stopped  bool
	// FrozenUntil keeps all its events back.
	FrozenUntil time.Time
	// ClockOff is added to the time that the kernel is told.
	ClockOff time.Duration
	// Claims, Changes and Probes are what the kernel has answered and asked.
	Claims  map[uint64]kernel.ClaimResult
	Changes map[uint64]kernel.ChangeResult
	Probes  []time.Time
	// Sent counts envelopes and BytesOut what they weigh.
	Sent     int
	BytesOut int
	Updates  int
	// Busy is the real time spent in Update.
	Busy time.Duration
}

// Fleet is a set of kernels. Set the hooks before Run.
type Fleet struct {
	Now      time.Time
	Random   *rand.Rand
	Platform *Platform
	Nodes    map[string]*Node
	// Latency is the one-way latency between two daemons; nil means 1 ms.
	Latency func(from, to kernel.Settings) time.Duration
	// Lost says whether a message between two daemons is lost; nil loses none.
	Lost func(from, to kernel.Settings) bool
	// Weigh gives the size of an envelope in bytes; nil weighs nothing.
	Weigh func(kernel.Envelope) int
	// Timed measures the real time spent in updates.
	Timed bool

	queue  queue
	order  uint64
	asks   map[uint64]ask
	nextID uint64
}

// ask is an envelope that waits for its answer.
type ask struct {
	from string
	peer kernel.Neighbour
}

// New returns an empty fleet whose chance comes from the seed.
func New(seed uint64) *Fleet {
	random := rand.New(rand.NewPCG(seed, 2))
	return &Fleet{
		Now:      time.Unix(1_800_000_000, 0).UTC(),
		Random:   random,
		Platform: &Platform{Random: random},
		Nodes:    map[string]*Node{},
		asks:     map[uint64]ask{},
	}
}

// Add starts a kernel. A node of the same name is replaced, as by a restart.
func (fleet *Fleet) Add(settings kernel.Settings) *Node {
	if settings.Epoch == 0 {
		settings.Epoch = fleet.Now.UnixMilli()
	}
	node := &Node{
		Kernel:   &kernel.Kernel{Settings: settings},
		Settings: settings,
		View:     &kernel.View{},
		Claims:   map[uint64]kernel.ClaimResult{},
		Changes:  map[uint64]kernel.ChangeResult{},
	}
	if old := fleet.Nodes[settings.Self]; old != nil {
		old.Stopped = true
	}
	fleet.Nodes[settings.Self] = node
	fleet.deliver(node, kernel.Started{}, 0)
	offset := time.Duration(fleet.Random.Int64N(int64(kernel.TickInterval)))
	fleet.push(event{at: fleet.Now.Add(offset), node: node, tick: true})
	return node
}

// Stop ends a node without a word, as a crash does.
func (fleet *Fleet) Stop(name string) { fleet.Nodes[name].Stopped = true }

// Tell gives a node a message now.
func (fleet *Fleet) Tell(name string, message kernel.Message) {
	fleet.deliver(fleet.Nodes[name], message, 0)
}

// Run lets virtual time pass.
func (fleet *Fleet) Run(duration time.Duration) {
	end := fleet.Now.Add(duration)
	for len(fleet.queue) > 0 && !fleet.queue[0].at.After(end) {
		fleet.step()
	}
	fleet.Now = end
}

// RunUntil lets virtual time pass until the condition holds, for at most a
// duration, and says whether it held.
func (fleet *Fleet) RunUntil(most time.Duration, condition func() bool) bool {
	end := fleet.Now.Add(most)
	for !condition() {
		if len(fleet.queue) == 0 || fleet.queue[0].at.After(end) {
			fleet.Now = end
			return condition()
		}
		fleet.step()
	}
	return true
}

func (fleet *Fleet) step() {
	next := heap.Pop(&fleet.queue).(event)
	if next.at.After(fleet.Now) {
		fleet.Now = next.at
	}
	node := next.node
	switch {
	case node == nil:
		next.run()
	case node.Stopped:
	case node.FrozenUntil.After(fleet.Now):
		next.at = node.FrozenUntil
		fleet.push(next)
	case next.run != nil:
		next.run()
	case next.tick:
		fleet.update(node, kernel.Ticked{})
		fleet.push(event{at: fleet.Now.Add(kernel.TickInterval), node: node, tick: true})
	default:
		fleet.update(node, next.message)
	}
}

func (fleet *Fleet) update(node *Node, message kernel.Message) {
	node.Updates++
	started := time.Time{}
	if fleet.Timed {
		started = time.Now()
	}
	effects := node.Kernel.Update(kernel.Event{
		At:      fleet.Now.Add(node.ClockOff),
		Random:  fleet.Random.Uint64(),
		Message: message,
	})
	if fleet.Timed {
		node.Busy += time.Since(started)
	}
	for _, effect := range effects {
		fleet.perform(node, effect)
	}
}

func (fleet *Fleet) perform(node *Node, effect kernel.Effect) {
	switch effect := effect.(type) {
	case kernel.Publish:
		node.View = effect.View
	case kernel.Wake:
		fleet.deliver(node, kernel.Ticked{}, effect.After)
	case kernel.ProbeUpstream:
		node.Probes = append(node.Probes, fleet.Now)
	case kernel.ReplyToClaim:
		node.Claims[effect.Token] = effect.Result
	case kernel.ReplyToChange:
		node.Changes[effect.Token] = effect.Result
	case kernel.CallPlatform:
		fleet.callPlatform(node, effect)
	case kernel.CallPeer:
		fleet.askPeer(node, effect)
	case kernel.ReplyToPeer:
		fleet.answerPeer(node, effect)
	}
}

func (fleet *Fleet) callPlatform(node *Node, call kernel.CallPlatform) {
	fleet.Platform.call(fleet, call.Call, func(result kernel.PlatformResult, after time.Duration) {
		fleet.deliver(node, kernel.PlatformCallEnded{Owner: call.Owner, Token: call.Token, Result: result}, after)
	})
}

func (fleet *Fleet) askPeer(node *Node, effect kernel.CallPeer) {
	fleet.nextID++
	id := fleet.nextID
	fleet.asks[id] = ask{from: node.Settings.Self, peer: effect.Peer}
	fleet.weigh(node, effect.Envelope)
	if target := fleet.at(effect.Peer.Address); target != nil && !fleet.lose(node, target) {
		fleet.deliver(target, kernel.EnvelopeReceived{Token: id, Envelope: effect.Envelope}, fleet.latency(node, target))
	}
	fleet.after(peerTimeout, func() {
		if _, waiting := fleet.asks[id]; waiting {
			delete(fleet.asks, id)
			fleet.deliver(node, kernel.PeerFailed{Peer: effect.Peer}, 0)
		}
	})
}

func (fleet *Fleet) answerPeer(node *Node, effect kernel.ReplyToPeer) {
	fleet.weigh(node, effect.Envelope)
	waiting, known := fleet.asks[effect.Token]
	if !known {
		return
	}
	asker := fleet.Nodes[waiting.from]
	if fleet.lose(node, asker) {
		return
	}
	delay := fleet.latency(node, asker)
	fleet.after(delay, func() {
		if _, still := fleet.asks[effect.Token]; still {
			delete(fleet.asks, effect.Token)
			fleet.deliver(asker, kernel.PeerReplied{Peer: waiting.peer, Envelope: effect.Envelope}, 0)
		}
	})
}

func (fleet *Fleet) weigh(node *Node, envelope kernel.Envelope) {
	node.Sent++
	if fleet.Weigh != nil {
		node.BytesOut += fleet.Weigh(envelope)
	}
}

func (fleet *Fleet) at(address string) *Node {
	// Tests use the daemon's name as its address.
	return fleet.Nodes[address]
}

func (fleet *Fleet) lose(from, to *Node) bool {
	return fleet.Lost != nil && fleet.Lost(from.Settings, to.Settings)
}

func (fleet *Fleet) latency(from, to *Node) time.Duration {
	if fleet.Latency == nil {
		return time.Millisecond
	}
	return fleet.Latency(from.Settings, to.Settings)
}

func (fleet *Fleet) deliver(node *Node, message kernel.Message, after time.Duration) {
	fleet.push(event{at: fleet.Now.Add(after), node: node, message: message})
}

// At runs a function on a node after a time: later if the node is frozen then,
// and never if it has stopped.
func (fleet *Fleet) At(node *Node, wait time.Duration, run func()) {
	fleet.push(event{at: fleet.Now.Add(wait), node: node, run: run})
}

// Arrives says whether a message between two nodes would arrive now.
func (fleet *Fleet) Arrives(from, to *Node) bool { return !fleet.lose(from, to) }

// LatencyOf is the one-way latency between two nodes.
func (fleet *Fleet) LatencyOf(from, to *Node) time.Duration { return fleet.latency(from, to) }

// After runs a function after a time, whatever happens to the nodes.
func (fleet *Fleet) After(wait time.Duration, run func()) { fleet.after(wait, run) }

// after runs a function at a later virtual time.
func (fleet *Fleet) after(wait time.Duration, run func()) {
	fleet.push(event{at: fleet.Now.Add(wait), run: run})
}

func (fleet *Fleet) push(event event) {
	fleet.order++
	event.order = fleet.order
	heap.Push(&fleet.queue, event)
}

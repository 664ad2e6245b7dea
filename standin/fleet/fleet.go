// Package fleet runs the kernels of several daemons in one process and in virtual
// time. An event queue replaces the network, and a map replaces the platform. It is
// used by tests and by cmd/slopes, and models no requests of callers.
//
// # Usage
//
//	daemons := fleet.New(7)
//	daemons.Add(kernel.Settings{Self: "one", Region: "east", PeerAddress: "one"})
//	daemons.Run(5 * time.Second)
package fleet

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"ibislift/core/kernel"

	// The plug-ins of the kernel register themselves when imported.
	_ "ibislift/core/beacon"
	_ "ibislift/core/crash"
	_ "ibislift/core/measure"
	_ "ibislift/core/member"
	_ "ibislift/core/once"
	_ "ibislift/core/profile"
	_ "ibislift/core/route"
	_ "ibislift/core/spread"
	_ "ibislift/core/withdraw"
)

// peerTimeout is the time after which a call to a peer without a reply fails.
const peerTimeout = time.Second

// Node is the kernel of one daemon, with the faults of the daemon and a record of
// the kernel's effects.
type Node struct {
	Kernel   *kernel.Kernel
	Settings kernel.Settings
	View     *kernel.View
	Stopped  bool
	// FrozenUntil delays all events of the node until then.
	FrozenUntil time.Time
	// ClockOffset is added to the time of the events passed to the kernel.
	ClockOffset time.Duration
	// ClaimResults and ChangeResults hold the kernel's replies by token, and
	// ProbeTimes the times at which it requested a probe of the upstream.
	ClaimResults  map[uint64]kernel.ClaimResult
	ChangeResults map[uint64]kernel.ChangeResult
	ProbeTimes    []time.Time
	// linkFreeAt is when the link of the node has sent all envelopes so far.
	linkFreeAt time.Time
	// EnvelopesSent counts the envelopes sent, and BytesSent is their total size.
	EnvelopesSent int
	BytesSent     int
	// UpdateTime is the real time spent in Kernel.Update, if MeasureTime is set.
	UpdateTime time.Duration
}

// Fleet is a set of kernels that exchange messages. The hooks are optional. Set
// them before Run or from a function that it runs.
type Fleet struct {
	Now      time.Time
	Random   *rand.Rand
	Platform *Platform
	Nodes    map[string]*Node
	// Latency returns the one-way latency between two daemons. It is 1 ms if nil.
	Latency func(from, to kernel.Settings) time.Duration
	// DropMessage reports whether a message between two daemons is lost. No
	// message is lost if it is nil.
	DropMessage func(from, to kernel.Settings) bool
	// EnvelopeSize returns the size of an envelope in bytes. If it is nil,
	// Node.BytesSent stays 0.
	EnvelopeSize func(kernel.Envelope) int
	// Bandwidth is what the link of each daemon sends, in bytes per second. It
	// needs EnvelopeSize. If it is 0, sending takes no time.
	Bandwidth float64
	// MeasureTime enables the measurement of Node.UpdateTime.
	MeasureTime bool

	queue        queue
	lastOrder    uint64
	pendingCalls map[uint64]pendingCall
	nextCallID   uint64
}

// pendingCall is a call to a peer that waits for its reply.
type pendingCall struct {
	caller string
	peer   kernel.Neighbour
}

// New returns an empty fleet. All its random values derive from the seed.
func New(seed uint64) *Fleet {
	random := rand.New(rand.NewPCG(seed, 2))
	return &Fleet{
		Now:          time.Unix(1_800_000_000, 0).UTC(),
		Random:       random,
		Platform:     &Platform{Random: random},
		Nodes:        map[string]*Node{},
		pendingCalls: map[uint64]pendingCall{},
	}
}

// Add starts a kernel. It replaces a node of the same name, as a restart does.
func (fleet *Fleet) Add(settings kernel.Settings) *Node {
	if settings.Epoch == 0 {
		settings.Epoch = fleet.Now.UnixMilli()
	}
	node := &Node{
		Kernel:        &kernel.Kernel{Settings: settings},
		Settings:      settings,
		View:          &kernel.View{},
		ClaimResults:  map[uint64]kernel.ClaimResult{},
		ChangeResults: map[uint64]kernel.ChangeResult{},
	}
	if old := fleet.Nodes[settings.Self]; old != nil {
		old.Stopped = true
	}
	fleet.Nodes[settings.Self] = node
	fleet.deliverAfter(node, kernel.Started{}, 0)
	offset := time.Duration(fleet.Random.Int64N(int64(kernel.TickInterval)))
	fleet.push(event{at: fleet.Now.Add(offset), node: node, tick: true})
	return node
}

// Stop stops a node without any announcement, as a crash does.
func (fleet *Fleet) Stop(name string) { fleet.Nodes[name].Stopped = true }

// Deliver delivers a message to a node at the current time.
func (fleet *Fleet) Deliver(name string, message kernel.Message) {
	fleet.deliverAfter(fleet.Nodes[name], message, 0)
}

// Run advances virtual time by a duration and runs the events due until then.
func (fleet *Fleet) Run(duration time.Duration) {
	end := fleet.Now.Add(duration)
	for len(fleet.queue) > 0 && !fleet.queue[0].at.After(end) {
		fleet.step()
	}
	fleet.Now = end
}

// RunUntil advances virtual time until the condition holds, but no further than
// the limit. It reports whether the condition holds.
func (fleet *Fleet) RunUntil(limit time.Duration, condition func() bool) bool {
	end := fleet.Now.Add(limit)
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
	started := time.Time{}
	if fleet.MeasureTime {
		started = time.Now()
	}
	effects := node.Kernel.Update(kernel.Event{
		At:      fleet.Now.Add(node.ClockOffset),
		Random:  fleet.Random.Uint64(),
		Message: message,
	})
	if fleet.MeasureTime {
		node.UpdateTime += time.Since(started)
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
		fleet.deliverAfter(node, kernel.Ticked{}, effect.After)
	case kernel.ProbeUpstream:
		node.ProbeTimes = append(node.ProbeTimes, fleet.Now)
	case kernel.ReplyToClaim:
		node.ClaimResults[effect.Token] = effect.Result
	case kernel.ReplyToChange:
		node.ChangeResults[effect.Token] = effect.Result
	case kernel.CallPlatform:
		fleet.callPlatform(node, effect)
	case kernel.CallPeer:
		fleet.callPeer(node, effect)
	case kernel.ReplyToPeer:
		fleet.replyToPeer(node, effect)
	}
}

func (fleet *Fleet) callPlatform(node *Node, call kernel.CallPlatform) {
	fleet.Platform.call(fleet, node.Settings, call.Call, func(result kernel.PlatformResult, delay time.Duration) {
		fleet.deliverAfter(node, kernel.PlatformCallEnded{Owner: call.Owner, Token: call.Token, Result: result}, delay)
	})
}

func (fleet *Fleet) callPeer(node *Node, effect kernel.CallPeer) {
	fleet.nextCallID++
	id := fleet.nextCallID
	fleet.pendingCalls[id] = pendingCall{caller: node.Settings.Self, peer: effect.Peer}
	sendTime := fleet.send(node, effect.Envelope)
	if receiver := fleet.nodeAt(effect.Peer.Address); receiver != nil && !fleet.drops(node, receiver) {
		fleet.deliverAfter(receiver, kernel.EnvelopeReceived{Token: id, Envelope: effect.Envelope}, sendTime+fleet.latency(node, receiver))
	}
	fleet.schedule(peerTimeout, func() {
		if _, waiting := fleet.pendingCalls[id]; waiting {
			delete(fleet.pendingCalls, id)
			fleet.deliverAfter(node, kernel.PeerFailed{Peer: effect.Peer}, 0)
		}
	})
}

func (fleet *Fleet) replyToPeer(node *Node, effect kernel.ReplyToPeer) {
	sendTime := fleet.send(node, effect.Envelope)
	pending, known := fleet.pendingCalls[effect.Token]
	if !known {
		return
	}
	caller := fleet.Nodes[pending.caller]
	if fleet.drops(node, caller) {
		return
	}
	delay := sendTime + fleet.latency(node, caller)
	fleet.schedule(delay, func() {
		if _, waiting := fleet.pendingCalls[effect.Token]; waiting {
			delete(fleet.pendingCalls, effect.Token)
			fleet.deliverAfter(caller, kernel.PeerReplied{Peer: pending.peer, Envelope: effect.Envelope}, 0)
		}
	})
}

// send counts an envelope and returns how long it takes until the link of the node
// has sent it, after those before it.
func (fleet *Fleet) send(node *Node, envelope kernel.Envelope) time.Duration {
	node.EnvelopesSent++
	if fleet.EnvelopeSize == nil {
		return 0
	}
	size := fleet.EnvelopeSize(envelope)
	node.BytesSent += size
	if fleet.Bandwidth == 0 {
		return 0
	}
	if node.linkFreeAt.Before(fleet.Now) {
		node.linkFreeAt = fleet.Now
	}
	node.linkFreeAt = node.linkFreeAt.Add(time.Duration(float64(size) / fleet.Bandwidth * float64(time.Second)))
	return node.linkFreeAt.Sub(fleet.Now)
}

func (fleet *Fleet) nodeAt(address string) *Node {
	// The peer address of each daemon must be its name.
	return fleet.Nodes[address]
}

func (fleet *Fleet) drops(from, to *Node) bool {
	return fleet.DropMessage != nil && fleet.DropMessage(from.Settings, to.Settings)
}

func (fleet *Fleet) latency(from, to *Node) time.Duration {
	if fleet.Latency == nil {
		return time.Millisecond
	}
	return fleet.Latency(from.Settings, to.Settings)
}

func (fleet *Fleet) deliverAfter(node *Node, message kernel.Message, delay time.Duration) {
	fleet.push(event{at: fleet.Now.Add(delay), node: node, message: message})
}

// ScheduleOn runs a function on a node after a delay. It runs later if the node is
// frozen at that time, and never if the node has stopped.
func (fleet *Fleet) ScheduleOn(node *Node, delay time.Duration, run func()) {
	fleet.push(event{at: fleet.Now.Add(delay), node: node, run: run})
}

// CanReach reports whether a message sent now between two nodes would arrive.
func (fleet *Fleet) CanReach(from, to *Node) bool { return !fleet.drops(from, to) }

// LatencyBetween returns the one-way latency between two nodes.
func (fleet *Fleet) LatencyBetween(from, to *Node) time.Duration { return fleet.latency(from, to) }

// Schedule runs a function after a delay, even if nodes are frozen or stopped.
func (fleet *Fleet) Schedule(delay time.Duration, run func()) { fleet.schedule(delay, run) }

func (fleet *Fleet) schedule(delay time.Duration, run func()) {
	fleet.push(event{at: fleet.Now.Add(delay), run: run})
}

func (fleet *Fleet) push(event event) {
	fleet.lastOrder++
	event.order = fleet.lastOrder
	heap.Push(&fleet.queue, event)
}

// Package quota keeps the rate limits of workspaces over all daemons without a
// coordinator.
//
// Workspaces are divided into slots by a hash. For each slot a committee of daemons, the
// voters, is chosen by rendezvous hashing among all members that are known, dead ones
// included. Each voter lends its vote to one daemon at a time, with a lease. The daemon
// that borrows the votes of a slot is its owner: it has a token bucket for each workspace,
// which fills in proportion to the votes that it holds. The votes of all owners of a slot
// add up to at most one committee in any partition, so the buckets add up to at most one
// quota, whatever the views of the daemons are. Who borrows the votes is a matter of
// availability only: usually the first live member in the hash order, and the next ones
// if that one does not reply.
//
// The other daemons ask for tokens, which have a short lease, and keep a few in advance where
// demand is steady. Where members have regions, one daemon of each region, the cache of the
// slot, keeps tokens for the region in advance, and is asked before the owner. A daemon that is told that the quota is used up refuses
// requests itself until the next token is expected.
//
// # Usage
//
// Quota is a state machine without clock, socket, goroutine or random source. Times are
// durations on a clock that never goes back and runs while the process is stopped.
//
//	machine := &quota.Quota{Self: "a", Settings: settings, FirstSequence: epoch, StartedAt: now}
//	machine.Update(quota.FleetChanged{At: now, Members: members, Limits: limits})
//	for _, effect := range machine.Update(quota.TokenWanted{At: now, ID: 1, Workspace: "acme"}) {
//		perform(effect) // Send, Decide, Notify
//	}
package quota

import (
	"maps"
	"slices"
	"time"
)

// Settings are the terms on which quotas are kept. The zero value disables them.
type Settings struct {
	// Window is the length of the windows in which requests are counted.
	Window time.Duration
	// Overshoot is the fraction and Slack the number of requests by which a quota may be
	// exceeded in any window.
	Overshoot float64
	Slack     float64
}

// Enabled reports whether quotas are kept.
func (settings Settings) Enabled() bool { return settings.Window > 0 }

// Limit is the quota of a workspace: requests a second, and how many more at once.
type Limit struct{ Rate, Burst float64 }

// Member is a daemon of the fleet. Live is false for one that is recorded as dead or is
// leaving. Left is set for one that has stopped in an orderly way and has no tokens.
type Member struct {
	ID   string
	Live bool
	Left bool
	// Region is where the daemon runs. The daemons of a region share a cache of tokens, unless
	// it is empty.
	Region string
}

// Verdict is the result of a request for a token.
type Verdict uint8

// The verdicts. Unreachable means that no daemon with votes of the workspace's slot has
// replied, so that nothing is known about the quota.
const (
	Granted Verdict = iota
	OverQuota
	Unreachable
)

// Decision is the reply to TokenWanted. A granted token expires at Expires; it is not
// given to another request after that. RetryAfter is set for refusals.
type Decision struct {
	Verdict    Verdict
	Expires    time.Duration
	RetryAfter time.Duration
	// Owner is the daemon that decided, or the last one that was asked.
	Owner string
}

// Event is an input of the state machine. Only this package defines events.
type Event interface{ event() time.Duration }

// FleetChanged reports the members of the fleet and the limits by workspace. Workspaces
// without a rate are left out. The map is not changed afterwards. Joined is false while
// this daemon has not received the records of others.
type FleetChanged struct {
	At      time.Duration
	Members []Member
	Limits  map[string]Limit
	Joined  bool
}

// TokenWanted requests a token for a request. The reply is Decide with the same ID, at
// once or before Deadline. With Immediate it comes at once, and without a token at this
// daemon it is a refusal. With Peek it comes at once and spends nothing: it says whether
// this daemon refuses requests of the workspace now.
type TokenWanted struct {
	At        time.Duration
	ID        uint64
	Workspace string
	Deadline  time.Duration
	Immediate bool
	Peek      bool
}

// WaitEnded withdraws a TokenWanted whose request has ended.
type WaitEnded struct {
	At        time.Duration
	ID        uint64
	Workspace string
}

// TokenReturned returns the token of a request that did not reach a target.
type TokenReturned struct {
	At        time.Duration
	Workspace string
	Expires   time.Duration
}

// MessageReceived is a message of another daemon.
type MessageReceived struct {
	At      time.Duration
	From    string
	Message Message
}

// Ticked reports that time has passed. It is expected every TickInterval while Active.
type Ticked struct{ At time.Duration }

// Stopping makes an owner return its votes, so that the next one has them at once.
type Stopping struct{ At time.Duration }

func (event FleetChanged) event() time.Duration    { return event.At }
func (event TokenWanted) event() time.Duration     { return event.At }
func (event WaitEnded) event() time.Duration       { return event.At }
func (event TokenReturned) event() time.Duration   { return event.At }
func (event MessageReceived) event() time.Duration { return event.At }
func (event Ticked) event() time.Duration          { return event.At }
func (event Stopping) event() time.Duration        { return event.At }

// Effect is an action that the driver has to perform. Only this package defines effects.
type Effect interface{ effect() }

// Send sends a message to another daemon. It may be lost.
type Send struct {
	To      string
	Message Message
}

// Decide replies to TokenWanted.
type Decide struct {
	ID       uint64
	Decision Decision
}

// NoticeKind says what a notice is about.
type NoticeKind string

// The kinds of notices. Workspaces and daemons are named in the notice.
const (
	NoticeLimited      NoticeKind = "workspace over its quota"
	NoticeUnlimited    NoticeKind = "workspace within its quota again"
	NoticeOwning       NoticeKind = "ownership of quotas taken over"
	NoticeUnresponsive NoticeKind = "owner of quotas does not reply"
)

// Notify reports a change that operators want to see in the log. Member is the daemon
// that does not reply. Votes is the part of the votes that a new owner has.
type Notify struct {
	Kind      NoticeKind
	Workspace string
	Slot      uint32
	Member    string
	Votes     float64
}

func (Send) effect()   {}
func (Decide) effect() {}
func (Notify) effect() {}

// Message is exchanged between the daemons. Only this package defines messages.
type Message interface{ message() }

// Ask asks the owner of a workspace for tokens. Fallback is set if an earlier daemon in
// the order has not granted them. The daemon that is asked may then get a token from that
// one in its place.
type Ask struct {
	Workspace string
	Sequence  uint64
	Tokens    int
	Fallback  bool
	// Regional is set if the daemon is asked as the cache of the sender's region. It then
	// borrows no votes.
	Regional bool
	// Advance is how many of Tokens the sender, a cache, has no requests for yet. They are
	// granted only while the bucket has plenty. Held is how many tokens of the owner it has;
	// it asks to have their lease renewed.
	Advance int
	Held    int
	// Returned is how many tokens a cache returns. There is no reply to that.
	Returned int
}

// Grant is the reply to Ask. If fewer tokens than requested are granted, RetryAfter is the
// time until the next one is expected, and Spread the time over which those who were
// refused should come back. Declined is set if the daemon does not have enough votes.
type Grant struct {
	Workspace  string
	Sequence   uint64
	Tokens     int
	RetryAfter time.Duration
	Spread     time.Duration
	Declined   bool
	// Lease is the remaining lease of the tokens, counted from before they were requested;
	// zero stands for a whole one.
	Lease time.Duration
	// Renewed is how many of the tokens in Ask.Held have a new lease.
	Renewed int
	// Queued is set if a cache has no tokens and has asked the owner. The reply follows.
	Queued bool
}

// Borrow asks a voter for its vote of a slot or, with Return, returns it. Idle is then the
// time for which the vote counts as unused.
type Borrow struct {
	Slot     uint32
	Sequence uint64
	Return   bool
	Idle     time.Duration
}

// Lend is the reply to Borrow. Idle is how long nobody had the vote. If it is not lent,
// Left is the time until it may be.
type Lend struct {
	Slot     uint32
	Sequence uint64
	Lent     bool
	Idle     time.Duration
	Left     time.Duration
}

func (Ask) message()    {}
func (Grant) message()  {}
func (Borrow) message() {}
func (Lend) message()   {}

// TickInterval is the time between two ticks while the machine is active. It bounds the
// delay of time-outs, which are several times longer.
const TickInterval = 20 * time.Millisecond

// Quota is the state of one daemon. Set the exported fields before the first Update. It is
// not safe for concurrent use.
type Quota struct {
	Self     string
	Settings Settings
	// FirstSequence exceeds the sequence numbers of earlier processes of this daemon, so
	// that late replies to them are not taken for replies to this one.
	FirstSequence uint64
	StartedAt     time.Duration

	now      time.Duration
	sequence uint64
	fleet    fleet
	joined   bool
	stopping bool
	limits   map[string]Limit
	lent     map[uint32]*loan
	owned    map[uint32]*ownership
	holdings map[string]*holding
	// suspects holds the daemons that do not reply, and until when they are asked last.
	suspects map[string]time.Duration
	seen     map[string]*replayWindow
	effects  []Effect
	counts   Counts
}

// Counts are totals since the start and the present size of the state, for metrics.
type Counts struct {
	// Granted, Refused and Unreachable count decisions.
	Granted, Refused, Unreachable uint64
	// AsksSent and AsksReceived count messages for tokens, VotesAsked those for votes.
	AsksSent, AsksReceived, VotesAsked uint64
	// Expired counts tokens that were not used within their lease.
	Expired uint64
	// Holdings, Owned and Buckets are the workspaces in use at this daemon, the slots that
	// it has votes of, and the workspaces in these.
	Holdings, Owned, Buckets int
}

// Counts returns the totals and the size of the state.
func (quota *Quota) Counts() Counts {
	counts := quota.counts
	counts.Holdings = len(quota.holdings)
	for _, ownership := range quota.owned {
		counts.Buckets += len(ownership.buckets)
		counts.Owned++
	}
	return counts
}

// Active reports whether the machine needs ticks.
func (quota *Quota) Active() bool { return len(quota.holdings)+len(quota.owned)+len(quota.lent) > 0 }

// Update applies one event and returns the effects to perform.
func (quota *Quota) Update(event Event) []Effect {
	quota.now = max(quota.now, event.event())
	quota.effects = nil
	if quota.holdings == nil {
		quota.sequence = quota.FirstSequence
		quota.lent = map[uint32]*loan{}
		quota.owned = map[uint32]*ownership{}
		quota.holdings = map[string]*holding{}
		quota.suspects = map[string]time.Duration{}
		quota.seen = map[string]*replayWindow{}
	}
	switch event := event.(type) {
	case FleetChanged:
		quota.fleet.update(quota.now, quota.Self, event.Members)
		quota.limits = event.Limits
		quota.joined = event.Joined
		quota.applyLimits()
		maps.DeleteFunc(quota.seen, func(id string, _ *replayWindow) bool { return !quota.fleet.knows(id) })
	case TokenWanted:
		quota.take(event)
	case WaitEnded:
		quota.removeWaiter(event.Workspace, event.ID)
	case TokenReturned:
		quota.giveBack(event)
	case MessageReceived:
		quota.receive(event.From, event.Message)
	case Ticked:
		quota.tick()
	case Stopping:
		quota.stopping = true
		for _, slot := range slices.Sorted(maps.Keys(quota.owned)) {
			quota.returnVotes(quota.owned[slot])
		}
	}
	return quota.effects
}

func (quota *Quota) receive(from string, message Message) {
	if !quota.fleet.knows(from) {
		return
	}
	delete(quota.suspects, from)
	switch message := message.(type) {
	case Ask:
		quota.counts.AsksReceived++
		if quota.isNew(from, message.Sequence) {
			quota.receiveAsk(ask{
				from: from, sequence: message.Sequence, workspace: message.Workspace, tokens: message.Tokens, at: quota.now, fallback: message.Fallback,
				regional: message.Regional, advance: max(0, min(message.Advance, message.Tokens)), held: max(0, message.Held),
				returned: max(0, message.Returned),
			})
		}
	case Grant:
		quota.receiveGrant(from, message)
	case Borrow:
		quota.lend(from, message)
	case Lend:
		quota.receiveVote(from, message)
	}
}

func (quota *Quota) receiveAsk(request ask) {
	switch {
	case request.returned > 0:
		quota.takeBack(request)
	case request.regional:
		quota.answerRegion(request)
	default:
		quota.answer(request)
	}
}

func (quota *Quota) tick() {
	quota.tickHoldings()
	quota.tickOwned()
	maps.DeleteFunc(quota.lent, func(_ uint32, loan *loan) bool { return quota.now-loan.until > loanMemory })
	maps.DeleteFunc(quota.suspects, func(_ string, until time.Duration) bool { return quota.now-until > suspectMemory })
}

// send sends a message, or processes it at once if it is for this daemon.
func (quota *Quota) send(to string, message Message) {
	if to == quota.Self {
		quota.receive(to, message)
		return
	}
	quota.effects = append(quota.effects, Send{To: to, Message: message})
}

func (quota *Quota) notify(notice Notify) { quota.effects = append(quota.effects, notice) }

func (quota *Quota) nextSequence() uint64 {
	quota.sequence++
	return quota.sequence
}

// replayWindow recognizes repeated requests of a daemon. Numbers that are 64 below the
// highest or more count as repeated.
type replayWindow struct {
	highest uint64
	mask    uint64
}

// isNew reports whether a daemon has not sent the sequence number before.
func (quota *Quota) isNew(from string, sequence uint64) bool {
	window := quota.seen[from]
	if window == nil {
		window = &replayWindow{}
		quota.seen[from] = window
	}
	if sequence > window.highest {
		window.mask = window.mask<<min(64, sequence-window.highest) | 1
		window.highest = sequence
		return true
	}
	bit := uint64(1) << min(63, window.highest-sequence)
	if window.highest-sequence > 63 || window.mask&bit != 0 {
		return false
	}
	window.mask |= bit
	return true
}

package quota

import (
	"slices"
	"time"
)

const (
	// voteLease is how long a voter lends its vote. It bounds how long a slot is without an
	// owner after a kill, and allows two renewals to be lost. A shorter one costs messages:
	// those for votes are two thirds of all.
	voteLease = 1200 * time.Millisecond
	// renewInterval is the time between two requests of an owner for a vote that it has.
	renewInterval = 400 * time.Millisecond
	// borrowInterval is the same for votes that it does not have. It doubles up to
	// maxBorrowInterval with each request that gets no reply, since the voter may be dead.
	borrowInterval    = 100 * time.Millisecond
	maxBorrowInterval = 800 * time.Millisecond
	// startDelay is how much later after its start a daemon borrows votes of slots for which it
	// is not the first in the hash order. After a start of the whole fleet all that have been
	// asked for tokens would otherwise borrow at once, and each have too few votes until the
	// lease has ended. It exceeds a trip to another region.
	startDelay = 100 * time.Millisecond
	// loanMemory is how long a voter remembers the end of a loan. After that the vote counts
	// as unused for that long, which fills the bucket of any burst that lasts less.
	loanMemory = time.Minute
	// minorityVotes is the smallest part of the votes with which an owner grants tokens. It
	// bounds the number of owners of a slot at a time, each of which may hold a whole token.
	minorityVotes = 0.2
	maxOwners     = 5
	// majorityVotes is the smallest majority of a committee of nine or fewer.
	majorityVotes = 0.51
	// minorityMinSlack is the slack below which only a majority of the votes allows grants,
	// because a whole token for each owner of a minority would exceed it.
	minorityMinSlack = 10
)

// loan is the state of this daemon's vote of a slot.
type loan struct {
	to       string
	sequence uint64
	until    time.Duration
	// wantedBy is the first in the hash order of the daemons that have asked for the vote in
	// vain. It gets the vote next, and the loan is not renewed if it precedes the borrower.
	wantedBy    string
	wantedUntil time.Duration
}

// lend replies to a request for this daemon's vote. A daemon that has just started may
// have lent its vote before, so it waits for that lease to end.
func (quota *Quota) lend(from string, borrow Borrow) {
	if borrow.Slot >= slots {
		return
	}
	current := quota.lent[borrow.Slot]
	if borrow.Return {
		if current != nil && current.to == from && borrow.Sequence >= current.sequence {
			current.until = min(current.until, quota.now-borrow.Idle)
			// A request that was sent before and arrives later is not granted any more.
			current.sequence = borrow.Sequence + 1
		}
		return
	}
	refuse := func(left time.Duration) {
		quota.send(from, Lend{Slot: borrow.Slot, Sequence: borrow.Sequence, Left: left})
	}
	if current == nil {
		// A loan of an earlier process counts as one to nobody, so that the vote is kept for
		// the first of those who ask for it meanwhile.
		current = &loan{until: max(quota.StartedAt+voteLease, quota.now-loanMemory)}
		quota.lent[borrow.Slot] = current
	}
	inForce := quota.now < current.until
	switch {
	case inForce && current.to != from:
		if current.wantedBy == from || quota.now >= current.wantedUntil || quota.precedes(borrow.Slot, from, current.wantedBy) {
			current.wantedBy, current.wantedUntil = from, quota.now+voteLease
		}
		refuse(current.until - quota.now)
		return
	case current.wantedBy != from && quota.now < current.wantedUntil &&
		quota.precedes(borrow.Slot, current.wantedBy, from):
		refuse(max(current.until, quota.now+borrowInterval) - quota.now)
		return
	case borrow.Sequence < current.sequence && current.to == from:
		return
	}
	idle := max(0, quota.now-current.until)
	if inForce {
		idle = 0
	}
	*current = loan{to: from, sequence: borrow.Sequence, until: quota.now + voteLease}
	quota.send(from, Lend{Slot: borrow.Slot, Sequence: borrow.Sequence, Lent: true, Idle: idle})
}

// precedes reports whether a live daemon comes before another one in the order of a slot.
func (quota *Quota) precedes(slot uint32, first, second string) bool {
	order := quota.fleet.seats(slot).candidates
	before, after := slices.Index(order, first), slices.Index(order, second)
	return before >= 0 && (after < 0 || before < after)
}

// vote is a vote that this daemon borrows or tries to borrow.
type vote struct {
	voter string
	// askedAt and sequence belong to the last request. The lease is counted from askedAt.
	askedAt  time.Duration
	sequence uint64
	replied  bool
	// misses is the number of requests without a reply since the last reply.
	misses  int
	expires time.Duration
	// since is the time from which the vote has filled the buckets of workspaces that have
	// not been used.
	since time.Duration
}

// ownership is the state of a slot at a daemon that borrows its votes.
type ownership struct {
	slot    uint32
	votes   []*vote
	buckets map[string]*bucket
	pending []ask
	lastAsk time.Duration
	owning  bool
	// settled is the time up to which the buckets have been filled.
	settled time.Duration
}

// own returns the state of a slot, and starts to borrow its votes if it is new.
func (quota *Quota) own(slot uint32) *ownership {
	owned := quota.owned[slot]
	if owned == nil {
		owned = &ownership{slot: slot, buckets: map[string]*bucket{}, settled: quota.now}
		quota.owned[slot] = owned
	}
	owned.lastAsk = quota.now
	quota.borrow(owned)
	return owned
}

// borrow requests the votes of a slot that are missing or due for renewal.
func (quota *Quota) borrow(owned *ownership) {
	// A daemon that has just started may not know all members yet, and would take the few
	// that it knows for the whole committee.
	if quota.stopping || !quota.joined || quota.now < quota.StartedAt+voteLease {
		return
	}
	if quota.now < quota.StartedAt+voteLease+startDelay && slices.Index(quota.fleet.seats(owned.slot).candidates, quota.Self) != 0 {
		return
	}
	quota.matchVoters(owned)
	for _, vote := range slices.Clone(owned.votes) {
		interval := min(borrowInterval<<min(vote.misses, 8), maxBorrowInterval)
		if quota.now < vote.expires {
			interval = renewInterval
		}
		if vote.sequence > 0 && quota.now-vote.askedAt < interval {
			continue
		}
		if vote.sequence > 0 && !vote.replied {
			vote.misses++
		}
		vote.askedAt, vote.sequence, vote.replied = quota.now, quota.nextSequence(), false
		quota.counts.VotesAsked++
		quota.send(vote.voter, Borrow{Slot: owned.slot, Sequence: vote.sequence})
	}
}

// matchVoters gives the slot one vote for each voter. Votes of former voters are dropped.
func (quota *Quota) matchVoters(owned *ownership) {
	voters := quota.fleet.seats(owned.slot).voters
	if len(voters) == len(owned.votes) && slices.EqualFunc(owned.votes, voters, func(vote *vote, voter string) bool { return vote.voter == voter }) {
		return
	}
	quota.settle(owned)
	votes := make([]*vote, 0, len(voters))
	for _, voter := range voters {
		index := slices.IndexFunc(owned.votes, func(vote *vote) bool { return vote.voter == voter })
		if index >= 0 {
			votes = append(votes, owned.votes[index])
			continue
		}
		votes = append(votes, &vote{voter: voter})
	}
	owned.votes = votes
}

// receiveVote records a vote that was lent, and answers the requests that waited for it.
func (quota *Quota) receiveVote(from string, lend Lend) {
	owned := quota.owned[lend.Slot]
	if owned == nil {
		return
	}
	index := slices.IndexFunc(owned.votes, func(vote *vote) bool { return vote.voter == from })
	if index < 0 || owned.votes[index].sequence != lend.Sequence || owned.votes[index].replied {
		return
	}
	vote := owned.votes[index]
	vote.replied, vote.misses = true, 0
	expires := vote.askedAt + voteLease
	if lend.Lent && quota.now < expires {
		quota.settle(owned)
		if quota.now >= vote.expires {
			vote.since = quota.now - lend.Idle
			quota.creditIdle(owned, lend.Idle)
		}
		vote.expires = expires
		quota.noteOwnership(owned, lend.Idle)
	}
	quota.answerPending(owned)
}

// noteOwnership reports when this daemon becomes the owner of a slot in place of another
// one. A slot that nobody used is not reported.
func (quota *Quota) noteOwnership(owned *ownership, idle time.Duration) {
	fraction := quota.votes(owned)
	if owned.owning || fraction < 0.5 {
		return
	}
	owned.owning = true
	if idle >= bucketIdle {
		return
	}
	quota.notify(Notify{Kind: NoticeOwning, Slot: owned.slot, Votes: fraction})
}

// votes returns the part of the votes of a slot that this daemon has now.
func (quota *Quota) votes(owned *ownership) float64 {
	held := 0
	for _, vote := range owned.votes {
		if quota.now < vote.expires {
			held++
		}
	}
	return float64(held) / float64(max(1, len(owned.votes)))
}

// isAwaitingVotes reports whether voters may still reply to the last request.
func (quota *Quota) isAwaitingVotes(owned *ownership) bool {
	for _, vote := range owned.votes {
		if !vote.replied && vote.sequence > 0 && quota.now-vote.askedAt < voteWait && quota.now >= vote.expires {
			return true
		}
	}
	return false
}

// unusedTime returns the time in which the votes of a slot would fill its buckets to what
// they hold now. A voter that gets its vote back counts as unused for that long.
func (quota *Quota) unusedTime(owned *ownership) time.Duration {
	quota.settle(owned)
	unused := quota.now - owned.lastAsk
	if len(owned.buckets) > 0 {
		unused = loanMemory
	}
	votes := quota.votes(owned)
	for _, bucket := range owned.buckets {
		bucket.cap(votes, quota.now)
		unused = min(unused, seconds(bucket.tokens/max(1e-9, bucket.terms.rate*votes)))
	}
	return unused
}

// returnVotes returns the votes of a slot, so that the next owner need not wait for the
// end of their lease. What its buckets hold goes with the votes.
func (quota *Quota) returnVotes(owned *ownership) {
	unused := quota.unusedTime(owned)
	delete(quota.owned, owned.slot)
	for _, request := range owned.pending {
		quota.decline(request, 0)
	}
	for _, vote := range owned.votes {
		if quota.now < vote.expires {
			idle := max(0, min(unused, quota.now-vote.since))
			quota.send(vote.voter, Borrow{Slot: owned.slot, Sequence: vote.sequence, Return: true, Idle: idle})
		}
	}
}

package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// askTimeout is how long a daemon waits for the reply of the owner before it also asks
	// the next in the order. It exceeds two round trips between regions, that of the request
	// and that in which an owner without votes borrows them.
	askTimeout = 150 * time.Millisecond
	// MaxWait is the longest time that a request waits for a token: two time-outs, and some
	// time for the last reply.
	MaxWait = 400 * time.Millisecond
	// maxWaiting limits the requests of a workspace that wait for tokens at a daemon, and so
	// the memory that a caller can use up.
	maxWaiting = 1024
	// maxAsks limits the requests for tokens without a reply, for each workspace.
	maxAsks = 16
	// suspectTime is how long a daemon that has not replied is asked last, unless it sends
	// something. The membership takes about as long to record a death.
	suspectTime = 3 * time.Second
	// suspectMemory is how long after that a single request without a reply makes it suspect
	// again.
	suspectMemory = 30 * time.Second
	// maxTried is the number of daemons that are asked in turn for the same tokens. It keeps
	// a slot whose votes are not free from making its requests ask the whole list.
	maxTried = 4
	// unreachablePause is how long a daemon refuses requests itself after no owner has
	// replied, and the Retry-After of these refusals.
	unreachablePause = 200 * time.Millisecond
	// demandTime is the time over which the demand at this daemon is averaged.
	demandTime = time.Second
	// minSteady is the number of requests expected within a lease from which tokens are kept
	// in advance. With fewer, some of the tokens would expire: at 6, by the Poisson
	// distribution, 3 in 100 of the 3 that are kept.
	minSteady = 6
	// calmTime is how long after a refusal no tokens are kept in advance, since a token that
	// expires is then missed elsewhere.
	calmTime = time.Second
	// holdingIdle is how long the state of a workspace without requests is kept.
	holdingIdle = 10 * time.Second
	// limitedTime is how long a workspace without refusals counts as limited in the log.
	limitedTime = 5 * time.Second
	// goldenRatio places the return times of callers that were refused one after another
	// evenly over an interval.
	goldenRatio = 0.6180339887498949
)

// stock is a number of tokens that expire at the same time.
type stock struct {
	tokens  int
	expires time.Duration
	// from is the daemon that granted the tokens, since when they are here. Both are empty
	// for tokens whose lease cannot be renewed.
	from  string
	since time.Duration
}

// waiter is a request that waits for a token, or a daemon that waits for one because it does
// not reach the owner.
type waiter struct {
	id       uint64
	deadline time.Duration
	relay    *ask
}

// sentAsk is a request for tokens without a reply. tried holds the daemons that have been
// asked for them. again is set for one that repeats a late one.
type sentAsk struct {
	sequence uint64
	tokens   int
	to       string
	at       time.Duration
	late     bool
	again    bool
	tried    []string
	// regional is set for a request to the cache of the region, queued when that has asked
	// the owner.
	regional bool
	queued   bool
	// advance is how many of the tokens the owner need not grant.
	advance int
}

// holding is what a daemon has of a workspace whose requests it gets.
type holding struct {
	stocks  []stock
	waiters []waiter
	asks    []sentAsk
	// refuseUntil is when the daemon asks again. Until then it refuses with the verdict.
	// expectedAt is when the next token is expected; it is later for rates below one a second.
	refuseUntil time.Duration
	expectedAt  time.Duration
	verdict     Verdict
	spread      time.Duration
	refused     uint64
	lastRefusal time.Duration
	limited     bool
	owner       string
	// demand is the average of requests a second until countedAt.
	demand    float64
	countedAt time.Duration
	// scarceUntil is until when the owner is asked for no tokens for the region in advance.
	scarceUntil time.Duration
	// cacheMissed is set when the last request to the cache of the region had no reply.
	cacheMissed bool
}

func (quota *Quota) holding(workspace string) *holding {
	found := quota.holdings[workspace]
	if found == nil {
		found = &holding{countedAt: quota.now, lastRefusal: -calmTime}
		quota.holdings[workspace] = found
	}
	return found
}

// take decides on a request for a token, or lets it wait for a reply of the owner.
func (quota *Quota) take(wanted TokenWanted) {
	if wanted.Peek {
		quota.peek(wanted)
		return
	}
	holding := quota.holding(wanted.Workspace)
	if !wanted.Immediate {
		holding.countRequests(quota.now, 1)
	}
	quota.dropExpired(holding)
	switch {
	case len(holding.waiters) == 0 && quota.spend(holding, wanted.ID):
		quota.stockUp(wanted.Workspace, holding)
	case wanted.Immediate:
		quota.effects = append(quota.effects, Decide{ID: wanted.ID, Decision: Decision{Verdict: OverQuota, Owner: holding.owner}})
	case quota.now < holding.refuseUntil:
		quota.refuse(wanted.Workspace, holding, wanted.ID)
	case len(holding.waiters) >= maxWaiting:
		quota.decide(wanted.ID, Decision{Verdict: Unreachable, RetryAfter: quota.unreachableDelay(), Owner: holding.owner})
	default:
		holding.waiters = append(holding.waiters, waiter{id: wanted.ID, deadline: min(wanted.Deadline, quota.now+MaxWait)})
		quota.askForWaiters(wanted.Workspace, holding)
	}
}

// peek refuses a request if this daemon has no token and does not ask for any now.
func (quota *Quota) peek(wanted TokenWanted) {
	holding := quota.holdings[wanted.Workspace]
	if holding == nil || quota.now >= holding.refuseUntil {
		quota.effects = append(quota.effects, Decide{ID: wanted.ID})
		return
	}
	quota.dropExpired(holding)
	if len(holding.stocks) > 0 {
		quota.effects = append(quota.effects, Decide{ID: wanted.ID})
		return
	}
	holding.countRequests(quota.now, 1)
	quota.refuse(wanted.Workspace, holding, wanted.ID)
}

// spend gives a token to a request if there is one.
func (quota *Quota) spend(holding *holding, id uint64) bool {
	if len(holding.stocks) == 0 {
		return false
	}
	first := &holding.stocks[0]
	expires := first.expires
	if first.tokens--; first.tokens == 0 {
		holding.stocks = holding.stocks[1:]
	}
	quota.decide(id, Decision{Verdict: Granted, Expires: expires, Owner: holding.owner})
	return true
}

func (quota *Quota) decide(id uint64, decision Decision) {
	switch decision.Verdict {
	case Granted:
		quota.counts.Granted++
	case OverQuota:
		quota.counts.Refused++
	case Unreachable:
		quota.counts.Unreachable++
	}
	quota.effects = append(quota.effects, Decide{ID: id, Decision: decision})
}

// refuse refuses a request while the daemon does not ask. The times to come back are
// spread evenly from the moment of the next token on.
func (quota *Quota) refuse(workspace string, holding *holding, id uint64) {
	holding.refused++
	_, fraction := math.Modf(float64(holding.refused) * goldenRatio)
	retryAfter := max(0, holding.expectedAt-quota.now) + time.Duration(fraction*float64(holding.spread))
	if holding.verdict == OverQuota {
		holding.lastRefusal = quota.now
		if !holding.limited {
			holding.limited = true
			quota.notify(Notify{Kind: NoticeLimited, Workspace: workspace, Member: holding.owner})
		}
	}
	quota.decide(id, Decision{Verdict: holding.verdict, RetryAfter: retryAfter, Owner: holding.owner})
}

// countRequests updates the average demand.
func (holding *holding) countRequests(now time.Duration, count int) {
	decay := math.Exp(-(now - holding.countedAt).Seconds() / demandTime.Seconds())
	holding.demand = holding.demand*decay + float64(count)/demandTime.Seconds()
	holding.countedAt = now
}

// dropExpired drops tokens whose lease has ended.
func (quota *Quota) dropExpired(holding *holding) {
	holding.stocks = slices.DeleteFunc(holding.stocks, func(stock stock) bool {
		if quota.now < stock.expires {
			return false
		}
		quota.counts.Expired += uint64(stock.tokens)
		return true
	})
}

// giveBack keeps a token that was not used for another request, until its lease ends.
func (quota *Quota) giveBack(returned TokenReturned) {
	if quota.now >= returned.Expires {
		quota.counts.Expired++
		return
	}
	holding := quota.holding(returned.Workspace)
	holding.add(stock{tokens: 1, expires: returned.Expires})
	quota.serveWaiters(holding)
}

// add adds tokens. Those that expire first are spent first.
func (holding *holding) add(added stock) {
	index := slices.IndexFunc(holding.stocks, func(stock stock) bool { return added.expires <= stock.expires })
	switch {
	case index < 0:
		holding.stocks = append(holding.stocks, added)
	case holding.stocks[index].expires == added.expires && holding.stocks[index].from == added.from && holding.stocks[index].since == added.since:
		holding.stocks[index].tokens += added.tokens
	default:
		holding.stocks = slices.Insert(holding.stocks, index, added)
	}
}

// serveWaiters gives the tokens to the requests that wait.
func (quota *Quota) serveWaiters(holding *holding) {
	quota.dropExpired(holding)
	holding.waiters = slices.DeleteFunc(holding.waiters, func(waiter waiter) bool {
		switch {
		case waiter.relay == nil:
			return quota.spend(holding, waiter.id)
		case waiter.relay.regional:
			return quota.grantRegional(holding, waiter.relay)
		}
		return quota.grantRelayed(holding, waiter.relay)
	})
}

// wants returns the number of tokens that a waiter can use.
func (waiter waiter) wants() int {
	if waiter.relay != nil && waiter.relay.regional {
		return waiter.relay.tokens
	}
	return 1
}

// wanted returns the number of tokens that the waiters can use.
func (holding *holding) wanted() int {
	wanted := 0
	for _, waiter := range holding.waiters {
		wanted += waiter.wants()
	}
	return wanted
}

// expected returns the number of tokens that have been requested, for requests and for a
// cache.
func (quota *Quota) expected(holding *holding) (asked, advance int) {
	for _, ask := range holding.asks {
		if !ask.late && !ask.again && !quota.isSuspect(ask.to) {
			asked += ask.tokens - ask.advance
			advance += ask.advance
		}
	}
	return asked, advance
}

// held returns the number of tokens at this daemon.
func (holding *holding) held() int {
	held := 0
	for _, stock := range holding.stocks {
		held += stock.tokens
	}
	return held
}

// unreachableDelay returns when a request is to be sent again for which no owner was found.
// After an outage of the whole fleet no votes are lent until the leases of the time before
// have ended, so the caller need not try earlier.
func (quota *Quota) unreachableDelay() time.Duration {
	return max(unreachablePause, quota.StartedAt+voteLease+borrowInterval-quota.now)
}

// giveUp refuses the requests for which no further owner can be asked.
func (quota *Quota) giveUp(workspace string, holding *holding, owner string, retryAfter time.Duration) {
	holding.verdict, holding.spread, holding.owner = Unreachable, retryAfter, owner
	holding.refuseUntil = quota.now + min(retryAfter, unreachablePause)
	holding.expectedAt = holding.refuseUntil
	quota.refuseExcess(workspace, holding)
}

// refuseExcess refuses the waiting requests for which no tokens are requested. Those that a
// cache has requested in advance may arrive after the refusal of others.
func (quota *Quota) refuseExcess(workspace string, holding *holding) {
	asked, advance := quota.expected(holding)
	keep := 0
	for left := asked + advance; keep < len(holding.waiters) && left > 0; keep++ {
		left -= holding.waiters[keep].wants()
	}
	refused := slices.Clone(holding.waiters[keep:])
	holding.waiters = holding.waiters[:keep]
	for _, waiter := range refused {
		if waiter.relay != nil {
			quota.refuseRelayed(holding, *waiter.relay)
			continue
		}
		quota.refuse(workspace, holding, waiter.id)
	}
}

func (quota *Quota) removeWaiter(workspace string, id uint64) {
	if holding := quota.holdings[workspace]; holding != nil {
		holding.waiters = slices.DeleteFunc(holding.waiters, func(waiter waiter) bool { return waiter.id == id })
	}
}

// tickHoldings ends waits, asks others in place of owners that do not reply, and removes
// the state of workspaces that are not used.
func (quota *Quota) tickHoldings() {
	for _, workspace := range slices.Sorted(maps.Keys(quota.holdings)) {
		holding := quota.holdings[workspace]
		quota.dropExpired(holding)
		quota.checkAsks(workspace, holding)
		quota.endWaits(holding)
		quota.renewCache(workspace, holding)
		if holding.limited && quota.now-holding.lastRefusal > limitedTime {
			holding.limited = false
			quota.notify(Notify{Kind: NoticeUnlimited, Workspace: workspace, Member: holding.owner})
		}
		if quota.now-holding.countedAt > holdingIdle && len(holding.waiters) == 0 && len(holding.asks) == 0 && !holding.limited {
			delete(quota.holdings, workspace)
		}
	}
}

// endWaits refuses the requests that have waited too long.
func (quota *Quota) endWaits(holding *holding) {
	holding.waiters = slices.DeleteFunc(holding.waiters, func(waiter waiter) bool {
		if quota.now < waiter.deadline {
			return false
		}
		if waiter.relay != nil {
			quota.decline(*waiter.relay, unreachablePause)
			return true
		}
		quota.decide(waiter.id, Decision{Verdict: Unreachable, RetryAfter: quota.unreachableDelay(), Owner: holding.owner})
		return true
	})
}

package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// cacheTimeout is how long a daemon waits for the first reply of its region's cache before
	// it asks the owner. It is several round trips inside a region.
	cacheTimeout = 15 * time.Millisecond
	// minCacheDemand is the number of requests a second of a region from which tokens are kept
	// in advance for it. With fewer, most of the messages would renew tokens that nobody uses.
	minCacheDemand = 1
	// refillTime is the time from the use of a cached token to the arrival of the next one: a
	// round trip to another region and some delay.
	refillTime = 75 * time.Millisecond
	// renewBefore is the time before the end of a lease at which the cache has it renewed. It
	// exceeds a round trip to another region and a tick.
	renewBefore = 90 * time.Millisecond
	// minPassedLease is the shortest remaining lease of a token that is passed on. It exceeds
	// the trips inside a region.
	minPassedLease = 20 * time.Millisecond
	// scarcePause is how long a cache requests nothing in advance after the owner has granted
	// less, so that it does not ask again with every request.
	scarcePause = 250 * time.Millisecond
	// plentyPart is the part of the burst that an owner leaves in a bucket when it grants tokens
	// in advance, for the requests of all regions that come at once.
	plentyPart = 0.25
	// maxReserves limits the caches that an owner keeps the tokens of, for each workspace. Each
	// region has one, or a few while views differ.
	maxReserves = 16
	// reportDelay is how long after a grant the reports of a cache may not count its tokens
	// yet. It exceeds a round trip to another region.
	reportDelay = 100 * time.Millisecond
)

// cachesFor reports whether this daemon keeps tokens of a slot for its region. The owner needs
// none.
func (quota *Quota) cachesFor(slot uint32) bool {
	seats := quota.fleet.seats(slot)
	return seats.cache == quota.Self && seats.cache != "" && seats.candidates[0] != quota.Self
}

// askCache asks the cache of this daemon's region. It reports whether that has been asked.
// Requests for other daemons go to the owner, since views that differ could pass them in a
// circle. After a refusal a cache has no tokens, so it would only add a trip.
func (quota *Quota) askCache(workspace string, holding *holding, tokens int) bool {
	seats := quota.fleet.seats(slotOf(workspace))
	if seats.cache == "" || seats.cache == quota.Self || seats.cache == seats.candidates[0] || quota.isSuspect(seats.cache) || holding.hasRelays() ||
		quota.now-holding.lastRefusal < calmTime {
		return false
	}
	ask := sentAsk{sequence: quota.nextSequence(), tokens: min(tokens, maxTokens), to: seats.cache, at: quota.now, regional: true}
	holding.asks = append(holding.asks, ask)
	quota.counts.AsksSent++
	quota.send(ask.to, Ask{Workspace: workspace, Sequence: ask.sequence, Tokens: ask.tokens, Regional: true})
	return true
}

// timeout returns the time after which another daemon is asked too.
func (ask sentAsk) timeout() time.Duration {
	if ask.regional && !ask.queued {
		return cacheTimeout
	}
	return askTimeout
}

// bypassCache asks the owner in place of a cache that does not reply. A single datagram may
// have been lost, so the cache is suspected when a second request gets no reply either.
func (quota *Quota) bypassCache(workspace string, holding *holding, ask sentAsk) {
	if !ask.queued {
		if _, before := quota.suspects[ask.to]; before || holding.cacheMissed {
			quota.suspect(workspace, ask.to)
		}
		holding.cacheMissed = true
	}
	if missing := holding.wanted() - quota.asked(holding); missing > 0 && len(holding.asks) < maxAsks {
		quota.askOwner(workspace, holding, missing, nil)
	}
}

// answerRegion replies to a daemon of this region from the cached tokens, or passes on the
// reply of the owner. It borrows no votes.
func (quota *Quota) answerRegion(request ask) {
	slot := slotOf(request.workspace)
	if owned := quota.owned[slot]; owned != nil && quota.votes(owned) >= majorityVotes {
		quota.answer(request)
		return
	}
	_, limited := quota.limits[request.workspace]
	candidates := quota.fleet.seats(slot).candidates
	if !limited || quota.stopping || !quota.joined || request.tokens < 1 || len(candidates) == 0 || candidates[0] == quota.Self {
		quota.decline(request, 0)
		return
	}
	request.tokens = min(request.tokens, maxTokens)
	holding := quota.holding(request.workspace)
	holding.countRequests(quota.now, request.tokens)
	quota.dropExpired(holding)
	switch {
	case len(holding.waiters) == 0 && quota.grantRegional(holding, &request):
		quota.stockUp(request.workspace, holding)
	case quota.now < holding.refuseUntil:
		quota.refuseRelayed(holding, request)
	case len(holding.waiters) >= maxWaiting:
		quota.decline(request, 0)
	default:
		holding.waiters = append(holding.waiters, waiter{deadline: quota.now + relayWait, relay: &request})
		quota.send(request.from, Grant{Workspace: request.workspace, Sequence: request.sequence, Queued: true})
		quota.askForWaiters(request.workspace, holding)
	}
}

// grantRegional passes tokens on. The other daemon counts the lease from before its own
// request, which was not later than the arrival of the request here.
func (quota *Quota) grantRegional(holding *holding, request *ask) bool {
	if len(holding.stocks) == 0 {
		return false
	}
	last := &holding.stocks[len(holding.stocks)-1]
	if last.expires-quota.now < minPassedLease {
		return false
	}
	tokens := min(last.tokens, request.tokens)
	lease := min(quota.Settings.lease(), last.expires-request.at)
	if last.tokens -= tokens; last.tokens == 0 {
		holding.stocks = holding.stocks[:len(holding.stocks)-1]
	}
	quota.send(request.from, Grant{Workspace: request.workspace, Sequence: request.sequence, Tokens: tokens, Lease: lease})
	return true
}

// cacheSize returns the number of tokens to keep for the region: the demand until the next
// ones arrive, and two standard deviations of it.
func (quota *Quota) cacheSize(holding *holding) int {
	decay := math.Exp(-(quota.now - holding.countedAt).Seconds() / demandTime.Seconds())
	demand := holding.demand * decay
	if demand < minCacheDemand || quota.now-holding.lastRefusal < calmTime || quota.now < holding.scarceUntil {
		return 0
	}
	expected := demand * refillTime.Seconds()
	return int(math.Ceil(expected + 2*math.Sqrt(expected)))
}

// renewCache has the leases of cached tokens renewed that end soon, and replaces those that
// are missing. Without demand it returns them.
func (quota *Quota) renewCache(workspace string, holding *holding) {
	if !quota.cachesFor(slotOf(workspace)) || len(holding.waiters) > 0 || len(holding.asks) >= maxAsks {
		return
	}
	wanted := quota.cacheSize(holding)
	if wanted > 0 {
		quota.stockUp(workspace, holding)
	}
	owner := quota.fleet.seats(slotOf(workspace)).candidates[0]
	index := slices.IndexFunc(holding.stocks, func(stock stock) bool { return stock.from == owner })
	if index < 0 || holding.stocks[index].expires-quota.now >= renewBefore {
		return
	}
	if wanted == 0 {
		quota.returnTokens(workspace, holding, owner)
		return
	}
	for _, ask := range holding.asks {
		if quota.now-ask.at < refillTime {
			return // its reply renews the leases too
		}
	}
	_, advance := quota.expected(holding)
	quota.askOwner(workspace, holding, max(0, wanted-holding.held()-advance), nil)
}

// returnTokens returns the tokens of an owner, so that none is missing elsewhere because it
// expires here.
func (quota *Quota) returnTokens(workspace string, holding *holding, owner string) {
	returned := holding.heldFrom(owner)
	holding.stocks = slices.DeleteFunc(holding.stocks, func(stock stock) bool { return stock.from == owner })
	quota.counts.AsksSent++
	quota.send(owner, Ask{Workspace: workspace, Sequence: quota.nextSequence(), Returned: returned})
}

// takeBack puts tokens that a cache returns back into their bucket.
func (quota *Quota) takeBack(request ask) {
	owned := quota.owned[slotOf(request.workspace)]
	if owned == nil || owned.buckets[request.workspace] == nil {
		return
	}
	quota.settle(owned)
	bucket := owned.buckets[request.workspace]
	found := bucket.reserves[request.from]
	if found == nil || quota.now >= found.until {
		return
	}
	tokens := min(request.returned, found.tokens)
	found.tokens -= tokens
	bucket.tokens += float64(tokens)
	bucket.cap(quota.votes(owned), quota.now)
}

// heldFrom returns the number of tokens that were granted by a daemon.
func (holding *holding) heldFrom(owner string) int {
	held := 0
	for _, stock := range holding.stocks {
		if stock.from == owner {
			held += stock.tokens
		}
	}
	return held
}

// extend gives the lease of a renewal to tokens that the request for it has counted.
func (holding *holding) extend(owner string, ask sentAsk, renewed int, expires time.Duration) {
	var extended []stock
	for index := range holding.stocks {
		found := &holding.stocks[index]
		if found.from != owner || found.since > ask.at || found.expires >= expires {
			continue
		}
		tokens := min(found.tokens, renewed)
		renewed -= tokens
		found.tokens -= tokens
		if tokens > 0 {
			extended = append(extended, stock{tokens: tokens, expires: expires, from: owner, since: found.since})
		}
	}
	holding.stocks = slices.DeleteFunc(holding.stocks, func(stock stock) bool { return stock.tokens == 0 })
	for _, stock := range extended {
		holding.add(stock)
	}
}

// reserve is what a cache may have of a bucket. Its tokens count against the size of the
// bucket until they are reported as used or their lease has ended, so what a bucket holds
// and what may be renewed together never exceed the burst.
type reserve struct {
	tokens int
	until  time.Duration
	// recent are the grants that the next reports may not count yet.
	recent []stock
}

// reserved returns the tokens of a bucket that caches may have.
func (bucket *bucket) reserved(now time.Duration) float64 {
	sum := 0
	for cache, reserve := range bucket.reserves {
		if now >= reserve.until {
			delete(bucket.reserves, cache)
			continue
		}
		sum += reserve.tokens
	}
	return float64(sum)
}

// renew notes which tokens a cache has left, and returns how many of them have their lease
// renewed. Those that the votes no longer cover, or that other callers lack, are not.
func (quota *Quota) renew(bucket *bucket, request ask, votes float64) int {
	found := bucket.reserves[request.from]
	if found == nil || quota.now >= found.until {
		return 0
	}
	found.recent = slices.DeleteFunc(found.recent, func(recent stock) bool { return quota.now >= recent.expires })
	left := request.held
	for _, recent := range found.recent {
		left += recent.tokens
	}
	found.tokens = min(found.tokens, left)
	limit := bucket.limit(votes)
	if bucket.tokens < plentyPart*votes*bucket.terms.burst || bucket.reserved(quota.now) > limit {
		return 0
	}
	found.until = quota.now + quota.Settings.lease()
	return min(request.held, found.tokens)
}

// keep notes the tokens that a cache gets in advance.
func (quota *Quota) keep(bucket *bucket, request ask, tokens int) {
	found := bucket.reserves[request.from]
	if tokens == 0 || found == nil && len(bucket.reserves) >= maxReserves {
		return
	}
	if found == nil {
		found = &reserve{}
		if bucket.reserves == nil {
			bucket.reserves = map[string]*reserve{}
		}
		bucket.reserves[request.from] = found
	}
	found.tokens += tokens
	found.until = quota.now + quota.Settings.lease()
	found.recent = append(found.recent, stock{tokens: tokens, expires: quota.now + reportDelay})
}

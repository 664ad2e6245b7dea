package quota

import (
	"math"
	"slices"
)

// asked returns the number of tokens that a reply is expected for, without those that a
// cache has requested in advance. None is expected from a daemon that has not replied lately.
func (quota *Quota) asked(holding *holding) int {
	asked, _ := quota.expected(holding)
	return asked
}

// askForWaiters asks for the tokens that the waiting requests lack, and for those to keep
// in advance.
func (quota *Quota) askForWaiters(workspace string, holding *holding) {
	asked, advance := quota.expected(holding)
	missing := holding.wanted() - asked
	if missing <= 0 || len(holding.asks) >= maxAsks {
		return
	}
	quota.ask(workspace, holding, missing+max(0, quota.advance(workspace, holding)-advance))
}

// advance returns the number of tokens to keep in advance: the demand of half a lease, or
// none if the demand is small or the quota is used up. A cache keeps those of its region.
func (quota *Quota) advance(workspace string, holding *holding) int {
	if quota.cachesFor(slotOf(workspace)) {
		return quota.cacheSize(holding)
	}
	lease := quota.Settings.lease()
	decay := math.Exp(-(quota.now - holding.countedAt).Seconds() / demandTime.Seconds())
	expected := holding.demand * decay * lease.Seconds()
	if expected < minSteady || quota.now-holding.lastRefusal < calmTime {
		return 0
	}
	return int(expected / 2)
}

// stockUp asks for tokens in advance when half of them are used.
func (quota *Quota) stockUp(workspace string, holding *holding) {
	wanted := quota.advance(workspace, holding)
	asked, advance := quota.expected(holding)
	missing := wanted - holding.held() - max(0, asked-holding.wanted()) - advance
	if missing > 0 && 2*missing >= wanted && len(holding.asks) < maxAsks {
		quota.ask(workspace, holding, missing)
	}
}

// ask asks the cache of the region for tokens or, if there is none, the owner.
func (quota *Quota) ask(workspace string, holding *holding, tokens int) {
	if !quota.askCache(workspace, holding, tokens) {
		quota.askOwner(workspace, holding, tokens, nil)
	}
}

// askOwner asks the first daemon of the order that has not been tried. It reports whether there
// is one. Daemons that have not replied lately come last.
func (quota *Quota) askOwner(workspace string, holding *holding, tokens int, tried []string) bool {
	slot := slotOf(workspace)
	var to string
	for _, candidate := range quota.fleet.seats(slot).candidates {
		if slices.Contains(tried, candidate) {
			continue
		}
		if to == "" || quota.isSuspect(to) && !quota.isSuspect(candidate) {
			to = candidate
		}
	}
	if to == "" || len(tried) >= maxTried {
		if len(holding.asks) == 0 {
			quota.giveUp(workspace, holding, "", quota.unreachableDelay())
		}
		return false
	}
	ask := sentAsk{sequence: quota.nextSequence(), tokens: min(tokens, maxTokens), to: to, at: quota.now, tried: append(slices.Clone(tried), to)}
	held := 0
	if quota.cachesFor(slot) {
		ask.advance = max(0, ask.tokens-max(0, holding.wanted()-quota.asked(holding)))
		held = holding.heldFrom(to)
	}
	holding.asks = append(holding.asks, ask)
	if to != quota.Self {
		quota.counts.AsksSent++
	}
	isFallback := to != quota.fleet.seats(slot).candidates[0] && !holding.hasRelays()
	quota.send(to, Ask{Workspace: workspace, Sequence: ask.sequence, Tokens: ask.tokens, Fallback: isFallback, Advance: ask.advance, Held: held})
	return true
}

func (quota *Quota) isSuspect(id string) bool { return quota.now < quota.suspects[id] }

// receiveGrant adds granted tokens. Their lease counts from before they were requested. A
// grant that answers no open request is lost.
func (quota *Quota) receiveGrant(from string, grant Grant) {
	holding := quota.holdings[grant.Workspace]
	if holding == nil {
		return
	}
	index := slices.IndexFunc(holding.asks, func(ask sentAsk) bool { return ask.sequence == grant.Sequence && ask.to == from })
	if index < 0 {
		return
	}
	ask := holding.asks[index]
	holding.cacheMissed = holding.cacheMissed && !ask.regional
	if grant.Queued {
		holding.asks[index].queued = true
		return
	}
	holding.asks = slices.Delete(holding.asks, index, index+1)
	if grant.Declined {
		quota.askNext(grant, holding, ask)
		return
	}
	holding.owner = from
	expires := ask.at + quota.Settings.lease()
	if grant.Renewed > 0 {
		holding.extend(from, ask, grant.Renewed, expires)
	}
	if grant.Lease > 0 {
		expires = min(expires, ask.at+grant.Lease)
	}
	if tokens := min(grant.Tokens, ask.tokens); tokens > 0 {
		holding.add(stock{tokens: tokens, expires: expires, from: from, since: quota.now})
		quota.serveWaiters(holding)
	}
	if grant.Tokens < ask.tokens && !ask.regional {
		holding.scarceUntil = quota.now + scarcePause
	}
	if grant.Tokens >= ask.tokens || grant.RetryAfter == 0 {
		// A relayed grant is for one request and does not say that the quota is used up.
		quota.askForWaiters(grant.Workspace, holding)
		return
	}
	holding.verdict, holding.spread = OverQuota, grant.Spread
	holding.expectedAt = quota.now + grant.RetryAfter
	holding.refuseUntil = quota.now + min(grant.RetryAfter, maxPause)
	quota.refuseExcess(grant.Workspace, holding)
}

// askNext asks the next daemon after one that lacks votes.
func (quota *Quota) askNext(grant Grant, holding *holding, ask sentAsk) {
	missing := holding.wanted() - quota.asked(holding)
	if missing <= 0 {
		return
	}
	if !quota.askOwner(grant.Workspace, holding, missing, ask.tried) {
		quota.giveUp(grant.Workspace, holding, ask.to, max(quota.unreachableDelay(), grant.RetryAfter))
	}
}

// checkAsks handles the requests for tokens without a reply. The owner is asked once more
// together with the next daemon, since the datagram may have been lost.
func (quota *Quota) checkAsks(workspace string, holding *holding) {
	holding.asks = slices.DeleteFunc(holding.asks, func(ask sentAsk) bool { return quota.now-ask.at >= MaxWait })
	var late []sentAsk
	for index := range holding.asks {
		if ask := &holding.asks[index]; !ask.late && quota.now-ask.at >= ask.timeout() {
			ask.late = true
			late = append(late, *ask)
		}
	}
	for _, ask := range late {
		if ask.regional {
			quota.bypassCache(workspace, holding, ask)
			continue
		}
		if _, before := quota.suspects[ask.to]; before || ask.again || len(ask.tried) > 1 {
			quota.suspect(workspace, ask.to)
		}
		if ask.again {
			continue
		}
		tried := ask.tried
		if missing := holding.wanted() - quota.asked(holding); missing > 0 {
			if len(tried) == 1 && len(holding.asks) < maxAsks {
				again := sentAsk{sequence: quota.nextSequence(), tokens: missing, to: tried[0], at: quota.now, again: true, tried: tried}
				holding.asks = append(holding.asks, again)
				quota.counts.AsksSent++
				quota.send(tried[0], Ask{Workspace: workspace, Sequence: again.sequence, Tokens: missing})
			}
			quota.askOwner(workspace, holding, missing, tried)
		}
	}
}

// suspect records that a daemon does not reply. A single datagram may have been lost, so
// the first in the order is suspected only when a second one gets no reply either, or when
// it has sent nothing since it was suspected before.
func (quota *Quota) suspect(workspace, id string) {
	if !quota.isSuspect(id) && id != quota.Self {
		quota.notify(Notify{Kind: NoticeUnresponsive, Workspace: workspace, Member: id})
	}
	quota.suspects[id] = quota.now + suspectTime
}

package quota

import "time"

// relayWait is how long a daemon waits for a token for another one. With the time that the
// other one has waited before, it stays below MaxWait.
const relayWait = 150 * time.Millisecond

// relay requests a token for a daemon that does not reach the owner, as if a request had
// come here. A cut between two data centres leaves most pairs of daemons a third one that
// reaches both. It reports whether the request will be replied to.
func (quota *Quota) relay(request ask) bool {
	if !request.fallback || request.from == quota.Self {
		return false
	}
	holding := quota.holding(request.workspace)
	if quota.now < holding.refuseUntil {
		quota.refuseRelayed(holding, request)
		return true
	}
	if len(holding.waiters) >= maxWaiting {
		return false
	}
	holding.waiters = append(holding.waiters, waiter{deadline: quota.now + relayWait, relay: &request})
	quota.askForWaiters(request.workspace, holding)
	return true
}

// hasRelays reports whether daemons that do not reach the owner wait for tokens. Requests for
// these are not relayed once more.
func (holding *holding) hasRelays() bool {
	for _, waiter := range holding.waiters {
		if waiter.relay != nil {
			return true
		}
	}
	return false
}

// grantRelayed passes on a token. The other daemon counts the lease from before its own
// request, so the token must have been requested after that arrived here.
func (quota *Quota) grantRelayed(holding *holding, request *ask) bool {
	if len(holding.stocks) == 0 {
		return false
	}
	last := &holding.stocks[len(holding.stocks)-1]
	if last.expires < request.at+quota.Settings.lease() {
		return false
	}
	if last.tokens--; last.tokens == 0 {
		holding.stocks = holding.stocks[:len(holding.stocks)-1]
	}
	quota.send(request.from, Grant{Workspace: request.workspace, Sequence: request.sequence, Tokens: 1})
	return true
}

// refuseRelayed passes on a refusal of the owner.
func (quota *Quota) refuseRelayed(holding *holding, request ask) {
	if holding.verdict == Unreachable {
		quota.decline(request, unreachablePause)
		return
	}
	holding.lastRefusal = quota.now
	retryAfter := max(minPause, holding.expectedAt-quota.now)
	quota.send(request.from, Grant{Workspace: request.workspace, Sequence: request.sequence, RetryAfter: retryAfter, Spread: holding.spread})
}

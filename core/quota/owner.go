package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// voteWait is how long an owner that lacks votes or tokens waits for the replies of
	// voters before it replies itself. It exceeds a round trip to another region.
	voteWait = 75 * time.Millisecond
	// minPause is the shortest time for which a daemon is told to refuse requests itself. It
	// limits the requests for tokens of a workspace over its quota to 50 a second from each
	// daemon.
	minPause = 20 * time.Millisecond
	// maxPause is the longest one, also where the next token is expected later. It bounds how
	// long a daemon refuses while tokens are left, because others that were told to come
	// earlier had no more requests.
	maxPause = time.Second
	// maxPending limits the requests for tokens that wait for votes of a slot.
	maxPending = 256
	// maxTokens limits the tokens of one request.
	maxTokens = 1024
	// bucketIdle is how long the bucket of a workspace is kept after it is full.
	bucketIdle = 10 * time.Second
)

// minLease is the shortest lease of a token. A token must outlast the round trip to
// another region.
const minLease = 100 * time.Millisecond

// lease returns the time for which a daemon may keep a token, counted from before it
// asked. Tokens that are kept can be used in a later window than the one in which they
// were granted, at most rate x lease; half of the overshoot covers that.
func (settings Settings) lease() time.Duration {
	return max(minLease, time.Duration(float64(settings.Window)*settings.Overshoot/2))
}

// transit is the time between the use of a token and the arrival of the request at its
// target that the bound allows for. The other half of the overshoot covers it.
func (settings Settings) transit() time.Duration {
	return time.Duration(float64(settings.Window) * settings.Overshoot / 2)
}

// terms are the rates at which the bucket of a workspace fills. burst is at least that of
// the limit; see Settings.burst.
type terms struct {
	rate, burst float64
	// fillRate is the rate at which all buckets of the workspace may fill together. It
	// exceeds the rate by what the bound leaves, so an owner with a part of the votes
	// fills its bucket at the smaller of the rate and its part of fillRate.
	fillRate float64
	// minVotes is the part of the votes with which an owner may grant.
	minVotes float64
}

// minBurst is the number of tokens that any bucket may hold if the slack allows it. With
// fewer, requests within the rate would be refused merely because they come irregularly,
// and a fifth of the votes would not cover a whole token.
const minBurst = 5

// burst returns the size of a bucket. At most a quarter of the slack is spent on it.
func (settings Settings) burst(limit Limit) float64 {
	return max(limit.Burst, min(minBurst, limit.Burst+settings.Slack/4))
}

// terms returns the rates for a limit. In an interval of the window, the lease and the
// transit time, all buckets together grant at most burst + wholes + fillRate x interval,
// which is the bound. wholes is what owners have beyond their part of the burst, because
// a bucket holds at least one token.
func (settings Settings) terms(limit Limit) terms {
	owners, minVotes := float64(maxOwners), minorityVotes
	if settings.Slack < minorityMinSlack {
		owners, minVotes = 1, majorityVotes
	}
	burst := settings.burst(limit)
	wholes := owners * max(0, 1-minVotes*burst)
	interval := settings.Window + settings.lease() + settings.transit()
	bound := (limit.Rate*settings.Window.Seconds()+limit.Burst)*(1+settings.Overshoot) + settings.Slack
	return terms{
		rate: limit.Rate, burst: burst, minVotes: minVotes,
		fillRate: max(0, bound-burst-wholes) / interval.Seconds(),
	}
}

// bucket holds the tokens of a workspace at its owner.
type bucket struct {
	terms  terms
	tokens float64
	// promisedAt is when the last daemon that was refused is to ask again. Each gets a time
	// of its own, one token apart.
	promisedAt time.Duration
	usedAt     time.Duration
	// reserves holds the tokens that caches of regions may have.
	reserves map[string]*reserve
}

// ask is a request for tokens.
type ask struct {
	from      string
	sequence  uint64
	workspace string
	tokens    int
	at        time.Duration
	// fallback is set if the daemon does not reach the one that it should ask.
	fallback bool
	// regional, advance, held and returned are those of Ask.
	regional bool
	advance  int
	held     int
	returned int
}

// applyLimits gives the buckets the limits of a new table. A lower rate or burst applies
// from now on.
func (quota *Quota) applyLimits() {
	for _, owned := range quota.owned {
		quota.settle(owned)
		for workspace, bucket := range owned.buckets {
			limit, limited := quota.limits[workspace]
			if !limited {
				delete(owned.buckets, workspace)
				continue
			}
			bucket.terms = quota.Settings.terms(limit)
		}
		quota.settle(owned)
	}
}

// settle fills the buckets of a slot up to now. Votes that have expired since the last
// time count until then; the tokens beyond the part of the burst of the votes that are
// left are dropped.
func (quota *Quota) settle(owned *ownership) {
	elapsed := (quota.now - owned.settled).Seconds()
	held := 0.0
	for _, vote := range owned.votes {
		held += max(0, (min(vote.expires, quota.now) - owned.settled).Seconds())
	}
	owned.settled = quota.now
	count := float64(max(1, len(owned.votes)))
	votes := quota.votes(owned)
	for _, bucket := range owned.buckets {
		bucket.tokens += min(bucket.terms.rate*elapsed, bucket.terms.fillRate*held/count)
		bucket.cap(votes, quota.now)
	}
}

// limit returns the number of tokens that the votes cover.
func (bucket *bucket) limit(votes float64) float64 {
	if votes < bucket.terms.minVotes {
		return votes * bucket.terms.burst
	}
	return max(1, votes*bucket.terms.burst)
}

// cap drops the tokens that the votes do not cover. Those that caches may have count too.
func (bucket *bucket) cap(votes float64, now time.Duration) {
	bucket.tokens = min(bucket.tokens, max(0, bucket.limit(votes)-bucket.reserved(now)))
}

// creditIdle adds what the buckets would have got from a vote that nobody had.
func (quota *Quota) creditIdle(owned *ownership, idle time.Duration) {
	count := float64(len(owned.votes))
	for _, bucket := range owned.buckets {
		bucket.tokens += min(bucket.terms.burst, idle.Seconds()*bucket.terms.rate) / count
	}
}

// bucket returns the bucket of a workspace. A new one holds what its votes have
// accumulated while the workspace was not used.
func (quota *Quota) bucket(owned *ownership, workspace string, limit Limit) *bucket {
	found := owned.buckets[workspace]
	if found == nil {
		found = &bucket{terms: quota.Settings.terms(limit)}
		for _, vote := range owned.votes {
			if quota.now < vote.expires {
				found.tokens += min(found.terms.burst, (quota.now-vote.since).Seconds()*limit.Rate) / float64(len(owned.votes))
			}
		}
		owned.buckets[workspace] = found
	}
	found.usedAt = quota.now
	return found
}

// answer replies to a request for tokens, or keeps it until the voters have replied.
func (quota *Quota) answer(request ask) {
	limit, limited := quota.limits[request.workspace]
	if !limited || quota.stopping || !quota.joined || request.tokens+request.held < 1 {
		quota.decline(request, 0)
		return
	}
	owned := quota.own(slotOf(request.workspace))
	quota.settle(owned)
	quota.bucket(owned, request.workspace, limit)
	if !quota.tryGrant(owned, request, false) {
		if len(owned.pending) >= maxPending {
			quota.decline(request, 0)
			return
		}
		owned.pending = append(owned.pending, request)
	}
}

// tryGrant replies to a request unless votes are still expected that may change the
// reply. It always replies if final is set.
func (quota *Quota) tryGrant(owned *ownership, request ask, final bool) bool {
	bucket := owned.buckets[request.workspace]
	if bucket == nil {
		quota.decline(request, 0)
		return true
	}
	votes := quota.votes(owned)
	bucket.cap(votes, quota.now)
	wait := !final && quota.now-request.at < voteWait && quota.isAwaitingVotes(owned)
	if votes < bucket.terms.minVotes {
		if !wait && !quota.relay(request) {
			quota.decline(request, voteLease/4)
		}
		return !wait
	}
	needed := request.tokens - request.advance
	tokens := min(needed, maxTokens, int(bucket.tokens))
	if tokens < needed && wait {
		return false
	}
	if tokens == 0 && needed > 0 && votes < majorityVotes && quota.relay(request) {
		return true
	}
	renewed := quota.renew(bucket, request, votes)
	spare := int(max(0, bucket.tokens-float64(tokens)-plentyPart*votes*bucket.terms.burst))
	advance := min(request.advance, spare, maxTokens-tokens)
	quota.keep(bucket, request, advance)
	tokens += advance
	bucket.tokens -= float64(tokens)
	grant := Grant{Workspace: request.workspace, Sequence: request.sequence, Tokens: tokens, Renewed: renewed}
	if tokens < needed {
		grant.RetryAfter, grant.Spread = quota.promise(bucket, votes, needed-tokens)
	}
	quota.send(request.from, grant)
	return true
}

// promise returns when a daemon that was refused is to ask again, and the time over which
// its callers should come back.
func (quota *Quota) promise(bucket *bucket, votes float64, missing int) (retryAfter, spread time.Duration) {
	rate := min(bucket.terms.rate, votes*bucket.terms.fillRate)
	if rate <= 0 {
		return maxPause, maxPause
	}
	next := quota.now + seconds(math.Max(0, 1-bucket.tokens)/rate)
	bucket.promisedAt = min(max(next, bucket.promisedAt+seconds(1/rate)), max(next, quota.now+maxPause))
	// The spread of a workspace with many daemons is the time that the tokens promised to
	// these take; that of one daemon, the time of the tokens that it lacks.
	spread = max(bucket.promisedAt-quota.now, seconds(float64(missing)/rate))
	return max(minPause, bucket.promisedAt-quota.now), min(spread, quota.Settings.Window)
}

func (quota *Quota) decline(request ask, retryAfter time.Duration) {
	quota.send(request.from, Grant{Workspace: request.workspace, Sequence: request.sequence, RetryAfter: retryAfter, Declined: true})
}

// answerPending replies to the requests that waited for votes, in the order of arrival.
func (quota *Quota) answerPending(owned *ownership) {
	pending := owned.pending
	owned.pending = nil
	quota.settle(owned)
	for index, request := range pending {
		if !quota.tryGrant(owned, request, false) {
			owned.pending = append(owned.pending, pending[index])
		}
	}
}

// tickOwned renews the votes of slots in use and removes buckets that are not used.
func (quota *Quota) tickOwned() {
	for _, slot := range slices.Sorted(maps.Keys(quota.owned)) {
		owned := quota.owned[slot]
		if owned == nil {
			continue
		}
		quota.answerPending(owned)
		for workspace, bucket := range owned.buckets {
			if quota.now-bucket.usedAt > bucketIdle && (bucket.tokens >= bucket.terms.burst*quota.votes(owned) || quota.now-bucket.usedAt > loanMemory) {
				delete(owned.buckets, workspace)
			}
		}
		owned.owning = owned.owning && quota.votes(owned) > 0
		if len(owned.buckets) == 0 && quota.now-owned.lastAsk > bucketIdle {
			quota.returnVotes(owned)
			continue
		}
		quota.borrow(owned)
	}
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

package admit

import (
	"math"
	"time"
)

// Parameters of the rate limit.
const (
	// rateBurstTime is the time for which unused requests are saved up for a burst.
	rateBurstTime = 250 * time.Millisecond
	// minRate is the number of requests a second that a limit near 0 still lets
	// through, since only a response can show that the limit has ended.
	minRate = 0.25
)

// RateLimit is how many requests a second an upstream takes from all daemons together,
// as it says in its responses. The zero value stands for an upstream that has named none.
type RateLimit struct {
	// InForce is set while the upstream names the limit.
	InForce   bool    `json:"inForce"`
	PerSecond float64 `json:"perSecond"`
	// StartedAt is when the upstream that has named the limit started, in Unix
	// milliseconds. The limit does not hold for another one.
	StartedAt int64 `json:"since"`
}

// RateLimitReported carries what a response said of the upstream's rate limit.
type RateLimitReported struct {
	At time.Time
	// HandedOverAt is when the request was handed over that the response belongs to.
	HandedOverAt time.Time
	// Named is set if the response names a limit.
	Named     bool
	PerSecond float64
}

// RateLimitHinted carries a limit that an ingress knows from an earlier response. A gate
// that has been restarted learns it so, before it has handed over the request.
type RateLimitHinted struct {
	At    time.Time
	Limit RateLimit
}

// UpstreamStarted announces the upstream that requests are handed over to. StartedAt is
// when it started, in Unix milliseconds. Instance is empty if the upstream does not name
// its instances.
type UpstreamStarted struct {
	At        time.Time
	StartedAt int64
	Instance  string
}

func (RateLimitReported) event() {}
func (RateLimitHinted) event()   {}
func (UpstreamStarted) event()   {}

// Wake asks for a Ticked event after a time, when the rate limit or the warm-up limit lets
// the next request through.
type Wake struct{ After time.Duration }

func (Wake) effect() {}

// rateLimiter keeps the requests that are handed over within the upstream's rate limit.
// It is a token bucket: each request takes a token.
type rateLimiter struct {
	startedAt int64
	limit     RateLimit
	// heard is set once a response of the upstream has arrived.
	heard bool
	// namedAt is when the limit was last named.
	namedAt    time.Time
	tokens     float64
	refilledAt time.Time
	// imposed counts how often a limit has begun. A token that was taken before is void.
	imposed int
}

// start forgets the limit of an upstream that another one has replaced.
func (rateLimiter *rateLimiter) start(started UpstreamStarted) {
	if rateLimiter.startedAt == started.StartedAt {
		return
	}
	rateLimiter.startedAt = started.StartedAt
	rateLimiter.limit = RateLimit{}
	rateLimiter.heard = false
}

// report applies what a response said. Responses arrive in any order, so only one to a
// request that was handed over after the limit was named can show that it has ended.
func (rateLimiter *rateLimiter) report(reported RateLimitReported) {
	rateLimiter.heard = true
	switch {
	case reported.Named:
		if !rateLimiter.limit.InForce {
			rateLimiter.impose(reported.At, reported.PerSecond)
			rateLimiter.tokens = rateLimiter.burst()
			return
		}
		rateLimiter.refill(reported.At)
		rateLimiter.namedAt = reported.At
		rateLimiter.limit.PerSecond = reported.PerSecond
		rateLimiter.tokens = min(rateLimiter.tokens, rateLimiter.burst())
	case reported.HandedOverAt.After(rateLimiter.namedAt):
		rateLimiter.limit.InForce = false
	}
}

// hint applies a limit that an ingress knows, unless the upstream itself has responded
// to this daemon. The gate before the restart may just have used up the limit, so no
// token is left.
func (rateLimiter *rateLimiter) hint(hinted RateLimitHinted) {
	known := rateLimiter.limit.InForce && rateLimiter.limit.PerSecond <= hinted.Limit.PerSecond
	if rateLimiter.heard || known || !hinted.Limit.InForce || hinted.Limit.StartedAt != rateLimiter.startedAt {
		return
	}
	rateLimiter.impose(hinted.At, hinted.Limit.PerSecond)
	rateLimiter.tokens = 0
}

func (rateLimiter *rateLimiter) impose(at time.Time, perSecond float64) {
	rateLimiter.limit = RateLimit{InForce: true, PerSecond: perSecond, StartedAt: rateLimiter.startedAt}
	rateLimiter.namedAt = at
	rateLimiter.refilledAt = at
	rateLimiter.imposed++
}

func (rateLimiter *rateLimiter) rate() float64 { return max(minRate, rateLimiter.limit.PerSecond) }

// burst returns how many tokens are kept at most.
func (rateLimiter *rateLimiter) burst() float64 {
	return max(1, rateLimiter.rate()*rateBurstTime.Seconds())
}

func (rateLimiter *rateLimiter) refill(at time.Time) {
	if elapsed := at.Sub(rateLimiter.refilledAt); elapsed > 0 {
		rateLimiter.tokens = min(rateLimiter.burst(), rateLimiter.tokens+elapsed.Seconds()*rateLimiter.rate())
		rateLimiter.refilledAt = at
	}
}

// token is what a request with a slot has taken of the limit.
type token struct{ imposed int }

// take takes a token.
func (rateLimiter *rateLimiter) take() token {
	rateLimiter.tokens--
	return token{rateLimiter.imposed}
}

// isVoid reports whether a token was taken before the limit in force was named.
func (rateLimiter *rateLimiter) isVoid(token token) bool {
	return rateLimiter.limit.InForce && token.imposed != rateLimiter.imposed
}

// giveBack returns the token of a request that is not handed over.
func (rateLimiter *rateLimiter) giveBack(token token) {
	if !rateLimiter.isVoid(token) {
		rateLimiter.tokens = min(rateLimiter.burst(), rateLimiter.tokens+1)
	}
}

// delay returns the time until the limit lets a number of further requests through: 0
// without a limit.
func (rateLimiter *rateLimiter) delay(at time.Time, requests int) time.Duration {
	if !rateLimiter.limit.InForce {
		return 0
	}
	rateLimiter.refill(at)
	missing := float64(requests) - rateLimiter.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / rateLimiter.rate() * float64(time.Second)))
}

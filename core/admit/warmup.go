package admit

import (
	"math"
	"time"
)

// Parameters of the warm-up limit.
const (
	// warmupBurstTime is the time for which unused requests are saved up for a burst while
	// the upstream is cold. It is short, since a cold upstream crashes not far above its rate.
	warmupBurstTime = 250 * time.Millisecond
	// maxCommitTime is how long the token of a reservation is good for. A commit takes a
	// round trip of at most 70 ms; later commits would come on top of newer tokens.
	maxCommitTime = 250 * time.Millisecond
	// coldProbeInterval is the minimum time between two health probes of a cold upstream.
	// Its heartbeats, which come twice a second, report the same.
	coldProbeInterval = time.Second
	// firstProbeTokens is what the health probe before the first announcement has taken.
	firstProbeTokens = 1
)

// WarmupLimit is how many requests a second a cold upstream takes from all daemons
// together. The zero value sets no limit.
type WarmupLimit struct {
	PerSecond float64
	// Bound is the number of requests that the upstream may get in any second.
	Bound float64
	// Time is how long an upstream counts as cold that has just started and has not said
	// whether it is.
	Time time.Duration
}

// NewWarmupLimit returns the limit for an upstream that takes perSecond requests a second
// while it is cold and may get perSecond x overshoot + slack in any second. Without the rate
// or the overshoot there is no limit.
func NewWarmupLimit(perSecond, overshoot, slack float64, length time.Duration) WarmupLimit {
	if perSecond <= 0 || overshoot <= 0 {
		return WarmupLimit{}
	}
	return WarmupLimit{PerSecond: perSecond, Bound: perSecond*overshoot + max(0, slack), Time: length}
}

func (limit WarmupLimit) isSet() bool { return limit.PerSecond > 0 && limit.Bound > 0 }

// margin is how far the bound is above the rate.
func (limit WarmupLimit) margin() float64 { return max(0, limit.Bound-limit.PerSecond) }

// burst returns how many tokens are kept at most. Half of the margin is left for
// reservations that are committed late.
func (limit WarmupLimit) burst() float64 {
	return max(1, min(limit.PerSecond*warmupBurstTime.Seconds(), limit.margin()/2))
}

// refillRate returns the tokens a second: the rate, or less if the bound leaves no room
// for a burst of one request beside it.
func (limit WarmupLimit) refillRate() float64 {
	return max(0, min(limit.PerSecond, limit.Bound-limit.burst()))
}

// commitTime returns how long the token of a reservation is good for, so that a second's
// tokens, the burst and the tokens that are committed late stay within the bound together.
func (limit WarmupLimit) commitTime() time.Duration {
	rate := limit.refillRate()
	if rate == 0 {
		return 0
	}
	spare := limit.Bound - limit.burst() - rate
	return min(maxCommitTime, time.Duration(max(0, spare)/rate*float64(time.Second)))
}

// WarmupLimitSet carries the limit that the route table and the settings name for the
// upstream while it is cold.
type WarmupLimitSet struct {
	At    time.Time
	Limit WarmupLimit
}

// WarmupReported carries how much longer the upstream stays cold, as it says itself; 0 if
// it is not cold.
type WarmupReported struct {
	At   time.Time
	Left time.Duration
	// AskedAt is when the request was handed over whose response reports it. It is zero
	// for a heartbeat.
	AskedAt time.Time
}

// ProbeDue asks whether a health probe may be sent to the upstream, which is answered with
// AllowProbe or no effect.
type ProbeDue struct{ At time.Time }

func (WarmupLimitSet) event() {}
func (WarmupReported) event() {}
func (ProbeDue) event()       {}

// AllowProbe lets a health probe pass to the upstream.
type AllowProbe struct{}

func (AllowProbe) effect() {}

// coldSource is what an upstream counts as cold for.
type coldSource uint8

const (
	// sourceStart means that the upstream has just started and has not said more.
	sourceStart coldSource = iota
	sourceHeartbeat
	sourceResponse
)

// warmupLimiter keeps the requests that are handed over to a cold upstream within the
// warm-up limit. It is a token bucket that is empty when the upstream becomes cold, and is
// not in use while it is warm.
type warmupLimiter struct {
	limit     WarmupLimit
	startedAt int64
	instance  string
	known     bool
	// coldUntil is when the upstream ceases to be cold, as far as it has said so, and
	// reportedAt when it last said that it is cold.
	coldUntil  time.Time
	reportedAt time.Time
	source     coldSource
	// freshSince is when an upstream started that has not said yet whether it is cold.
	freshSince time.Time
	tokens     float64
	refilledAt time.Time
	probedAt   time.Time
	// periods counts how often the upstream has become cold. A token that was taken
	// before is void.
	periods int
}

// start makes an upstream cold that has just started. The first one since the start of the
// daemon may have run for long, so its own start counts.
func (limiter *warmupLimiter) start(started UpstreamStarted) {
	if limiter.known && limiter.startedAt == started.StartedAt && limiter.instance == started.Instance {
		return
	}
	limiter.freshSince = started.At
	tokens := 0.0
	if !limiter.known {
		tokens = -firstProbeTokens
		// The age is taken once, since the system clock may be set later.
		if age := started.At.Sub(time.UnixMilli(started.StartedAt)); age > 0 {
			limiter.freshSince = started.At.Add(-age)
		}
	}
	limiter.startedAt, limiter.instance, limiter.known = started.StartedAt, started.Instance, true
	limiter.coldUntil, limiter.source = time.Time{}, sourceStart
	limiter.empty(started.At, tokens)
}

// set changes the limit.
func (limiter *warmupLimiter) set(event WarmupLimitSet) {
	limiter.change(event.At, func() { limiter.limit = event.Limit })
	limiter.tokens = min(limiter.tokens, limiter.limit.burst())
}

// report applies what the upstream says. Responses and heartbeats pass each other, so
// what shortens the time must have been said later than what it replaces.
func (limiter *warmupLimiter) report(reported WarmupReported) {
	limiter.change(reported.At, func() {
		until := reported.At.Add(reported.Left)
		source := sourceHeartbeat
		if !reported.AskedAt.IsZero() {
			source = sourceResponse
		}
		if !limiter.coldUntil.Before(until) && reported.At.Before(limiter.coldUntil) && !limiter.replaces(reported, source) {
			return
		}
		limiter.freshSince = time.Time{}
		limiter.coldUntil, limiter.source = until, source
		if reported.Left > 0 {
			limiter.reportedAt = reported.At
		}
	})
}

// replaces reports whether what is reported was said after what is known: heartbeats come
// in order, and a response is later if its request was.
func (limiter *warmupLimiter) replaces(reported WarmupReported, source coldSource) bool {
	if source == sourceHeartbeat {
		return limiter.source != sourceResponse
	}
	return reported.AskedAt.After(limiter.reportedAt)
}

// change applies a change and empties the bucket if the limit comes into force with it.
func (limiter *warmupLimiter) change(at time.Time, change func()) {
	limiter.refill(at)
	wasLimited := limiter.isLimited(at)
	change()
	if !wasLimited && limiter.isLimited(at) {
		limiter.empty(at, 0)
	}
}

func (limiter *warmupLimiter) empty(at time.Time, tokens float64) {
	limiter.tokens = tokens
	limiter.refilledAt = at
	limiter.periods++
}

// left returns how much longer the upstream stays cold.
func (limiter *warmupLimiter) left(at time.Time) time.Duration {
	until := limiter.coldUntil
	if !limiter.freshSince.IsZero() {
		until = limiter.freshSince.Add(limiter.limit.Time)
	}
	return max(0, until.Sub(at))
}

func (limiter *warmupLimiter) isLimited(at time.Time) bool {
	return limiter.limit.isSet() && limiter.left(at) > 0
}

func (limiter *warmupLimiter) refill(at time.Time) {
	if elapsed := at.Sub(limiter.refilledAt); elapsed > 0 {
		limiter.tokens = min(limiter.limit.burst(), limiter.tokens+elapsed.Seconds()*limiter.limit.refillRate())
		limiter.refilledAt = at
	}
}

// warmupToken is what a request with a slot has taken of the warm-up limit. It is not
// given back, since it might be taken again long after its time.
type warmupToken struct {
	takenAt time.Time
	period  int
}

func (limiter *warmupLimiter) take(at time.Time) warmupToken {
	if !limiter.isLimited(at) {
		return warmupToken{}
	}
	limiter.tokens--
	return warmupToken{takenAt: at, period: limiter.periods}
}

// isVoid reports whether a commit needs another token: the upstream has become cold since,
// or the token is too old.
func (limiter *warmupLimiter) isVoid(token warmupToken, at time.Time) bool {
	return limiter.isLimited(at) && (token.period != limiter.periods || at.Sub(token.takenAt) > limiter.limit.commitTime())
}

// delay returns the time until the limit lets a number of further requests through, at the
// latest when the upstream is warm: 0 without a limit.
func (limiter *warmupLimiter) delay(at time.Time, requests int) time.Duration {
	if !limiter.isLimited(at) {
		return 0
	}
	limiter.refill(at)
	missing := float64(requests) - limiter.tokens
	if missing <= 0 {
		return 0
	}
	left := limiter.left(at)
	seconds := missing / limiter.limit.refillRate()
	if seconds >= left.Seconds() {
		return left
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// allowsProbe reports whether a health probe may be sent, and takes a token for it while
// the upstream is cold.
func (limiter *warmupLimiter) allowsProbe(at time.Time) bool {
	if !limiter.isLimited(at) {
		return true
	}
	if at.Sub(limiter.probedAt) < coldProbeInterval || limiter.delay(at, 1) > 0 {
		return false
	}
	limiter.probedAt = at
	limiter.take(at)
	return true
}

// limitDelay returns the time until the rate limit and the warm-up limit let a number of
// further requests through.
func (gate *Gate) limitDelay(at time.Time, requests int) time.Duration {
	return max(gate.rateLimiter.delay(at, requests), gate.warmupLimiter.delay(at, requests))
}

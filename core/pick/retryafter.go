package pick

import "time"

// Bounds of the retry delay that a refused caller is given.
const (
	// minRetryAfter keeps refused callers from retrying at once.
	minRetryAfter = 50 * time.Millisecond
	// defaultRetryAfter is used if no gate has reported when it expects free
	// capacity.
	defaultRetryAfter = 200 * time.Millisecond
	// deadlineDivisor divides the time until the deadline; the result is the
	// longest delay.
	deadlineDivisor = 3
	// retryJitter is the fraction by which the delay is randomly shortened or
	// lengthened, so that callers that were refused together do not retry
	// together.
	retryJitter = 0.3
)

// Refusal describes a request that the targets of a service have refused.
type Refusal struct {
	// DeadlineIn is the time until the caller's deadline. ObjectiveIn is the
	// time until which a response meets the latency objective. A later response
	// is still sent but is less important.
	DeadlineIn  time.Duration
	ObjectiveIn time.Duration
	// CapacityIn is the time until a gate expects free capacity; 0 means that
	// no gate has reported one.
	CapacityIn time.Duration
	// IsCold means that the warm-up rate of targets sets CapacityIn, so that there is
	// certainly none before.
	IsCold bool
	// ServiceTime is how long the request runs on a target that is not slowed
	// down; 0 means that it is not known.
	ServiceTime time.Duration
}

// RetryAfter returns how long the caller should wait before it retries: until a
// gate expects free capacity, but at most a third of the time until the
// deadline, and never less than minRetryAfter unless that is longer than a third. The
// delay is varied by random, a number from 0 to 1. A request that would miss its
// objective gets the longest delay, so that those that can still meet theirs are
// served first. Cold targets have no capacity earlier than they say, so the delay is never
// shorter.
func (refusal Refusal) RetryAfter(random float64) time.Duration {
	longest := refusal.DeadlineIn / deadlineDivisor
	delay := refusal.CapacityIn
	if delay <= 0 {
		delay = defaultRetryAfter
	}
	if delay+refusal.ServiceTime > refusal.ObjectiveIn {
		delay = longest
	}
	if refusal.IsCold {
		return max(refusal.CapacityIn, refusal.spread(delay, longest, random))
	}
	return refusal.spread(delay, longest, random)
}

// spread varies a delay, so that it is at most the longest one.
func (Refusal) spread(delay, longest time.Duration, random float64) time.Duration {
	factor := 1 - retryJitter + 2*retryJitter*random
	delay = max(minRetryAfter, time.Duration(float64(max(minRetryAfter, delay))*factor))
	if longest > 0 {
		return min(longest, delay)
	}
	return minRetryAfter
}

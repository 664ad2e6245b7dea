// Package route chooses the target of a request.
//
// A Policy is a plug-in that registers itself under the name that profiles
// give. The real policy is "adaptive"; "random", "roundRobin", "leastInFlight"
// and "powerOfTwo" are baselines to compare it with.
//
// A Book keeps what one daemon knows of the targets of one service: their load
// reports with their age, what it has in flight itself, latencies and
// failures. Time and randomness are inputs.
//
// # Usage
//
//	policy, err := route.New("adaptive")
//	index := policy.Choose(route.Request{Random: random}, candidates)
package route

import (
	"time"

	"github.com/zeebo/errs"

	"ibislift/core/admit"
	"ibislift/core/profile"
)

// Error is the class of all errors of this package.
var Error = errs.Class("route")

// Candidate is a target that may be chosen, with what is known of it.
type Candidate struct {
	ID string
	// Link is the one-way latency to the target's daemon, Cost the price of
	// the link as a fraction of the dearest one.
	Link time.Duration
	Cost float64
	// SecondsPerByte is the time that a byte of an answer on the link is
	// worth.
	SecondsPerByte float64
	// InFlight is what this daemon has sent there and not got back.
	InFlight int
	// Load is the last report, Age how old it is; Known says if there is one.
	Load  admit.Load
	Age   time.Duration
	Known bool
	// Latency is the mean time to an answer, without the link.
	Latency time.Duration
	// Oldest is how long the longest of this daemon's requests there has
	// waited.
	Oldest time.Duration
	// Failing is the recent share of failures, from 0 to 1.
	Failing float64
	// Warmth rises from 0 to 1 while a new target starts slowly.
	Warmth float64
	// Ejected targets are chosen only when too many are ejected.
	Ejected bool
}

// Request is what a choice may depend on besides the candidates.
type Request struct {
	Random  uint64
	Weights profile.Weights
	// Work is how long the request runs on a target that is not slowed, Bytes
	// the size of its answer; both are 0 if they are not known.
	Work  time.Duration
	Bytes float64
	// UsualLoad and UsualSlowness are the running means of the service's
	// targets, which stand for those that have reported nothing lately.
	UsualLoad     float64
	UsualSlowness float64
}

// Policy chooses one of the candidates, which are never empty, and returns its
// index. A Policy may be used by many goroutines.
type Policy interface {
	Choose(request Request, candidates []Candidate) int
}

var policies = map[string]func() Policy{}

// Register makes a policy known under a name. It is called from init
// functions.
func Register(name string, build func() Policy) {
	if _, taken := policies[name]; taken {
		panic("route: policy registered twice: " + name)
	}
	policies[name] = build
	profile.Policies[name] = true
}

// New returns the policy with the given name.
func New(name string) (Policy, error) {
	build, known := policies[name]
	if !known {
		return nil, Error.New("there is no policy %q", name)
	}
	return build(), nil
}

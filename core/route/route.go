// Package route selects the target of a request.
//
// A Policy is a plug-in that registers itself under the name that profiles
// use. The default policy is "adaptive"; "random", "roundRobin",
// "leastInFlight" and "powerOfTwo" are baselines to compare it with. The policy
// "soonest" chooses the least expected time; package pick uses it for all requests
// that have an objective and a known service time.
//
// A Tracker records what one daemon knows about the targets of one service:
// their load reports and the age of these, its own requests in flight,
// latencies and failures. Time and randomness are passed in.
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

// Candidate is a target that a policy may choose, with its current state as
// seen by this daemon.
type Candidate struct {
	ID string
	// LinkLatency is the one-way network latency to the target's daemon.
	// LinkCost is the price of the link as a fraction of the most expensive
	// one.
	LinkLatency time.Duration
	LinkCost    float64
	// BytePrice is the price of sending one byte over the link, as a fraction of
	// what a response in time is worth.
	BytePrice float64
	// CrossesRegion is set if the target is in another region than this daemon.
	CrossesRegion bool
	// InFlight is the number of requests that this daemon has sent to the
	// target and that have not ended.
	InFlight int
	// Load is the target's last load report and ReportAge its age. HasReport
	// is false if the target has not reported yet.
	Load      admit.Load
	ReportAge time.Duration
	HasReport bool
	// Latency is the mean time to a response, without the link latency.
	Latency time.Duration
	// OldestWait is how long this daemon's oldest request to the target has
	// been waiting.
	OldestWait time.Duration
	// FailureRate is the recent share of failures, from 0 to 1.
	FailureRate float64
	// Warmth rises from 0 to 1 during the slow start of a new target.
	Warmth float64
	// WarmupRate is the number of requests a second that the target takes from all
	// daemons together because it has just started; 0 if it has started earlier.
	WarmupRate float64
	// Ejected targets are used only if no other target is left.
	Ejected bool
}

// Request holds the inputs of a choice other than the candidates.
type Request struct {
	Random  uint64
	Weights profile.Weights
	// ServiceTime is how long the request runs on a target that is not
	// slowed down. Bytes is the size of the request's body and its expected
	// response. Both are 0 if they are not known.
	ServiceTime time.Duration
	Bytes       float64
	// Objective is the latency objective of the class, or 0 if it has none.
	Objective time.Duration
	// ObjectiveLeft is the time left until a response misses the objective, if there is one.
	// It is negative after that.
	ObjectiveLeft time.Duration
	// CrossesByValue lets the expected loss of value decide whether the request goes to a
	// target in another region.
	CrossesByValue bool
	// MeanUtilization and MeanSlowness are the running means over the
	// service's targets, which replace the values of targets that have not
	// reported recently. Utilization is the number of running and queued
	// requests per slot.
	MeanUtilization float64
	MeanSlowness    float64
}

// Policy chooses one of the candidates and returns its index. There is always
// at least one candidate. A Policy is safe for concurrent use.
type Policy interface {
	Choose(request Request, candidates []Candidate) int
}

var policies = map[string]func() Policy{}

// Register adds a policy under the given name. It is called from init
// functions.
func Register(name string, build func() Policy) {
	if _, taken := policies[name]; taken {
		panic("route: policy registered twice: " + name)
	}
	policies[name] = build
	profile.KnownPolicies[name] = true
}

// New returns the policy with the given name.
func New(name string) (Policy, error) {
	build, known := policies[name]
	if !known {
		return nil, Error.New("policy %q does not exist", name)
	}
	return build(), nil
}

package play

import (
	"sort"
	"time"

	"ibislift/core/admit"
	"ibislift/core/route"
)

// Policy selects the parts of the product that a simulation uses, so that their
// effects can be compared.
type Policy struct {
	Name string
	// RoutePolicy is the name of the policy of core/route that selects targets.
	RoutePolicy string
	// UseObjectives passes the objectives of requests to target selection, which
	// then compares expected times, and to the gates, which order requests by
	// them.
	UseObjectives bool
	// UseGates lets gates admit requests. Without gates, requests wait in the
	// targets' own queues.
	UseGates bool
	// QueueBound is the length of a gate's queue.
	QueueBound int
	// Retries lets the daemon retry and hedge on other targets within the budget.
	Retries bool
	// EstimateRetryAfter derives the retry time of refused callers from the time
	// at which a gate expects a free slot. Otherwise it is one second.
	EstimateRetryAfter bool
	// Reports lets gates report changes of their load.
	Reports bool
	// MaxSlownessAge is how old a target's reported slowness may become before
	// its gate probes the target. 0 means that gates send no probes.
	MaxSlownessAge time.Duration
	// IgnoreReportedLoad keeps from gates how many requests their targets run, so that the
	// slot of a cancelled request is free at once.
	IgnoreReportedLoad bool
	// QueueOrder is the order of the gates. Empty means that of the product.
	QueueOrder admit.Order
	// CrossByTime lets the time decide whether requests go to another region, also where they
	// carry workspaces.
	CrossByTime bool
	// KeylessAreCalls lets gates take each request without a workspace for a call of a
	// run, as earlier versions do.
	KeylessAreCalls bool
	// WithdrawAfter is how long a daemon must have been slow itself before it withdraws from
	// callers. With 0 it never does.
	WithdrawAfter time.Duration
	// IgnoreBytePrice lets daemons choose targets as if bytes had no price.
	IgnoreBytePrice bool
	// StayInRegion restricts requests to the region of the daemon that they arrive at.
	StayInRegion bool
	// ExactLoad gives each ingress the current load of every gate, which no real
	// system can do. Losses that remain are due to a lack of capacity.
	ExactLoad bool
}

// maxSlownessAge is the value that the adapter to the users' platform sets.
const maxSlownessAge = 100 * time.Millisecond

// withdrawAfter is long enough for three late samples of a daemon that is little slower than
// the bound.
const withdrawAfter = 300 * time.Millisecond

// Current is the name of the policy of the product.
const Current = "now"

// Policies holds the policies that can be compared, by name: the product's own,
// earlier ones and ones that lack a part of it, simple baselines, and one that
// always knows the current load of every gate.
var Policies = map[string]Policy{
	Current:            {RoutePolicy: route.LeastTime, UseObjectives: true, UseGates: true, QueueBound: 64, Retries: true, EstimateRetryAfter: true, Reports: true, MaxSlownessAge: maxSlownessAge},
	"withoutReports":   {RoutePolicy: route.LeastTime, UseObjectives: true, UseGates: true, QueueBound: 64, Retries: true, EstimateRetryAfter: true, MaxSlownessAge: maxSlownessAge},
	"withoutMeasuring": {RoutePolicy: route.LeastTime, UseObjectives: true, UseGates: true, QueueBound: 64, Retries: true, EstimateRetryAfter: true, Reports: true},
	"withoutComeback":  {RoutePolicy: route.LeastTime, UseObjectives: true, UseGates: true, QueueBound: 64, Retries: true, Reports: true, MaxSlownessAge: maxSlownessAge},
	"withoutRetries":   {RoutePolicy: route.LeastTime, UseObjectives: true, UseGates: true, QueueBound: 64, EstimateRetryAfter: true, Reports: true, MaxSlownessAge: maxSlownessAge},
	"crossByTime":      {RoutePolicy: route.LeastTime, UseObjectives: true, UseGates: true, QueueBound: 64, Retries: true, EstimateRetryAfter: true, Reports: true, MaxSlownessAge: maxSlownessAge, CrossByTime: true},
	"byObjective":      {RoutePolicy: route.LeastTime, UseObjectives: true, UseGates: true, QueueBound: 64, Retries: true, EstimateRetryAfter: true, Reports: true, MaxSlownessAge: maxSlownessAge, QueueOrder: admit.OrderObjective},
	"keylessAreCalls":  {RoutePolicy: route.LeastTime, UseObjectives: true, UseGates: true, QueueBound: 64, Retries: true, EstimateRetryAfter: true, Reports: true, MaxSlownessAge: maxSlownessAge, KeylessAreCalls: true},
	"withdrawal":       {RoutePolicy: route.LeastTime, UseObjectives: true, UseGates: true, QueueBound: 64, Retries: true, EstimateRetryAfter: true, Reports: true, MaxSlownessAge: maxSlownessAge, WithdrawAfter: withdrawAfter},
	"withoutPrice":     {RoutePolicy: route.LeastTime, UseObjectives: true, UseGates: true, QueueBound: 64, Retries: true, EstimateRetryAfter: true, Reports: true, MaxSlownessAge: maxSlownessAge, IgnoreBytePrice: true},
	"ownRegion":        {RoutePolicy: route.LeastTime, UseObjectives: true, UseGates: true, QueueBound: 64, Retries: true, EstimateRetryAfter: true, Reports: true, MaxSlownessAge: maxSlownessAge, StayInRegion: true},
	"withoutLoad":      {RoutePolicy: route.LeastTime, UseObjectives: true, UseGates: true, QueueBound: 64, Retries: true, EstimateRetryAfter: true, Reports: true, MaxSlownessAge: maxSlownessAge, IgnoreReportedLoad: true},
	"adaptive":         {RoutePolicy: "adaptive", UseGates: true, QueueBound: 64, Retries: true},
	"roundRobin":       {RoutePolicy: "roundRobin"},
	"random":           {RoutePolicy: "random"},
	"leastInFlight":    {RoutePolicy: "leastInFlight"},
	"powerOfTwo":       {RoutePolicy: "powerOfTwo"},
	"knowing":          {RoutePolicy: route.LeastTime, UseObjectives: true, UseGates: true, QueueBound: 64, Retries: true, EstimateRetryAfter: true, Reports: true, MaxSlownessAge: maxSlownessAge, ExactLoad: true},
}

// FindPolicy returns the policy with a name.
func FindPolicy(name string) (Policy, error) {
	policy, known := Policies[name]
	if !known {
		return Policy{}, Error.New("there is no policy %q; there are %v", name, PolicyNames())
	}
	policy.Name = name
	return policy, nil
}

// PolicyNames returns the sorted names of all policies.
func PolicyNames() []string {
	names := make([]string, 0, len(Policies))
	for name := range Policies {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

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
	// ExactLoad gives each ingress the current load of every gate, which no real
	// system can do. Losses that remain are due to a lack of capacity.
	ExactLoad bool
}

// maxSlownessAge is the value that the adapter to the users' platform sets.
const maxSlownessAge = 100 * time.Millisecond

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
	"byObjective":      {RoutePolicy: route.LeastTime, UseObjectives: true, UseGates: true, QueueBound: 64, Retries: true, EstimateRetryAfter: true, Reports: true, MaxSlownessAge: maxSlownessAge, QueueOrder: admit.OrderObjective},
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

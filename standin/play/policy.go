package play

import (
	"sort"
	"time"

	"ibislift/core/route"
)

// Policy is a way to decide, to be compared with others.
type Policy struct {
	Name string
	// Place names the policy of core/route that chooses targets.
	Place string
	// Timed says that objectives are known, so that times are compared and
	// gates order by them.
	Timed bool
	// Gated says that a gate admits requests; else targets queue by themselves.
	Gated bool
	// QueueBound is that of the gate.
	QueueBound int
	// Retries says that the daemon tries other targets within the budget.
	Retries bool
	// Comeback says that refused callers are told a time to come back that
	// follows from what gates expect; else one second.
	Comeback bool
	// Reports says that gates report changes of their load.
	Reports bool
	// FreshTime is how old a target's word on its slowness may get before its
	// gate asks for it.
	FreshTime time.Duration
	// Knows says that entries see each gate's load as it is, which no system
	// can: what is lost even so is lost for want of capacity.
	Knows bool
}

// freshTime is what the adapter to the users' platform sets.
const freshTime = 100 * time.Millisecond

// Now is the policy of the product.
const Now = "now"

// Policies are those that may be compared: the product's own, its earlier ones,
// plain baselines, and one that knows all loads at each moment.
var Policies = map[string]Policy{
	Now:                {Place: route.LeastTime, Timed: true, Gated: true, QueueBound: 64, Retries: true, Comeback: true, Reports: true, FreshTime: freshTime},
	"withoutReports":   {Place: route.LeastTime, Timed: true, Gated: true, QueueBound: 64, Retries: true, Comeback: true, FreshTime: freshTime},
	"withoutMeasuring": {Place: route.LeastTime, Timed: true, Gated: true, QueueBound: 64, Retries: true, Comeback: true, Reports: true},
	"withoutComeback":  {Place: route.LeastTime, Timed: true, Gated: true, QueueBound: 64, Retries: true, Reports: true, FreshTime: freshTime},
	"withoutRetries":   {Place: route.LeastTime, Timed: true, Gated: true, QueueBound: 64, Comeback: true, Reports: true, FreshTime: freshTime},
	"adaptive":         {Place: "adaptive", Gated: true, QueueBound: 64, Retries: true},
	"roundRobin":       {Place: "roundRobin"},
	"random":           {Place: "random"},
	"leastInFlight":    {Place: "leastInFlight"},
	"powerOfTwo":       {Place: "powerOfTwo"},
	"knowing":          {Place: route.LeastTime, Timed: true, Gated: true, QueueBound: 64, Retries: true, Comeback: true, Reports: true, FreshTime: freshTime, Knows: true},
}

// PolicyOf returns a policy by its name.
func PolicyOf(name string) (Policy, error) {
	policy, known := Policies[name]
	if !known {
		return Policy{}, Error.New("there is no policy %q; there are %v", name, PolicyNames())
	}
	policy.Name = name
	return policy, nil
}

// PolicyNames are the names of all policies, sorted.
func PolicyNames() []string {
	names := make([]string, 0, len(Policies))
	for name := range Policies {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

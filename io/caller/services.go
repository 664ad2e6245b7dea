package caller

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"ibislift/core/call"
	"ibislift/core/kernel"
	"ibislift/core/pick"
	"ibislift/core/profile"
	"ibislift/core/route"
	"ibislift/io/metrics"
)

// service is the state that this daemon keeps for a service it forwards
// requests to.
type service struct {
	tracker *route.Tracker
	retries *call.Budget
	hedges  *call.Budget
	policy  route.Policy
	profile profile.Profile
	// members are the targets that this daemon uses, if all regions are allowed.
	members []kernel.Member
	known   bool
	// all are the members of the service, and self is this daemon. byRegions caches
	// the targets that this daemon uses for each list of allowed regions; the route
	// table bounds the number of lists.
	all       []kernel.Member
	self      kernel.Member
	byRegions sync.Map
	// evacuated is set if all targets are in evacuated data centres.
	evacuated bool
	// warmup is what the route table says of targets that have just started.
	warmup route.Warmup
}

// membersIn returns the targets in the allowed regions that this daemon uses. nil allows
// all regions.
func (service *service) membersIn(regions []string) []kernel.Member {
	if regions == nil {
		return service.members
	}
	key := strings.Join(regions, "\x00")
	if cached, known := service.byRegions.Load(key); known {
		return cached.([]kernel.Member)
	}
	members := servingMembers(service.self, service.all, regions)
	service.byRegions.Store(key, members)
	return members
}

// services holds the state of each service and updates it when the view
// changes.
type services struct {
	// current holds the services requested since the view last changed.
	current atomic.Pointer[snapshot]
	mutex   sync.Mutex
	// latest holds the newest state of each service, by name, across all views.
	latest map[string]*service
}

// snapshot holds the services as of one view.
type snapshot struct {
	view     *kernel.View
	services sync.Map
}

// get returns a service as of a view.
func (services *services) get(view *kernel.View, name string, shared *call.SharedBudget) *service {
	current := services.current.Load()
	if current == nil || current.view != view {
		current = &snapshot{view: view}
		services.current.Store(current)
	}
	if found, known := current.services.Load(name); known {
		return found.(*service)
	}
	members, known := view.Service(name)
	if !known {
		return &service{}
	}
	updated := services.update(name, profile.FromView(view, name), shared, max(1, len(view.Members)))
	updated.self, _ = view.Member(view.Self)
	updated.all = withoutEvacuated(view, members)
	updated.members = servingMembers(updated.self, updated.all, nil)
	updated.evacuated = allEvacuated(view, members)
	if view.Routes != nil {
		settings := view.Routes.Services[name]
		updated.warmup = route.Warmup{PerSecond: settings.WarmupRate, Time: settings.WarmupTime}
	}
	current.services.Store(name, updated)
	return updated
}

// find returns a service that has received requests from this daemon, or nil.
func (services *services) find(name string) *service {
	services.mutex.Lock()
	defer services.mutex.Unlock()
	return services.latest[name]
}

// AssessHealth returns the health of the targets that this daemon has sent
// requests to. Targets without anything to report are left out.
func (handler *Handler) AssessHealth() map[string]route.Health {
	services := &handler.services
	services.mutex.Lock()
	trackers := make([]*route.Tracker, 0, len(services.latest))
	for _, service := range services.latest {
		trackers = append(trackers, service.tracker)
	}
	services.mutex.Unlock()
	now := handler.Now()
	health := map[string]route.Health{}
	for _, tracker := range trackers {
		maps.Copy(health, tracker.AssessHealth(now, func(id string) route.Health { return handler.lastHealth[id] }))
	}
	handler.lastHealth = health
	return health
}

// Budgets returns the budgets of extra attempts of all services that have
// received requests. A budget that retries and hedges share is listed once.
func (handler *Handler) Budgets() []metrics.Budget {
	services := &handler.services
	services.mutex.Lock()
	defer services.mutex.Unlock()
	var budgets []metrics.Budget
	for name, service := range services.latest {
		budgets = append(budgets, budgetMetrics(name, "retry", service.retries))
		if service.hedges != service.retries {
			budgets = append(budgets, budgetMetrics(name, "hedge", service.hedges))
		}
	}
	return budgets
}

func budgetMetrics(name, kind string, budget *call.Budget) metrics.Budget {
	spent, denied, remaining := budget.State()
	return metrics.Budget{Service: name, Kind: kind, Spent: spent, Denied: denied, Remaining: remaining}
}

// update creates the state of a service from a new profile and keeps what
// outlives a view: the tracker always, the budgets and the policy while their
// settings in the profile are unchanged.
func (services *services) update(name string, newProfile profile.Profile, shared *call.SharedBudget, daemons int) *service {
	services.mutex.Lock()
	defer services.mutex.Unlock()
	updated := &service{profile: newProfile, known: true, tracker: &route.Tracker{}}
	previous := services.latest[name]
	if previous != nil {
		updated.tracker = previous.tracker
	}
	updated.policy = reusePolicy(previous, newProfile.Policy)
	if services.latest == nil {
		services.latest = map[string]*service{}
	}
	services.latest[name] = updated
	if shared != nil {
		updated.retries = &call.Budget{}
		if previous != nil {
			updated.retries = previous.retries
		}
		shared.AssignShare(updated.retries, daemons)
		updated.hedges = updated.retries
		return updated
	}
	updated.retries = reuseBudget(previous, newProfile.RetryBudget, func(old *service) (*call.Budget, profile.Budget) {
		return old.retries, old.profile.RetryBudget
	})
	updated.hedges = reuseBudget(previous, newProfile.HedgeBudget, func(old *service) (*call.Budget, profile.Budget) {
		return old.hedges, old.profile.HedgeBudget
	})
	return updated
}

// reuseBudget returns the previous budget if its limits are unchanged, and otherwise
// a new one.
func reuseBudget(previous *service, limits profile.Budget, budgetIn func(*service) (*call.Budget, profile.Budget)) *call.Budget {
	if previous != nil {
		if budget, oldLimits := budgetIn(previous); oldLimits == limits {
			return budget
		}
	}
	return &call.Budget{Ratio: limits.Ratio, Burst: limits.Burst}
}

func reusePolicy(previous *service, name string) route.Policy {
	if previous != nil && previous.profile.Policy == name {
		return previous.policy
	}
	policy, err := route.New(name)
	if err != nil {
		policy, _ = route.New(profile.Default().Policy)
	}
	return policy
}

// allEvacuated reports whether a service has serving members, and all of them are in
// evacuated data centres.
func allEvacuated(view *kernel.View, members []kernel.Member) bool {
	found := false
	for _, member := range members {
		if member.Serves() && !view.IsEvacuated(member.DataCentre) {
			return false
		}
		found = found || member.Serves()
	}
	return found
}

// withoutEvacuated returns the members that are not in evacuated data centres.
func withoutEvacuated(view *kernel.View, members []kernel.Member) []kernel.Member {
	return slices.DeleteFunc(slices.Clone(members), func(member kernel.Member) bool { return view.IsEvacuated(member.DataCentre) })
}

// servingMembers returns those serving members of a service in the allowed regions that
// the daemon self uses as targets.
func servingMembers(self kernel.Member, members []kernel.Member, regions []string) []kernel.Member {
	var serving []kernel.Member
	for _, member := range members {
		if member.Serves() {
			serving = append(serving, member)
		}
	}
	return pick.Subset(self, pick.InRegions(regions, serving))
}

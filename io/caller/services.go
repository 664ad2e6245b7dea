package caller

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"ibislift/core/call"
	"ibislift/core/kernel"
	"ibislift/core/profile"
	"ibislift/core/route"
	"ibislift/io/metrics"
)

// Sizes of the part of a service's targets that one daemon uses.
const (
	nearTargets = 12
	farTargets  = 6
)

// service is what this daemon keeps about a service it passes requests to.
type service struct {
	book    *route.Tracker
	retries *call.Budget
	hedges  *call.Budget
	policy  route.Policy
	rules   profile.Profile
	members []kernel.Member
	known   bool
}

// services keeps a service for each name, brought up to the newest view.
type services struct {
	current atomic.Pointer[snapshot]
	mutex   sync.Mutex
	latest  map[string]*service
}

// snapshot holds the services as of one view.
type snapshot struct {
	view     *kernel.View
	services sync.Map
}

// of returns a service as of a view.
func (services *services) of(view *kernel.View, name string, shared *call.SharedBudget) *service {
	held := services.current.Load()
	if held == nil || held.view != view {
		held = &snapshot{view: view}
		services.current.Store(held)
	}
	if found, known := held.services.Load(name); known {
		return found.(*service)
	}
	members, known := view.Service(name)
	if !known {
		return &service{}
	}
	made := services.renew(name, profile.FromView(view, name), shared, max(1, len(view.Members)))
	made.members = servingMembers(view, members)
	held.services.Store(name, made)
	return made
}

// known returns a service that requests have gone to, or nil.
func (services *services) known(name string) *service {
	services.mutex.Lock()
	defer services.mutex.Unlock()
	return services.latest[name]
}

// Judgements says of each target that requests have gone to what they have
// shown, as far as it is worth telling.
func (handler *Handler) Judgements() map[string]route.Health {
	services := &handler.services
	services.mutex.Lock()
	books := make([]*route.Tracker, 0, len(services.latest))
	for _, service := range services.latest {
		books = append(books, service.book)
	}
	services.mutex.Unlock()
	now := handler.Now()
	judged := map[string]route.Health{}
	for _, book := range books {
		maps.Copy(judged, book.AssessHealth(now, func(id string) route.Health { return handler.judged[id] }))
	}
	handler.judged = judged
	return judged
}

// Budgets are the budgets of extra attempts of all services that requests have
// gone to. Retries and hedges that share a budget are told once.
func (handler *Handler) Budgets() []metrics.Budget {
	services := &handler.services
	services.mutex.Lock()
	defer services.mutex.Unlock()
	var budgets []metrics.Budget
	for name, service := range services.latest {
		budgets = append(budgets, budgetOf(name, "retry", service.retries))
		if service.hedges != service.retries {
			budgets = append(budgets, budgetOf(name, "hedge", service.hedges))
		}
	}
	return budgets
}

func budgetOf(name, kind string, budget *call.Budget) metrics.Budget {
	taken, denied, left := budget.State()
	return metrics.Budget{Service: name, Kind: kind, Spent: taken, Denied: denied, Remaining: left}
}

// renew carries over what outlives a view: the book always, the budgets and
// the policy while the profile says the same of them.
func (services *services) renew(name string, rules profile.Profile, shared *call.SharedBudget, daemons int) *service {
	services.mutex.Lock()
	defer services.mutex.Unlock()
	made := &service{rules: rules, known: true, book: &route.Tracker{}}
	old := services.latest[name]
	if old != nil {
		made.book = old.book
	}
	made.policy = renewPolicy(old, rules.Policy)
	if services.latest == nil {
		services.latest = map[string]*service{}
	}
	services.latest[name] = made
	if shared != nil {
		made.retries = &call.Budget{}
		if old != nil {
			made.retries = old.retries
		}
		shared.AssignShare(made.retries, daemons)
		made.hedges = made.retries
		return made
	}
	made.retries = renewBudget(old, rules.RetryBudget, func(old *service) (*call.Budget, profile.Budget) {
		return old.retries, old.rules.RetryBudget
	})
	made.hedges = renewBudget(old, rules.HedgeBudget, func(old *service) (*call.Budget, profile.Budget) {
		return old.hedges, old.rules.HedgeBudget
	})
	return made
}

func renewBudget(old *service, rule profile.Budget, of func(*service) (*call.Budget, profile.Budget)) *call.Budget {
	if old != nil {
		if budget, same := of(old); same == rule {
			return budget
		}
	}
	return &call.Budget{Ratio: rule.Ratio, Burst: rule.Burst}
}

func renewPolicy(old *service, name string) route.Policy {
	if old != nil && old.rules.Policy == name {
		return old.policy
	}
	policy, err := route.New(name)
	if err != nil {
		policy, _ = route.New(profile.Default().Policy)
	}
	return policy
}

func servingMembers(view *kernel.View, members []kernel.Member) []kernel.Member {
	var serving []kernel.Member
	for _, member := range members {
		if member.Serves() {
			serving = append(serving, member)
		}
	}
	self, _ := view.Member(view.Self)
	return subset(self, serving)
}

// subset is the part of the targets that this daemon uses, so that its
// connections do not grow with the fleet: some in its own region, chosen by
// rendezvous hashing, and a few beyond.
func subset(self kernel.Member, members []kernel.Member) []kernel.Member {
	if len(members) <= nearTargets+farTargets {
		return members
	}
	order := slices.Clone(members)
	slices.SortFunc(order, func(one, other kernel.Member) int {
		return cmp.Compare(xxhash.Sum64String(self.ID+"\x00"+one.ID), xxhash.Sum64String(self.ID+"\x00"+other.ID))
	})
	var near, far []kernel.Member
	for _, member := range order {
		if member.Region == self.Region {
			near = append(near, member)
			continue
		}
		far = append(far, member)
	}
	near = near[:min(nearTargets, len(near))]
	wanted := max(farTargets, nearTargets+farTargets-len(near))
	return append(near, far[:min(wanted, len(far))]...)
}

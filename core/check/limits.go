package check

import (
	"slices"
	"strconv"
	"strings"
)

// checkLimits reports limits that contradict each other.
func (checker *checker) checkLimits() {
	for _, route := range checker.Routes {
		if route.Timeout > 0 && route.Timeout < route.Objective {
			checker.warn(route.Field(FieldTimeout), CodeTimeoutBelow, "the timeout of %s ends requests before their objective of %s", route.Timeout, route.Objective)
		}
		if route.MaxAttempts == 0 && checker.isGiven(route.Position, FieldMaxAttempts) {
			checker.warn(route.Field(FieldMaxAttempts), CodeAttemptsBelowOne, "0 attempts mean the default, not none")
		}
	}
	for _, service := range checker.Services {
		if service.WarmupRate > 0 && service.WarmupTime == 0 || service.WarmupRate == 0 && service.WarmupTime > 0 {
			checker.warn(service.Path, CodeWarmupIncomplete, "service %q has only one of the warm-up rate and the warm-up time", service.Name)
		}
	}
	limits := checker.Limits
	checker.checkLimit(FieldMaxHeaderBytes, limits.MaxHeaderBytes == 0)
	checker.checkLimit(FieldMaxBodyBytes, limits.MaxBodyBytes == 0)
	checker.checkLimit(FieldHeaderTimeout, limits.HeaderTimeout == 0)
	checker.checkLimit(FieldIdleTimeout, limits.IdleTimeout == 0)
	for _, workspace := range checker.Workspaces {
		checker.checkBurst(workspace)
		checker.checkDisjoint(workspace)
	}
	checker.checkQuotas()
}

func (checker *checker) checkLimit(field Field, isZero bool) {
	if isZero && checker.isGiven(checker.Limits.Position, field) {
		checker.warn(checker.Limits.Field(field), CodeLimitZero, "0 means that there is no limit of the configuration")
	}
}

// checkBurst reports a burst that does not fit the rate of a workspace.
func (checker *checker) checkBurst(workspace Workspace) {
	switch {
	case workspace.Rate > 0 && workspace.Burst >= 0 && workspace.Burst < 1:
		checker.warn(workspace.Field(FieldBurst), CodeBurstBelowOne, "workspace %q has a rate, but its burst of %s does not hold a whole request",
			workspace.Name, formatNumber(workspace.Burst))
	case workspace.Rate == 0 && workspace.Burst > 0:
		checker.warn(workspace.Field(FieldBurst), CodeBurstWithoutRate, "workspace %q has a burst, but no rate, so its requests are not limited", workspace.Name)
	}
}

// maxNamedRoutes limits how many routes a finding names.
const maxNamedRoutes = 3

// checkDisjoint reports the routes that share no allowed region with a workspace, in one
// finding, since a table may have many workspaces and routes.
func (checker *checker) checkDisjoint(workspace Workspace) {
	if len(workspace.Regions) == 0 {
		return
	}
	var names []string
	for _, route := range checker.Routes {
		if len(route.Regions) > 0 && !route.Anonymous && !slices.ContainsFunc(route.Regions, func(region string) bool {
			return slices.Contains(workspace.Regions, region)
		}) {
			names = append(names, strconv.Quote(route.Name))
		}
	}
	if len(names) == 0 {
		return
	}
	shown := strings.Join(names[:min(len(names), maxNamedRoutes)], ", ")
	if more := len(names) - maxNamedRoutes; more > 0 {
		shown += " and " + strconv.Itoa(more) + " more"
	}
	checker.warn(workspace.Field(FieldRegions), CodeRegionsDisjoint, "requests of workspace %q on these routes are always refused, since no region is allowed by both: %s",
		workspace.Name, shown)
}

// checkQuotas reports rates above what all slots can do, if targets and service times of
// all their services are known.
func (checker *checker) checkQuotas() {
	for _, targets := range checker.options.Targets {
		if checker.options.ServiceTimes[targets.Service] <= 0 {
			return
		}
	}
	if len(checker.options.Targets) == 0 {
		return
	}
	total := 0.0
	for _, workspace := range checker.Workspaces {
		total += max(0, workspace.Rate)
		if capacity := checker.capacity(workspace.Regions); workspace.Rate > capacity {
			checker.warn(workspace.Field(FieldRate), CodeQuotaAbove, "workspace %q has a rate of %s, and the slots of all services in its regions serve %s requests a second",
				workspace.Name, formatNumber(workspace.Rate), formatNumber(capacity))
		}
	}
	if capacity := checker.capacity(nil); total > capacity {
		checker.warn("", CodeQuotasAbove, "the rates of all workspaces add up to %s, and the slots of all services serve %s requests a second",
			formatNumber(total), formatNumber(capacity))
	}
}

// capacity returns how many requests a second the known targets in the regions serve. An
// empty list stands for all regions.
func (checker *checker) capacity(regions []string) float64 {
	capacity := 0.0
	for _, targets := range checker.options.Targets {
		if len(regions) == 0 || slices.Contains(regions, targets.Region) {
			capacity += float64(targets.Count) * float64(targets.Slots) / checker.options.ServiceTimes[targets.Service].Seconds()
		}
	}
	return capacity
}

// formatNumber formats a number with at most two decimals.
func formatNumber(number float64) string {
	text := strconv.FormatFloat(number, 'f', 2, 64)
	return strings.TrimRight(strings.TrimRight(text, "0"), ".")
}

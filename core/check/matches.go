package check

import (
	"slices"
	"strconv"
	"strings"
)

// checkMatches reports entries that no request can match, and those that lead nowhere.
func (checker *checker) checkMatches() {
	if len(checker.Routes) == 0 {
		checker.warn("", CodeNoRoutes, "there are no routes, so every request gets 404")
	}
	checker.checkShadowed()
	checker.checkServices()
	checker.checkRegions()
	for _, workspace := range checker.Workspaces {
		if len(workspace.Keys) == 0 {
			checker.warn(workspace.Field(FieldKeys), CodeKeysMissing, "workspace %q has no key, so no request can be of it", workspace.Name)
		}
	}
}

// checkShadowed reports routes whose host or prefix never matches.
func (checker *checker) checkShadowed() {
	type match struct{ host, prefix string }
	first := map[match]Route{}
	for _, route := range checker.Routes {
		if strings.ContainsAny(route.Host, "/:*? \t") {
			checker.warn(route.Field(FieldHost), CodeHostNeverMatches, "host %q is compared without a port and without patterns, so it never matches", route.Host)
		}
		key := match{host: strings.ToLower(route.Host), prefix: route.Prefix}
		if earlier, found := first[key]; found {
			checker.warn(route.Field(FieldPrefix), CodeRouteShadowed, "route %q never matches: route %q at %s has the same host and prefix", route.Name, earlier.Name, earlier.Path)
			continue
		}
		first[key] = route
	}
}

// checkServices reports destinations that get no requests or whose service has no entry,
// and services that no route leads to.
func (checker *checker) checkServices() {
	used, known := map[string]bool{}, map[string]bool{}
	for _, service := range checker.Services {
		known[service.Name] = true
	}
	for _, route := range checker.Routes {
		for index, destination := range route.Destinations {
			paths := route.DestinationPaths[index]
			used[destination.Service] = true
			if destination.Weight == 0 && len(route.Destinations) > 1 {
				checker.warn(paths.Weight, CodeDestinationWeight, "service %q gets no requests of route %q, since its weight is 0", destination.Service, route.Name)
			}
			if !known[destination.Service] && destination.Service != "" {
				checker.warn(paths.Service, CodeServiceWithoutEntry, "service %q has no entry", destination.Service)
			}
		}
	}
	for _, service := range checker.Services {
		if !used[service.Name] {
			checker.warn(service.Path, CodeServiceUnused, "no route leads to service %q", service.Name)
		}
	}
}

// checkRegions reports allowed regions that do not exist or in which a service has no
// targets, as far as regions and targets are known.
func (checker *checker) checkRegions() {
	for _, route := range checker.Routes {
		checker.checkKnownRegions(route.Position, route.Regions)
		for _, destination := range route.Destinations {
			checker.checkReachable(route, destination.Service)
		}
	}
	for _, workspace := range checker.Workspaces {
		checker.checkKnownRegions(workspace.Position, workspace.Regions)
		for index, region := range workspace.Regions {
			if len(checker.options.Targets) > 0 && !checker.hasTargets(func(targets Targets) bool { return targets.Region == region }) {
				checker.warn(elementPath(workspace.Position, FieldRegions, index), CodeRegionWithoutTargets, "no service has targets in region %q", region)
			}
		}
	}
}

func elementPath(position Position, field Field, index int) string {
	return position.Field(field) + "[" + strconv.Itoa(index) + "]"
}

func (checker *checker) checkKnownRegions(position Position, regions []string) {
	for index, region := range regions {
		if region == "" || len(checker.options.Regions) > 0 && !slices.Contains(checker.options.Regions, region) {
			checker.warn(elementPath(position, FieldRegions, index), CodeRegionUnknown, "region %q does not exist", region)
		}
	}
}

// checkReachable reports the regions of a route in which the service has no targets.
func (checker *checker) checkReachable(route Route, service string) {
	isOf := func(targets Targets) bool { return targets.Service == service }
	if len(route.Regions) == 0 || !slices.ContainsFunc(checker.options.Targets, isOf) {
		return
	}
	empty := 0
	for index, region := range route.Regions {
		if checker.hasTargets(func(targets Targets) bool { return isOf(targets) && targets.Region == region }) {
			continue
		}
		empty++
		checker.warn(elementPath(route.Position, FieldRegions, index), CodeRegionWithoutTargets, "service %q has no targets in region %q", service, region)
	}
	if empty == len(route.Regions) {
		checker.warn(route.Field(FieldRegions), CodeRouteUnreachable, "route %q never reaches service %q, which has no targets in the allowed regions", route.Name, service)
	}
}

// hasTargets reports whether some of the known targets satisfy a condition.
func (checker *checker) hasTargets(condition func(Targets) bool) bool {
	return slices.ContainsFunc(checker.options.Targets, func(targets Targets) bool { return targets.Count > 0 && condition(targets) })
}

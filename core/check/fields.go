package check

import (
	"strings"

	"ibislift/core/routes"
)

// checkFields reports values that a daemon rejects, or that no configuration needs.
func (checker *checker) checkFields() {
	switch {
	case checker.Version == 0:
		checker.fail(checker.VersionPath, CodeVersionMissing, "the version is missing or 0")
	case checker.Version > routes.MaxVersion:
		checker.fail(checker.VersionPath, CodeVersionTooHigh, "version %d is above %d", checker.Version, uint64(routes.MaxVersion))
	}
	for _, route := range checker.Routes {
		checker.checkRoute(route)
		checker.checkDestinations(route)
	}
	for _, service := range checker.Services {
		checker.checkNumber(service.Position, FieldMaxConnections, float64(service.MaxConnections))
		checker.checkNumber(service.Position, FieldWarmupRate, service.WarmupRate)
		checker.checkNumber(service.Position, FieldWarmupTime, service.WarmupTime.Seconds())
	}
	for _, workspace := range checker.Workspaces {
		checker.checkNumber(workspace.Position, FieldRate, workspace.Rate)
		checker.checkNumber(workspace.Position, FieldBurst, workspace.Burst)
		if workspace.Rank != nil {
			checker.checkNumber(workspace.Position, FieldRank, float64(*workspace.Rank))
		}
	}
	limits := checker.Limits
	checker.checkNumber(limits.Position, FieldMaxHeaderBytes, float64(limits.MaxHeaderBytes))
	checker.checkNumber(limits.Position, FieldMaxBodyBytes, float64(limits.MaxBodyBytes))
	checker.checkNumber(limits.Position, FieldHeaderTimeout, limits.HeaderTimeout.Seconds())
	checker.checkNumber(limits.Position, FieldIdleTimeout, limits.IdleTimeout.Seconds())
	checker.checkNames()
	checker.checkKeys()
}

func (checker *checker) checkRoute(route Route) {
	if route.Host == "" {
		checker.fail(route.Field(FieldHost), CodeHostMissing, "route %q has no host", route.Name)
	}
	if !strings.HasPrefix(route.Prefix, "/") {
		checker.fail(route.Field(FieldPrefix), CodePrefixStart, "prefix %q does not start with /", route.Prefix)
	} else if !strings.HasSuffix(route.Prefix, "/") {
		checker.fail(route.Field(FieldPrefix), CodePrefixEnd, "prefix %q does not end with /, so it also matches longer names", route.Prefix)
	}
	checker.checkNumber(route.Position, FieldTimeout, route.Timeout.Seconds())
	checker.checkNumber(route.Position, FieldObjective, route.Objective.Seconds())
	checker.checkNumber(route.Position, FieldRank, float64(route.Rank))
	checker.checkNumber(route.Position, FieldMaxAttempts, float64(route.MaxAttempts))
}

func (checker *checker) checkDestinations(route Route) {
	if len(route.Destinations) == 0 {
		checker.fail(route.Field(FieldDestinations), CodeDestinationsMissing, "route %q leads to no service", route.Name)
		return
	}
	total := 0.0
	for index, destination := range route.Destinations {
		paths := route.DestinationPaths[index]
		if destination.Service == "" {
			checker.fail(paths.Service, CodeServiceMissing, "route %q has a destination without a service", route.Name)
		}
		if destination.Weight < 0 {
			checker.fail(paths.Weight, CodeNegativeNumber, "the weight is below 0")
		}
		total += max(0, destination.Weight)
	}
	if total <= 0 {
		checker.fail(route.Field(FieldDestinations), CodeWeightsNotPositive, "route %q has no destination with a weight above 0", route.Name)
	}
}

func (checker *checker) checkNumber(position Position, field Field, number float64) {
	if number < 0 {
		checker.fail(position.Field(field), CodeNegativeNumber, "%s is below 0", field)
	}
}

// checkNames reports names that are missing or not unique among entries of a type.
func (checker *checker) checkNames() {
	names := newNameCheck(checker, "route")
	for _, route := range checker.Routes {
		if route.Name == "" {
			checker.warn(route.Field(FieldName), CodeNameMissing, "the route has no name, by which logs and metrics call it")
			continue
		}
		names.add(route.Position, route.Name)
	}
	names = newNameCheck(checker, "service")
	for _, service := range checker.Services {
		names.add(service.Position, service.Name)
	}
	names = newNameCheck(checker, "workspace")
	for _, workspace := range checker.Workspaces {
		names.add(workspace.Position, workspace.Name)
	}
}

// nameCheck reports names of entries of a type that are missing or not unique.
type nameCheck struct {
	checker *checker
	kind    string
	paths   map[string]string
}

func newNameCheck(checker *checker, kind string) nameCheck {
	return nameCheck{checker: checker, kind: kind, paths: map[string]string{}}
}

func (nameCheck nameCheck) add(position Position, name string) {
	path := position.Field(FieldName)
	if name == "" {
		nameCheck.checker.fail(path, CodeNameMissing, "the %s has no name", nameCheck.kind)
		return
	}
	earlier, found := nameCheck.paths[name]
	// Entries reports a name of its own format that is there twice.
	if found && earlier != path {
		nameCheck.checker.fail(path, CodeNameDuplicate, "%s %q is also at %s", nameCheck.kind, name, earlier)
		return
	}
	nameCheck.paths[name] = path
}

// keyHolder is the workspace that holds a key, and the position of the key there.
type keyHolder struct {
	workspace int
	key       int
}

// checkKeys reports keys that are in the configuration twice. They are named by their
// workspace and position only.
func (checker *checker) checkKeys() {
	holders := map[routes.KeyDigest]keyHolder{}
	for index, workspace := range checker.Workspaces {
		for key, digest := range workspace.Keys {
			holder, held := holders[digest]
			switch {
			case !held:
				holders[digest] = keyHolder{workspace: index, key: key}
			case holder.workspace == index:
				checker.fail(workspace.KeyPaths[key], CodeKeyTwice, "workspace %q has the key twice; it is also at %s", workspace.Name, workspace.KeyPaths[holder.key])
			default:
				other := checker.Workspaces[holder.workspace]
				checker.fail(workspace.KeyPaths[key], CodeKeyOfTwoWorkspaces, "the key of workspace %q also belongs to workspace %q, at %s",
					workspace.Name, other.Name, other.KeyPaths[holder.key])
			}
		}
	}
}

package check

import (
	"cmp"
	"slices"
	"sort"
	"strconv"
	"strings"

	"ibislift/core/routes"
)

// Difference is something in which a configuration differs from the one in force.
type Difference struct {
	// Change is added, removed or changed.
	Change string `json:"change"`
	// Entry is the type of the entry: version, route, service, workspace or limits.
	Entry string `json:"entry"`
	Name  string `json:"name,omitempty"`
	// Field is the field of a changed entry, with its values before and after. For the
	// keys of a workspace the values are the numbers of keys that were removed and added.
	Field  Field  `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// The changes of a Difference.
const (
	changeAdded   = "added"
	changeRemoved = "removed"
	changeChanged = "changed"
)

// entry is an entry in the form in which it is compared.
type entry struct {
	kind   string
	name   string
	fields []fieldValue
	keys   []routes.KeyDigest
}

// fieldValue is a field and its value as a text.
type fieldValue struct {
	field Field
	value string
}

// compareWithInForce returns what differs from the configuration in force, and reports a
// version that is not newer. The same configuration again is no fault.
func (checker *checker) compareWithInForce() []Difference {
	inForce, _ := readConfiguration(checker.options.InForce, checker.options.Formats)
	if inForce == nil {
		checker.fail("", CodeInForceUnreadable, "the configuration in force cannot be read")
		return []Difference{}
	}
	differences := compareEntries(inForce.entries(), checker.entries())
	if checker.Version < inForce.Version || checker.Version == inForce.Version && len(differences) > 0 {
		checker.fail(checker.VersionPath, CodeVersionNotNewer, "version %d is not above version %d, which is in force", checker.Version, inForce.Version)
	}
	if checker.Version != inForce.Version {
		differences = append([]Difference{{
			Change: changeChanged, Entry: "version",
			Before: strconv.FormatUint(inForce.Version, 10), After: strconv.FormatUint(checker.Version, 10),
		}}, differences...)
	}
	return differences
}

// compareEntries returns the differences in the order of types and names.
func compareEntries(before, after []entry) []Difference {
	type id struct{ kind, name string }
	earlier, later := map[id]entry{}, map[id]entry{}
	for _, entry := range before {
		earlier[id{entry.kind, entry.name}] = entry
	}
	differences := []Difference{}
	for _, entry := range after {
		later[id{entry.kind, entry.name}] = entry
		if known, found := earlier[id{entry.kind, entry.name}]; found {
			differences = append(differences, known.compare(entry)...)
		} else {
			differences = append(differences, Difference{Change: changeAdded, Entry: entry.kind, Name: entry.name})
		}
	}
	for _, entry := range before {
		if _, found := later[id{entry.kind, entry.name}]; !found {
			differences = append(differences, Difference{Change: changeRemoved, Entry: entry.kind, Name: entry.name})
		}
	}
	order := []string{"limits", "route", "service", "workspace"}
	slices.SortStableFunc(differences, func(first, second Difference) int {
		return cmp.Or(cmp.Compare(slices.Index(order, first.Entry), slices.Index(order, second.Entry)), compareNatural(first.Name, second.Name))
	})
	return differences
}

// compare returns the fields in which a later form of the entry differs.
func (earlier entry) compare(later entry) []Difference {
	var differences []Difference
	for index, field := range earlier.fields {
		if value := later.fields[index].value; value != field.value {
			differences = append(differences, Difference{
				Change: changeChanged, Entry: later.kind, Name: later.name, Field: field.field, Before: field.value, After: value,
			})
		}
	}
	removed, added := countMissing(earlier.keys, later.keys), countMissing(later.keys, earlier.keys)
	if removed+added > 0 {
		differences = append(differences, Difference{
			Change: changeChanged, Entry: later.kind, Name: later.name, Field: FieldKeys,
			Before: strconv.Itoa(removed) + " removed", After: strconv.Itoa(added) + " added",
		})
	}
	return differences
}

// countMissing returns how many of the keys others lacks.
func countMissing(keys, others []routes.KeyDigest) int {
	present := make(map[routes.KeyDigest]bool, len(others))
	for _, key := range others {
		present[key] = true
	}
	count := 0
	for _, key := range keys {
		if !present[key] {
			count++
		}
	}
	return count
}

// entries returns the entries of a configuration.
func (config *Configuration) entries() []entry {
	var entries []entry
	for _, route := range config.Routes {
		entries = append(entries, route.entry())
	}
	for _, service := range config.Services {
		entries = append(entries, entry{kind: "service", name: service.Name, fields: []fieldValue{
			{FieldHealthPath, service.HealthPath},
			{FieldMaxConnections, strconv.Itoa(service.MaxConnections)},
			{FieldWarmupRate, formatExact(service.WarmupRate)},
			{FieldWarmupTime, service.WarmupTime.String()},
		}})
	}
	for _, workspace := range config.Workspaces {
		rank := "none"
		if workspace.Rank != nil {
			rank = strconv.Itoa(*workspace.Rank)
		}
		entries = append(entries, entry{kind: "workspace", name: workspace.Name, keys: workspace.Keys, fields: []fieldValue{
			{FieldRank, rank},
			{FieldRate, formatExact(workspace.Rate)},
			{FieldBurst, formatExact(workspace.Burst)},
			{FieldRegions, formatRegions(workspace.Regions)},
		}})
	}
	limits := config.Limits
	return append(entries, entry{kind: "limits", fields: []fieldValue{
		{FieldMaxHeaderBytes, strconv.Itoa(limits.MaxHeaderBytes)},
		{FieldMaxBodyBytes, strconv.FormatInt(limits.MaxBodyBytes, 10)},
		{FieldHeaderTimeout, limits.HeaderTimeout.String()},
		{FieldIdleTimeout, limits.IdleTimeout.String()},
	}})
}

// entry returns the route in the form in which it is compared. A route without a name goes
// by its host and prefix.
func (route Route) entry() entry {
	return entry{kind: "route", name: cmp.Or(route.Name, route.Host+route.Prefix), fields: []fieldValue{
		{FieldHost, strings.ToLower(route.Host)},
		{FieldPrefix, route.Prefix},
		{FieldRepeatable, strconv.FormatBool(route.Repeatable)},
		{FieldTimeout, route.Timeout.String()},
		{FieldObjective, route.Objective.String()},
		{FieldRank, strconv.Itoa(route.Rank)},
		{FieldMaxAttempts, strconv.Itoa(route.MaxAttempts)},
		{FieldDestinations, formatDestinations(route.Destinations)},
		{FieldRegions, formatRegions(route.Regions)},
		{FieldAnonymous, strconv.FormatBool(route.Anonymous)},
	}}
}

func formatExact(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }

// formatRegions formats regions, whose order does not matter.
func formatRegions(regions []string) string {
	if len(regions) == 0 {
		return "all"
	}
	sorted := slices.Clone(regions)
	sort.Strings(sorted)
	return strings.Join(slices.Compact(sorted), ", ")
}

func formatDestinations(destinations []routes.Destination) string {
	var parts []string
	for _, destination := range destinations {
		parts = append(parts, destination.Service+" "+formatExact(destination.Weight))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

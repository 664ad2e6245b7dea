// Package routes holds the route table that operators write: which service a
// request goes to, how it may be handled, and what callers may send.
//
// A Table is an immutable, versioned value that is applied as a whole. The
// plug-in in core/rollout replaces it with newer versions.
//
// # Usage
//
//	table, err := routes.Parse(body)
//	route, found := table.Match("shop.example", "/orders/7")
//	service, found := splitter.Next(route, nil)
package routes

import (
	"encoding/json"
	"net"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("routes")

// Destination is a service that receives a share of a route's requests.
type Destination struct {
	Service string `json:"service"`
	// Weight is the share relative to the route's other destinations.
	Weight float64 `json:"weight"`
}

// Route applies to requests whose host is Host and whose path starts with
// Prefix.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Repeatable requests may run more than once.
	Repeatable bool `json:"repeatable"`
	// Timeout limits how long a caller waits for a response; 0 means that only
	// the caller's own deadline applies.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency objective: the time within which a response
	// meets it. A later response is still sent but is less important.
	Objective time.Duration `json:"objective"`
	// Rank orders the requests of a service that are not important: the lowest
	// rank goes first. 0 means that no rank is set, and counts as 1.
	Rank int `json:"rank"`
	// MaxAttempts limits the attempts of one request that may have reached a
	// target; 0 means the default.
	MaxAttempts  int           `json:"maxAttempts"`
	Destinations []Destination `json:"parts"`
	// Regions are the regions whose targets may get the requests and their bodies. An
	// empty list allows all regions.
	Regions []string `json:"regions,omitempty"`
	// Anonymous requests need no API key.
	Anonymous bool `json:"anonymous,omitempty"`
}

// Service holds the settings of a service.
type Service struct {
	HealthPath string `json:"healthPath"`
	// MaxConnections limits the connections to one target for all callers
	// together.
	MaxConnections int `json:"maxConnections"`
	// WarmupRate is the number of requests a second that a cold target takes from all
	// daemons together. 0 means that there is no limit. WarmupTime is how long a target
	// stays cold after its start.
	WarmupRate float64       `json:"warmupRate,omitempty"`
	WarmupTime time.Duration `json:"warmupTime,omitempty"`
}

// Limits restricts what callers may send. A zero field sets no limit.
type Limits struct {
	MaxHeaderBytes int           `json:"headerBytes"`
	MaxBodyBytes   int64         `json:"bodyBytes"`
	HeaderTimeout  time.Duration `json:"headerTime"`
	IdleTimeout    time.Duration `json:"idleTime"`
}

// Table is a complete route table. It is not modified after Parse.
type Table struct {
	Version  uint64             `json:"version"`
	Routes   []Route            `json:"routes"`
	Services map[string]Service `json:"services"`
	Limits   Limits             `json:"limits"`
	// Workspaces are the organisations that may send requests. Without any, requests
	// need no API key.
	Workspaces []Workspace `json:"workspaces,omitempty"`

	byHost map[string][]*Route
	byKey  map[KeyDigest]*Workspace
}

// Parse decodes a table from JSON and validates it.
func Parse(body []byte) (*Table, error) {
	table := &Table{}
	if err := json.Unmarshal(body, table); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := table.validate(); err != nil {
		return nil, err
	}
	table.indexByHost()
	table.indexByKey()
	return table, nil
}

// MaxVersion is the highest version of a table. Versions that count microseconds
// since 1970 stay below it. The replicated record has the other bits for the era of
// the platform.
const MaxVersion = 1<<VersionBits - 1

// VersionBits is the size of a version.
const VersionBits = 52

func (table *Table) validate() error {
	if table.Version == 0 {
		return Error.New("version is missing")
	}
	if table.Version > MaxVersion {
		return Error.New("version %d is above %d", table.Version, uint64(MaxVersion))
	}
	for _, route := range table.Routes {
		switch {
		case route.Host == "":
			return Error.New("route %q: host is missing", route.Name)
		case !strings.HasPrefix(route.Prefix, "/"):
			return Error.New("route %q: prefix %q does not start with /", route.Name, route.Prefix)
		case totalWeight(route.Destinations) <= 0:
			return Error.New("route %q: parts must include a service with a weight above 0", route.Name)
		}
	}
	return table.validateWorkspaces()
}

func totalWeight(destinations []Destination) float64 {
	total := 0.0
	for _, destination := range destinations {
		total += max(0, destination.Weight)
	}
	return total
}

// indexByHost groups the routes by host and sorts each group by the length of
// the prefix, longest first.
func (table *Table) indexByHost() {
	table.byHost = map[string][]*Route{}
	for index := range table.Routes {
		route := &table.Routes[index]
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, routes := range table.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

// Match returns the route of the host with the longest prefix that matches the
// path. The host may include a port.
func (table *Table) Match(host, path string) (*Route, bool) {
	if hostname, _, err := net.SplitHostPort(host); err == nil {
		host = hostname
	}
	for _, route := range table.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// ServiceNames returns the names of the services that the table's routes lead
// to.
func (table *Table) ServiceNames() []string {
	var names []string
	for _, route := range table.Routes {
		for _, destination := range route.Destinations {
			if !slices.Contains(names, destination.Service) {
				names = append(names, destination.Service)
			}
		}
	}
	return names
}

// HasRouteTo reports whether a route of the table leads to the service.
func (table *Table) HasRouteTo(service string) bool {
	return slices.Contains(table.ServiceNames(), service)
}

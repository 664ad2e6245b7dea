// Package routes holds the operators' route table: which service a request
// goes to, how it may be treated, and what callers may send.
//
// A Table is one versioned value that is applied whole. It is immutable; the
// plug-in in core/rollout puts newer ones in force.
//
// # Usage
//
//	table, err := routes.Parse(body)
//	route, found := table.Match("shop.example", "/orders/7")
//	service := route.Service(turn)
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

// Part is a service that takes a share of a route's requests.
type Part struct {
	Service string `json:"service"`
	// Weight is the part's share relative to the route's other parts.
	Weight float64 `json:"weight"`
}

// Route says where requests go whose host is Host and whose path starts with
// Prefix.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Repeatable requests may run more than once.
	Repeatable bool `json:"repeatable"`
	// Timeout is the longest time that a caller is kept waiting; 0 means no
	// bound but the caller's own deadline.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time within which an answer is worth its full credit.
	Objective time.Duration `json:"objective"`
	// Rank orders requests of a service; 0 goes first.
	Rank int `json:"rank"`
	// MaxAttempts is how many targets one request may reach.
	MaxAttempts int    `json:"maxAttempts"`
	Parts       []Part `json:"parts"`
}

// Service is what the table says of a service.
type Service struct {
	HealthPath string `json:"healthPath"`
	// MaxConnections bounds the connections to one target, from all callers.
	MaxConnections int `json:"maxConnections"`
}

// Limits bound what callers may send. A zero field sets no bound.
type Limits struct {
	HeaderBytes int           `json:"headerBytes"`
	BodyBytes   int64         `json:"bodyBytes"`
	HeaderTime  time.Duration `json:"headerTime"`
	IdleTime    time.Duration `json:"idleTime"`
}

// Table is a whole route table. It is not changed after Parse.
type Table struct {
	Version  uint64             `json:"version"`
	Routes   []Route            `json:"routes"`
	Services map[string]Service `json:"services"`
	Limits   Limits             `json:"limits"`

	byHost map[string][]*Route
}

// Parse reads a table from its own JSON form and checks it.
func Parse(body []byte) (*Table, error) {
	table := &Table{}
	if err := json.Unmarshal(body, table); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := table.check(); err != nil {
		return nil, err
	}
	table.index()
	return table, nil
}

func (table *Table) check() error {
	if table.Version == 0 {
		return Error.New("version: is missing")
	}
	for _, route := range table.Routes {
		switch {
		case route.Host == "":
			return Error.New("route %q: host: is missing", route.Name)
		case !strings.HasPrefix(route.Prefix, "/"):
			return Error.New("route %q: prefix: %q does not start with /", route.Name, route.Prefix)
		case route.total() <= 0:
			return Error.New("route %q: parts: no service has a weight above 0", route.Name)
		}
	}
	return nil
}

func (route *Route) total() float64 {
	total := 0.0
	for _, part := range route.Parts {
		total += max(0, part.Weight)
	}
	return total
}

// index orders each host's routes by the length of their prefix, longest
// first.
func (table *Table) index() {
	table.byHost = map[string][]*Route{}
	for at := range table.Routes {
		route := &table.Routes[at]
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, routes := range table.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

// Match returns the route with the longest prefix of the path among those of
// the host. The host may carry a port.
func (table *Table) Match(host, path string) (*Route, bool) {
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	for _, route := range table.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Targets names the services that the table's routes lead to.
func (table *Table) Targets() []string {
	var names []string
	for _, route := range table.Routes {
		for _, part := range route.Parts {
			if !slices.Contains(names, part.Service) {
				names = append(names, part.Service)
			}
		}
	}
	return names
}

// Leads says whether a route of the table goes to the service.
func (table *Table) Leads(service string) bool {
	return slices.Contains(table.Targets(), service)
}

package check

import (
	"time"

	"ibislift/core/routes"
)

// ownFormat is ibislift's own encoding, which routes.Parse reads.
type ownFormat struct{}

// Matches reports whether the file holds an object.
func (ownFormat) Matches(root Value) bool {
	_, isObject := root.node.([]member)
	return isObject
}

// Decode returns the text.
func (ownFormat) Decode(text []byte) ([]byte, error) { return text, nil }

// The names of fields that differ from those of Field.
var (
	routeNames  = Names{FieldDestinations: "parts"}
	limitsNames = Names{
		FieldMaxHeaderBytes: "headerBytes", FieldMaxBodyBytes: "bodyBytes",
		FieldHeaderTimeout: "headerTime", FieldIdleTimeout: "idleTime",
	}
)

// Read reads a configuration.
func (ownFormat) Read(root Value) Configuration {
	members := root.Members("version", "routes", "services", "limits", "workspaces")
	version := members.Get("version")
	config := Configuration{Version: version.Unsigned(), VersionPath: version.Path()}
	for _, value := range members.Get("routes").Elements() {
		config.Routes = append(config.Routes, readRoute(value))
	}
	names, values := members.Get("services").Entries()
	for index, value := range values {
		config.Services = append(config.Services, readService(names[index], value))
	}
	for _, value := range members.Get("workspaces").Elements() {
		config.Workspaces = append(config.Workspaces, readWorkspace(value))
	}
	limits := members.Get("limits")
	fields := limits.Members("headerBytes", "bodyBytes", "headerTime", "idleTime")
	config.Limits = Limits{Position: Position{Path: limits.Path(), Names: limitsNames}, Limits: routes.Limits{
		MaxHeaderBytes: fields.Get("headerBytes").Int(),
		MaxBodyBytes:   int64(fields.Get("bodyBytes").Int()),
		HeaderTimeout:  readDuration(fields.Get("headerTime")),
		IdleTimeout:    readDuration(fields.Get("idleTime")),
	}}
	return config
}

// readDuration reads a time in nanoseconds.
func readDuration(value Value) time.Duration { return time.Duration(value.Int()) }

func readRoute(value Value) Route {
	fields := value.Members("name", "host", "prefix", "repeatable", "timeout", "objective", "rank", "maxAttempts", "parts", "regions", "anonymous")
	route := Route{Position: Position{Path: value.Path(), Names: routeNames}, Route: routes.Route{
		Name:        fields.Get("name").Text(),
		Host:        fields.Get("host").Text(),
		Prefix:      fields.Get("prefix").Text(),
		Repeatable:  fields.Get("repeatable").Bool(),
		Timeout:     readDuration(fields.Get("timeout")),
		Objective:   readDuration(fields.Get("objective")),
		Rank:        fields.Get("rank").Int(),
		MaxAttempts: fields.Get("maxAttempts").Int(),
		Regions:     fields.Get("regions").Texts(),
		Anonymous:   fields.Get("anonymous").Bool(),
	}}
	for _, part := range fields.Get("parts").Elements() {
		route.AddDestination(part)
	}
	return route
}

// AddDestination reads a destination with the fields service and weight.
func (route *Route) AddDestination(value Value) {
	fields := value.Members("service", "weight")
	service, weight := fields.Get("service"), fields.Get("weight")
	route.Destinations = append(route.Destinations, routes.Destination{Service: service.Text(), Weight: weight.Number()})
	route.DestinationPaths = append(route.DestinationPaths, DestinationPath{Service: service.Path(), Weight: weight.Path()})
}

func readService(name string, value Value) Service {
	fields := value.Members("healthPath", "maxConnections", "warmupRate", "warmupTime")
	return Service{Name: name, Position: Position{Path: value.Path()}, Service: routes.Service{
		HealthPath:     fields.Get("healthPath").Text(),
		MaxConnections: fields.Get("maxConnections").Int(),
		WarmupRate:     fields.Get("warmupRate").Number(),
		WarmupTime:     readDuration(fields.Get("warmupTime")),
	}}
}

func readWorkspace(value Value) Workspace {
	fields := value.Members("name", "keys", "rank", "rate", "burst", "regions")
	workspace := Workspace{Position: Position{Path: value.Path()}, Workspace: routes.Workspace{
		Name:    fields.Get("name").Text(),
		Rank:    ReadRank(fields.Get("rank")),
		Rate:    fields.Get("rate").Number(),
		Burst:   fields.Get("burst").Number(),
		Regions: fields.Get("regions").Texts(),
	}}
	for index, key := range fields.Get("keys").Elements() {
		var digest routes.KeyDigest
		text := key.Text()
		if !key.IsGiven() || digest.UnmarshalText([]byte(text)) != nil {
			// The text is not reported, since it may be a key itself.
			key.Fail(CodeWrongType, "workspace %q: key %d is not the digest of an API key", workspace.Name, index+1)
			continue
		}
		workspace.addDigest(key, digest)
	}
	return workspace
}

// ReadRank reads a rank that need not be given.
func ReadRank(value Value) *int {
	if !value.IsGiven() {
		return nil
	}
	rank := value.Int()
	return &rank
}

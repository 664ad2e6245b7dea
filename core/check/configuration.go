package check

import (
	"strings"

	"ibislift/core/routes"
)

// Field is a field of an entry, whatever its name in the file. Differences and messages
// use these names.
type Field string

// The fields of entries.
const (
	FieldName           Field = "name"
	FieldHost           Field = "host"
	FieldPrefix         Field = "prefix"
	FieldRepeatable     Field = "repeatable"
	FieldTimeout        Field = "timeout"
	FieldObjective      Field = "objective"
	FieldRank           Field = "rank"
	FieldMaxAttempts    Field = "maxAttempts"
	FieldDestinations   Field = "destinations"
	FieldRegions        Field = "regions"
	FieldAnonymous      Field = "anonymous"
	FieldHealthPath     Field = "healthPath"
	FieldMaxConnections Field = "maxConnections"
	FieldWarmupRate     Field = "warmupRate"
	FieldWarmupTime     Field = "warmupTime"
	FieldKeys           Field = "keys"
	FieldRate           Field = "rate"
	FieldBurst          Field = "burst"
	FieldMaxHeaderBytes Field = "maxHeaderBytes"
	FieldMaxBodyBytes   Field = "maxBodyBytes"
	FieldHeaderTimeout  Field = "headerTimeout"
	FieldIdleTimeout    Field = "idleTimeout"
)

// Names holds the paths of fields below their entry in a format. A field that is missing
// has its own name.
type Names map[Field]string

// Position is where an entry stands in a file.
type Position struct {
	Path  string
	Names Names
}

// Field returns the path of a field of the entry.
func (position Position) Field(field Field) string {
	name, found := position.Names[field]
	if !found {
		name = string(field)
	}
	return position.Path + "." + name
}

// Configuration is a configuration with the positions of its entries.
type Configuration struct {
	Version uint64
	// VersionPath is the path of the version.
	VersionPath string
	Routes      []Route
	Services    []Service
	Workspaces  []Workspace
	Limits      Limits

	format Format
	given  map[string]bool
}

// Route is a route in a file. DestinationPaths holds the paths of the name and the weight
// of each destination.
type Route struct {
	routes.Route
	Position
	DestinationPaths []DestinationPath
}

// DestinationPath holds the paths of the fields of a destination.
type DestinationPath struct{ Service, Weight string }

// Service is the entry of a service in a file.
type Service struct {
	Name string
	routes.Service
	Position
}

// Workspace is a workspace in a file. KeyPaths holds the path of each of its keys.
type Workspace struct {
	routes.Workspace
	Position
	KeyPaths []string
}

// Limits are the limits of callers' requests in a file.
type Limits struct {
	routes.Limits
	Position
}

// AddKey reads the API key at an index of the workspace's keys. The key is neither kept
// nor reported.
func (workspace *Workspace) AddKey(index int, value Value) {
	key := value.Text()
	switch {
	case value.IsGiven() && !value.isText():
		return
	case key == "":
		value.Fail(CodeKeyEmpty, "workspace %q: key %d is empty", workspace.Name, index+1)
		return
	case strings.ContainsFunc(key, func(char rune) bool { return char <= ' ' || char > '~' }):
		value.Warn(CodeKeyNotSendable, "workspace %q: key %d has a character that callers cannot send in an Authorization header", workspace.Name, index+1)
	}
	workspace.addDigest(value, routes.DigestKey(key))
}

func (workspace *Workspace) addDigest(value Value, digest routes.KeyDigest) {
	workspace.Keys = append(workspace.Keys, digest)
	workspace.KeyPaths = append(workspace.KeyPaths, value.Path())
}

// isGiven reports whether the file has a field of an entry.
func (config *Configuration) isGiven(position Position, field Field) bool {
	return config.given[position.Field(field)]
}

// isText reports whether the value is a text.
func (value Value) isText() bool {
	_, isText := value.node.(string)
	return isText
}

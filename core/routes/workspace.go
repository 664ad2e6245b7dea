package routes

import (
	"crypto/sha256"
	"encoding/base64"
)

// Workspace is an organisation whose callers identify themselves with API keys.
type Workspace struct {
	Name string `json:"name"`
	// Keys are the digests of the API keys. Tables hold no keys, since they are
	// replicated and shown to operators.
	Keys []KeyDigest `json:"keys,omitempty"`
	// Rank goes before the rank of the route: the lowest goes first. nil means that no
	// rank is set.
	Rank *int `json:"rank,omitempty"`
	// Rate is the number of requests a second that all daemons together accept, and
	// Burst how many more they accept at once after a pause. A Rate of 0 sets no limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	// Regions are the regions whose targets may get the requests and their bodies. An
	// empty list allows all regions.
	Regions []string `json:"regions,omitempty"`
}

// keyDigestBytes is the length of a digest. 128 bits keep a forged key from matching,
// and a table of 100,000 keys small.
const keyDigestBytes = 16

// KeyDigest is the digest of an API key.
type KeyDigest [keyDigestBytes]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:keyDigestBytes])
}

// MarshalText encodes the digest in base64.
func (digest KeyDigest) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, digest[:]), nil
}

// UnmarshalText is the inverse of MarshalText.
func (digest *KeyDigest) UnmarshalText(text []byte) error {
	decoded, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(decoded) != keyDigestBytes {
		// The text may be the key itself, which must not appear in a log.
		return Error.New("key: not the digest of an API key")
	}
	copy(digest[:], decoded)
	return nil
}

// FindWorkspace returns the workspace that holds an API key.
func (table *Table) FindWorkspace(key string) (*Workspace, bool) {
	workspace, found := table.byKey[DigestKey(key)]
	return workspace, found
}

// validateWorkspaces checks that each workspace has a name of its own, and that no key
// belongs to two workspaces.
func (table *Table) validateWorkspaces() error {
	names := make(map[string]bool, len(table.Workspaces))
	holders := map[KeyDigest]string{}
	for _, workspace := range table.Workspaces {
		switch {
		case workspace.Name == "":
			return Error.New("workspace: name is missing")
		case names[workspace.Name]:
			return Error.New("workspace %q: the name is not unique", workspace.Name)
		case !(workspace.Rate >= 0) || !(workspace.Burst >= 0):
			return Error.New("workspace %q: rate and burst must be at least 0", workspace.Name)
		}
		names[workspace.Name] = true
		for _, digest := range workspace.Keys {
			if holder, held := holders[digest]; held {
				return Error.New("workspace %q: one of its keys also belongs to workspace %q", workspace.Name, holder)
			}
			holders[digest] = workspace.Name
		}
	}
	return nil
}

// indexByKey maps the digests of the keys to their workspaces.
func (table *Table) indexByKey() {
	table.byKey = map[KeyDigest]*Workspace{}
	for index := range table.Workspaces {
		for _, digest := range table.Workspaces[index].Keys {
			table.byKey[digest] = &table.Workspaces[index]
		}
	}
}

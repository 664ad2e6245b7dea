package profile

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"ibislift/core/kernel"
)

// maxRecentNonces is how many nonces of writes an object keeps. A writer that
// did not receive the reply finds its own nonce even after later writes.
const maxRecentNonces = 16

// ObjectPrefix is the prefix of the names of all configuration objects.
const ObjectPrefix = "config/"

const (
	profilePrefix = ObjectPrefix + "profiles/"
	servicePrefix = ObjectPrefix + "services/"
)

// object is the stored form of a configuration object.
type object struct {
	Spec         json.RawMessage `json:"spec"`
	Author       string          `json:"author"`
	Written      time.Time       `json:"written"`
	Retired      bool            `json:"retired,omitempty"`
	RecentNonces []string        `json:"recent"`
}

func decode(body []byte) (object, error) {
	var decoded object
	err := json.Unmarshal(body, &decoded)
	return decoded, err
}

func (object object) encode() []byte {
	body, err := json.Marshal(object)
	if err != nil {
		panic("profile: encoding a configuration object: " + err.Error())
	}
	return body
}

// withNonce returns the object with the nonce of a new write added and nonces
// beyond maxRecentNonces removed.
func (object object) withNonce(nonce string) object {
	recent := append(slices.Clone(object.RecentNonces), nonce)
	object.RecentNonces = recent[max(0, len(recent)-maxRecentNonces):]
	return object
}

func (object object) hasNonce(nonce string) bool { return slices.Contains(object.RecentNonces, nonce) }

func objectName(key kernel.Key) string {
	if key.Kind == kernel.KindService {
		return servicePrefix + key.Name
	}
	return profilePrefix + key.Name
}

// parseObjectName returns the key of the configuration object with this name,
// and false if the name belongs to no such object.
func parseObjectName(name string) (kernel.Key, bool) {
	if rest, found := strings.CutPrefix(name, profilePrefix); found {
		return kernel.Key{Kind: kernel.KindProfile, Name: rest}, true
	}
	if rest, found := strings.CutPrefix(name, servicePrefix); found {
		return kernel.Key{Kind: kernel.KindService, Name: rest}, true
	}
	return kernel.Key{}, false
}

func isConfig(kind kernel.Kind) bool {
	return kind == kernel.KindProfile || kind == kernel.KindService
}

// recordsOf converts platform objects to replicated records. It skips objects
// that are not configuration.
func recordsOf(objects []kernel.Object) []kernel.Record {
	var records []kernel.Record
	for _, object := range objects {
		if key, known := parseObjectName(object.Name); known {
			records = append(records, kernel.Record{Key: key, Version: object.Version, Body: object.Body})
		}
	}
	return records
}

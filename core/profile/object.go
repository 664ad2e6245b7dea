package profile

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"ibislift/core/kernel"
)

// recentWriters is how many earlier writes an object remembers, so that a
// writer whose answer was lost finds its own write below later ones.
const recentWriters = 16

// Prefix is the start of the names of all configuration objects.
const Prefix = "config/"

const (
	profilePrefix = Prefix + "profiles/"
	servicePrefix = Prefix + "services/"
)

// object is a configuration object as the platform stores it.
type object struct {
	Spec    json.RawMessage `json:"spec"`
	Author  string          `json:"author"`
	Written time.Time       `json:"written"`
	Retired bool            `json:"retired,omitempty"`
	Recent  []string        `json:"recent"`
}

func decode(body []byte) (object, error) {
	var decoded object
	err := json.Unmarshal(body, &decoded)
	return decoded, err
}

func (object object) encode() []byte {
	body, err := json.Marshal(object)
	if err != nil {
		panic("profile: an object always encodes: " + err.Error())
	}
	return body
}

// withWrite returns the object after one more write.
func (object object) withWrite(nonce string) object {
	recent := append(slices.Clone(object.Recent), nonce)
	object.Recent = recent[max(0, len(recent)-recentWriters):]
	return object
}

func (object object) wroteBy(nonce string) bool { return slices.Contains(object.Recent, nonce) }

func objectName(key kernel.Key) string {
	if key.Kind == kernel.KindService {
		return servicePrefix + key.Name
	}
	return profilePrefix + key.Name
}

func keyOf(name string) (kernel.Key, bool) {
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

func recordsOf(objects []kernel.Object) []kernel.Record {
	var records []kernel.Record
	for _, object := range objects {
		if key, known := keyOf(object.Name); known {
			records = append(records, kernel.Record{Key: key, Version: object.Version, Body: object.Body})
		}
	}
	return records
}

package evacuate

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/zeebo/errs"

	"ibislift/core/kernel"
)

// Error is the class of all errors of this package.
var Error = errs.Class("evacuate")

// Limits of a record.
const (
	// maxNameBytes is the length of the longest name of a data centre. Longer ones
	// name none, since settings allow 63 characters.
	maxNameBytes = 128
	// maxDataCentres limits the evacuated data centres, so that a record stays small.
	maxDataCentres = 1000
	// revisionBits is the part of a record's version that holds the store's revision.
	// The other bits hold the era.
	revisionBits = 52
	maxRevision  = 1<<revisionBits - 1
)

// version orders the states of the store: first by its era, then by its revision.
type version struct{ era, revision uint64 }

// encode returns the version of a record. Encoded versions compare as the versions do.
func (version version) encode() uint64 {
	return version.era<<revisionBits | min(version.revision, maxRevision)
}

func decodeVersion(encoded uint64) version {
	return version{era: encoded >> revisionBits, revision: encoded & maxRevision}
}

// state is the body of the record: the data centres with an object in the store, and those
// whose object the store has lost by coming back from an older copy. Both are sorted and
// have no name in common.
type state struct {
	DataCentres []string `json:"dataCentres"`
	Lost        []string `json:"lost,omitempty"`
}

// newState returns the state that follows a known one when the store holds objects for the
// given data centres. What the store has lost stays evacuated until it has been written
// and removed again, since nobody has removed it.
func newState(held, lost []string) state {
	next := state{DataCentres: sorted(held)}
	for _, name := range sorted(lost) {
		if !slices.Contains(next.DataCentres, name) {
			next.Lost = append(next.Lost, name)
		}
	}
	return next
}

// sorted returns the names in order, each once, and no more than maxDataCentres.
func sorted(names []string) []string {
	ordered := slices.Clone(names)
	slices.Sort(ordered)
	ordered = slices.Compact(ordered)
	return ordered[:min(len(ordered), maxDataCentres)]
}

// all returns the evacuated data centres in order.
func (state state) all() []string { return sorted(slices.Concat(state.DataCentres, state.Lost)) }

func (state state) equals(other state) bool {
	return slices.Equal(state.DataCentres, other.DataCentres) && slices.Equal(state.Lost, other.Lost)
}

func (state state) encode() []byte {
	// Lists of strings can always be encoded.
	body, _ := json.Marshal(state)
	return body
}

func decodeState(body []byte) (state, error) {
	var decoded state
	if err := json.Unmarshal(body, &decoded); err != nil {
		return state{}, Error.Wrap(err)
	}
	for _, names := range [][]string{decoded.DataCentres, decoded.Lost} {
		if !slices.Equal(names, sorted(names)) || slices.ContainsFunc(names, func(name string) bool { return !isName(name) }) {
			return state{}, Error.New("the names are not in order or not valid")
		}
	}
	return decoded, nil
}

func isName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// dataCentreOf returns the data centre that an object evacuates, or false if its name is no
// data centre's.
func dataCentreOf(prefix, objectName string) (string, bool) {
	name, hasPrefix := strings.CutPrefix(objectName, prefix)
	return name, hasPrefix && isName(name)
}

// dataCentresOf returns the data centres that the objects evacuate.
func dataCentresOf(prefix string, objects []kernel.Object) []string {
	var names []string
	for _, object := range objects {
		if name, valid := dataCentreOf(prefix, object.Name); valid {
			names = append(names, name)
		}
	}
	return sorted(names)
}

package rollout

import (
	"slices"

	"ibislift/core/routes"
)

// version orders route tables: first by the era of the platform in which the table
// was written, then by the number that the operators gave it, their version of it. A platform without
// eras has era 0 throughout.
type version struct {
	era    uint64
	number uint64
}

// encode returns the version of the table's record. Encoded versions compare as the
// versions do.
func (version version) encode() uint64 { return version.era<<routes.VersionBits | version.number }

// decodeVersion is the inverse of encode.
func decodeVersion(encoded uint64) version {
	return version{era: encoded >> routes.VersionBits, number: encoded & routes.MaxVersion}
}

// eraTracker finds out in which era a table was written. The platform begins an era
// when it comes back from an older copy of its objects. It then holds an earlier
// table, which must not replace one that it has lost, until the operators write again;
// what they write then must replace it, also if its number is lower.
type eraTracker struct {
	era uint64
	// seen reports whether the platform's current table was read in this era.
	// revision is the revision of the object and number that of the table, or 0 if
	// there was none.
	seen     bool
	revision uint64
	number   uint64
}

// enter begins an era in which nothing has been read yet.
func (eraTracker *eraTracker) enter(era uint64) {
	eraTracker.era, eraTracker.seen, eraTracker.revision, eraTracker.number = era, false, 0, 0
}

// read returns the version of a table that was read in the current era, and whether
// it may replace the known one, which is zero if there is none. A table that has
// changed since an earlier read was written in this era. Any other may be from the
// copy: it replaces only one with a lower number, and only where no daemon knows a
// later one. isCurrent is false for a result that may be some seconds old, which does
// not show what was written when. wasInForce says that this daemon has had the table:
// operators who write again what the platform has lost do so in its order, and must not
// take the fleet back to an earlier table meanwhile.
func (eraTracker *eraTracker) read(number, revision uint64, known version, isCurrent, wasInForce bool) (version, bool) {
	changed := eraTracker.seen && eraTracker.revision != revision
	if isCurrent {
		eraTracker.record(number, revision)
	}
	if isCurrent && changed && (number >= known.number || !wasInForce) {
		return version{era: eraTracker.era, number: number}, true
	}
	return version{era: known.era, number: number}, number > known.number
}

// record records the revision of the platform's current table and its number, or 0
// and 0 if there is none.
func (eraTracker *eraTracker) record(number, revision uint64) {
	eraTracker.seen, eraTracker.revision, eraTracker.number = true, revision, number
}

// confirm returns the version of the known table in the current era, if the platform
// holds this table and the version is of an earlier era. The caller makes sure that no
// other daemon knows a later table.
func (eraTracker *eraTracker) confirm(known version) (version, bool) {
	holds := eraTracker.seen && eraTracker.number == known.number
	return version{era: eraTracker.era, number: known.number}, holds && known.era < eraTracker.era
}

// maxPastTables is how many tables are remembered after they have been replaced.
const maxPastTables = 64

// pastTable identifies a table that was in force.
type pastTable struct {
	number uint64
	// digest is a hash of the whole table.
	digest uint64
}

// pastTables holds the tables that were in force on this daemon, oldest first.
type pastTables []pastTable

func (pastTables pastTables) includes(table pastTable) bool {
	return slices.Contains(pastTables, table)
}

// with returns the tables with a further one, without the oldest if there are too many.
func (pastTables pastTables) with(table pastTable) pastTables {
	if pastTables.includes(table) {
		return pastTables
	}
	all := append(slices.Clone(pastTables), table)
	return all[max(0, len(all)-maxPastTables):]
}

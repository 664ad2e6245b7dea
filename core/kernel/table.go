package kernel

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Kind is the type of a replicated record.
type Kind uint8

// The kinds of replicated records.
const (
	KindMember Kind = iota + 1
	KindProfile
	KindService
	KindCrash
	KindRoutes
	KindDepartures
	KindEvacuations
)

// Key identifies a replicated record.
type Key struct {
	Kind Kind
	Name string
}

// Record is a versioned value that is replicated to every daemon. Of two
// records with the same key, the one with the higher version wins.
type Record struct {
	Key
	Version uint64
	Body    []byte
}

// KeyVersion is the version of a record that a daemon has stored.
type KeyVersion struct {
	Key
	Version uint64
}

// BucketCount is the number of buckets that a Table is divided into for
// comparison.
const BucketCount = 64

// Table stores the replicated records and a digest of each bucket. The zero
// Table is empty and ready to use.
type Table struct {
	records map[Key]Record
	digests [BucketCount]uint64
	keys    [BucketCount]map[Key]struct{}
	counts  map[Kind]int
}

// IsNewer reports whether the record is newer than the stored version, or not
// stored at all.
func (table *Table) IsNewer(record Record) bool {
	old, known := table.records[record.Key]
	return !known || old.Version < record.Version
}

// Put stores the record if it is newer than the stored version and reports
// whether it did.
func (table *Table) Put(record Record) bool {
	if !table.IsNewer(record) {
		return false
	}
	old, known := table.records[record.Key]
	if table.records == nil {
		table.records = map[Key]Record{}
		table.counts = map[Kind]int{}
	}
	bucket := bucketOf(record.Key)
	if known {
		table.digests[bucket] ^= digestOf(old)
	} else {
		table.counts[record.Kind]++
	}
	table.digests[bucket] ^= digestOf(record)
	if table.keys[bucket] == nil {
		table.keys[bucket] = map[Key]struct{}{}
	}
	table.keys[bucket][record.Key] = struct{}{}
	table.records[record.Key] = record
	return true
}

// Remove deletes a record, for example one that has expired.
func (table *Table) Remove(key Key) {
	old, known := table.records[key]
	if !known {
		return
	}
	bucket := bucketOf(key)
	table.digests[bucket] ^= digestOf(old)
	delete(table.keys[bucket], key)
	delete(table.records, key)
	table.counts[key.Kind]--
}

// Get returns the record with the given key.
func (table *Table) Get(key Key) (Record, bool) {
	record, known := table.records[key]
	return record, known
}

// Count returns the number of records of a kind.
func (table *Table) Count(kind Kind) int { return table.counts[kind] }

// Each calls visit for every record of a kind, sorted by name.
func (table *Table) Each(kind Kind, visit func(Record)) {
	var keys []Key
	for key := range table.records {
		if key.Kind == kind {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].Name < keys[j].Name })
	for _, key := range keys {
		visit(table.records[key])
	}
}

// Digest returns a digest of the whole table.
func (table *Table) Digest() uint64 {
	var digest xxhash.Digest
	for _, bucketDigest := range table.digests {
		var buffer [8]byte
		binary.LittleEndian.PutUint64(buffer[:], bucketDigest)
		_, _ = digest.Write(buffer[:])
	}
	return digest.Sum64()
}

// BucketDigests returns the digest of each bucket.
func (table *Table) BucketDigests() []uint64 {
	return append([]uint64(nil), table.digests[:]...)
}

// Versions returns the keys and versions of all records in the given buckets,
// sorted by kind and name.
func (table *Table) Versions(buckets []int) []KeyVersion {
	var versions []KeyVersion
	for _, bucket := range buckets {
		if bucket < 0 || bucket >= BucketCount {
			continue
		}
		for key := range table.keys[bucket] {
			versions = append(versions, KeyVersion{Key: key, Version: table.records[key].Version})
		}
	}
	sort.Slice(versions, func(i, j int) bool {
		if versions[i].Kind != versions[j].Kind {
			return versions[i].Kind < versions[j].Kind
		}
		return versions[i].Name < versions[j].Name
	})
	return versions
}

func bucketOf(key Key) int { return int(hashOf(key, 0) % BucketCount) }

func digestOf(record Record) uint64 { return hashOf(record.Key, record.Version) }

func hashOf(key Key, version uint64) uint64 {
	var digest xxhash.Digest
	var buffer [9]byte
	buffer[0] = byte(key.Kind)
	binary.LittleEndian.PutUint64(buffer[1:], version)
	_, _ = digest.Write(buffer[:])
	_, _ = digest.WriteString(key.Name)
	return digest.Sum64()
}

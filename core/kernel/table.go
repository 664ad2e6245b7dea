package kernel

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Kind says what a replicated record describes.
type Kind uint8

// The kinds of replicated records.
const (
	KindMember Kind = iota + 1
	KindProfile
	KindService
	KindCrash
	KindRoutes
)

// Key identifies a record.
type Key struct {
	Kind Kind
	Name string
}

// Record is a versioned value that every daemon holds. Of two records with
// the same key the one with the higher version wins.
type Record struct {
	Key
	Version uint64
	Body    []byte
}

// KeyVersion says which version of a record a daemon holds.
type KeyVersion struct {
	Key
	Version uint64
}

// BucketCount is the number of parts that the table is compared in.
const BucketCount = 64

// Table holds the replicated records and a digest of them. The zero Table is
// empty and ready for use.
type Table struct {
	records map[Key]Record
	buckets [BucketCount]uint64
	names   [BucketCount]map[Key]struct{}
}

// Put stores the record if it is newer than the one held, and says whether it
// was.
func (table *Table) Put(record Record) bool {
	old, known := table.records[record.Key]
	if known && old.Version >= record.Version {
		return false
	}
	if table.records == nil {
		table.records = map[Key]Record{}
	}
	bucket := bucketOf(record.Key)
	if known {
		table.buckets[bucket] ^= digestOf(old)
	}
	table.buckets[bucket] ^= digestOf(record)
	if table.names[bucket] == nil {
		table.names[bucket] = map[Key]struct{}{}
	}
	table.names[bucket][record.Key] = struct{}{}
	table.records[record.Key] = record
	return true
}

// Remove forgets a record, such as one that has expired.
func (table *Table) Remove(key Key) {
	old, known := table.records[key]
	if !known {
		return
	}
	bucket := bucketOf(key)
	table.buckets[bucket] ^= digestOf(old)
	delete(table.names[bucket], key)
	delete(table.records, key)
}

// Get returns the record held under a key.
func (table *Table) Get(key Key) (Record, bool) {
	record, known := table.records[key]
	return record, known
}

// Len is the number of records held.
func (table *Table) Len() int { return len(table.records) }

// Each calls visit for every record of a kind, in the order of their names.
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

// Root is a digest of the whole table.
func (table *Table) Root() uint64 {
	var digest xxhash.Digest
	for _, bucket := range table.buckets {
		var word [8]byte
		binary.LittleEndian.PutUint64(word[:], bucket)
		_, _ = digest.Write(word[:])
	}
	return digest.Sum64()
}

// Buckets are the digests of the parts of the table.
func (table *Table) Buckets() []uint64 {
	return append([]uint64(nil), table.buckets[:]...)
}

// Versions lists what the given parts of the table hold.
func (table *Table) Versions(buckets []int) []KeyVersion {
	var versions []KeyVersion
	for _, bucket := range buckets {
		if bucket < 0 || bucket >= BucketCount {
			continue
		}
		for key := range table.names[bucket] {
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
	var word [9]byte
	word[0] = byte(key.Kind)
	binary.LittleEndian.PutUint64(word[1:], version)
	_, _ = digest.Write(word[:])
	_, _ = digest.WriteString(key.Name)
	return digest.Sum64()
}

package kernel_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibislift/core/kernel"
)

func record(number, version int) kernel.Record {
	return kernel.Record{Key: kernel.Key{Kind: kernel.KindProfile, Name: fmt.Sprint(number)}, Version: uint64(version)}
}

func TestTableKeepsTheHighestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table kernel.Table
		highest := map[int]int{}
		for range rapid.IntRange(1, 100).Draw(t, "puts") {
			number, version := rapid.IntRange(0, 9).Draw(t, "number"), rapid.IntRange(1, 20).Draw(t, "version")
			if stored := table.Put(record(number, version)); stored != (version > highest[number]) {
				t.Fatalf("record %d: put version %d over %d: stored %t", number, version, highest[number], stored)
			}
			highest[number] = max(highest[number], version)
			got, _ := table.Get(record(number, 0).Key)
			if got.Version != uint64(highest[number]) {
				t.Fatalf("record %d has version %d, want %d", number, got.Version, highest[number])
			}
		}
	})
}

func TestRootDependsOnContentAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.SliceOfN(rapid.IntRange(1, 50), 1, 30).Draw(t, "versions")
		order := rapid.Permutation(versions).Draw(t, "order")
		var one, other kernel.Table
		for _, version := range versions {
			one.Put(record(1, version))
			one.Put(record(version, version))
		}
		for _, version := range order {
			other.Put(record(version, version))
			other.Put(record(1, version))
		}
		if one.Digest() != other.Digest() {
			t.Fatal("tables with the same records have different roots")
		}
		other.Remove(record(1, 0).Key)
		if one.Digest() == other.Digest() {
			t.Fatal("tables with different records have the same root")
		}
	})
}

func TestVersionsListBuckets(t *testing.T) {
	var table kernel.Table
	for number := range 100 {
		table.Put(record(number, 1))
	}
	count := 0
	for bucket := range kernel.BucketCount {
		count += len(table.Versions([]int{bucket}))
	}
	is := is.New(t)
	is.Equal(count, 100)
	is.Equal(len(table.Versions([]int{-1, kernel.BucketCount})), 0)
}

package routes_test

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"ibislift/core/routes"
)

// keysPerWorkspace is the number of keys of each workspace in tables of keys.
const keysPerWorkspace = 10

func keyNumber(number int) string { return fmt.Sprintf("key-%08d-of-a-usual-length", number) }

// tableOfKeys returns the JSON of a table with as many keys as given.
func tableOfKeys(keys int) []byte {
	table := routes.Table{Version: 1}
	for number := range keys {
		if number%keysPerWorkspace == 0 {
			table.Workspaces = append(table.Workspaces, routes.Workspace{Name: fmt.Sprintf("workspace-%05d", number/keysPerWorkspace), Rate: 3})
		}
		workspace := &table.Workspaces[len(table.Workspaces)-1]
		workspace.Keys = append(workspace.Keys, routes.DigestKey(keyNumber(number)))
	}
	body, _ := json.Marshal(table)
	return body
}

func BenchmarkFindWorkspace(b *testing.B) {
	for _, keys := range []int{100, 100_000} {
		table, err := routes.Parse(tableOfKeys(keys))
		if err != nil {
			b.Fatal(err)
		}
		names := make([]string, keys)
		for number := range names {
			names[number] = keyNumber(number)
		}
		// The stride visits the keys in an order that caches do not predict.
		const stride = 7919
		next := 0
		b.Run(fmt.Sprintf("%d keys", keys), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				next = (next + stride) % keys
				if _, found := table.FindWorkspace(names[next]); !found {
					b.Fatal("a key is missing")
				}
			}
		})
		b.Run(fmt.Sprintf("unknown among %d keys", keys), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, found := table.FindWorkspace("key-of-nobody-of-a-usual-length"); found {
					b.Fatal("an unknown key is found")
				}
			}
		})
	}
}

func BenchmarkParseKeys(b *testing.B) {
	body := tableOfKeys(100_000)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if _, err := routes.Parse(body); err != nil {
			b.Fatal(err)
		}
	}
}

// maxBytesPerKey limits the memory of a key: 100,000 keys take at most 12 of the 64 MB
// that a daemon may use for control, and two tables exist during a change.
const maxBytesPerKey = 120

func TestMemoryOfKeys(t *testing.T) {
	const keys = 100_000
	body := tableOfKeys(keys)
	heap := func() uint64 {
		// The second collection empties the pools of encoding/json.
		runtime.GC()
		runtime.GC()
		var statistics runtime.MemStats
		runtime.ReadMemStats(&statistics)
		return statistics.HeapAlloc
	}
	before := heap()
	table, err := routes.Parse(body)
	after := heap()
	is := is.New(t)
	is.NoErr(err)
	_, found := table.FindWorkspace(keyNumber(keys - 1))
	is.True(found)
	perKey := (after - before) / keys
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed) // as core/rollout does
	is.NoErr(err)
	_, _ = writer.Write(body)
	_ = writer.Close()
	t.Logf("%d bytes of memory, %d bytes of JSON and %d compressed for each key, with a tenth of a workspace", perKey, len(body)/keys, compressed.Len()/keys)
	is.True(perKey <= maxBytesPerKey)
}

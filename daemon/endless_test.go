package daemon_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a daemon that keeps what an upstream sends without end and its caller does
// not read.
func TestEndlessResponseThatNobodyReadsIsNotKept(t *testing.T) {
	const (
		callers  = 4
		maxHeap  = 16 << 20
		maxBytes = 1 << 30
	)
	for name, head := range map[string]string{
		"no length": rawHead + "\r\n",
		"a length":  rawHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBytes),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cluster := newCluster(t, 2)
			var sent atomic.Int64
			part := strings.Repeat("HTTP/1.1 200 OK\r\n", 4096)
			endless := respondFunc(func(conn net.Conn, _ *http.Request) bool {
				_, err := io.WriteString(conn, head)
				for err == nil && sent.Load() < maxBytes {
					_, err = io.WriteString(conn, part)
					sent.Add(int64(len(part)))
				}
				return false
			})
			cluster.replaceUpstream(0).respond.Store(endless)
			cluster.replaceUpstream(1).respond.Store(endless)
			heap := func() uint64 {
				runtime.GC()
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				return stats.HeapAlloc
			}
			before := heap()
			for number := range callers {
				conn, _ := cluster.connect(number % 2)
				_, err := io.WriteString(conn, "GET /logs/17 HTTP/1.1\r\nHost: intake\r\n\r\n")
				is.NoErr(err)
			}
			cluster.await("the upstreams send", func() bool { return sent.Load() > int64(len(part)) })
			time.Sleep(time.Second)
			t.Logf("%d bytes sent, heap %d before and %d after", sent.Load(), before, heap())
			is.True(sent.Load() < maxBytes)
			is.True(heap() < before+maxHeap)
		})
	}
}

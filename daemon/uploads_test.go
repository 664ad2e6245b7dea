package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/io/peer"
	"ibislift/io/tcp"
	"ibislift/standin/upstream"
)

const (
	// uploadSize is the length of a body that is streamed.
	uploadSize = 3_000_000
	// longUploadSize is more than all buffers on the way hold.
	longUploadSize = 1 << 28
)

// connect opens a connection to a daemon as a caller.
func (cluster *cluster) connect(index int) (net.Conn, *bufio.Reader) {
	cluster.t.Helper()
	conn, err := net.Dial("tcp", cluster.instances[index].callerAddress())
	is.New(cluster.t).NoErr(err)
	cluster.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(awaitTimeout))
	return conn, bufio.NewReader(conn)
}

// sendHead sends the head of an upload.
func sendHead(t *testing.T, conn net.Conn, size int, extra string) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "POST /upload HTTP/1.1\r\nHost: intake\r\nContent-Length: %d\r\n%s\r\n", size, extra)
	is.New(t).NoErr(err)
}

// readStatus reads a response to its end and returns its status.
func readStatus(t *testing.T, reader *bufio.Reader) (status int, closes bool) {
	t.Helper()
	is := is.New(t)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	if response.StatusCode == http.StatusContinue {
		return response.StatusCode, false
	}
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	return response.StatusCode, response.Close
}

func TestUploads(t *testing.T) {
	cluster := newCluster(t, 2)
	setSwitches := func(switches upstream.Switches) {
		for _, instance := range cluster.instances {
			instance.upstream.SetSwitches(switches)
		}
	}
	running := func() int {
		return cluster.instances[0].upstream.Running() + cluster.instances[1].upstream.Running()
	}
	bodies := func() int {
		return cluster.instances[0].upstream.Bodies() + cluster.instances[1].upstream.Bodies()
	}
	t.Run("a caller that waits for 100 Continue is asked for the body", func(t *testing.T) {
		is := is.New(t)
		conn, reader := cluster.connect(0)
		for range 2 { // the connection stays usable
			sendHead(t, conn, uploadSize, "Expect: 100-continue\r\n")
			status, _ := readStatus(t, reader)
			is.Equal(status, http.StatusContinue)
			_, err := conn.Write(make([]byte, uploadSize))
			is.NoErr(err)
			status, _ = readStatus(t, reader)
			is.Equal(status, http.StatusOK)
		}
	})
	t.Run("a caller whose body is not wanted is not asked for it", func(t *testing.T) {
		conn, reader := cluster.connect(0)
		sendHead(t, conn, 1<<40, "Expect: 100-continue\r\n")
		status, closes := readStatus(t, reader)
		is := is.New(t)
		is.Equal(status, http.StatusRequestEntityTooLarge)
		is.True(closes) // what follows could be the body or a request
	})
	t.Run("a body that breaks off never reaches an upstream as whole", func(t *testing.T) {
		is := is.New(t)
		before := bodies()
		for _, sent := range []int{10, uploadSize / 2, uploadSize - 1} {
			conn, _ := cluster.connect(0)
			sendHead(t, conn, uploadSize, "")
			_, err := conn.Write(make([]byte, sent))
			is.NoErr(err)
			_ = conn.Close()
		}
		cluster.await("no request is running on the upstreams", func() bool { return running() == 0 })
		for range 4 {
			checkServed(t, cluster.send(0, request{method: "POST", path: "/enrol"}))
		}
		is.Equal(bodies(), before+4)
	})
	t.Run("a body that is sent when a gate has granted a slot arrives whole", func(t *testing.T) {
		before := bodies()
		for index := range 8 {
			checkServed(t, cluster.send(index%2, request{method: "POST", path: "/enrol", body: bytes.NewReader(make([]byte, 2*peer.MaxEagerBodySize))}))
		}
		is.New(t).Equal(bodies(), before+8)
	})
	t.Run("an early response leaves nothing of the body behind", func(t *testing.T) {
		setSwitches(upstream.Switches{FailFast: true})
		for range 4 {
			conn, reader := cluster.connect(0)
			sendHead(t, conn, uploadSize, "")
			written := make(chan error, 1)
			go func() {
				_, err := conn.Write(make([]byte, uploadSize))
				written <- err
			}()
			status, closes := readStatus(t, reader)
			is := is.New(t)
			is.Equal(status, http.StatusInternalServerError)
			if closes {
				continue
			}
			// The daemon has read the whole body, and the next request gets its
			// own response.
			is.NoErr(<-written)
			_, err := fmt.Fprint(conn, "GET /logs/17 HTTP/1.1\r\nHost: nobody\r\n\r\n")
			is.NoErr(err)
			status, _ = readStatus(t, reader)
			is.Equal(status, http.StatusNotFound)
		}
		setSwitches(upstream.Switches{})
		for range 8 {
			checkServed(t, cluster.send(0, request{method: "GET", path: "/logs/17"}))
		}
	})
}

// An upload whose first target has crashed is sent on to another one only if its body
// is still whole.
func TestUploadsAreRunWhole(t *testing.T) {
	cluster := newCluster(t, 2)
	bodies := make(chan []byte, 100)
	crashed, sound := cluster.replaceUpstream(0), cluster.replaceUpstream(1)
	for _, raw := range []*rawUpstream{crashed, sound} {
		raw.onBody = func(body []byte) { bodies <- body }
		raw.respond.Store(respondFunc(func(conn net.Conn, _ *http.Request) bool {
			return text(rawHead+"Content-Length: 2\r\n\r\nok")(conn, nil)
		}))
	}
	cluster.await("both raw upstreams serve", func() bool {
		return cluster.send(0, request{method: "GET", path: "/warm"}).body == "ok" && cluster.targets(cluster.instances[0]) == 2
	})
	_ = crashed.listener.Close()
	var uploads sync.WaitGroup
	statuses := make(chan int, 100)
	for number := range 16 {
		uploads.Go(func() {
			// The reader hides the length, so that the body is sent in chunks.
			body := struct{ io.Reader }{bytes.NewReader(bytes.Repeat([]byte{byte('a' + number)}, uploadSize))}
			upload, err := http.NewRequest(http.MethodPost, "http://"+cluster.instances[number%2].callerAddress()+"/upload", body)
			if err != nil {
				t.Error(err)
				return
			}
			upload.Host = "intake"
			response, err := http.DefaultClient.Do(upload)
			if err != nil {
				return
			}
			_ = response.Body.Close()
			statuses <- response.StatusCode
		})
	}
	uploads.Wait()
	close(statuses)
	close(bodies)
	is := is.New(t)
	for body := range bodies {
		is.Equal(len(body), uploadSize)
		is.Equal(bytes.Count(body, body[:1]), uploadSize)
	}
	answered := 0
	for status := range statuses {
		is.True(status == http.StatusOK || status == http.StatusServiceUnavailable || status == http.StatusBadGateway)
		answered++
	}
	is.True(answered > 0)
}

// maxUploadHeap bounds what the daemons of a cluster may hold of an upload whose
// upstream does not read it.
const maxUploadHeap = 16 << 20

func TestUploadWaitsForItsUpstream(t *testing.T) {
	for name, draining := range map[string]int{"beside the daemon": 1, "beside another daemon": 0} {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(t, 2)
			drained := cluster.instances[draining]
			go func() { _ = drained.upstream.Drain(context.Background(), drained.ip+":8002") }()
			cluster.await("one target is left", func() bool { return cluster.targets(cluster.instances[0]) == 1 })
			cluster.instances[1-draining].upstream.SetSwitches(upstream.Switches{Hang: true})
			sendUploadThatWaits(t, cluster)
			cluster.instances[1-draining].upstream.SetSwitches(upstream.Switches{})
		})
	}
}

// sendUploadThatWaits sends a long upload to an upstream that does not read it. It
// checks that the caller has to wait, and how much of the upload is held.
func sendUploadThatWaits(t *testing.T, cluster *cluster) {
	t.Helper()
	is := is.New(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	conn, _ := cluster.connect(0)
	sendHead(t, conn, longUploadSize, "Ibislift-Deadline: 20s\r\n")
	_ = conn.SetWriteDeadline(time.Now().Add(2 * tcp.StallTimeout))
	sent := 0
	chunk := make([]byte, 64<<10)
	var err error
	for sent < longUploadSize && err == nil {
		var count int
		count, err = conn.Write(chunk)
		sent += count
	}
	is.True(errors.Is(err, os.ErrDeadlineExceeded)) // the connection is open, and nothing more is taken
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d bytes taken of the upload, %d bytes of heap", sent, held)
	is.True(sent < longUploadSize)
	is.True(held < maxUploadHeap)
}

package daemon_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/standin/upstream"
)

// uploadSize is the length of a body that is streamed.
const uploadSize = 3_000_000

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
	t.Run("an early response leaves nothing of the body behind", func(t *testing.T) {
		setSwitches(upstream.Switches{FailFast: true})
		for range 4 {
			conn, reader := cluster.connect(0)
			sendHead(t, conn, uploadSize, "")
			go func() { _, _ = conn.Write(make([]byte, uploadSize)) }()
			status, closes := readStatus(t, reader)
			is := is.New(t)
			is.Equal(status, http.StatusInternalServerError)
			is.True(closes)
		}
		setSwitches(upstream.Switches{})
		for range 8 {
			checkServed(t, cluster.send(0, request{method: "GET", path: "/logs/17"}))
		}
	})
}

// maxUploadHeap bounds what the daemons of a cluster may hold of an upload whose
// upstream does not read it.
const maxUploadHeap = 16 << 20

func TestUploadWaitsForItsUpstream(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, 2)
	for _, instance := range cluster.instances {
		instance.upstream.SetSwitches(upstream.Switches{Hang: true})
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	conn, _ := cluster.connect(0)
	sendHead(t, conn, 1<<28, "Ibislift-Deadline: 20s\r\n")
	_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	sent := 0
	chunk := make([]byte, 64<<10)
	for sent < 1<<28 {
		count, err := conn.Write(chunk)
		sent += count
		if err != nil {
			is.True(errors.Is(err, os.ErrDeadlineExceeded)) // the caller has to wait
			break
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("%d bytes taken of the upload, %d bytes of heap", sent, int64(after.HeapAlloc)-int64(before.HeapAlloc))
	is.True(sent < 1<<28)
	is.True(int64(after.HeapAlloc)-int64(before.HeapAlloc) < maxUploadHeap)
}

package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/io/upstream"
)

// maxBytes is what the client may read. What the operating system buffers on both
// sides is part of it.
const maxBytes = 8 << 20

// endless returns an upstream that responds to a request with a beginning and then
// repeats a text until the connection is closed, or until it has sent far more than
// the client may read. sent counts the bytes.
func endless(sent *atomic.Int64, beginning, repeated string) func(net.Conn) {
	return func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, beginning)
		part := strings.Repeat(repeated, 4096/len(repeated)+1)
		for sent.Load() < 4*maxBytes {
			count, err := io.WriteString(conn, part)
			sent.Add(int64(count))
			if err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, conn)
	}
}

// TestEndlessBytes plays upstreams that send bytes without end which are no response.
// The request ends with an error, the connection is closed, the memory is bounded, and
// the next request is served.
func TestEndlessBytes(t *testing.T) {
	for name, texts := range map[string][2]string{
		"a status line":          {"", "HTTP"},
		"a header line":          {"HTTP/1.1 200 OK\r\nX: ", "aaaa"},
		"header lines":           {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"interim responses":      {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"stray responses":        {"", "HTTP/1.1 200 OK\r\nIbislift-Request-Id: other\r\nContent-Length: 2\r\n\r\nok"},
		"a chunk extension":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "aaaa"},
		"trailers":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-A: b\r\n"},
		"a long chunk length":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"a body past its length": {"HTTP/1.1 200 OK\r\nIbislift-Request-Id: \r\nContent-Length: 2\r\n\r\nok", "more"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			server := newScriptedServer(t, endless(&sent, texts[0], texts[1]), func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				readRequest(reader)
				reply(conn, "second")
			})
			client := newClient(server)
			client.SetEchoesRequestID(name == "stray responses")
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			before := heap()
			request := newRequest(t, http.MethodGet, "/")
			started := time.Now()
			interim := 0
			response, err := client.Do(ctx, request, func(*http.Response) { interim++ })
			if err == nil {
				if _, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxBytes)); err != nil {
					response.Abort()
				} else {
					response.Finish()
				}
			}
			is.True(err != nil || name == "a body past its length")
			is.True(time.Since(started) < 4*time.Second) // it did not wait for the deadline
			is.True(heap() < before+maxBytes)
			is.True(interim <= 20) // each is kept until the final response
			client.SetEchoesRequestID(false)
			// A connection with bytes past the body is found when it is to be used
			// again. The upstream stays blocked until then.
			waitUntilReusable()
			for sent.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			body, err := fetch(t, client, newRequest(t, http.MethodGet, "/"))
			is.NoErr(err)
			is.Equal(body, "second")
			<-server.served // the upstream has found its connection closed
			is.True(sent.Load() < maxBytes)
		})
	}
}

// heap returns the bytes that are in use on the heap.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestIdleLimitOfRequestsThatMayNotBeRepeated checks that such a request does not use
// a connection that has been idle for so long that the upstream may close it.
func TestIdleLimitOfRequestsThatMayNotBeRepeated(t *testing.T) {
	for _, echoes := range []bool{false, true} {
		is := is.New(t)
		serve := func(text string) func(net.Conn) {
			return func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				if readRequest(reader) != "" {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+itoa(len(text))+"\r\nIbislift-Request-Id: own\r\n\r\n"+text)
				}
				go readRequest(reader) // keeps the connection open
			}
		}
		client := newClient(newScriptedServer(t, serve("first"), serve("second")))
		client.SetEchoesRequestID(echoes)
		first, err := client.Do(context.Background(), newRequest(t, http.MethodGet, "/"), nil)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, first.Body)
		first.Finish()
		time.Sleep(800 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		response, err := client.DoNonRepeatable(ctx, newRequest(t, http.MethodPost, "/"), nil)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), "second")
		response.Finish()
		cancel()
	}
}

var _ = upstream.Error

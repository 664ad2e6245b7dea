package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// operatorReplies starts a daemon that replies to each call of the operator API with the
// next of the status lines, and with the last one from then on. It returns a client of it
// and the number of calls.
func operatorReplies(t *testing.T, body string, statuses ...string) (*client, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	calls := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				status := statuses[min(int(calls.Add(1)), len(statuses))-1]
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
			}
			_ = conn.Close()
		}
	}()
	return &client{address: listener.Addr().String(), output: "json", author: "test"}, calls
}

// A deployment script must not take a reply that is none for a success.
func TestOperatorClientWithAStatusThatIsNoSuccess(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "304", "600", "999"} {
		t.Run("a read that gets "+status, func(t *testing.T) {
			client, _ := operatorReplies(t, `{"name":"fast","version":3}`, status)
			is.New(t).Equal(exitCode(get(client, "/profiles/fast", printObject)), exitUnavailable)
		})
		t.Run("a change that gets "+status, func(t *testing.T) {
			client, _ := operatorReplies(t, `{"name":"fast","version":3}`, status)
			client.ifMatch = 2
			is.New(t).Equal(exitCode(client.change(http.MethodPut, "/profiles/fast", []byte("{}"))), exitUnknown)
		})
	}
	t.Run("a change that gets 200", func(t *testing.T) {
		client, _ := operatorReplies(t, `{"name":"fast","version":3}`, "200")
		client.ifMatch = 2
		is.New(t).NoErr(client.change(http.MethodPut, "/profiles/fast", []byte("{}")))
	})
}

// Without the current version, the change would be made as if there were no such object.
func TestChangeWithoutTheCurrentVersion(t *testing.T) {
	for _, status := range []string{"000", "503", "600"} {
		t.Run(status, func(t *testing.T) {
			client, calls := operatorReplies(t, `{"title":"not ready"}`, status, "200")
			is := is.New(t)
			is.Equal(exitCode(client.change(http.MethodPut, "/profiles/fast", []byte("{}"))), exitUnavailable)
			is.Equal(calls.Load(), int64(1))
		})
	}
	t.Run("404 means that there is no such object", func(t *testing.T) {
		client, calls := operatorReplies(t, `{"name":"fast","version":1}`, "404", "200")
		is := is.New(t)
		is.NoErr(client.change(http.MethodPut, "/profiles/fast", []byte("{}")))
		is.Equal(calls.Load(), int64(2))
	})
}

package platform_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"ibislift/core/kernel"
	"ibislift/io/platform"
)

// replyWith starts a platform that replies to each request with a status, as it is
// written, and a body. It returns its address.
func replyWith(t *testing.T, status, body string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// checkResult checks how a call ends whose reply has a status and a body that would do
// for a success.
func checkResult(t *testing.T, call kernel.PlatformCall, status string, want kernel.PlatformStatus) {
	t.Helper()
	body := `{"name":"a","version":3,"revision":7,"objects":[]}`
	if status == "204" {
		body = ""
	}
	client := &platform.Client{Address: replyWith(t, status, body), Log: slog.New(slog.DiscardHandler)}
	is.New(t).Equal(client.Do(context.Background(), call).Status, want)
}

// A reply that is none, or that does not fit the call, must not count as a success: the
// objects of a list would be gone, and a write would be in force that is not.
func TestStatusThatTheCallDoesNotExpect(t *testing.T) {
	calls := map[string]kernel.PlatformCall{
		"read":     kernel.ReadObject{Name: "a"},
		"list":     kernel.ListObjects{Prefix: "a"},
		"watch":    kernel.WatchObjects{Prefix: "a"},
		"revision": kernel.ReadRevision{Prefix: "a"},
		"create":   kernel.WriteObject{Name: "a", Body: []byte("{}")},
		"replace":  kernel.WriteObject{Name: "a", Body: []byte("{}"), BaseVersion: 2},
		"delete":   kernel.DeleteObject{Name: "a"},
	}
	for name, call := range calls {
		for _, status := range []string{"000", "001", "099", "202", "206", "304", "600", "999", "odd", "2", "2000", "+20"} {
			t.Run(name+" "+status, func(t *testing.T) { checkResult(t, call, status, kernel.PlatformUnknown) })
		}
		t.Run(name+" 200", func(t *testing.T) { checkResult(t, call, "200", kernel.PlatformOK) })
	}
	for _, name := range []string{"read", "list", "watch", "revision"} {
		for _, status := range []string{"201", "204", "409", "412"} {
			t.Run(name+" "+status, func(t *testing.T) { checkResult(t, calls[name], status, kernel.PlatformUnknown) })
		}
	}
	for _, name := range []string{"create", "replace"} {
		t.Run(name+" 201", func(t *testing.T) { checkResult(t, calls[name], "201", kernel.PlatformOK) })
		t.Run(name+" 204, without the new version", func(t *testing.T) { checkResult(t, calls[name], "204", kernel.PlatformUnknown) })
		t.Run(name+" 409", func(t *testing.T) { checkResult(t, calls[name], "409", kernel.PlatformConflict) })
		t.Run(name+" 412", func(t *testing.T) { checkResult(t, calls[name], "412", kernel.PlatformConflict) })
	}
	t.Run("delete 204", func(t *testing.T) { checkResult(t, calls["delete"], "204", kernel.PlatformOK) })
}

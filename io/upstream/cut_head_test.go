package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ibislift/io/dialect"
)

// An upstream may stop at any byte of a head and close the connection.
func TestHeadThatIsCutAnywhereIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"a length":       okHead + "X-Seal: abc\r\nContent-Length: 50\r\n\r\n",
		"an empty body":  okHead + "Content-Length: 0\r\nX-Seal: abc\r\n\r\n",
		"no length":      okHead + "X-Seal: abc\r\nConnection: close\r\n\r\n",
		"chunks":         okHead + "Transfer-Encoding: chunked\r\nX-Seal: abc\r\n\r\n",
		"no content":     "HTTP/1.1 204 No Content\r\nX-Seal: abc\r\n\r\n",
		"bare line ends": strings.ReplaceAll(okHead+"X-Seal: abc\r\nConnection: close\r\n\r\n", "\r\n", "\n"),
		"HTTP/1.0":       "HTTP/1.0 200 OK\r\nX-Seal: abc\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			end := len(strings.TrimRight(head, "\r\n")) + len("\r\n\r\n")
			if !strings.Contains(head, "\r") {
				end = len(head)
			}
			for cut := range end {
				if strings.HasSuffix(head[:cut], "\n\n") {
					continue
				}
				body, err := fetch(t, newClient(newScriptedServer(t, func(conn net.Conn) {
					readRequest(bufio.NewReader(conn))
					_, _ = io.WriteString(conn, head[:cut])
					_ = conn.Close()
				})), newRequest(t, http.MethodGet, "/1"))
				if err == nil {
					t.Fatalf("%q was taken for a whole head, with the body %q", head[:cut], body)
				}
			}
		})
	}
}

// The refusal of an earlier probe may be written again on a kept connection.
func TestEarlierProbeIsNotTakenForTheNext(t *testing.T) {
	idHeader := dialect.Default().RequestID
	client := newClient(newScriptedServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		respond := func(status int, id string) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, idHeader, id)
		}
		first, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		respond(http.StatusServiceUnavailable, first.Header.Get(idHeader))
		second, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		respond(http.StatusServiceUnavailable, first.Header.Get(idHeader))
		respond(http.StatusOK, second.Header.Get(idHeader))
	}))
	client.SetEchoesRequestID(true)
	is := is.New(t)
	is.True(!client.Probe(t.Context(), "/health").Healthy)
	is.True(client.Probe(t.Context(), "/health").Healthy)
}

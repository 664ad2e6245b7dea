package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Headers and queries may hold bytes that are not UTF-8, in both directions.
func TestBytesThatAreNotUTF8AreForwarded(t *testing.T) {
	cluster := newCluster(t, 2)
	is := is.New(t)
	first := cluster.instances[0]
	is.NoErr(first.upstream.Drain(context.Background(), first.ip+":8002")) // the requests cross to the other daemon
	raw := cluster.replaceUpstream(1)
	received := make(chan *http.Request, 100)
	raw.respond.Store(text(rawHead + "Content-Length: 2\r\n\r\nok"))
	cluster.await("the raw upstream serves", func() bool { return cluster.send(0, request{method: "GET", path: "/warm"}).body == "ok" })
	raw.respond.Store(respondFunc(func(conn net.Conn, request *http.Request) bool {
		received <- request
		return text(rawHead+"X-Back: \xe9\r\nContent-Length: 2\r\n\r\nok")(conn, request)
	}))
	conn, reader := cluster.connect(0)
	_, err := fmt.Fprint(conn, "GET /logs/17?name=Jos\xe9 HTTP/1.1\r\nHost: intake\r\nX-Name: Jos\xe9\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(string(body), "ok")
	is.Equal(response.Header.Get("X-Back"), "\xe9")
	sent := <-received
	is.Equal(sent.Header.Get("X-Name"), "Jos\xe9")
	is.Equal(sent.URL.RawQuery, "name=Jos\xe9")
	is.Equal(len(received), 0)
	refused := cluster.send(0, request{method: "POST", path: "/enrol", header: map[string]string{"Idempotency-Key": "Jos\xe9"}})
	is.Equal(refused.status, http.StatusBadRequest) // keys are text
}

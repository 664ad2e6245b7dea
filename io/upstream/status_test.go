package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"ibislift/io/upstream"
)

// respond returns an upstream that reads one request, sends a text and then keeps the
// connection open until the client closes it.
func respond(text string) func(net.Conn) {
	return func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		readRequest(reader)
		_, _ = io.WriteString(conn, text)
		_, _ = io.Copy(io.Discard, reader)
		_ = conn.Close()
	}
}

// checkNotRelayed checks that a request that was written ends with an error, and that
// the next one is served on another connection.
func checkNotRelayed(t *testing.T, text string) {
	t.Helper()
	is := is.New(t)
	client := newClient(newScriptedServer(t, respond(text), respond("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo")))
	_, err := fetch(t, client, newRequest(t, http.MethodGet, "/1"))
	is.True(err != nil)
	is.True(!upstream.NotHandedOver(err))
	waitUntilReusable()
	body, err := fetch(t, client, newRequest(t, http.MethodGet, "/2"))
	is.NoErr(err)
	is.Equal(body, "two")
}

func TestStatusesThatAreNoResponse(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
	t.Run("a switch of the protocol, which no request asks for, is an error", func(t *testing.T) {
		checkNotRelayed(t, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n"+response)
	})
	t.Run("a status below 100 is an error and no interim response", func(t *testing.T) {
		checkNotRelayed(t, "HTTP/1.1 099 Odd\r\n\r\n"+response)
	})
	t.Run("the status 000 is an error", func(t *testing.T) {
		checkNotRelayed(t, "HTTP/1.1 000 None\r\n\r\n"+response)
	})
	for name, status := range oddStatuses {
		t.Run(name+" is an error", func(t *testing.T) {
			checkNotRelayed(t, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 3\r\n\r\none")
		})
		t.Run(name+" after an interim response is an error", func(t *testing.T) {
			checkNotRelayed(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+" Odd\r\nContent-Length: 3\r\n\r\none")
		})
	}
}

// oddStatuses are the statuses of responses that are none, by description.
var oddStatuses = map[string]string{
	"the status 001":           "001",
	"a status above 599":       "600",
	"the highest three digits": "999",
	"a word":                   "odd",
	"one digit":                "2",
	"four digits":              "2000",
	"a status with a plus":     "+20",
	"a status with a minus":    "-20",
	"a minus before zero":      "-00",
	"no status":                "",
}

// An upstream that is healthy by a response that is none would keep getting requests.
func TestProbeWithAStatusThatIsNoResponse(t *testing.T) {
	for name, status := range oddStatuses {
		t.Run(name, func(t *testing.T) {
			const header = " Odd\r\nIbislift-Leaving: 1\r\nContent-Length: 3\r\n\r\none"
			client := newClient(newScriptedServer(t, respond("HTTP/1.1 "+status+header)))
			result := client.Probe(context.Background(), "/health")
			is := is.New(t)
			is.True(!result.Healthy)
			is.True(result.Header == nil) // what such bytes say of the upstream does not count
		})
	}
}

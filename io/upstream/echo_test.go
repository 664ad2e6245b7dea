package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"ibislift/io/dialect"
)

// named is an answer that names the request it belongs to.
func named(conn net.Conn, name, body string) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+dialect.Own().RequestID+": "+name+
		"\r\nContent-Length: "+itoa(len(body))+"\r\n\r\n"+body)
}

func TestNamedAnswers(t *testing.T) {
	t.Run("a stray answer before the own one is passed over", func(t *testing.T) {
		client := newClient(newScript(t, func(conn net.Conn) {
			readRequest(bufio.NewReader(conn))
			named(conn, "earlier", "stray")
			named(conn, "own", "right")
		}))
		client.ExpectEcho(true)
		body, err := fetch(t, client, newRequest(t, "GET", "/"))
		is := is.New(t)
		is.NoErr(err)
		is.Equal(body, "right")
	})
	t.Run("a stray answer alone is none", func(t *testing.T) {
		client := newClient(newScript(t, func(conn net.Conn) {
			readRequest(bufio.NewReader(conn))
			named(conn, "earlier", "stray")
			_ = conn.Close()
		}))
		client.ExpectEcho(true)
		_, err := fetch(t, client, newRequest(t, "GET", "/"))
		is.New(t).True(err != nil)
	})
	t.Run("the answer to a health check names nothing", func(t *testing.T) {
		client := newClient(newScript(t, func(conn net.Conn) {
			readRequest(bufio.NewReader(conn))
			reply(conn, "ok")
		}))
		client.ExpectEcho(true)
		healthy, load := client.Probe(context.Background(), "/health")
		is := is.New(t)
		is.True(healthy)
		is.True(load == nil) // it tells nothing of its load
	})
}

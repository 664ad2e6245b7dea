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

// replyWithID writes a response with a request ID.
func replyWithID(conn net.Conn, requestID, body string) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+dialect.Default().RequestID+": "+requestID+
		"\r\nContent-Length: "+itoa(len(body))+"\r\n\r\n"+body)
}

func TestNamedAnswers(t *testing.T) {
	t.Run("a stray response before the right one is skipped", func(t *testing.T) {
		client := newClient(newScriptedServer(t, func(conn net.Conn) {
			readRequest(bufio.NewReader(conn))
			replyWithID(conn, "earlier", "stray")
			replyWithID(conn, "own", "right")
		}))
		client.SetEchoesRequestID(true)
		body, err := fetch(t, client, newRequest(t, "GET", "/"))
		is := is.New(t)
		is.NoErr(err)
		is.Equal(body, "right")
	})
	t.Run("a stray response alone is an error", func(t *testing.T) {
		client := newClient(newScriptedServer(t, func(conn net.Conn) {
			readRequest(bufio.NewReader(conn))
			replyWithID(conn, "earlier", "stray")
			_ = conn.Close()
		}))
		client.SetEchoesRequestID(true)
		_, err := fetch(t, client, newRequest(t, "GET", "/"))
		is.New(t).True(err != nil)
	})
	t.Run("the response to a health probe needs no request ID", func(t *testing.T) {
		client := newClient(newScriptedServer(t, func(conn net.Conn) {
			readRequest(bufio.NewReader(conn))
			reply(conn, "ok")
		}))
		client.SetEchoesRequestID(true)
		result := client.Probe(context.Background(), "/health")
		is := is.New(t)
		is.True(result.Healthy)
		is.True(result.Load == nil) // the response reports no load
	})
}

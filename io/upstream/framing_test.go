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

func TestResponseWithoutLength(t *testing.T) {
	t.Run("one that ends with its connection is complete", func(t *testing.T) {
		body, err := fetch(t, newClient(newScriptedServer(t, func(conn net.Conn) {
			readRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, okHead+"\r\nwhole")
			_ = conn.Close()
		})), newRequest(t, http.MethodGet, "/1"))
		is := is.New(t)
		is.NoErr(err)
		is.Equal(body, "whole")
	})
	t.Run("one whose connection is reset is not", func(t *testing.T) {
		reset := make(chan struct{})
		client := newClient(newScriptedServer(t, func(conn net.Conn) {
			readRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, okHead+"\r\npart")
			<-reset
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}))
		is := is.New(t)
		response, err := client.Do(context.Background(), newRequest(t, http.MethodGet, "/1"), nil)
		is.NoErr(err)
		close(reset)
		_, err = io.ReadAll(response.Body)
		is.True(err != nil)
		response.Abort()
	})
	t.Run("one that the end of the context cuts off is not", func(t *testing.T) {
		client := newClient(newScriptedServer(t, respond(okHead+"\r\npart")))
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		response, err := client.Do(ctx, newRequest(t, http.MethodGet, "/1"), nil)
		is.NoErr(err)
		cancel()
		_, err = io.ReadAll(response.Body)
		is.True(err != nil)
		response.Abort()
	})
}

func TestBrokenChunks(t *testing.T) {
	const chunked = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	for name, text := range map[string]string{
		"no last chunk":                chunked + "3\r\none\r\n",
		"a chunk that is cut":          chunked + "5\r\none",
		"no line after the last chunk": chunked + "3\r\none\r\n0\r\n",
		"half a line at the end":       chunked + "3\r\none\r\n0\r\n\r",
		"a trailer that is cut":        chunked + "3\r\none\r\n0\r\nX-Sum: 1\r\n",
		"a length that is no number":   chunked + "3\r\none\r\nx\r\n\r\n",
		"a chunk longer than stated":   chunked + "3\r\nones\r\n0\r\n\r\n",
		"two lengths that differ":      okHead + "Content-Length: 3\r\nContent-Length: 4\r\n\r\none",
		"a length that is negative":    okHead + "Content-Length: -3\r\n\r\none",
		"a length below the chunks":    okHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\none",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := fetch(t, newClient(newScriptedServer(t, func(conn net.Conn) {
				readRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, text)
				_ = conn.Close()
			})), newRequest(t, http.MethodGet, "/1"))
			is.New(t).True(err != nil)
		})
	}
}

// TestBodiesWhereNoneIsAllowed checks responses whose bytes after the head are no body.
func TestBodiesWhereNoneIsAllowed(t *testing.T) {
	for name, test := range map[string]struct{ method, head string }{
		"HEAD with a length":    {http.MethodHead, okHead + "Content-Length: 3\r\n\r\n"},
		"HEAD without a length": {http.MethodHead, okHead + "\r\n"},
		"HEAD with chunks":      {http.MethodHead, okHead + "Transfer-Encoding: chunked\r\n\r\n"},
		"204":                   {http.MethodGet, "HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\n"},
		"304":                   {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			const stray = okHead + "Content-Length: 5\r\n\r\nwrong"
			checkNextUsesNewConnection(t, respond(test.head+stray), func(client *upstream.Client) {
				body, err := fetch(t, client, newRequest(t, test.method, "/1"))
				is := is.New(t)
				is.NoErr(err)
				is.Equal(body, "")
			})
		})
	}
}

package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/io/dialect"
	"ibislift/io/upstream"
)

const okHead = "HTTP/1.1 200 OK\r\n"

// checkNextUsesNewConnection checks that the request after the first, which use has
// made, is not written to the same connection.
func checkNextUsesNewConnection(t *testing.T, first func(net.Conn), use func(*upstream.Client)) {
	t.Helper()
	client := newClient(newScriptedServer(t, first, respond(okHead+"Content-Length: 3\r\n\r\ntwo")))
	use(client)
	waitUntilReusable()
	body, err := fetch(t, client, newRequest(t, http.MethodGet, "/next"))
	is := is.New(t)
	is.NoErr(err)
	is.Equal(body, "two")
}

func TestConnectionsThatAreNotReused(t *testing.T) {
	t.Run("after a probe whose body was not read to its end", func(t *testing.T) {
		sendRest, sent := make(chan struct{}), make(chan struct{})
		checkNextUsesNewConnection(t, func(conn net.Conn) {
			reader := bufio.NewReader(conn)
			readRequest(reader)
			_, _ = io.WriteString(conn, okHead+"Content-Length: 5000\r\n\r\n")
			_, _ = conn.Write(make([]byte, 4096))
			<-sendRest
			defer close(sent)
			if readRequest(reader) != "" {
				_, _ = conn.Write(make([]byte, 904))
			}
		}, func(client *upstream.Client) {
			healthy := client.Probe(context.Background(), "/health").Healthy
			is.New(t).True(healthy)
			close(sendRest)
		})
		<-sent
	})
	t.Run("after a response that announces the end of the connection", func(t *testing.T) {
		checkNextUsesNewConnection(t, func(conn net.Conn) {
			reader := bufio.NewReader(conn)
			readRequest(reader)
			_, _ = io.WriteString(conn, okHead+"Connection: close\r\nContent-Length: 3\r\n\r\none")
			_, _ = io.Copy(io.Discard, reader)
		}, func(client *upstream.Client) {
			body, err := fetch(t, client, newRequest(t, http.MethodGet, "/1"))
			is := is.New(t)
			is.NoErr(err)
			is.Equal(body, "one")
		})
	})
	t.Run("after a response that came before the whole body of the request", func(t *testing.T) {
		body, rest := io.Pipe()
		checkNextUsesNewConnection(t, func(conn net.Conn) {
			reader := bufio.NewReader(conn)
			_, err := http.ReadRequest(reader)
			is.New(t).NoErr(err)
			reply(conn, "one")
			_, _ = io.Copy(io.Discard, reader)
		}, func(client *upstream.Client) {
			is := is.New(t)
			request := newRequest(t, http.MethodPost, "/upload")
			request.Body = body
			request.ContentLength = 100_000
			go func() { _, _ = rest.Write(make([]byte, 50_000)) }()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			response, err := client.DoNonRepeatable(ctx, request, nil)
			is.NoErr(err)
			text, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(text), "one")
			response.Finish()
		})
		_ = rest.Close()
	})
	t.Run("while a duplicate may still arrive", func(t *testing.T) {
		for range 20 {
			if body, took := fetchBesideDuplicate(t); took < 50*time.Millisecond {
				is.New(t).Equal(body, "two")
				return
			}
			// After such a stall of the machine the connection may be used again.
		}
		t.Fatal("the machine stalled in each trial")
	})
}

// fetchBesideDuplicate sends a second request right after a first one, whose response
// is sent again 10 ms later. It returns the second response and the time of both.
func fetchBesideDuplicate(t *testing.T) (string, time.Duration) {
	t.Helper()
	is := is.New(t)
	duplicate := make(chan struct{})
	client := newClient(newScriptedServer(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		reply(conn, "one")
		go func() {
			<-duplicate
			reply(conn, "one")
		}()
	}, respond(okHead+"Content-Length: 3\r\n\r\ntwo")))
	started := time.Now()
	body, err := fetch(t, client, newRequest(t, http.MethodGet, "/1"))
	is.NoErr(err)
	is.Equal(body, "one")
	time.AfterFunc(10*time.Millisecond, func() { close(duplicate) })
	body, err = fetch(t, client, newRequest(t, http.MethodGet, "/2"))
	is.NoErr(err)
	return body, time.Since(started)
}

func TestInterimResponseOfAnotherRequestIsDropped(t *testing.T) {
	is := is.New(t)
	name := dialect.Default().RequestID
	client := newClient(newScriptedServer(t, respond("HTTP/1.1 103 Early Hints\r\n"+name+": earlier\r\nLink: </other>\r\n\r\n"+
		"HTTP/1.1 103 Early Hints\r\nLink: </own>\r\n\r\n"+okHead+name+": own\r\nContent-Length: 3\r\n\r\none")))
	client.SetEchoesRequestID(true)
	var links []string
	response, err := client.Do(context.Background(), newRequest(t, http.MethodGet, "/1"), func(interim *http.Response) {
		links = append(links, interim.Header.Get("Link"))
	})
	is.NoErr(err)
	response.Abort()
	is.Equal(links, []string{"</own>"})
}

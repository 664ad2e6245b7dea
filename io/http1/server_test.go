package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/io/http1"
)

// announcingListener closes accepting at the first call of Accept.
type announcingListener struct {
	*net.TCPListener
	once      sync.Once
	accepting chan struct{}
}

func (announcingListener *announcingListener) Accept() (net.Conn, error) {
	announcingListener.once.Do(func() { close(announcingListener.accepting) })
	return announcingListener.TCPListener.Accept()
}

// serve starts a server and returns a client connection to it. The server has begun to
// accept connections: a shutdown before that resets those that were opened.
func serve(t *testing.T, server *http1.Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	announcing := &announcingListener{TCPListener: listener.(*net.TCPListener), accepting: make(chan struct{})}
	go func() { _ = server.Serve(announcing) }()
	t.Cleanup(func() { _ = server.Close() })
	<-announcing.accepting
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn, bufio.NewReader(conn)
}

// expectResponse reads a response and checks its status and body.
func expectResponse(t *testing.T, reader *bufio.Reader, status int, body string) *http.Response {
	t.Helper()
	is := is.New(t)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(response.StatusCode, status)
	is.Equal(string(text), body)
	return response
}

func send(t *testing.T, conn net.Conn, requests ...string) {
	t.Helper()
	_, err := io.WriteString(conn, strings.Join(requests, ""))
	is.New(t).NoErr(err)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// always lets every request run concurrently.
func always(*http.Request) bool { return true }

// echo responds with the request's body followed by its path.
var echo = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(writer, request.Body)
	_, _ = io.WriteString(writer, request.URL.Path)
})

func TestAhead(t *testing.T) {
	t.Run("requests run concurrently and the responses keep their order", func(t *testing.T) {
		secondStarted := make(chan struct{})
		conn, reader := serve(t, &http1.Server{AllowConcurrent: always, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/1" {
				<-secondStarted
			} else {
				close(secondStarted)
			}
			_, _ = io.WriteString(writer, request.URL.Path)
		})})
		send(t, conn, get("/1"), get("/2"))
		expectResponse(t, reader, http.StatusOK, "/1")
		expectResponse(t, reader, http.StatusOK, "/2")
	})
	t.Run("a request that may not run concurrently waits for the earlier responses", func(t *testing.T) {
		finishFirst := make(chan struct{})
		ranEarly := make(chan struct{}, 1)
		conn, reader := serve(t, &http1.Server{
			AllowConcurrent: func(request *http.Request) bool { return request.Method == http.MethodGet },
			Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.Method == http.MethodGet {
					<-finishFirst
				} else {
					ranEarly <- struct{}{}
				}
				_, _ = io.WriteString(writer, request.Method)
			}),
		})
		send(t, conn, get("/1"), "DELETE /2 HTTP/1.1\r\nHost: h\r\n\r\n")
		select {
		case <-ranEarly:
			t.Fatal("the second request ran before the response to the first")
		case <-time.After(20 * time.Millisecond):
		}
		close(finishFirst)
		expectResponse(t, reader, http.StatusOK, "GET")
		expectResponse(t, reader, http.StatusOK, "DELETE")
	})
	t.Run("a response that closes the connection leaves the next request unread", func(t *testing.T) {
		conn, reader := serve(t, &http1.Server{Handler: echo})
		send(t, conn, "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", get("/2"))
		is.New(t).True(expectResponse(t, reader, http.StatusOK, "/1").Close)
		_, err := reader.ReadByte()
		is.New(t).Equal(err, io.EOF)
	})
}

func TestBodies(t *testing.T) {
	t.Run("with a length and in chunks", func(t *testing.T) {
		conn, reader := serve(t, &http1.Server{Handler: echo})
		send(t, conn, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
			"POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ndef\r\n0\r\n\r\n")
		expectResponse(t, reader, http.StatusOK, "abc/1")
		expectResponse(t, reader, http.StatusOK, "def/2")
	})
	t.Run("an unread body ends the connection", func(t *testing.T) {
		conn, reader := serve(t, &http1.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(http.StatusTeapot)
		})})
		send(t, conn, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\nabc")
		is.New(t).True(expectResponse(t, reader, http.StatusTeapot, "").Close)
	})
	// A request with an unknown API key is answered without a look at its body.
	ignore := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/ignored" {
			writer.WriteHeader(http.StatusTeapot)
			return
		}
		echo(writer, request)
	})
	const ignored = "POST /ignored HTTP/1.1\r\nHost: h\r\n"
	t.Run("requests behind an unread body that has arrived are served", func(t *testing.T) {
		conn, reader := serve(t, &http1.Server{Handler: ignore, AllowConcurrent: always})
		smuggled := get("/smuggled")
		send(t, conn, get("/1"), fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", ignored, len(smuggled), smuggled),
			"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", get("/3"))
		expectResponse(t, reader, http.StatusOK, "/1")
		is.New(t).True(!expectResponse(t, reader, http.StatusTeapot, "").Close)
		expectResponse(t, reader, http.StatusOK, "abc/2")
		expectResponse(t, reader, http.StatusOK, "/3")
	})
	for name, body := range map[string]string{
		"which is longer than what has arrived": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 64<<10, get("/smuggled")),
		"which is sent in chunks":               "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get("/smuggled"),
		"which the caller has not sent yet":     "Expect: 100-continue\r\nContent-Length: 90\r\n\r\n" + get("/smuggled"),
	} {
		t.Run("no request is read behind an unread body "+name, func(t *testing.T) {
			conn, reader := serve(t, &http1.Server{Handler: ignore, AllowConcurrent: always})
			send(t, conn, get("/1"), ignored+body)
			expectResponse(t, reader, http.StatusOK, "/1")
			is := is.New(t)
			is.True(expectResponse(t, reader, http.StatusTeapot, "").Close)
			_, err := reader.ReadByte()
			is.Equal(err, io.EOF)
		})
	}
	t.Run("a truncated response is not mistaken for a complete one", func(t *testing.T) {
		conn, reader := serve(t, &http1.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(writer, "part")
			writer.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		})})
		send(t, conn, get("/1"))
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		is.New(t).True(err != nil)
	})
}

func TestLimits(t *testing.T) {
	limits := func() http1.Limits {
		return http1.Limits{MaxHeaderBytes: 1 << 10, HeaderTimeout: 30 * time.Millisecond, IdleTimeout: time.Millisecond}
	}
	t.Run("a long header", func(t *testing.T) {
		conn, reader := serve(t, &http1.Server{Handler: echo, Limits: limits})
		send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 20<<10))
		expectResponse(t, reader, http.StatusRequestHeaderFieldsTooLarge, "Request Header Fields Too Large")
	})
	t.Run("a slow header", func(t *testing.T) {
		conn, reader := serve(t, &http1.Server{Handler: echo, Limits: limits})
		send(t, conn, "GET / HT")
		expectResponse(t, reader, http.StatusRequestTimeout, "Request Timeout")
	})
	t.Run("a malformed request line", func(t *testing.T) {
		conn, reader := serve(t, &http1.Server{Handler: echo})
		send(t, conn, "GET\r\n\r\n")
		expectResponse(t, reader, http.StatusBadRequest, "Bad Request")
	})
	// The server once continued to read for half a second after the idle timeout
	// and discarded requests that arrived then.
	t.Run("an idle connection is closed after the timeout and later requests are not discarded", func(t *testing.T) {
		_, reader := serve(t, &http1.Server{Handler: echo, Limits: limits})
		started := time.Now()
		_, err := reader.ReadByte()
		is := is.New(t)
		is.Equal(err, io.EOF)
		is.True(time.Since(started) < 1400*time.Millisecond)
	})
}

func TestSlowCallers(t *testing.T) {
	const timeout = 300 * time.Millisecond
	part := strings.Repeat("x", 100_000) // more than is buffered
	stream := func(parts int, pause time.Duration) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			for range parts {
				_, _ = io.WriteString(writer, part)
				time.Sleep(pause)
			}
		})
	}
	t.Run("a response may take longer than the write timeout", func(t *testing.T) {
		conn, reader := serve(t, &http1.Server{Handler: stream(8, timeout/4), WriteTimeout: timeout})
		send(t, conn, get("/"))
		expectResponse(t, reader, http.StatusOK, strings.Repeat(part, 8))
	})
	t.Run("a caller that does not read is cut off", func(t *testing.T) {
		ended := make(chan struct{})
		conn, reader := serve(t, &http1.Server{WriteTimeout: timeout, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			defer close(ended)
			for request.Context().Err() == nil {
				_, _ = io.WriteString(writer, part)
			}
		})})
		send(t, conn, get("/"))
		<-ended
		_, err := io.Copy(io.Discard, reader)
		is.New(t).True(err != nil)
	})
}

func TestLeaving(t *testing.T) {
	t.Run("closing the connection cancels its requests", func(t *testing.T) {
		ended := make(chan struct{})
		conn, _ := serve(t, &http1.Server{AllowConcurrent: always, Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			<-request.Context().Done()
			close(ended)
		})})
		send(t, conn, get("/1"))
		_ = conn.Close()
		<-ended
	})
	// A caller that always has another request in progress once kept its
	// connection open during a drain, because only the response to the last
	// request closed it.
	t.Run("a draining server takes nothing behind what it has", func(t *testing.T) {
		started, release := make(chan struct{}), make(chan struct{})
		served := make(chan string, 4)
		server := &http1.Server{AllowConcurrent: always, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			served <- request.URL.Path
			close(started)
			<-release
			_, _ = io.WriteString(writer, request.URL.Path)
		})}
		conn, reader := serve(t, server)
		send(t, conn, get("/1"))
		<-started
		server.Drain()
		send(t, conn, get("/2"), get("/3"))
		time.Sleep(20 * time.Millisecond)
		close(release)
		is := is.New(t)
		is.True(expectResponse(t, reader, http.StatusOK, "/1").Close)
		_, err := reader.ReadByte()
		is.True(err != nil)
		is.Equal(len(served), 1)
	})
	t.Run("a connection goes on after a response that has not announced its end", func(t *testing.T) {
		started, release := make(chan struct{}), make(chan struct{})
		server := &http1.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/1" {
				writer.(http.Flusher).Flush()
				close(started)
				<-release
			}
			_, _ = io.WriteString(writer, request.URL.Path)
		})}
		conn, reader := serve(t, server)
		send(t, conn, get("/1"))
		<-started
		server.Drain()
		send(t, conn, get("/2"))
		time.Sleep(20 * time.Millisecond)
		close(release)
		is := is.New(t)
		is.True(!expectResponse(t, reader, http.StatusOK, "/1").Close)
		is.True(expectResponse(t, reader, http.StatusOK, "/2").Close)
	})
	t.Run("a draining server finishes the requests in progress and closes", func(t *testing.T) {
		started, release := make(chan struct{}), make(chan struct{})
		server := &http1.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			close(started)
			<-release
			_, _ = fmt.Fprint(writer, "whole")
		})}
		conn, reader := serve(t, server)
		send(t, conn, get("/1"))
		<-started
		server.Drain()
		stopped := make(chan error, 1)
		go func() { stopped <- server.Shutdown(context.Background()) }()
		close(release)
		is.New(t).True(expectResponse(t, reader, http.StatusOK, "whole").Close)
		is.New(t).NoErr(<-stopped)
	})
	t.Run("a connection opened just before a shutdown gets its response", func(t *testing.T) {
		server := &http1.Server{Handler: echo}
		conn, reader := serve(t, server)
		stopped := make(chan error, 1)
		go func() { stopped <- server.Shutdown(context.Background()) }()
		time.Sleep(50 * time.Millisecond)
		send(t, conn, get("/1"))
		is := is.New(t)
		is.True(expectResponse(t, reader, http.StatusOK, "/1").Close)
		is.NoErr(<-stopped)
	})
	t.Run("a connection without a request does not delay a shutdown for long", func(t *testing.T) {
		server := &http1.Server{Handler: echo}
		_, _ = serve(t, server)
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		is.NoErr(server.Shutdown(ctx))
	})
}

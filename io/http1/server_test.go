package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/io/http1"
)

// serve starts a server and returns a connection to it.
func serve(t *testing.T, server *http1.Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn, bufio.NewReader(conn)
}

// answered reads an answer and checks its status and body.
func answered(t *testing.T, reader *bufio.Reader, status int, body string) *http.Response {
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

// always lets every request run beside others.
func always(*http.Request) bool { return true }

// echo answers with the path.
var echo = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(writer, request.Body)
	_, _ = io.WriteString(writer, request.URL.Path)
})

func TestAhead(t *testing.T) {
	t.Run("requests run side by side and are answered in order", func(t *testing.T) {
		second := make(chan struct{})
		conn, reader := serve(t, &http1.Server{Overlaps: always, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/1" {
				<-second
			} else {
				close(second)
			}
			_, _ = io.WriteString(writer, request.URL.Path)
		})})
		send(t, conn, get("/1"), get("/2"))
		answered(t, reader, http.StatusOK, "/1")
		answered(t, reader, http.StatusOK, "/2")
	})
	t.Run("one that may not be repeated waits for the earlier answers", func(t *testing.T) {
		first := make(chan struct{})
		early := make(chan struct{}, 1)
		conn, reader := serve(t, &http1.Server{
			Overlaps: func(request *http.Request) bool { return request.Method == http.MethodGet },
			Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.Method == http.MethodGet {
					<-first
				} else {
					early <- struct{}{}
				}
				_, _ = io.WriteString(writer, request.Method)
			}),
		})
		send(t, conn, get("/1"), "DELETE /2 HTTP/1.1\r\nHost: h\r\n\r\n")
		select {
		case <-early:
			t.Fatal("the second request ran before the first was answered")
		case <-time.After(20 * time.Millisecond):
		}
		close(first)
		answered(t, reader, http.StatusOK, "GET")
		answered(t, reader, http.StatusOK, "DELETE")
	})
	t.Run("an answer that closes the connection leaves the next request unread", func(t *testing.T) {
		conn, reader := serve(t, &http1.Server{Handler: echo})
		send(t, conn, "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", get("/2"))
		is.New(t).True(answered(t, reader, http.StatusOK, "/1").Close)
		_, err := reader.ReadByte()
		is.New(t).Equal(err, io.EOF)
	})
}

func TestBodies(t *testing.T) {
	t.Run("with a length and in chunks", func(t *testing.T) {
		conn, reader := serve(t, &http1.Server{Handler: echo})
		send(t, conn, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
			"POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ndef\r\n0\r\n\r\n")
		answered(t, reader, http.StatusOK, "abc/1")
		answered(t, reader, http.StatusOK, "def/2")
	})
	t.Run("one that is not read ends the connection", func(t *testing.T) {
		conn, reader := serve(t, &http1.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(http.StatusTeapot)
		})})
		send(t, conn, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\nabc")
		is.New(t).True(answered(t, reader, http.StatusTeapot, "").Close)
	})
	t.Run("an answer that is cut short does not look whole", func(t *testing.T) {
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
		return http1.Limits{HeaderBytes: 1 << 10, HeaderTime: 30 * time.Millisecond, IdleTime: time.Millisecond}
	}
	t.Run("a long header", func(t *testing.T) {
		conn, reader := serve(t, &http1.Server{Handler: echo, Limits: limits})
		send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 20<<10))
		answered(t, reader, http.StatusRequestHeaderFieldsTooLarge, "Request Header Fields Too Large")
	})
	t.Run("a slow header", func(t *testing.T) {
		conn, reader := serve(t, &http1.Server{Handler: echo, Limits: limits})
		send(t, conn, "GET / HT")
		answered(t, reader, http.StatusRequestTimeout, "Request Timeout")
	})
	t.Run("a bad head", func(t *testing.T) {
		conn, reader := serve(t, &http1.Server{Handler: echo})
		send(t, conn, "GET\r\n\r\n")
		answered(t, reader, http.StatusBadRequest, "Bad Request")
	})
	t.Run("an idle connection ends at once, without swallowing what comes late", func(t *testing.T) {
		_, reader := serve(t, &http1.Server{Handler: echo, Limits: limits})
		began := time.Now()
		_, err := reader.ReadByte()
		is := is.New(t)
		is.Equal(err, io.EOF)
		is.True(time.Since(began) < 1400*time.Millisecond)
	})
}

func TestLeaving(t *testing.T) {
	t.Run("a caller that leaves ends its requests", func(t *testing.T) {
		ended := make(chan struct{})
		conn, _ := serve(t, &http1.Server{Overlaps: always, Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			<-request.Context().Done()
			close(ended)
		})})
		send(t, conn, get("/1"))
		_ = conn.Close()
		<-ended
	})
	t.Run("a draining server takes nothing behind what it has", func(t *testing.T) {
		began, release := make(chan struct{}), make(chan struct{})
		served := make(chan string, 4)
		server := &http1.Server{Overlaps: always, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			served <- request.URL.Path
			close(began)
			<-release
			_, _ = io.WriteString(writer, request.URL.Path)
		})}
		conn, reader := serve(t, server)
		send(t, conn, get("/1"))
		<-began
		server.Drain()
		send(t, conn, get("/2"), get("/3"))
		time.Sleep(20 * time.Millisecond)
		close(release)
		is := is.New(t)
		is.True(answered(t, reader, http.StatusOK, "/1").Close)
		_, err := reader.ReadByte()
		is.True(err != nil)
		is.Equal(len(served), 1)
	})
	t.Run("a draining server answers what it has and closes", func(t *testing.T) {
		began, release := make(chan struct{}), make(chan struct{})
		server := &http1.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			close(began)
			<-release
			_, _ = fmt.Fprint(writer, "whole")
		})}
		conn, reader := serve(t, server)
		send(t, conn, get("/1"))
		<-began
		server.Drain()
		stopped := make(chan error, 1)
		go func() { stopped <- server.Shutdown(context.Background()) }()
		close(release)
		is.New(t).True(answered(t, reader, http.StatusOK, "whole").Close)
		is.New(t).NoErr(<-stopped)
	})
}

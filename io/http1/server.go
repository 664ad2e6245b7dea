// Package http1 serves HTTP/1.1 connections whose callers may send requests
// ahead. The server of net/http reads the next request of a connection only
// after the last answer; here requests that may run side by side do, and their
// answers go out in the order of the requests. Parsing is net/http's.
//
// # Usage
//
//	server := &http1.Server{Handler: handler, Limits: limits, Overlaps: overlaps}
//	err := server.Serve(listener)
package http1

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("http1")

// Limits bound what a caller may send and how long it may take. A zero field
// stands for the default.
type Limits struct {
	HeaderBytes int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Defaults of Limits.
const (
	defaultHeaderBytes = 64 << 10
	defaultHeaderTime  = 10 * time.Second
	defaultIdleTime    = 2 * time.Minute
)

// MaxAhead is how many requests of one connection may be under way at once.
const MaxAhead = 16

// idleSlack is how much longer than the limit an idle connection is kept, so
// that a caller that keeps to the limit does not meet its end.
const idleSlack = time.Second

// acceptPause is the wait after a failed accept, as when descriptors run out.
const acceptPause = 20 * time.Millisecond

// Server serves connections. Set the fields before Serve.
type Server struct {
	Handler http.Handler
	// Limits are asked anew for each request; nil means the defaults.
	Limits func() Limits
	// Overlaps says whether a request may run beside earlier ones of its
	// connection that are not answered yet; nil means never.
	Overlaps func(*http.Request) bool
	// Log takes what goes wrong with connections; nil means nowhere.
	Log *slog.Logger

	draining atomic.Bool
	mutex    sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	closed   bool
}

// Serve takes connections until the listener is closed. It returns
// http.ErrServerClosed after Shutdown or Close.
func (server *Server) Serve(listener net.Listener) error {
	server.mutex.Lock()
	if server.closed {
		server.mutex.Unlock()
		_ = listener.Close()
		return http.ErrServerClosed
	}
	server.listener = listener
	server.conns = map[*conn]struct{}{}
	server.mutex.Unlock()
	for {
		accepted, err := listener.Accept()
		if err == nil {
			server.start(accepted)
			continue
		}
		if server.isClosed() {
			return http.ErrServerClosed
		}
		if errors.Is(err, net.ErrClosed) {
			return Error.Wrap(err)
		}
		server.log("cannot accept a connection", err)
		time.Sleep(acceptPause)
	}
}

func (server *Server) start(accepted net.Conn) {
	conn := newConn(server, accepted)
	server.mutex.Lock()
	server.conns[conn] = struct{}{}
	server.mutex.Unlock()
	go conn.serve()
}

func (server *Server) forget(conn *conn) {
	server.mutex.Lock()
	delete(server.conns, conn)
	server.mutex.Unlock()
}

func (server *Server) isClosed() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.closed
}

// Drain lets each connection end with its next answer. New connections are
// still taken.
func (server *Server) Drain() { server.draining.Store(true) }

// Shutdown stops taking connections, closes the idle ones and waits for the
// others to finish until the context ends.
func (server *Server) Shutdown(ctx context.Context) error {
	server.Drain()
	server.stopListening()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for server.closeIdle() > 0 {
		select {
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

// Close ends all connections at once.
func (server *Server) Close() error {
	server.stopListening()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn := range server.conns {
		_ = conn.Close()
	}
	return nil
}

func (server *Server) stopListening() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.closed = true
	if server.listener != nil {
		_ = server.listener.Close()
	}
}

// closeIdle closes the connections that carry nothing, and counts the others.
func (server *Server) closeIdle() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	busy := 0
	for conn := range server.conns {
		if !conn.closeIfIdle() {
			busy++
		}
	}
	return busy
}

func (server *Server) limits() Limits {
	limits := Limits{}
	if server.Limits != nil {
		limits = server.Limits()
	}
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
	if limits.HeaderTime <= 0 {
		limits.HeaderTime = defaultHeaderTime
	}
	if limits.IdleTime <= 0 {
		limits.IdleTime = defaultIdleTime
	}
	return limits
}

func (server *Server) overlaps(request *http.Request) bool {
	return server.Overlaps != nil && server.Overlaps(request)
}

func (server *Server) logPanic(failure any) {
	if server.Log != nil {
		server.Log.Error("a handler panicked", "failure", fmt.Sprint(failure), "stack", string(debug.Stack()))
	}
}

func (server *Server) log(what string, err error) {
	if server.Log != nil {
		server.Log.Debug(what, "error", err)
	}
}

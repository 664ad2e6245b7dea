// Package http1 is an HTTP/1.1 server that runs pipelined requests concurrently.
// The server of net/http reads the next request of a connection only after it
// has written the previous response. This one runs the requests of a connection
// at the same time where that is allowed, and writes the responses in the order
// of the requests. It parses requests with net/http.
//
// # Usage
//
//	server := &http1.Server{Handler: handler, Limits: limits, AllowConcurrent: isSafe}
//	err := server.Serve(listener)
package http1

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"ibislift/io/tcp"
)

// Error is the class of all errors of this package.
var Error = errs.Class("http1")

// Limits bounds the size of a request's header, the time to send it, and the time
// that a connection may be idle. A zero field means the default.
type Limits struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Default values of Limits.
const (
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
)

// MaxPipelined is how many requests of one connection may be in progress at
// once.
const MaxPipelined = 16

// idleSlack is how much longer than the idle timeout a connection is kept, so
// that a caller that reuses it just before the timeout doesn't find it closed.
const idleSlack = time.Second

// acceptRetryDelay is the wait after a failed accept, for example when the
// process has run out of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Server serves HTTP/1.1 connections. Set the fields before calling Serve.
type Server struct {
	Handler http.Handler
	// Limits returns the limits that apply now. It is called for each request;
	// nil means the defaults.
	Limits func() Limits
	// AllowConcurrent reports whether a request may run while earlier requests
	// of its connection are still in progress; nil means never.
	AllowConcurrent func(*http.Request) bool
	// WriteTimeout is how long a caller may take to accept a part of a response. 0
	// means 30 s.
	WriteTimeout time.Duration
	// Log receives errors of connections and panics of handlers; nil disables
	// logging.
	Log *slog.Logger

	// draining closes each connection after its next response, and stopping ends the
	// connections that wait for a request.
	draining atomic.Bool
	stopping atomic.Bool
	mutex    sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	// closed means that only waiting connections are still accepted, and cut that none
	// is served.
	closed bool
	cut    bool
	// backlogEnd is when Shutdown stops waiting for connections at the latest, and
	// ended is closed when Serve returns.
	backlogEnd time.Time
	ended      chan struct{}
	// lateAccepts is the number of connections accepted after backlogEnd. Only Serve
	// uses it.
	lateAccepts int
	// gapPassed is set when Accept has had backlogGap and no connection has come. Only
	// Serve uses it.
	gapPassed bool
}

// Serve accepts connections until the listener is closed. It returns
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
	server.ended = make(chan struct{})
	server.mutex.Unlock()
	defer close(server.ended)
	for {
		accepted, err := listener.Accept()
		if err == nil {
			server.start(accepted)
		}
		switch {
		case server.isClosed():
			if !server.limitAccept(listener, err) {
				_ = listener.Close()
				return http.ErrServerClosed
			}
		case errors.Is(err, net.ErrClosed):
			return Error.Wrap(err)
		case err != nil:
			server.log("cannot accept a connection", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

func (server *Server) start(accepted net.Conn) {
	conn := newConn(server, accepted)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.cut {
		_ = accepted.Close()
		return
	}
	server.conns[conn] = struct{}{}
	go conn.serve()
}

func (server *Server) removeConn(conn *conn) {
	server.mutex.Lock()
	delete(server.conns, conn)
	server.mutex.Unlock()
}

func (server *Server) isClosed() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.closed
}

// Drain makes the server close each connection after its next response. New
// connections are still accepted.
func (server *Server) Drain() { server.draining.Store(true) }

// Shutdown accepts the connections that callers have already opened and no others,
// lets the idle ones end and waits until all have ended or the context ends. A request
// that has arrived on a connection is served, also if it has not been read yet.
func (server *Server) Shutdown(ctx context.Context) error {
	server.Drain()
	server.finishAccepting()
	server.stopping.Store(true)
	conns := server.openConns()
	server.logShutdown(conns)
	for _, conn := range conns {
		conn.shortenWait()
	}
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for len(server.openConns()) > 0 {
		select {
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

// Closing a listener resets the connections that were opened and not accepted yet.
// Shutdown therefore accepts until none has come for backlogGap, for maxBacklogTime at
// most. An Accept for a connection that waits returns at once; maxAcceptTime ends it if
// the connection is gone. Connections that wait after maxBacklogTime are still accepted,
// up to maxLateAccepts: the process may have got no processor time until then.
const (
	backlogGap     = time.Millisecond
	maxBacklogTime = 500 * time.Millisecond
	maxAcceptTime  = time.Second
	maxLateAccepts = 4096
)

// finishAccepting makes Serve accept the waiting connections and end.
func (server *Server) finishAccepting() {
	server.mutex.Lock()
	server.closed = true
	server.backlogEnd = time.Now().Add(maxBacklogTime)
	listener, ended := server.listener, server.ended
	server.mutex.Unlock()
	if ended == nil {
		return
	}
	if !setDeadline(listener, time.Now()) {
		_ = listener.Close()
	}
	<-ended
}

// limitAccept limits the next Accept while the server shuts down, and reports whether
// there is to be one. It looks whether a connection waits, since an Accept whose
// deadline has passed does not.
func (server *Server) limitAccept(listener net.Listener, acceptErr error) bool {
	server.mutex.Lock()
	inTime := time.Now().Before(server.backlogEnd)
	server.mutex.Unlock()
	waiting := tcp.HasWaiting(listener)
	switch {
	case !inTime && (!waiting || server.lateAccepts >= maxLateAccepts):
		return false
	case !inTime:
		server.lateAccepts++
	case acceptErr == nil:
		server.gapPassed = false
	case !errors.Is(acceptErr, os.ErrDeadlineExceeded):
		server.log("cannot accept a connection", acceptErr)
		time.Sleep(acceptRetryDelay)
	}
	if waiting {
		return setDeadline(listener, time.Now().Add(maxAcceptTime))
	}
	if server.gapPassed {
		return false
	}
	server.gapPassed = true
	return setDeadline(listener, time.Now().Add(backlogGap))
}

// setDeadline sets the deadline of Accept and reports whether the listener has one.
func setDeadline(listener net.Listener, deadline time.Time) bool {
	limitable, isLimitable := listener.(interface{ SetDeadline(time.Time) error })
	return isLimitable && limitable.SetDeadline(deadline) == nil
}

// Close closes the listener and all connections immediately.
func (server *Server) Close() error {
	server.stopListening()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.cut = true
	for conn := range server.conns {
		conn.logCut()
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

// openConns returns the connections whose goroutines have not ended.
func (server *Server) openConns() []*conn {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return slices.Collect(maps.Keys(server.conns))
}

func (server *Server) limits() Limits {
	limits := Limits{}
	if server.Limits != nil {
		limits = server.Limits()
	}
	if limits.MaxHeaderBytes <= 0 {
		limits.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	return limits
}

func (server *Server) allowsConcurrent(request *http.Request) bool {
	return server.AllowConcurrent != nil && server.AllowConcurrent(request)
}

// logShutdown logs how many connections are open when callers are no longer accepted.
func (server *Server) logShutdown(conns []*conn) {
	if server.Log == nil {
		return
	}
	busy := 0
	for _, conn := range conns {
		if conn.isBusy() {
			busy++
		}
	}
	server.Log.Info("callers are no longer accepted", "connections", len(conns), "busy", busy)
}

func (server *Server) logPanic(failure any) {
	if server.Log != nil {
		server.Log.Error("a handler panicked", "failure", fmt.Sprint(failure), "stack", string(debug.Stack()))
	}
}

func (server *Server) log(message string, err error) {
	if server.Log != nil {
		server.Log.Debug(message, "error", err)
	}
}

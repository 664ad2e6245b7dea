package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"ibislift/io/tcp"
)

// bufferSize is the size in bytes of the read buffer and of the write buffer of
// a connection.
const bufferSize = 16 << 10

// minIdleTime is how long a connection stays unused after a response before it
// carries the next request, so that a duplicate response is detected before it
// could be read as the next one. It doesn't apply to upstreams that echo the
// request ID, where a duplicate is recognized by its ID.
const minIdleTime = 50 * time.Millisecond

// How long a connection may have been idle and still be reused. The limit is
// well below the idle timeouts of common servers. It is shorter for requests
// that may not be repeated, because they can't be sent again if the upstream
// has closed the connection.
const (
	maxIdleTime              = 4 * time.Second
	maxIdleTimeNonRepeatable = 700 * time.Millisecond
)

// maxIdleConnections is the maximum number of idle connections to the upstream.
const maxIdleConnections = 200

// dialTimeout is the maximum time to connect to the upstream, which runs on the
// same machine.
const dialTimeout = time.Second

// connection is an HTTP/1.1 connection to the upstream. It carries one request
// at a time.
type connection struct {
	net.Conn
	address string
	head    *headReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	// unbuffered is what writer writes to.
	unbuffered *requestWriter
	// idleSince is when the last data of the last response arrived.
	idleSince time.Time
	// keepAliveTimeout is how long the upstream keeps an idle connection, as
	// stated in its Keep-Alive header, or 0 if it has stated nothing.
	keepAliveTimeout time.Duration
}

// recordKeepAlive records the idle timeout that the response's Keep-Alive header
// states.
func (connection *connection) recordKeepAlive(response *http.Response) {
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			connection.keepAliveTimeout = time.Duration(seconds) * time.Second
		}
	}
}

// isReusable reports whether the connection has been idle for less than maxIdle
// and for less than three quarters of the upstream's own timeout.
func (connection *connection) isReusable(maxIdle time.Duration) bool {
	if connection.keepAliveTimeout > 0 {
		maxIdle = min(maxIdle, connection.keepAliveTimeout*3/4)
	}
	return time.Since(connection.idleSince) < maxIdle
}

// pool holds the idle connections to one upstream.
type pool struct {
	mutex   sync.Mutex
	address string
	// idle holds the connections in the order in which they became idle.
	idle []*connection
}

// get returns a connection that has been idle for at least minIdle and on which
// nothing has arrived since, or else a new connection.
func (pool *pool) get(ctx context.Context, minIdle, maxIdle time.Duration) (*connection, error) {
	for {
		idle := pool.pop(minIdle, maxIdle)
		if idle == nil {
			return pool.dial(ctx)
		}
		if tcp.IsQuiet(idle.Conn) {
			return idle, nil
		}
		_ = idle.Close()
	}
}

// pop removes an idle connection from the pool and returns it, or returns nil
// if none is suitable. It picks the most recently used connection if minIdle is
// 0, and otherwise the one that has been idle longest, of those within maxIdle.
// Connections that have been idle for longer than maxIdleTime are closed.
func (pool *pool) pop(minIdle, maxIdle time.Duration) *connection {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for len(pool.idle) > 0 && !pool.idle[0].isReusable(maxIdleTime) {
		_ = pool.idle[0].Close()
		pool.idle = pool.idle[1:]
	}
	if len(pool.idle) == 0 {
		return nil
	}
	if minIdle == 0 {
		last := len(pool.idle) - 1
		idle := pool.idle[last]
		if !idle.isReusable(maxIdle) {
			return nil
		}
		pool.idle = pool.idle[:last]
		return idle
	}
	oldest := slices.IndexFunc(pool.idle, func(idle *connection) bool { return idle.isReusable(maxIdle) })
	if oldest < 0 || time.Since(pool.idle[oldest].idleSince) < minIdle {
		return nil
	}
	idle := pool.idle[oldest]
	pool.idle = slices.Delete(pool.idle, oldest, oldest+1)
	return idle
}

func (pool *pool) dial(ctx context.Context) (*connection, error) {
	pool.mutex.Lock()
	address := pool.address
	pool.mutex.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	head, unbuffered := &headReader{Reader: conn}, &requestWriter{Conn: conn}
	return &connection{
		Conn:       conn,
		address:    address,
		head:       head,
		reader:     bufio.NewReaderSize(head, bufferSize),
		writer:     bufio.NewWriterSize(unbuffered, bufferSize),
		unbuffered: unbuffered,
	}, nil
}

// put returns a connection to the pool after its response has been read whole.
// A connection with unread bytes is closed, because they would be read as the
// response to the next request.
func (pool *pool) put(connection *connection) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if connection.reader.Buffered() > 0 || connection.address != pool.address || len(pool.idle) >= maxIdleConnections {
		_ = connection.Close()
		return
	}
	// The upstream's idle timeout does not wait until the response has been read, which
	// may be late if the process was paused or the caller is slow.
	connection.idleSince = time.Now().Add(-tcp.SinceReceived(connection.Conn))
	pool.idle = append(pool.idle, connection)
}

// setAddress sets the address for new connections. If it has changed, the idle
// connections are closed.
func (pool *pool) setAddress(address string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.address == address {
		return
	}
	pool.address = address
	pool.closeIdleLocked()
}

// closeIdle closes the idle connections, for example after a crash of the
// upstream.
func (pool *pool) closeIdle() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.closeIdleLocked()
}

// closeIdleLocked closes the idle connections. The caller holds the mutex.
func (pool *pool) closeIdleLocked() {
	for _, idle := range pool.idle {
		_ = idle.Close()
	}
	pool.idle = nil
}

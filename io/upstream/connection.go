package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ibislift/io/tcp"
)

// bufferSize is the size of a connection's read and write buffers in bytes.
const bufferSize = 16 << 10

// quietTime is how long a connection rests after an answer before it carries
// the next request, so that an answer that comes twice is noticed on it.
// Connections to an upstream that names its answers need no rest.
const quietTime = 50 * time.Millisecond

// How long a connection may have been idle before it is used again: well below
// the timeouts of common servers, and shorter for requests that may not be
// repeated, which cannot be sent again if it turns out dead.
const (
	maxIdleTime     = 4 * time.Second
	maxIdleTimeOnce = 700 * time.Millisecond
)

// maxIdle bounds the idle connections to the upstream.
const maxIdle = 200

// dialTimeout bounds the setting up of a connection to the upstream beside.
const dialTimeout = time.Second

// connection is one HTTP/1.1 connection to the upstream. It carries one
// request at a time.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	idleAt  time.Time
	// timeout is how long the upstream keeps an idle connection, as it said; 0
	// means that it has not said.
	timeout time.Duration
	// reused says that the connection has carried a request before.
	reused bool
}

// noteTimeout reads how long the upstream keeps the connection when idle.
func (connection *connection) noteTimeout(response *http.Response) {
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			connection.timeout = time.Duration(seconds) * time.Second
		}
	}
}

// fresh says whether the connection may be used again after having been idle.
func (connection *connection) fresh(most time.Duration) bool {
	if connection.timeout > 0 {
		most = min(most, connection.timeout*3/4)
	}
	return time.Since(connection.idleAt) < most
}

// pool keeps idle connections to one upstream.
type pool struct {
	mutex   sync.Mutex
	address string
	idle    []*connection
}

// get returns an idle connection that has rested for a time and on which
// nothing has arrived, or a new one.
func (pool *pool) get(ctx context.Context, rest, idleFor time.Duration) (*connection, error) {
	for {
		idle := pool.pop(rest, idleFor)
		if idle == nil {
			return pool.dial(ctx)
		}
		if tcp.IsQuiet(idle.Conn) {
			idle.reused = true
			return idle, nil
		}
		_ = idle.Close()
	}
}

// pop takes the connection that was used last, if none has to rest, or else
// the one that has rested longest, if it has rested enough. Those that have
// been idle for too long are closed.
func (pool *pool) pop(rest, idleFor time.Duration) *connection {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for len(pool.idle) > 0 && !pool.idle[0].fresh(maxIdleTime) {
		_ = pool.idle[0].Close()
		pool.idle = pool.idle[1:]
	}
	if len(pool.idle) == 0 {
		return nil
	}
	if rest == 0 {
		last := len(pool.idle) - 1
		idle := pool.idle[last]
		if !idle.fresh(idleFor) {
			return nil
		}
		pool.idle = pool.idle[:last]
		return idle
	}
	if time.Since(pool.idle[0].idleAt) < rest {
		return nil
	}
	idle := pool.idle[0]
	pool.idle = pool.idle[1:]
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
	return &connection{
		Conn:    conn,
		address: address,
		reader:  bufio.NewReaderSize(conn, bufferSize),
		writer:  bufio.NewWriterSize(conn, bufferSize),
	}, nil
}

// put takes a connection back whose answer has been read whole. One with bytes
// left over is closed: they would be taken for the next request's answer.
func (pool *pool) put(used *connection) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if used.reader.Buffered() > 0 || used.address != pool.address || len(pool.idle) >= maxIdle {
		_ = used.Close()
		return
	}
	used.idleAt = time.Now()
	pool.idle = append(pool.idle, used)
}

// retarget drops the idle connections and uses another address from now on.
func (pool *pool) retarget(address string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.address == address {
		return
	}
	pool.address = address
	pool.drop()
}

// reset drops the idle connections, as after a crash of the upstream.
func (pool *pool) reset() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.drop()
}

func (pool *pool) drop() {
	for _, idle := range pool.idle {
		_ = idle.Close()
	}
	pool.idle = nil
}

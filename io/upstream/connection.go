package upstream

import (
	"bufio"
	"context"
	"net"
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
}

// pool keeps idle connections to one upstream.
type pool struct {
	mutex   sync.Mutex
	address string
	idle    []*connection
}

// get returns an idle connection that has rested for a time and on which
// nothing has arrived, or a new one.
func (pool *pool) get(ctx context.Context, rest time.Duration) (*connection, error) {
	for {
		idle := pool.pop(rest)
		if idle == nil {
			return pool.dial(ctx)
		}
		if tcp.IsQuiet(idle.Conn) {
			return idle, nil
		}
		_ = idle.Close()
	}
}

// pop takes the connection that has rested longest, if it has rested enough.
func (pool *pool) pop(rest time.Duration) *connection {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if len(pool.idle) == 0 || time.Since(pool.idle[0].idleAt) < rest {
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

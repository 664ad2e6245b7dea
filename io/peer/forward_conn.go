package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"ibislift/core/admit"
	"ibislift/io/peer/peerpb"
	"ibislift/io/tcp"
)

// forwardConn is a connection between an ingress and a gate. It transports one
// request at a time as length-delimited protobuf messages. The goroutine that
// handles the request reads and writes the connection itself, so that a message
// wakes only one goroutine.
type forwardConn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	// countBytes, if set, is called for each message.
	countBytes CountBytes
}

// forwardBufferSize is the size in bytes of a connection's read buffer and of its
// write buffer. Longer messages bypass the buffers.
const forwardBufferSize = 4 << 10

func newForwardConn(conn net.Conn, address string, countBytes CountBytes) *forwardConn {
	return &forwardConn{
		Conn:       conn,
		address:    address,
		reader:     bufio.NewReaderSize(conn, forwardBufferSize),
		writer:     bufio.NewWriterSize(conn, forwardBufferSize),
		countBytes: countBytes,
	}
}

func (forwardConn *forwardConn) send(message proto.Message) error {
	size, err := protodelim.MarshalTo(forwardConn.writer, message)
	if err != nil {
		return err
	}
	forwardConn.count("out", message, size)
	return forwardConn.writer.Flush()
}

func (forwardConn *forwardConn) receive(message proto.Message) error {
	if err := (protodelim.UnmarshalOptions{MaxSize: MaxMessageSize}).UnmarshalFrom(forwardConn.reader, message); err != nil {
		return err
	}
	if forwardConn.countBytes != nil {
		forwardConn.count("in", message, proto.Size(message))
	}
	return nil
}

func (forwardConn *forwardConn) count(direction string, message proto.Message, size int) {
	address := forwardConn.RemoteAddr().String()
	switch frame := message.(type) {
	case *peerpb.CallFrame:
		forwardConn.countBytes.countCall(direction, address, frame, size)
	case *peerpb.AnswerFrame:
		forwardConn.countBytes.countAnswer(direction, address, frame, size)
	}
}

// maxIdleConns is the maximum number of idle connections to one gate.
const maxIdleConns = 64

// connPool holds the idle connections to gates, by address.
type connPool struct {
	mutex sync.Mutex
	idle  map[string][]*forwardConn
}

func (connPool *connPool) pop(address string) *forwardConn {
	connPool.mutex.Lock()
	defer connPool.mutex.Unlock()
	idle := connPool.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	connPool.idle[address] = idle[:len(idle)-1]
	return last
}

func (connPool *connPool) put(used *forwardConn) {
	connPool.mutex.Lock()
	defer connPool.mutex.Unlock()
	if used.reader.Buffered() > 0 || len(connPool.idle[used.address]) >= maxIdleConns {
		_ = used.Close()
		return
	}
	if connPool.idle == nil {
		connPool.idle = map[string][]*forwardConn{}
	}
	connPool.idle[used.address] = append(connPool.idle[used.address], used)
}

// closeExcept closes the idle connections to all but the wanted addresses.
func (connPool *connPool) closeExcept(wanted map[string]bool) {
	connPool.mutex.Lock()
	defer connPool.mutex.Unlock()
	for address, idle := range connPool.idle {
		if wanted[address] {
			continue
		}
		delete(connPool.idle, address)
		for _, forwardConn := range idle {
			_ = forwardConn.Close()
		}
	}
}

// ingressConnStream is the IngressStream of a request on a connection.
type ingressConnStream struct {
	conn *forwardConn
	pool *connPool
	stop func() bool
	// sending is held while a frame is sent. The frames of a streamed body are sent
	// by a goroutine of their own, while another one receives the response.
	sending sync.Mutex
	// bodyPending is set while parts of the request's body are yet to be sent.
	bodyPending bool
	// mayStall is set while the connection's limit is bodyStallTimeout.
	mayStall bool
	released bool
}

// bodyStallTimeout is how long a streamed body may make no progress, as when the
// upstream is slow to read it. The request's deadline usually ends it sooner.
const bodyStallTimeout = 30 * time.Second

// openIdle starts a request on an idle connection to the gate, if there is one.
func (peers *Peers) openIdle(ctx context.Context, address string) (IngressStream, bool) {
	for {
		idle := peers.idleConns.pop(address)
		if idle == nil {
			return nil, false
		}
		if tcp.IsQuiet(idle.Conn) {
			return peers.newIngressStream(ctx, idle), true
		}
		_ = idle.Close()
	}
}

// openNew starts a request on a new connection to the gate.
func (peers *Peers) openNew(ctx context.Context, address string) (IngressStream, error) {
	conn, err := peers.dial(ctx, address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return peers.newIngressStream(ctx, newForwardConn(conn, address, peers.CountBytes)), nil
}

func (peers *Peers) newIngressStream(ctx context.Context, forwardConn *forwardConn) *ingressConnStream {
	stop := context.AfterFunc(ctx, func() { _ = forwardConn.Close() })
	return &ingressConnStream{conn: forwardConn, pool: &peers.idleConns, stop: stop}
}

// dialTimeout limits how long a new connection to a gate may take to open.
const dialTimeout = time.Second

func (peers *Peers) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if peers.Dial != nil {
		return peers.Dial(ctx, address)
	}
	return tcp.Dial(ctx, address)
}

func (ingressConnStream *ingressConnStream) Send(frame *peerpb.CallFrame) error {
	ingressConnStream.sending.Lock()
	defer ingressConnStream.sending.Unlock()
	switch frame := frame.GetFrame().(type) {
	case *peerpb.CallFrame_Head:
		ingressConnStream.bodyPending = frame.Head.GetBodyFollows()
	case *peerpb.CallFrame_Chunk:
		if !ingressConnStream.mayStall {
			ingressConnStream.mayStall = true
			if err := tcp.SetStallTimeout(ingressConnStream.conn.Conn, bodyStallTimeout); err != nil {
				return Error.Wrap(err)
			}
		}
	case *peerpb.CallFrame_End:
		ingressConnStream.bodyPending = false
	}
	return ingressConnStream.conn.send(frame)
}

func (ingressConnStream *ingressConnStream) Recv() (*peerpb.AnswerFrame, error) {
	frame := &peerpb.AnswerFrame{}
	if err := ingressConnStream.conn.receive(frame); err != nil {
		_ = ingressConnStream.conn.Close()
		return nil, err
	}
	if isFinalFrame(frame) {
		ingressConnStream.release(frame)
	}
	return frame, nil
}

// RecvUntil is like Recv, but fails with os.ErrDeadlineExceeded if no frame has
// begun to arrive by the deadline.
func (ingressConnStream *ingressConnStream) RecvUntil(deadline time.Time) (*peerpb.AnswerFrame, error) {
	_ = ingressConnStream.conn.SetReadDeadline(deadline)
	_, err := ingressConnStream.conn.reader.Peek(1)
	_ = ingressConnStream.conn.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, err
	}
	return ingressConnStream.Recv()
}

// release returns the connection to the pool after the last response frame. It
// closes the connection instead if the context has ended, if the gate drains and may
// be about to close it, or if parts of the request's body were not sent or are still
// being sent: even the end of a body may be answered before the call that sends it has
// returned.
func (ingressConnStream *ingressConnStream) release(last *peerpb.AnswerFrame) {
	if ingressConnStream.released {
		return
	}
	ingressConnStream.released = true
	if !ingressConnStream.stop() || !ingressConnStream.sending.TryLock() {
		_ = ingressConnStream.conn.Close()
		return
	}
	defer ingressConnStream.sending.Unlock()
	if ingressConnStream.bodyPending || last.GetRefused().GetReason() == string(admit.ReasonDraining) {
		_ = ingressConnStream.conn.Close()
		return
	}
	if ingressConnStream.mayStall && tcp.SetStallTimeout(ingressConnStream.conn.Conn, tcp.StallTimeout) != nil {
		// The connection has failed meanwhile.
		_ = ingressConnStream.conn.Close()
		return
	}
	ingressConnStream.pool.put(ingressConnStream.conn)
}

// isFinalFrame reports whether the frame is the last one of a response.
func isFinalFrame(frame *peerpb.AnswerFrame) bool {
	switch frame := frame.GetFrame().(type) {
	case *peerpb.AnswerFrame_Refused, *peerpb.AnswerFrame_Lost, *peerpb.AnswerFrame_End:
		return true
	case *peerpb.AnswerFrame_Head:
		return frame.Head.GetComplete()
	default:
		return false
	}
}

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

	"ibislift/io/peer/peerpb"
	"ibislift/io/tcp"
)

// line is a connection between an entry and a gate that carries one request at
// a time, as delimited protobuf messages. The goroutine that serves the request
// reads and writes it, so that a message wakes just one goroutine.
type line struct {
	net.Conn
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
}

// lineBufferSize is the size of each of a line's two buffers, in bytes. Longer
// messages pass them by.
const lineBufferSize = 4 << 10

func newLine(conn net.Conn, address string) *line {
	return &line{
		Conn:    conn,
		address: address,
		reader:  bufio.NewReaderSize(conn, lineBufferSize),
		writer:  bufio.NewWriterSize(conn, lineBufferSize),
	}
}

func (line *line) send(message proto.Message) error {
	if _, err := protodelim.MarshalTo(line.writer, message); err != nil {
		return err
	}
	return line.writer.Flush()
}

func (line *line) receive(message proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: MaxMessageSize}.UnmarshalFrom(line.reader, message)
}

// maxIdleLines bounds the idle lines to one gate.
const maxIdleLines = 64

// lines keeps idle lines to gates.
type lines struct {
	mutex sync.Mutex
	idle  map[string][]*line
}

func (lines *lines) pop(address string) *line {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	idle := lines.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	lines.idle[address] = idle[:len(idle)-1]
	return last
}

func (lines *lines) put(used *line) {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	if used.reader.Buffered() > 0 || len(lines.idle[used.address]) >= maxIdleLines {
		_ = used.Close()
		return
	}
	if lines.idle == nil {
		lines.idle = map[string][]*line{}
	}
	lines.idle[used.address] = append(lines.idle[used.address], used)
}

// keep closes the idle lines to addresses that are not wanted any more.
func (lines *lines) keep(wanted map[string]bool) {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	for address, idle := range lines.idle {
		if wanted[address] {
			continue
		}
		delete(lines.idle, address)
		for _, line := range idle {
			_ = line.Close()
		}
	}
}

// lineCall is the entry's end of a request on a line.
type lineCall struct {
	line  *line
	lines *lines
	stop  func() bool
	// sending says that parts of the request's body are still to be sent.
	sending bool
	over    bool
}

// openIdle takes an idle line to the gate, if there is one.
func (peers *Peers) openIdle(ctx context.Context, address string) (CallStream, bool) {
	for {
		idle := peers.lines.pop(address)
		if idle == nil {
			return nil, false
		}
		if tcp.IsQuiet(idle.Conn) {
			return peers.callOn(ctx, idle), true
		}
		_ = idle.Close()
	}
}

// openNew sets up a line to the gate.
func (peers *Peers) openNew(ctx context.Context, address string) (CallStream, error) {
	conn, err := peers.dial(ctx, address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return peers.callOn(ctx, newLine(conn, address)), nil
}

func (peers *Peers) callOn(ctx context.Context, line *line) *lineCall {
	stop := context.AfterFunc(ctx, func() { _ = line.Close() })
	return &lineCall{line: line, lines: &peers.lines, stop: stop}
}

// lineDialTimeout bounds the setting up of a line.
const lineDialTimeout = time.Second

func (peers *Peers) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, lineDialTimeout)
	defer cancel()
	if peers.Dial != nil {
		return peers.Dial(ctx, address)
	}
	return tcp.Dial(ctx, address)
}

func (lineCall *lineCall) Send(frame *peerpb.CallFrame) error {
	switch frame := frame.GetFrame().(type) {
	case *peerpb.CallFrame_Head:
		lineCall.sending = frame.Head.GetBodyFollows()
	case *peerpb.CallFrame_End:
		lineCall.sending = false
	}
	return lineCall.line.send(frame)
}

func (lineCall *lineCall) Recv() (*peerpb.AnswerFrame, error) {
	frame := &peerpb.AnswerFrame{}
	if err := lineCall.line.receive(frame); err != nil {
		_ = lineCall.line.Close()
		return nil, err
	}
	if isLast(frame) {
		lineCall.release()
	}
	return frame, nil
}

// RecvUntil is Recv that gives up at a time, if no frame has begun by then.
func (lineCall *lineCall) RecvUntil(deadline time.Time) (*peerpb.AnswerFrame, error) {
	_ = lineCall.line.SetReadDeadline(deadline)
	_, err := lineCall.line.reader.Peek(1)
	_ = lineCall.line.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, err
	}
	return lineCall.Recv()
}

// release gives the line back when the request on it is over for both ends.
func (lineCall *lineCall) release() {
	if lineCall.over {
		return
	}
	lineCall.over = true
	if !lineCall.stop() || lineCall.sending {
		_ = lineCall.line.Close()
		return
	}
	lineCall.lines.put(lineCall.line)
}

// isLast says whether a gate sends nothing more after a frame.
func isLast(frame *peerpb.AnswerFrame) bool {
	switch frame := frame.GetFrame().(type) {
	case *peerpb.AnswerFrame_Refused, *peerpb.AnswerFrame_Lost, *peerpb.AnswerFrame_End:
		return true
	case *peerpb.AnswerFrame_Head:
		return frame.Head.GetComplete()
	default:
		return false
	}
}

package peer

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"ibislift/io/peer/peerpb"
)

// watchDelay is how long a gate lets a request run before it watches the line
// for the entry's end. Most requests are over by then and cost no watcher.
const watchDelay = 2 * time.Millisecond

// ServeLines takes lines from other daemons until the listener is closed.
func (server *Server) ServeLines(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return Error.Wrap(err)
		}
		go server.serveLine(newLine(conn, ""))
	}
}

// serveLine serves the requests of a line one after another.
func (server *Server) serveLine(line *line) {
	defer func() { _ = line.Close() }()
	stop := context.AfterFunc(server.lineContext(), func() { _ = line.Close() })
	defer stop()
	for {
		if _, err := line.reader.Peek(1); err != nil {
			return
		}
		if !server.serveCall(line) {
			return
		}
	}
}

// lineContext ends when the server closes its lines.
func (server *Server) lineContext() context.Context {
	server.closing.Do(func() { server.closed, server.closeLines = context.WithCancel(context.Background()) })
	return server.closed
}

// CloseLines ends all lines from other daemons.
func (server *Server) CloseLines() {
	server.lineContext()
	server.closeLines()
}

// serveCall serves one request, and says whether the line can carry another.
func (server *Server) serveCall(line *line) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stream := &lineGate{line: line, ctx: ctx, cancel: cancel}
	err := server.Serve(stream)
	stream.disarm()
	return err == nil && !stream.broken && !stream.unread
}

// lineGate is the gate's end of a request on a line.
type lineGate struct {
	line   *line
	ctx    context.Context
	cancel context.CancelFunc
	// unread says that parts of the request have not been read.
	unread bool
	broken bool

	mutex    sync.Mutex
	timer    *time.Timer
	watching chan struct{}
}

func (lineGate *lineGate) Context() context.Context { return lineGate.ctx }

func (lineGate *lineGate) Send(frame *peerpb.AnswerFrame) error {
	err := lineGate.line.send(frame)
	lineGate.broken = lineGate.broken || err != nil
	return err
}

func (lineGate *lineGate) Recv() (*peerpb.CallFrame, error) {
	lineGate.disarm()
	frame := &peerpb.CallFrame{}
	if err := lineGate.line.receive(frame); err != nil {
		lineGate.broken = true
		lineGate.cancel()
		return nil, err
	}
	lineGate.noteUnread(frame)
	lineGate.arm()
	return frame, nil
}

func (lineGate *lineGate) noteUnread(frame *peerpb.CallFrame) {
	switch frame := frame.GetFrame().(type) {
	case *peerpb.CallFrame_Head:
		lineGate.unread = frame.Head.GetBodyFollows()
	case *peerpb.CallFrame_End:
		lineGate.unread = false
	}
}

// arm watches the line after a while, while the request runs.
func (lineGate *lineGate) arm() {
	lineGate.mutex.Lock()
	defer lineGate.mutex.Unlock()
	lineGate.timer = time.AfterFunc(watchDelay, lineGate.watch)
}

// watch ends the request when the entry ends the line. Bytes that arrive are
// left for Recv.
func (lineGate *lineGate) watch() {
	lineGate.mutex.Lock()
	if lineGate.timer == nil {
		lineGate.mutex.Unlock()
		return
	}
	done := make(chan struct{})
	lineGate.watching = done
	lineGate.mutex.Unlock()
	defer close(done)
	if _, err := lineGate.line.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		lineGate.cancel()
	}
}

// disarm ends the watching, so that the caller may read the line.
func (lineGate *lineGate) disarm() {
	lineGate.mutex.Lock()
	timer, watching := lineGate.timer, lineGate.watching
	lineGate.timer, lineGate.watching = nil, nil
	lineGate.mutex.Unlock()
	if timer != nil {
		timer.Stop()
	}
	if watching == nil {
		return
	}
	_ = lineGate.line.SetReadDeadline(time.Unix(1, 0))
	<-watching
	_ = lineGate.line.SetReadDeadline(time.Time{})
}

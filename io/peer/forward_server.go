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

// disconnectWatchDelay is how long a request runs before the gate starts to watch
// the connection for a disconnect of the ingress. Most requests end sooner and
// need no watching goroutine.
const disconnectWatchDelay = 2 * time.Millisecond

// ServeForwardConns accepts connections with forwarded requests from other
// daemons until the listener is closed.
func (server *Server) ServeForwardConns(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return Error.Wrap(err)
		}
		go server.serveConn(newForwardConn(conn, "", server.CountBytes))
	}
}

// serveConn serves the requests of a connection one after another.
func (server *Server) serveConn(forwardConn *forwardConn) {
	defer func() { _ = forwardConn.Close() }()
	stop := context.AfterFunc(server.forwardContext(), func() { _ = forwardConn.Close() })
	defer stop()
	for {
		if _, err := forwardConn.reader.Peek(1); err != nil {
			return
		}
		if !server.serveRequest(forwardConn) {
			return
		}
	}
}

// forwardContext returns a context that ends with CloseForwardConns.
func (server *Server) forwardContext() context.Context {
	server.forwardOnce.Do(func() { server.forwardClosed, server.cancelForward = context.WithCancel(context.Background()) })
	return server.forwardClosed
}

// CloseForwardConns closes all connections with forwarded requests.
func (server *Server) CloseForwardConns() {
	server.forwardContext()
	server.cancelForward()
}

// serveRequest serves one request and reports whether the connection can be used
// for another one.
func (server *Server) serveRequest(forwardConn *forwardConn) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stream := &gateConnStream{conn: forwardConn, ctx: ctx, cancel: cancel}
	err := server.ServeStream(stream)
	stream.stopWatch()
	return err == nil && !stream.broken && !stream.unread
}

// gateConnStream is the GateStream of a request on a connection.
type gateConnStream struct {
	conn   *forwardConn
	ctx    context.Context
	cancel context.CancelFunc
	// unread is set while parts of the request have not been read.
	unread bool
	broken bool

	mutex     sync.Mutex
	timer     *time.Timer
	watchDone chan struct{}
}

func (gateConnStream *gateConnStream) Context() context.Context { return gateConnStream.ctx }

func (gateConnStream *gateConnStream) Send(frame *peerpb.AnswerFrame) error {
	err := gateConnStream.conn.send(frame)
	gateConnStream.broken = gateConnStream.broken || err != nil
	return err
}

func (gateConnStream *gateConnStream) Recv() (*peerpb.CallFrame, error) {
	gateConnStream.stopWatch()
	frame := &peerpb.CallFrame{}
	if err := gateConnStream.conn.receive(frame); err != nil {
		gateConnStream.broken = true
		gateConnStream.cancel()
		return nil, err
	}
	gateConnStream.updateUnread(frame)
	gateConnStream.startWatch()
	return frame, nil
}

func (gateConnStream *gateConnStream) updateUnread(frame *peerpb.CallFrame) {
	switch frame := frame.GetFrame().(type) {
	case *peerpb.CallFrame_Head:
		gateConnStream.unread = frame.Head.GetBodyFollows()
	case *peerpb.CallFrame_End:
		gateConnStream.unread = false
	}
}

// startWatch schedules watchDisconnect to run after disconnectWatchDelay.
func (gateConnStream *gateConnStream) startWatch() {
	gateConnStream.mutex.Lock()
	defer gateConnStream.mutex.Unlock()
	gateConnStream.timer = time.AfterFunc(disconnectWatchDelay, gateConnStream.watchDisconnect)
}

// watchDisconnect cancels the request when the ingress closes the connection.
// Data that arrives stays in the buffer for Recv.
func (gateConnStream *gateConnStream) watchDisconnect() {
	gateConnStream.mutex.Lock()
	if gateConnStream.timer == nil {
		gateConnStream.mutex.Unlock()
		return
	}
	done := make(chan struct{})
	gateConnStream.watchDone = done
	gateConnStream.mutex.Unlock()
	defer close(done)
	if _, err := gateConnStream.conn.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		gateConnStream.cancel()
	}
}

// stopWatch stops the timer and watchDisconnect, so that the caller may read the
// connection. A deadline in the past ends a Peek that is in progress.
func (gateConnStream *gateConnStream) stopWatch() {
	gateConnStream.mutex.Lock()
	timer, watchDone := gateConnStream.timer, gateConnStream.watchDone
	gateConnStream.timer, gateConnStream.watchDone = nil, nil
	gateConnStream.mutex.Unlock()
	if timer != nil {
		timer.Stop()
	}
	if watchDone == nil {
		return
	}
	_ = gateConnStream.conn.SetReadDeadline(time.Unix(1, 0))
	<-watchDone
	_ = gateConnStream.conn.SetReadDeadline(time.Time{})
}

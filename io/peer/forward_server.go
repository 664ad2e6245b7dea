package peer

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
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
	server.gateConns.start(listener)
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return Error.Wrap(err)
		}
		if err != nil {
			// For example, no descriptor is left.
			server.logAcceptError(err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		gateConn := newGateConn(newForwardConn(conn, "", server.CountBytes))
		server.gateConns.add(gateConn)
		go server.serveConn(gateConn)
	}
}

// acceptRetryDelay is the time between a failed Accept and the next one.
const acceptRetryDelay = 20 * time.Millisecond

func (server *Server) logAcceptError(err error) {
	if server.Log != nil {
		server.Log.Warn("cannot accept a connection of another daemon", "error", err)
	}
}

// serveConn serves the requests of a connection one after another.
func (server *Server) serveConn(gateConn *gateConn) {
	defer server.gateConns.closeAndRemove(gateConn)
	for server.awaitRequest(gateConn) && server.serveRequest(gateConn) {
		gateConn.expectNext()
	}
	if gateConn.mustRefuse() {
		gateConn.refuseNext(encodeLoad(server.Gate.Load()))
	}
}

// awaitRequest waits until a request arrives, and reports whether one has.
func (server *Server) awaitRequest(gateConn *gateConn) bool {
	_, err := gateConn.reader.Peek(1)
	return err == nil
}

// DismissForwardConns makes the gate refuse all requests, and then end their
// connections. A request that has not been read whole is refused at once.
// Connections are still accepted.
func (server *Server) DismissForwardConns() {
	server.Gate.Close()
	server.gateConns.dismiss()
}

// CloseForwardConns closes the listener of ServeForwardConns and all connections with
// forwarded requests. It first waits until they have been dismissed for dismissTime.
func (server *Server) CloseForwardConns() {
	server.DismissForwardConns()
	time.Sleep(time.Until(server.gateConns.dismiss()))
	server.gateConns.closeAll()
}

// serveRequest serves one request and reports whether the connection can be used
// for another one.
func (server *Server) serveRequest(gateConn *gateConn) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stream := &gateConnStream{conn: gateConn, ctx: ctx, cancel: cancel}
	err := server.ServeStream(stream)
	if stream.end() && err == nil {
		return true
	}
	stream.discardBody()
	return false
}

// gateConnStream is the GateStream of a request on a connection. A streamed body is
// received by a goroutine of its own, which may go on for a moment after the response
// has been sent.
type gateConnStream struct {
	conn   *gateConn
	ctx    context.Context
	cancel context.CancelFunc
	// sendFailed is used by the goroutine that serves the request only.
	sendFailed bool

	// receiving is held while a frame is received. It protects the next fields.
	receiving     sync.Mutex
	receiveFailed bool
	// unread is set while parts of the request have not been read.
	unread bool
	// ended is set when the connection is no longer the request's.
	ended atomic.Bool

	mutex sync.Mutex
	watch *disconnectWatch
}

// disconnectWatch watches the connection while no frame is received.
type disconnectWatch struct {
	timer *time.Timer
	// done is closed when the watch has ended. It is nil until the watch begins.
	done chan struct{}
}

func (gateConnStream *gateConnStream) Context() context.Context { return gateConnStream.ctx }

func (gateConnStream *gateConnStream) Send(frame *peerpb.AnswerFrame) error {
	err := gateConnStream.conn.send(frame)
	gateConnStream.sendFailed = gateConnStream.sendFailed || err != nil
	return err
}

// errStreamEnded is returned by Recv after the end of the request.
var errStreamEnded = errors.New("the request has ended")

func (gateConnStream *gateConnStream) Recv() (*peerpb.CallFrame, error) {
	gateConnStream.receiving.Lock()
	defer gateConnStream.receiving.Unlock()
	if gateConnStream.ended.Load() {
		return nil, errStreamEnded
	}
	gateConnStream.stopWatch()
	frame := &peerpb.CallFrame{}
	err := gateConnStream.conn.receive(frame)
	if err == nil && completesRequest(frame) {
		err = gateConnStream.conn.decide()
	}
	if err != nil {
		gateConnStream.receiveFailed = true
		gateConnStream.cancel()
		return nil, err
	}
	if head := frame.GetHead(); head != nil {
		gateConnStream.conn.limitSending(head)
	}
	gateConnStream.updateUnread(frame)
	gateConnStream.startWatch()
	return frame, nil
}

// completesRequest reports whether the gate has read enough to decide on a request.
func completesRequest(frame *peerpb.CallFrame) bool {
	head := frame.GetHead()
	return frame.GetCommit() != nil || head != nil && !head.GetReserve()
}

func (gateConnStream *gateConnStream) updateUnread(frame *peerpb.CallFrame) {
	switch frame := frame.GetFrame().(type) {
	case *peerpb.CallFrame_Head:
		gateConnStream.unread = frame.Head.GetBodyFollows()
	case *peerpb.CallFrame_End:
		gateConnStream.unread = false
	}
}

// end ends the use of the connection by the request, and reports whether another
// request may use it. It may not while a frame is being received.
func (gateConnStream *gateConnStream) end() bool {
	if !gateConnStream.receiving.TryLock() {
		return false
	}
	defer gateConnStream.receiving.Unlock()
	gateConnStream.ended.Store(true)
	gateConnStream.stopWatch()
	return !gateConnStream.sendFailed && !gateConnStream.receiveFailed && !gateConnStream.unread
}

// discardBody reads what remains of the body of a request that has its response, until
// the ingress closes the connection. A connection that is closed with unread bytes is
// reset, which destroys the part of the response that is still on its way.
func (gateConnStream *gateConnStream) discardBody() {
	gateConnStream.ended.Store(true)
	gateConnStream.receiving.Lock() // until the frame in progress has been received
	defer gateConnStream.receiving.Unlock()
	gateConnStream.stopWatch()
	if !gateConnStream.sendFailed && !gateConnStream.receiveFailed {
		gateConnStream.conn.discard(bodyStallTimeout)
	}
}

// startWatch schedules a watch to begin after disconnectWatchDelay.
func (gateConnStream *gateConnStream) startWatch() {
	gateConnStream.mutex.Lock()
	defer gateConnStream.mutex.Unlock()
	watch := &disconnectWatch{}
	gateConnStream.watch = watch
	watch.timer = time.AfterFunc(disconnectWatchDelay, func() { gateConnStream.watchDisconnect(watch) })
}

// watchDisconnect cancels the request when the ingress closes the connection.
// Data that arrives stays in the buffer for Recv. A watch that was stopped when its
// timer had fired already does not begin: another one may be under way.
func (gateConnStream *gateConnStream) watchDisconnect(watch *disconnectWatch) {
	gateConnStream.mutex.Lock()
	if gateConnStream.watch != watch {
		gateConnStream.mutex.Unlock()
		return
	}
	watch.done = make(chan struct{})
	gateConnStream.mutex.Unlock()
	defer close(watch.done)
	if _, err := gateConnStream.conn.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		gateConnStream.cancel()
	}
}

// stopWatch stops the watch, so that the caller may read the connection. A deadline
// in the past ends a Peek that is in progress.
func (gateConnStream *gateConnStream) stopWatch() {
	gateConnStream.mutex.Lock()
	watch := gateConnStream.watch
	gateConnStream.watch = nil
	gateConnStream.mutex.Unlock()
	if watch == nil {
		return
	}
	watch.timer.Stop()
	if watch.done == nil {
		return
	}
	_ = gateConnStream.conn.SetReadDeadline(interrupted)
	<-watch.done
	gateConnStream.conn.allowReading()
}

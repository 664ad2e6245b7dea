package peer

import (
	"errors"
	"net"
	"sync"
	"time"

	"ibislift/core/admit"
	"ibislift/io/peer/peerpb"
)

// dismissTime is how long a gate that stops goes on reading the connections that it
// has dismissed. A request that was sent before its ingress could see the refusal
// arrives within this time: it covers a link between regions.
const dismissTime = 200 * time.Millisecond

// interrupted is a deadline that ends a read in progress and prevents further ones.
var interrupted = time.Unix(1, 0)

// sendSlack is how long after the deadline of a request its gate may still send what the
// ingress does not read, which covers the report of the end. After that the request's slot is
// free, also if the ingress is suspended.
const sendSlack = 500 * time.Millisecond

// errDismissed is returned for a request that was read from a dismissed connection.
var errDismissed = errors.New("the connection is dismissed")

// gateConn is the gate's end of a connection with forwarded requests. The goroutine
// that reads it decides when it ends.
type gateConn struct {
	*forwardConn

	mutex sync.Mutex
	// dismissed is set when the gate takes no further requests.
	dismissed bool
	// undecided is set until a request has been read so far that the gate decides
	// on it: its head or, if it reserves a slot, its commit.
	undecided bool
}

func newGateConn(forwardConn *forwardConn) *gateConn {
	return &gateConn{forwardConn: forwardConn, undecided: true}
}

// dismiss ends the reading of a request that has not run.
func (gateConn *gateConn) dismiss() {
	gateConn.mutex.Lock()
	defer gateConn.mutex.Unlock()
	gateConn.dismissed = true
	if gateConn.undecided {
		_ = gateConn.SetReadDeadline(interrupted)
	}
}

// decide passes the request that has been read to the gate. It returns an error on a
// dismissed connection: an interrupted read may succeed if data arrives meanwhile.
func (gateConn *gateConn) decide() error {
	gateConn.mutex.Lock()
	defer gateConn.mutex.Unlock()
	if gateConn.dismissed {
		return errDismissed
	}
	gateConn.undecided = false
	return nil
}

// expectNext begins the wait for the next request.
func (gateConn *gateConn) expectNext() {
	gateConn.mutex.Lock()
	defer gateConn.mutex.Unlock()
	gateConn.undecided = true
	gateConn.resetReadDeadline()
	_ = gateConn.SetWriteDeadline(time.Time{})
}

// limitSending ends the sending of a response to a request some time after its deadline.
func (gateConn *gateConn) limitSending(head *peerpb.CallHead) {
	remaining := time.Duration(head.GetRemainingMicroseconds()) * time.Microsecond
	_ = gateConn.SetWriteDeadline(time.Now().Add(remaining + sendSlack))
}

// allowReading ends an interruption, unless the connection is dismissed.
func (gateConn *gateConn) allowReading() {
	gateConn.mutex.Lock()
	defer gateConn.mutex.Unlock()
	gateConn.resetReadDeadline()
}

// resetReadDeadline is called with the mutex held, while nobody reads.
func (gateConn *gateConn) resetReadDeadline() {
	deadline := time.Time{}
	if gateConn.dismissed && gateConn.undecided {
		deadline = interrupted
	}
	_ = gateConn.SetReadDeadline(deadline)
}

// mustRefuse reports whether the connection is dismissed and has no request that the
// gate has decided on.
func (gateConn *gateConn) mustRefuse() bool {
	gateConn.mutex.Lock()
	defer gateConn.mutex.Unlock()
	return gateConn.dismissed && gateConn.undecided
}

// refuseNext refuses the request that is being read or on its way, if any. An ingress
// without a request closes the connection when it finds that something has arrived.
// What arrives is discarded, since a connection that is closed with unread bytes is
// reset, which may destroy the refusal.
func (gateConn *gateConn) refuseNext(load *peerpb.Load) {
	refusal := &peerpb.Refusal{Reason: string(admit.ReasonDraining), Load: load}
	if gateConn.send(&peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Refused{Refused: refusal}}) == nil {
		gateConn.discard(dismissTime)
	}
}

// discard ends the sending and reads until the ingress closes the connection or
// nothing has arrived for the timeout.
func (gateConn *gateConn) discard(timeout time.Duration) {
	if closer, implements := gateConn.Conn.(interface{ CloseWrite() error }); implements {
		_ = closer.CloseWrite()
	}
	for {
		_ = gateConn.SetReadDeadline(time.Now().Add(timeout))
		if _, err := gateConn.reader.Peek(1); err != nil {
			return
		}
		_, _ = gateConn.reader.Discard(gateConn.reader.Buffered())
	}
}

// gateConns holds the open connections of a gate.
type gateConns struct {
	mutex    sync.Mutex
	listener net.Listener
	open     map[*gateConn]struct{}
	// dismissedAt is when the connections were dismissed, or the zero time.
	dismissedAt time.Time
}

// start is called before the first connection is accepted.
func (gateConns *gateConns) start(listener net.Listener) {
	gateConns.mutex.Lock()
	defer gateConns.mutex.Unlock()
	gateConns.listener = listener
	gateConns.open = map[*gateConn]struct{}{}
}

// add adds a connection, which is dismissed at once if the others are.
func (gateConns *gateConns) add(gateConn *gateConn) {
	gateConns.mutex.Lock()
	defer gateConns.mutex.Unlock()
	gateConns.open[gateConn] = struct{}{}
	if !gateConns.dismissedAt.IsZero() {
		gateConn.dismiss()
	}
}

// closeAndRemove closes a connection.
func (gateConns *gateConns) closeAndRemove(gateConn *gateConn) {
	gateConns.mutex.Lock()
	defer gateConns.mutex.Unlock()
	delete(gateConns.open, gateConn)
	_ = gateConn.Close()
}

// dismiss dismisses all connections, and returns the time until which they are read.
// It is the zero time if there have never been any.
func (gateConns *gateConns) dismiss() time.Time {
	gateConns.mutex.Lock()
	defer gateConns.mutex.Unlock()
	if gateConns.dismissedAt.IsZero() {
		gateConns.dismissedAt = time.Now()
		for gateConn := range gateConns.open {
			gateConn.dismiss()
		}
	}
	if gateConns.listener == nil {
		return time.Time{}
	}
	return gateConns.dismissedAt.Add(dismissTime)
}

// closeAll closes the listener and all connections.
func (gateConns *gateConns) closeAll() {
	gateConns.mutex.Lock()
	defer gateConns.mutex.Unlock()
	if gateConns.listener != nil {
		_ = gateConns.listener.Close()
	}
	for gateConn := range gateConns.open {
		_ = gateConn.Close()
	}
}

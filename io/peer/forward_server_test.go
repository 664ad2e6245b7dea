package peer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"

	"ibislift/io/peer/peerpb"
	"ibislift/io/upstream"
)

// newGateStream returns the stream of a request at a gate, and the ingress's end of
// its connection.
func newGateStream(t *testing.T) (*gateConnStream, net.Conn) {
	t.Helper()
	gateEnd, ingressEnd := net.Pipe()
	t.Cleanup(func() { _, _ = gateEnd.Close(), ingressEnd.Close() })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return &gateConnStream{conn: newGateConn(newForwardConn(gateEnd, "", nil)), ctx: ctx, cancel: cancel}, ingressEnd
}

// sendFrame sends a frame from the ingress and waits until it has been received.
func sendFrame(t *testing.T, stream *gateConnStream, ingress net.Conn, frame *peerpb.CallFrame) {
	t.Helper()
	go func() { _, _ = protodelim.MarshalTo(ingress, frame) }()
	_, err := stream.Recv()
	is.New(t).NoErr(err)
}

// failingListener fails each second Accept, as when no descriptor is left.
type failingListener struct {
	net.Listener
	calls int
}

func (failingListener *failingListener) Accept() (net.Conn, error) {
	failingListener.calls++
	if failingListener.calls%2 == 1 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return failingListener.Listener.Accept()
}

// An error of Accept must not end the daemon.
func TestForwardConnsAreAcceptedAfterAnError(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &Server{Gate: &upstream.Gate{Now: time.Now}}
	served := make(chan error, 1)
	go func() { served <- server.ServeForwardConns(&failingListener{Listener: listener}) }()
	accepted := func() int {
		server.gateConns.mutex.Lock()
		defer server.gateConns.mutex.Unlock()
		return len(server.gateConns.open)
	}
	for count := 1; count <= 3; count++ {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		for end := time.Now().Add(5 * time.Second); accepted() < count; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d of %d connections accepted", accepted(), count)
			}
		}
	}
	_ = listener.Close()
	is.True(errors.Is(<-served, net.ErrClosed))
}

func TestGateStreamEnds(t *testing.T) {
	head := &peerpb.CallFrame{Frame: &peerpb.CallFrame_Head{Head: &peerpb.CallHead{BodyFollows: true}}}
	end := &peerpb.CallFrame{Frame: &peerpb.CallFrame_End{End: &peerpb.Trailer{}}}
	t.Run("a connection is used again after the whole request", func(t *testing.T) {
		stream, ingress := newGateStream(t)
		sendFrame(t, stream, ingress, head)
		sendFrame(t, stream, ingress, end)
		is := is.New(t)
		is.True(stream.end())
		_, err := stream.Recv()
		is.Equal(err, errStreamEnded) // the next frame is another request's
	})
	t.Run("it is not while the body is received", func(t *testing.T) {
		stream, ingress := newGateStream(t)
		sendFrame(t, stream, ingress, head)
		is := is.New(t)
		received := make(chan error, 1)
		go func() {
			_, err := stream.Recv()
			received <- err
		}()
		for stream.receiving.TryLock() { // until the goroutine receives
			stream.receiving.Unlock()
			time.Sleep(time.Millisecond)
		}
		is.True(!stream.end())
		_ = stream.conn.Close()
		is.True(<-received != nil)
	})
	t.Run("it is not until the call that received the end has returned", func(t *testing.T) {
		stream, ingress := newGateStream(t)
		sendFrame(t, stream, ingress, head)
		sendFrame(t, stream, ingress, end)
		stream.receiving.Lock() // as Recv until it returns
		is := is.New(t)
		is.True(!stream.end())
		stream.receiving.Unlock()
		is.True(stream.end())
	})
	t.Run("a watch that was stopped after its timer had fired does not begin", func(t *testing.T) {
		stream, _ := newGateStream(t)
		stream.startWatch()
		stopped := stream.watch
		stopped.timer.Stop()
		stream.stopWatch()
		stream.startWatch() // the next one begins after disconnectWatchDelay
		time.Sleep(10 * disconnectWatchDelay)
		ended := make(chan struct{})
		go func() {
			stream.watchDisconnect(stopped)
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatal("two watches read one connection")
		}
		stream.stopWatch()
	})
}

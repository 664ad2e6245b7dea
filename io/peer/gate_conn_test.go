package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/io/peer/peerpb"
	"ibislift/io/tcp"
	"ibislift/io/upstream"
)

// anyControl is a Control for an upstream of any service.
type anyControl struct{ Control }

func (anyControl) Serves(string) bool     { return true }
func (anyControl) ReportCompleted(string) {}

// lateListener returns each connection only when it is released.
type lateListener struct {
	net.Listener
	accepted chan struct{}
	release  chan struct{}
}

func (lateListener lateListener) Accept() (net.Conn, error) {
	conn, err := lateListener.Listener.Accept()
	if err == nil {
		close(lateListener.accepted)
		<-lateListener.release
	}
	return conn, err
}

// lateReadListener accepts connections whose Read calls return only when they are
// released, although the data has been read.
type lateReadListener struct {
	net.Listener
	arrived chan struct{}
	release chan struct{}
}

func newLateReadListener(t *testing.T) lateReadListener {
	t.Helper()
	return lateReadListener{Listener: listen(t), arrived: make(chan struct{}), release: make(chan struct{})}
}

func (lateReadListener lateReadListener) Accept() (net.Conn, error) {
	conn, err := lateReadListener.Listener.Accept()
	return lateReader{Conn: conn, late: lateReadListener}, err
}

type lateReader struct {
	net.Conn
	late lateReadListener
}

func (lateReader lateReader) Read(buffer []byte) (int, error) {
	count, err := lateReader.Conn.Read(buffer)
	if count > 0 {
		lateReader.late.arrived <- struct{}{}
		<-lateReader.late.release
	}
	return count, err
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	return listener
}

// startGate starts a gate with two slots and no upstream.
func startGate(t *testing.T, listener net.Listener) *Server {
	t.Helper()
	gate := &upstream.Gate{Now: time.Now}
	gate.Resize(2, 2)
	server := &Server{Gate: gate, Upstream: &upstream.Client{}, Control: anyControl{}}
	go func() { _ = server.ServeForwardConns(listener) }()
	t.Cleanup(server.CloseForwardConns)
	return server
}

// openToGate opens a request to a gate on a new connection.
func openToGate(t *testing.T, listener net.Listener) (*Peers, kernel.Member, IngressStream) {
	t.Helper()
	peers := &Peers{}
	member := kernel.Member{ID: "gate", ForwardAddress: listener.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	stream, err := peers.Open(ctx, member)
	is.New(t).NoErr(err)
	return peers, member, stream
}

func callHead(reserve bool) *peerpb.CallFrame {
	head := &peerpb.CallHead{Method: "GET", Target: []byte("/"), RemainingMicroseconds: time.Minute.Microseconds(), Reserve: reserve}
	return &peerpb.CallFrame{Frame: &peerpb.CallFrame_Head{Head: head}}
}

func commit() *peerpb.CallFrame {
	return &peerpb.CallFrame{Frame: &peerpb.CallFrame_Commit{Commit: &peerpb.Commit{}}}
}

func checkGranted(t *testing.T, stream IngressStream) {
	t.Helper()
	is := is.New(t)
	frame, err := stream.Recv()
	is.NoErr(err)
	is.True(frame.GetGranted() != nil)
}

// answerTimeout bounds the wait for an answer. It is generous and says nothing about
// expected speed.
const answerTimeout = 5 * time.Second

// checkRefused checks that a request gets the refusal of a stopping gate and has not
// run.
func checkRefused(t *testing.T, server *Server, stream IngressStream) {
	t.Helper()
	is := is.New(t)
	frame, err := stream.RecvUntil(time.Now().Add(answerTimeout))
	is.NoErr(err)
	is.Equal(frame.GetRefused().GetReason(), string(admit.ReasonDraining))
	is.Equal(server.Gate.HandedOverCount(), uint64(0))
	<-server.Gate.Drain() // its slot is free again
}

// Without a refusal, the ingress does not know whether a request has run.
func TestStoppingGateCutsNothingThatHasNotRun(t *testing.T) {
	t.Run("its connection is accepted late", func(t *testing.T) {
		late := lateListener{Listener: listen(t), accepted: make(chan struct{}), release: make(chan struct{})}
		server := startGate(t, late)
		_, _, stream := openToGate(t, late)
		is.New(t).NoErr(stream.Send(callHead(false)))
		<-late.accepted
		server.DismissForwardConns()
		close(late.release)
		checkRefused(t, server, stream)
	})
	t.Run("it is not sent yet when its connection is accepted late", func(t *testing.T) {
		late := lateListener{Listener: listen(t), accepted: make(chan struct{}), release: make(chan struct{})}
		server := startGate(t, late)
		_, _, stream := openToGate(t, late)
		<-late.accepted
		server.DismissForwardConns()
		close(late.release)
		checkRefused(t, server, stream)
	})
	t.Run("its head is read late", func(t *testing.T) {
		late := newLateReadListener(t)
		server := startGate(t, late)
		_, _, stream := openToGate(t, late)
		is.New(t).NoErr(stream.Send(callHead(false)))
		<-late.arrived
		go server.CloseForwardConns()
		awaitDismissed(server)
		late.release <- struct{}{}
		checkRefused(t, server, stream)
	})
	t.Run("its commit is read late", func(t *testing.T) {
		late := newLateReadListener(t)
		server := startGate(t, late)
		_, _, stream := openToGate(t, late)
		is.New(t).NoErr(stream.Send(callHead(true)))
		<-late.arrived
		late.release <- struct{}{}
		checkGranted(t, stream)
		is.New(t).NoErr(stream.Send(commit()))
		<-late.arrived
		server.DismissForwardConns()
		late.release <- struct{}{}
		checkRefused(t, server, stream)
	})
	t.Run("half of its head has arrived", func(t *testing.T) {
		listener := listen(t)
		server := startGate(t, listener)
		conn, err := net.Dial("tcp", listener.Addr().String())
		is := is.New(t)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte{100, 10, 3})
		is.NoErr(err)
		awaitOpen(server)
		server.DismissForwardConns()
		frame := &peerpb.AnswerFrame{}
		is.NoErr(protodelim.UnmarshalFrom(bufio.NewReader(conn), frame))
		is.Equal(frame.GetRefused().GetReason(), string(admit.ReasonDraining))
	})
	t.Run("it is sent on an idle connection while the gate dismisses it", func(t *testing.T) {
		listener := listen(t)
		server := startGate(t, listener)
		peers, member, first := openToGate(t, listener)
		is := is.New(t)
		late := callHead(false)
		late.GetHead().RemainingMicroseconds = -1
		is.NoErr(first.Send(late))
		frame, err := first.Recv()
		is.NoErr(err)
		is.Equal(frame.GetRefused().GetReason(), string(admit.ReasonDeadline))
		second, ready := peers.OpenReady(context.Background(), member)
		is.True(ready) // the idle connection
		server.DismissForwardConns()
		is.NoErr(second.Send(callHead(false)))
		checkRefused(t, server, second)
		_, ready = peers.OpenReady(context.Background(), member)
		is.True(!ready) // the dismissed connection is not used again
	})
	for name, stop := range map[string]func(*Server){
		"its commit arrives after the gate has begun to stop": (*Server).DismissForwardConns,
		"its commit arrives after the gate has closed":        (*Server).CloseForwardConns,
	} {
		t.Run(name, func(t *testing.T) {
			listener := listen(t)
			server := startGate(t, listener)
			_, _, stream := openToGate(t, listener)
			is.New(t).NoErr(stream.Send(callHead(true)))
			checkGranted(t, stream)
			stop(server)
			_ = stream.Send(commit())
			checkRefused(t, server, stream)
		})
	}
}

// awaitOpen waits until the gate has registered a connection.
func awaitOpen(server *Server) {
	awaitConns(server, func(gateConns *gateConns) bool { return len(gateConns.open) > 0 })
}

// awaitDismissed waits until the gate has dismissed its connections.
func awaitDismissed(server *Server) {
	awaitConns(server, func(gateConns *gateConns) bool { return !gateConns.dismissedAt.IsZero() })
}

func awaitConns(server *Server, condition func(*gateConns) bool) {
	gateConns := &server.gateConns
	for {
		gateConns.mutex.Lock()
		holds := condition(gateConns)
		gateConns.mutex.Unlock()
		if holds {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Sizes in bytes: of a response, which does not fit in the receive buffer of the
// ingress, and of the send buffer of the gate, which holds the whole response.
const (
	earlyResponseSize   = 512 << 10
	ingressReceiveSize  = 32 << 10
	gateSendBuffer      = 2 << 20
	earlyResponseHeader = "HTTP/1.1 200 OK\r\nContent-Length: 524288\r\n\r\n"
)

// endListener accepts connections that report when the gate ends them.
type endListener struct {
	net.Listener
	ended chan struct{}
	once  *sync.Once
}

func (endListener endListener) Accept() (net.Conn, error) {
	conn, err := endListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcpConn := conn.(*net.TCPConn)
	return endConn{TCPConn: tcpConn, listener: endListener}, tcpConn.SetWriteBuffer(gateSendBuffer)
}

type endConn struct {
	*net.TCPConn
	listener endListener
}

func (endConn endConn) CloseWrite() error {
	defer endConn.listener.once.Do(func() { close(endConn.listener.ended) })
	return endConn.TCPConn.CloseWrite()
}

func (endConn endConn) Close() error {
	defer endConn.listener.once.Do(func() { close(endConn.listener.ended) })
	return endConn.TCPConn.Close()
}

// serveEarly starts an upstream that responds to the head of a request and does not
// read its body. It returns the address.
func serveEarly(t *testing.T) string {
	t.Helper()
	listener := listen(t)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 1))
		_, _ = conn.Write(append([]byte(earlyResponseHeader), make([]byte, earlyResponseSize)...))
		<-t.Context().Done()
	}()
	return listener.Addr().String()
}

// Closing a connection on which a body still arrives resets it.
func TestEarlyResponseArrivesWhole(t *testing.T) {
	listener := endListener{Listener: listen(t), ended: make(chan struct{}), once: &sync.Once{}}
	server := startGate(t, listener)
	server.Upstream.SetAddress(serveEarly(t))
	peers := &Peers{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := tcp.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return conn, conn.(*net.TCPConn).SetReadBuffer(ingressReceiveSize)
	}}
	is := is.New(t)
	stream, err := peers.Open(t.Context(), kernel.Member{ID: "gate", ForwardAddress: listener.Addr().String()})
	is.NoErr(err)
	head := callHead(true)
	head.GetHead().Method, head.GetHead().BodyFollows, head.GetHead().ContentLength = "POST", true, 1<<40
	is.NoErr(stream.Send(head))
	checkGranted(t, stream)
	is.NoErr(stream.Send(commit()))
	go func() {
		chunk := &peerpb.CallFrame{Frame: &peerpb.CallFrame_Chunk{Chunk: make([]byte, MaxChunkSize)}}
		for err := error(nil); err == nil; { // until the ingress has the response
			err = stream.Send(chunk)
		}
	}()
	<-listener.ended
	received := 0
	for ended := false; !ended; {
		frame, err := stream.Recv()
		is.NoErr(err)
		received += len(frame.GetChunk())
		ended = frame.GetEnd() != nil
	}
	is.Equal(received, earlyResponseSize)
}

package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"

	"ibislift/io/peer/peerpb"
	"ibislift/io/tcp"
)

// newIdleConn returns peers with one idle connection, and the gate's end of it.
func newIdleConn(t *testing.T) (*Peers, net.Conn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	conn, err := tcp.Dial(context.Background(), listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	gate, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = gate.Close() })
	peers := &Peers{}
	peers.idleConns.put(newForwardConn(conn, "gate", nil))
	return peers, gate
}

// checkReused checks whether an idle connection is used for another request.
func checkReused(t *testing.T, peers *Peers, reused bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, found := peers.openIdle(ctx, "gate")
	is.New(t).Equal(found, reused)
}

// Frames have no ID, so a late one would be taken for the answer to the next request.
func TestIdleConnectionWithNewsIsNotUsed(t *testing.T) {
	t.Run("a quiet one is used", func(t *testing.T) {
		peers, _ := newIdleConn(t)
		checkReused(t, peers, true)
	})
	t.Run("after a late frame", func(t *testing.T) {
		peers, gate := newIdleConn(t)
		refused := &peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Refused{Refused: &peerpb.Refusal{}}}
		_, err := protodelim.MarshalTo(gate, refused)
		is.New(t).NoErr(err)
		time.Sleep(50 * time.Millisecond) // until it has arrived
		checkReused(t, peers, false)
	})
	t.Run("after its end", func(t *testing.T) {
		peers, gate := newIdleConn(t)
		_ = gate.Close()
		time.Sleep(50 * time.Millisecond) // until it has arrived
		checkReused(t, peers, false)
	})
}

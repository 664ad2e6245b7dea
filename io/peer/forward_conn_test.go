package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"

	"ibislift/core/admit"
	"ibislift/io/peer/peerpb"
)

// lateConn is a connection whose Write calls return only when they are released,
// although the data has arrived.
type lateConn struct {
	net.Conn
	release chan struct{}
}

func (lateConn lateConn) Write(data []byte) (int, error) {
	count, err := lateConn.Conn.Write(data)
	<-lateConn.release
	return count, err
}

// newLateStream returns a stream on a lateConn with its pool, and the gate's end.
func newLateStream(t *testing.T) (stream *ingressConnStream, release func(), gate net.Conn) {
	t.Helper()
	ingressEnd, gateEnd := net.Pipe()
	t.Cleanup(func() { _ = gateEnd.Close() })
	late := lateConn{Conn: ingressEnd, release: make(chan struct{})}
	peers := &Peers{}
	return peers.newIngressStream(context.Background(), newForwardConn(late, "gate", nil)), func() { close(late.release) }, gateEnd
}

func TestConnectionIsReusedOnlyAfterTheLastSend(t *testing.T) {
	end := &peerpb.CallFrame{Frame: &peerpb.CallFrame_End{End: &peerpb.Trailer{}}}
	answer := &peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Head{Head: &peerpb.AnswerHead{Status: 200, Complete: true}}}
	for name, sendReturns := range map[string]bool{"the end of the body is sent": true, "the send has not returned": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			stream, release, gate := newLateStream(t)
			sent := make(chan error, 1)
			go func() { sent <- stream.Send(end) }()
			is.NoErr(protodelim.UnmarshalFrom(bufio.NewReader(gate), &peerpb.CallFrame{}))
			if sendReturns {
				release()
				is.NoErr(<-sent)
			}
			go func() {
				_, _ = protodelim.MarshalTo(gate, answer)
				_, _ = io.Copy(io.Discard, gate)
			}()
			_, err := stream.Recv()
			is.NoErr(err)
			is.Equal(stream.pool.pop("gate") != nil, sendReturns)
			if !sendReturns {
				release()
				<-sent
			}
		})
	}
}

func TestConnectionToADrainingGateIsNotReused(t *testing.T) {
	for reason, reused := range map[admit.Reason]bool{admit.ReasonQueueFull: true, admit.ReasonDraining: false} {
		t.Run(string(reason), func(t *testing.T) {
			is := is.New(t)
			stream, release, gate := newLateStream(t)
			release()
			refusal := &peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Refused{Refused: &peerpb.Refusal{Reason: string(reason)}}}
			go func() { _, _ = protodelim.MarshalTo(gate, refusal) }()
			_, err := stream.Recv()
			is.NoErr(err)
			is.Equal(stream.pool.pop("gate") != nil, reused)
		})
	}
}

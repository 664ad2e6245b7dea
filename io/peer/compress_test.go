package peer_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"ibislift/core/kernel"
	"ibislift/io/peer"
	"ibislift/io/peer/peerpb"
)

// echoControl replies to an envelope with the same envelope.
type echoControl struct{ stubControl }

func (echoControl) Exchange(_ context.Context, envelope kernel.Envelope) (kernel.Envelope, error) {
	return envelope, nil
}

// exchange sends an envelope to a daemon and returns the reply and the bytes that the
// messages took on the wire.
func exchange(t *testing.T, envelope kernel.Envelope) (reply kernel.Envelope, sent, received int64) {
	t.Helper()
	is := is.New(t)
	var in, out atomic.Int64
	count := func(direction string, _ peer.ByteKind, _ string, bytes int) {
		if direction == "in" {
			in.Add(int64(bytes))
		} else {
			out.Add(int64(bytes))
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	rpc := peer.NewRPCServer(nil)
	peerpb.RegisterPeerServer(rpc, &peer.Server{Control: echoControl{}})
	go func() { _ = rpc.Serve(listener) }()
	defer rpc.Stop()
	peers := &peer.Peers{Self: "a", StatsHandler: &peer.Counter{CountBytes: count}}
	client, err := peers.Client(listener.Addr().String())
	is.NoErr(err)
	message := peer.EncodeEnvelope(envelope)
	answer, err := client.Exchange(context.Background(), message, peer.CallOptions(message)...)
	is.NoErr(err)
	return peer.DecodeEnvelope(answer), out.Load(), in.Load()
}

func TestLongMessagesAreCompressed(t *testing.T) {
	var long kernel.Envelope
	for number := range 300 {
		name := fmt.Sprintf("sidecar-zone-a-%d", number)
		long.Records = append(long.Records, kernel.Record{
			Key: kernel.Key{Kind: kernel.KindMember, Name: name}, Version: 7,
			Body: fmt.Appendf(nil, `{"id":%q,"epoch":1796385434086,"region":"west","dataCentre":"zone-a","peerAddress":"10.1.0.%d:7620","state":"alive"}`, name, number),
		})
	}
	t.Run("a long message and its reply are sent in a quarter of their size", func(t *testing.T) {
		is := is.New(t)
		reply, sent, received := exchange(t, long)
		is.Equal(reply, long)
		size := int64(len(long.Records) * 130)
		is.True(sent < size/4)
		is.True(received < size/4)
	})
	t.Run("a short message is sent as it is", func(t *testing.T) {
		short := kernel.Envelope{From: "a", TableDigest: 1}
		reply, sent, _ := exchange(t, short)
		is := is.New(t)
		is.Equal(reply.From, "a")
		is.True(sent < 40)
	})
}

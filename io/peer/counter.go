package peer

import (
	"context"

	"google.golang.org/grpc/stats"
)

// Counter is a stats.Handler that counts the bytes of control messages on the
// wire.
type Counter struct {
	// CountBytes is called for each message.
	CountBytes CountBytes
}

// remoteKey is the context key of a call's remote.
type remoteKey struct{}

// remote holds the address of the other daemon in a call.
type remote struct{ address string }

// TagRPC attaches an empty remote to the context. HandleRPC sets its address when
// the first header is sent or received.
func (counter *Counter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, remoteKey{}, &remote{})
}

// HandleRPC counts the bytes of each message sent or received.
func (counter *Counter) HandleRPC(ctx context.Context, event stats.RPCStats) {
	remote, found := ctx.Value(remoteKey{}).(*remote)
	if !found {
		return
	}
	switch event := event.(type) {
	case *stats.OutHeader:
		if event.Client {
			remote.address = event.RemoteAddr.String()
		}
	case *stats.InHeader:
		if !event.Client {
			remote.address = event.RemoteAddr.String()
		}
	case *stats.InPayload:
		counter.CountBytes.count("in", BytesMessage, remote.address, event.WireLength)
	case *stats.OutPayload:
		counter.CountBytes.count("out", BytesMessage, remote.address, event.WireLength)
	}
}

// TagConn does nothing. The stats.Handler interface requires it.
func (counter *Counter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn does nothing. The stats.Handler interface requires it.
func (counter *Counter) HandleConn(context.Context, stats.ConnStats) {}

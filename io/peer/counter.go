package peer

import (
	"context"

	"google.golang.org/grpc/stats"
)

// Counter counts the bytes of control messages on the wire.
type Counter struct {
	// Count gets the direction, "in" or "out", the other daemon's address and a
	// number of bytes. The port is not the daemon's own if it made the call.
	Count func(direction, address string, bytes int)
}

// remoteKey finds the remote of a call in its context.
type remoteKey struct{}

// remote is the address of the other side of a call.
type remote struct{ address string }

// TagRPC makes room for the address, which is known with the first header.
func (counter *Counter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, remoteKey{}, &remote{})
}

// HandleRPC counts payloads.
func (counter *Counter) HandleRPC(ctx context.Context, event stats.RPCStats) {
	remote, tagged := ctx.Value(remoteKey{}).(*remote)
	if !tagged {
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
		counter.Count("in", remote.address, event.WireLength)
	case *stats.OutPayload:
		counter.Count("out", remote.address, event.WireLength)
	}
}

// TagConn is not needed.
func (counter *Counter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn is not needed.
func (counter *Counter) HandleConn(context.Context, stats.ConnStats) {}

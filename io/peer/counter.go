package peer

import (
	"context"

	"google.golang.org/grpc/stats"
)

// Counter counts the bytes of control messages on the wire.
type Counter struct {
	// Count gets the direction, "in" or "out", and a number of bytes.
	Count func(direction string, bytes int)
}

// TagRPC is not needed.
func (counter *Counter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return ctx
}

// HandleRPC counts payloads.
func (counter *Counter) HandleRPC(_ context.Context, event stats.RPCStats) {
	switch event := event.(type) {
	case *stats.InPayload:
		counter.Count("in", event.WireLength)
	case *stats.OutPayload:
		counter.Count("out", event.WireLength)
	}
}

// TagConn is not needed.
func (counter *Counter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn is not needed.
func (counter *Counter) HandleConn(context.Context, stats.ConnStats) {}

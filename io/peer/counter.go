package peer

import (
	"context"
	"strings"

	"google.golang.org/grpc/stats"
)

// Counter counts the bytes of control messages on the wire. Requests of
// callers are not control, and are left out.
type Counter struct {
	// Count gets the direction, "in" or "out", and a number of bytes.
	Count func(direction string, bytes int)
}

type controlKey struct{}

// TagRPC marks the calls that are control.
func (counter *Counter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, controlKey{}, !strings.HasSuffix(info.FullMethodName, "/Carry"))
}

// HandleRPC counts the payloads of marked calls.
func (counter *Counter) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if control, _ := ctx.Value(controlKey{}).(bool); !control {
		return
	}
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

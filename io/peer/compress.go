package peer

import (
	"compress/gzip"
	"context"

	"google.golang.org/grpc"
	grpcgzip "google.golang.org/grpc/encoding/gzip"
	"google.golang.org/protobuf/proto"
)

// minCompressedSize is the size in bytes of a control message from which on it is
// compressed. Long messages hold many similar records or versions, as when daemons
// start; short ones would hardly become shorter.
const minCompressedSize = 600

func init() {
	if err := grpcgzip.SetLevel(gzip.BestSpeed); err != nil {
		panic("peer: the compression level is invalid: " + err.Error())
	}
}

// CallOptions returns the options of a call that sends a message.
func CallOptions(message proto.Message) []grpc.CallOption {
	if proto.Size(message) < minCompressedSize {
		return nil
	}
	return []grpc.CallOption{grpc.UseCompressor(grpcgzip.Name)}
}

// compressReply makes the reply of a call be compressed if it is long.
func compressReply(ctx context.Context, reply proto.Message) {
	if proto.Size(reply) < minCompressedSize {
		return
	}
	// It fails only if the caller does not accept compressed replies. The reply is
	// then sent as it is.
	_ = grpc.SetSendCompressor(ctx, grpcgzip.Name)
}

package caller

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"ibislift/core/call"
	"ibislift/io/peer"
	"ibislift/io/peer/peerpb"
)

// recordingStream keeps the frames that are sent to a gate.
type recordingStream struct {
	frameStream
	sent []*peerpb.CallFrame
}

func (recordingStream *recordingStream) Send(frame *peerpb.CallFrame) error {
	recordingStream.sent = append(recordingStream.sent, frame)
	return nil
}

// TestBodyBeforeTheGrant guards against bodies that cross links to gates which refuse the
// request.
func TestBodyBeforeTheGrant(t *testing.T) {
	for name, test := range map[string]struct {
		size       int
		reserve    bool
		withCommit bool
	}{
		"a long body of a reserved request follows the grant": {size: peer.MaxEagerBodySize + 1, reserve: true, withCommit: true},
		"a short body comes with the head":                    {size: peer.MaxEagerBodySize, reserve: true},
		"a request that is not reserved has its body at once": {size: peer.MaxInlineBodySize},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			exchange := newExchange()
			exchange.request.body = make([]byte, test.size)
			send := call.Send{Target: "t0", Reserve: test.reserve}
			head := callHead(exchange, send)
			is.Equal(head.GetContentLength(), int64(test.size))
			is.Equal(len(head.GetBody()) == 0, test.withCommit)
			stream := &recordingStream{}
			attempt := &attempt{ctx: context.Background(), stream: stream, bodyWithCommit: exchange.sendsBodyWithCommit(send)}
			attempt.commit(exchange)
			is.Equal(len(stream.sent[0].GetCommit().GetBody()) == test.size, test.withCommit)
		})
	}
}

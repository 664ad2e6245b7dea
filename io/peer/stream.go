package peer

import (
	"context"
	"io"
	"os"
	"time"

	"ibislift/io/peer/peerpb"
)

// IngressStream is the ingress's end of a request that is forwarded to a gate.
type IngressStream interface {
	Send(frame *peerpb.CallFrame) error
	Recv() (*peerpb.AnswerFrame, error)
	// RecvUntil is like Recv, but fails with os.ErrDeadlineExceeded if no frame
	// has begun to arrive by the deadline.
	RecvUntil(deadline time.Time) (*peerpb.AnswerFrame, error)
}

// GateStream is the gate's end of a forwarded request.
type GateStream interface {
	Context() context.Context
	Send(frame *peerpb.AnswerFrame) error
	Recv() (*peerpb.CallFrame, error)
}

// pipe connects the two ends of a request whose ingress and gate are in the same
// process.
type pipe struct {
	ctx          context.Context
	callFrames   chan *peerpb.CallFrame
	answerFrames chan *peerpb.AnswerFrame
	done         chan struct{}
}

// newPipe returns a pipe that is open until the context ends or the gate's end
// closes done.
func newPipe(ctx context.Context) *pipe {
	return &pipe{
		ctx:          ctx,
		callFrames:   make(chan *peerpb.CallFrame, 1),
		answerFrames: make(chan *peerpb.AnswerFrame, 1),
		done:         make(chan struct{}),
	}
}

// ingressPipeStream is the IngressStream of a pipe.
type ingressPipeStream struct{ *pipe }

func (ingressPipeStream ingressPipeStream) Send(frame *peerpb.CallFrame) error {
	select {
	case ingressPipeStream.callFrames <- frame:
		return nil
	case <-ingressPipeStream.done:
		return io.EOF
	case <-ingressPipeStream.ctx.Done():
		return ingressPipeStream.ctx.Err()
	}
}

func (ingressPipeStream ingressPipeStream) Recv() (*peerpb.AnswerFrame, error) {
	return ingressPipeStream.recv(nil)
}

func (ingressPipeStream ingressPipeStream) RecvUntil(deadline time.Time) (*peerpb.AnswerFrame, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	return ingressPipeStream.recv(timer.C)
}

func (ingressPipeStream ingressPipeStream) recv(timeout <-chan time.Time) (*peerpb.AnswerFrame, error) {
	select {
	case <-timeout:
		return nil, os.ErrDeadlineExceeded
	case frame := <-ingressPipeStream.answerFrames:
		return frame, nil
	case <-ingressPipeStream.ctx.Done():
		return nil, ingressPipeStream.ctx.Err()
	case <-ingressPipeStream.done:
	}
	select {
	case frame := <-ingressPipeStream.answerFrames:
		return frame, nil
	default:
		return nil, io.EOF
	}
}

// gatePipeStream is the GateStream of a pipe.
type gatePipeStream struct{ *pipe }

func (gatePipeStream gatePipeStream) Context() context.Context { return gatePipeStream.ctx }

func (gatePipeStream gatePipeStream) Send(frame *peerpb.AnswerFrame) error {
	select {
	case gatePipeStream.answerFrames <- frame:
		return nil
	case <-gatePipeStream.ctx.Done():
		return gatePipeStream.ctx.Err()
	}
}

func (gatePipeStream gatePipeStream) Recv() (*peerpb.CallFrame, error) {
	select {
	case frame := <-gatePipeStream.callFrames:
		return frame, nil
	case <-gatePipeStream.ctx.Done():
		return nil, gatePipeStream.ctx.Err()
	}
}

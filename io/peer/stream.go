package peer

import (
	"context"
	"io"
	"os"
	"time"

	"ibislift/io/peer/peerpb"
)

// CallStream is the entry's end of one request on its way to a gate.
type CallStream interface {
	Send(frame *peerpb.CallFrame) error
	Recv() (*peerpb.AnswerFrame, error)
	// RecvUntil is Recv that gives up at a time with os.ErrDeadlineExceeded,
	// if no frame has begun by then.
	RecvUntil(deadline time.Time) (*peerpb.AnswerFrame, error)
}

// GateStream is the gate's end of one request.
type GateStream interface {
	Context() context.Context
	Send(frame *peerpb.AnswerFrame) error
	Recv() (*peerpb.CallFrame, error)
}

// pipe joins the two ends of a request whose gate is in the same process.
type pipe struct {
	ctx     context.Context
	calls   chan *peerpb.CallFrame
	answers chan *peerpb.AnswerFrame
	done    chan struct{}
}

// newPipe returns a pipe that ends with the context, or when the gate's end
// closes done.
func newPipe(ctx context.Context) *pipe {
	return &pipe{
		ctx:     ctx,
		calls:   make(chan *peerpb.CallFrame, 1),
		answers: make(chan *peerpb.AnswerFrame, 1),
		done:    make(chan struct{}),
	}
}

type pipeCall struct{ *pipe }

func (pipeCall pipeCall) Send(frame *peerpb.CallFrame) error {
	select {
	case pipeCall.calls <- frame:
		return nil
	case <-pipeCall.done:
		return io.EOF
	case <-pipeCall.ctx.Done():
		return pipeCall.ctx.Err()
	}
}

func (pipeCall pipeCall) Recv() (*peerpb.AnswerFrame, error) {
	return pipeCall.recv(nil)
}

func (pipeCall pipeCall) RecvUntil(deadline time.Time) (*peerpb.AnswerFrame, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	return pipeCall.recv(timer.C)
}

func (pipeCall pipeCall) recv(timeout <-chan time.Time) (*peerpb.AnswerFrame, error) {
	select {
	case <-timeout:
		return nil, os.ErrDeadlineExceeded
	case frame := <-pipeCall.answers:
		return frame, nil
	case <-pipeCall.ctx.Done():
		return nil, pipeCall.ctx.Err()
	case <-pipeCall.done:
	}
	select {
	case frame := <-pipeCall.answers:
		return frame, nil
	default:
		return nil, io.EOF
	}
}

type pipeGate struct{ *pipe }

func (pipeGate pipeGate) Context() context.Context { return pipeGate.ctx }

func (pipeGate pipeGate) Send(frame *peerpb.AnswerFrame) error {
	select {
	case pipeGate.answers <- frame:
		return nil
	case <-pipeGate.ctx.Done():
		return pipeGate.ctx.Err()
	}
}

func (pipeGate pipeGate) Recv() (*peerpb.CallFrame, error) {
	select {
	case frame := <-pipeGate.calls:
		return frame, nil
	case <-pipeGate.ctx.Done():
		return nil, pipeGate.ctx.Err()
	}
}

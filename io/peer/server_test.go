package peer_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/io/peer"
	"ibislift/io/peer/peerpb"
	"ibislift/io/upstream"
)

// oneCall is the gate's end of one request, whose answers are kept.
type oneCall struct {
	head    *peerpb.CallHead
	answers []*peerpb.AnswerFrame
}

func (oneCall *oneCall) Context() context.Context { return context.Background() }

func (oneCall *oneCall) Send(frame *peerpb.AnswerFrame) error {
	oneCall.answers = append(oneCall.answers, frame)
	return nil
}

func (oneCall *oneCall) Recv() (*peerpb.CallFrame, error) {
	if oneCall.head == nil {
		return nil, io.EOF
	}
	frame := &peerpb.CallFrame{Frame: &peerpb.CallFrame_Head{Head: oneCall.head}}
	oneCall.head = nil
	return frame, nil
}

// beside is the control part of a daemon whose upstream is of one service.
type beside struct{ service string }

func (beside) Exchange(context.Context, kernel.Envelope) (kernel.Envelope, error) {
	return kernel.Envelope{}, nil
}

func (beside) Claim(context.Context, kernel.ClaimRequested) (kernel.ClaimResult, error) {
	return kernel.ClaimResult{}, nil
}
func (beside) CloseClaim(kernel.ClaimClosed)     {}
func (beside) Completed(string)                  {}
func (beside) Crashed([]string)                  {}
func (beside) Misdirected(string)                {}
func (beside beside) Serves(service string) bool { return service == beside.service }

// An address may belong to a target of another service by the time a request
// arrives there.
func TestGateRefusesAnotherService(t *testing.T) {
	is := is.New(t)
	gate := &upstream.Gate{Now: time.Now}
	gate.Resize(4, 4)
	server := &peer.Server{Gate: gate, Upstream: &upstream.Client{}, Control: beside{service: "shop"}}
	call := &oneCall{head: &peerpb.CallHead{Service: "archive", RemainingMicroseconds: 1_000_000}}
	is.NoErr(server.Serve(call))
	refused := call.answers[0].GetRefused()
	is.True(refused != nil)
	is.Equal(refused.GetReason(), string(admit.ReasonNoUpstream))
	is.Equal(gate.HandedOver(), uint64(0))
}

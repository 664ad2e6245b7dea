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

// recordingStream is a GateStream for one request that records the frames sent.
type recordingStream struct {
	head *peerpb.CallHead
	sent []*peerpb.AnswerFrame
}

func (recordingStream *recordingStream) Context() context.Context { return context.Background() }

func (recordingStream *recordingStream) Send(frame *peerpb.AnswerFrame) error {
	recordingStream.sent = append(recordingStream.sent, frame)
	return nil
}

func (recordingStream *recordingStream) Recv() (*peerpb.CallFrame, error) {
	if recordingStream.head == nil {
		return nil, io.EOF
	}
	frame := &peerpb.CallFrame{Frame: &peerpb.CallFrame_Head{Head: recordingStream.head}}
	recordingStream.head = nil
	return frame, nil
}

// stubControl is a Control for an upstream of the given service.
type stubControl struct{ service string }

func (stubControl) Exchange(context.Context, kernel.Envelope) (kernel.Envelope, error) {
	return kernel.Envelope{}, nil
}

func (stubControl) Claim(context.Context, kernel.ClaimRequested) (kernel.ClaimResult, error) {
	return kernel.ClaimResult{}, nil
}
func (stubControl) CloseClaim(kernel.ClaimClosed)          {}
func (stubControl) ReportCompleted(string)                 {}
func (stubControl) ReportCrashed([]string)                 {}
func (stubControl) ReportMisdirected(string)               {}
func (stubControl) ReportLeaving(string)                   {}
func (stubControl stubControl) Serves(service string) bool { return service == stubControl.service }

// TestGateRefusesAnotherService guards against a request that runs on the wrong
// service: an address may have been reassigned to another service's target by the
// time a request arrives.
func TestGateRefusesAnotherService(t *testing.T) {
	is := is.New(t)
	gate := &upstream.Gate{Now: time.Now}
	gate.Resize(4, 4)
	server := &peer.Server{Gate: gate, Upstream: &upstream.Client{}, Control: stubControl{service: "shop"}}
	stream := &recordingStream{head: &peerpb.CallHead{Service: "archive", RemainingMicroseconds: 1_000_000}}
	is.NoErr(server.ServeStream(stream))
	refused := stream.sent[0].GetRefused()
	is.True(refused != nil)
	is.Equal(refused.GetReason(), string(admit.ReasonNoUpstream))
	is.Equal(gate.HandedOverCount(), uint64(0))
}

func TestGateLearnsTheRateLimitThatAnIngressKnows(t *testing.T) {
	is := is.New(t)
	gate := &upstream.Gate{Now: time.Now}
	gate.SetUpstream(7, "")
	server := &peer.Server{Gate: gate, Upstream: &upstream.Client{}, Control: stubControl{service: "shop"}}
	limit := &peerpb.RateLimit{InForce: true, PerSecond: 3, UpstreamStarted: 7}
	is.NoErr(server.ServeStream(&recordingStream{head: &peerpb.CallHead{Service: "shop", RemainingMicroseconds: 1_000_000, RateLimit: limit}}))
	is.Equal(gate.Load().RateLimit, admit.RateLimit{InForce: true, PerSecond: 3, StartedAt: 7})
}

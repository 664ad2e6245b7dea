// Package peer speaks between daemons. The control parts exchange records and
// claims by gRPC. An entry passes requests to the gate beside their target over
// lines: connections that carry one request at a time, as delimited protobuf
// messages. docs/design/added-time.md tells why not by gRPC.
//
// # Usage
//
//	server := &peer.Server{Gate: gate, Upstream: client, Control: control}
//	rpc := grpc.NewServer()
//	peerpb.RegisterPeerServer(rpc, server)
//
//	peers := &peer.Peers{Self: "sleeplog-1", Server: server}
//	stream, err := peers.Open(ctx, member)
package peer

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/io/peer/peerpb"
	"ibislift/io/upstream"
)

// Error is the class of all errors of this package.
var Error = errs.Class("peer")

// Control is the control part of the daemon, as peers use it.
type Control interface {
	Exchange(ctx context.Context, envelope kernel.Envelope) (kernel.Envelope, error)
	Claim(ctx context.Context, asked kernel.ClaimRequested) (kernel.ClaimResult, error)
	CloseClaim(closed kernel.ClaimClosed)
	// Completed reports the fingerprint of a request that was answered.
	Completed(fingerprint string)
	// Misdirected reports an instance whose address belongs to another one.
	Misdirected(instance string)
	// Serves says whether the upstream beside is of the service.
	Serves(service string) bool
	// Crashed reports the requests that ran when the upstream died.
	Crashed(fingerprints []string)
}

// Server answers other daemons. Set the fields before it is registered.
type Server struct {
	peerpb.UnimplementedPeerServer

	Gate     *upstream.Gate
	Upstream *upstream.Client
	Control  Control
	// Reporter tells entries of the load; it may be nil.
	Reporter *Reporter
	// Log takes what went wrong with requests; nil means nowhere.
	Log *slog.Logger

	closing    sync.Once
	closed     context.Context
	closeLines context.CancelFunc
}

// Exchange answers another daemon's envelope.
func (server *Server) Exchange(ctx context.Context, message *peerpb.Envelope) (*peerpb.Envelope, error) {
	answer, err := server.Control.Exchange(ctx, EnvelopeOf(message))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return EnvelopeMessage(answer), nil
}

// Claim answers a request for an idempotency key.
func (server *Server) Claim(ctx context.Context, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	result, err := server.Control.Claim(ctx, kernel.ClaimRequested{
		Partition: int(request.GetPartition()),
		Key:       request.GetKey(),
		RequestID: request.GetRequestId(),
		TakeOver:  request.GetTakeOver(),
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &peerpb.ClaimReply{Status: uint32(result.Status), Holder: result.Holder}, nil
}

// CloseClaim takes the end of a claimed request.
func (server *Server) CloseClaim(_ context.Context, closed *peerpb.ClaimClosed) (*peerpb.Nothing, error) {
	server.Control.CloseClaim(kernel.ClaimClosed{
		Partition: int(closed.GetPartition()),
		Key:       closed.GetKey(),
		RequestID: closed.GetRequestId(),
		Released:  closed.GetReleased(),
	})
	return &peerpb.Nothing{}, nil
}

// gateCall is the gate's end of a request of a class.
type gateCall struct {
	GateStream
	request string
	class   string
}

// Serve admits one request and passes it to the upstream. It returns an error
// only when the entry cannot be told anything any more.
func (server *Server) Serve(opened GateStream) error {
	frame, err := opened.Recv()
	if err != nil {
		return Error.Wrap(err)
	}
	head := frame.GetHead()
	if head == nil {
		return Error.New("the first frame is not a head")
	}
	stream := &gateCall{GateStream: opened, request: head.GetRequestId(), class: head.GetClass()}
	if !server.Control.Serves(head.GetService()) {
		return server.refuse(stream, admit.ReasonNoUpstream, 0)
	}
	server.Reporter.Subscribe(head.GetReportTo(), server.Gate.Now())
	defer func() { server.Reporter.Check(server.Gate.Now()) }()
	remaining := time.Duration(head.GetRemainingMicroseconds()) * time.Microsecond
	deadline := server.Gate.Now().Add(remaining)
	ctx, cancel := context.WithTimeout(stream.Context(), remaining)
	defer cancel()
	admission := server.Gate.Admit(admit.Arrived{
		Deadline:  deadline,
		Important: head.GetImportant(),
		Reserve:   head.GetReserve(),
		Rank:      int(head.GetRank()),
		Objective: server.Gate.Now().Add(time.Duration(head.GetObjectiveMicroseconds()) * time.Microsecond),
		Class:     head.GetClass(),
		MaxDelay:  time.Duration(head.GetPatienceMicroseconds()) * time.Microsecond,
	}, head.GetFingerprint())
	failed := true
	defer func() { admission.Finish(failed) }()
	decision, err := server.decide(ctx, stream, admission)
	if err != nil {
		return err
	}
	if !decision.HandedOver {
		return server.refuse(stream, decision.Reason, decision.RetryAfter)
	}
	failed, err = server.run(ctx, stream, head, deadline)
	if !failed {
		server.Control.Completed(head.GetFingerprint())
	}
	return err
}

// decide waits for the gate's decision and, for a reserved request, for the
// entry's commit.
func (server *Server) decide(ctx context.Context, stream *gateCall, admission *upstream.Admission) (upstream.Decision, error) {
	decision := admission.Wait(ctx)
	if !decision.Granted {
		return decision, nil
	}
	granted := &peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Granted{Granted: loadMessage(server.Gate.LoadOf(stream.class))}}
	if err := stream.Send(granted); err != nil {
		admission.Cancel()
		return upstream.Decision{}, Error.Wrap(err)
	}
	frame, err := stream.Recv()
	if err == nil && frame.GetCommit() == nil {
		err = errors.New("expected a commit")
	}
	if err != nil {
		admission.Cancel()
		return upstream.Decision{}, Error.Wrap(err)
	}
	return admission.Commit(), nil
}

func (server *Server) refuse(stream *gateCall, reason admit.Reason, retryAfter time.Duration) error {
	return server.refuseAs(stream, reason, retryAfter, false)
}

func (server *Server) refuseAs(stream *gateCall, reason admit.Reason, retryAfter time.Duration, reached bool) error {
	level := slog.LevelDebug
	if reached {
		level = slog.LevelInfo
	}
	server.log(stream, level, "refused at the gate", "reason", string(reason), "retryAfter", retryAfter, "reached", reached)
	refusal := &peerpb.Refusal{
		Reached:                reached,
		Reason:                 string(reason),
		RetryAfterMilliseconds: retryAfter.Milliseconds(),
		Load:                   loadMessage(server.Gate.LoadOf(stream.class)),
	}
	return Error.Wrap(stream.Send(&peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Refused{Refused: refusal}}))
}

func (server *Server) lose(stream *gateCall, crashed bool) error {
	server.log(stream, slog.LevelWarn, "answer lost", "crashed", crashed)
	loss := &peerpb.Loss{Crashed: crashed, Load: loadMessage(server.Gate.LoadOf(stream.class))}
	return Error.Wrap(stream.Send(&peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Lost{Lost: loss}}))
}

// log writes a line about a request with the gate's load at the moment.
func (server *Server) log(stream *gateCall, level slog.Level, what string, attributes ...any) {
	if server.Log == nil || !server.Log.Enabled(stream.Context(), level) {
		return
	}
	load := server.Gate.LoadOf(stream.class)
	attributes = append(attributes, "request", stream.request, "class", stream.class, "target", server.Upstream.Expected(),
		"running", load.Running, "slots", load.Slots, "queued", load.Queued, "slowness", load.Slowness)
	server.Log.Log(stream.Context(), level, what, attributes...)
}

// checkCrash finds out whether the upstream has died, and reports what ran.
func (server *Server) checkCrash() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if !server.Upstream.IsDown(ctx) {
		return false
	}
	server.Upstream.Reset()
	if fingerprints := server.Gate.TakeCrashed(); len(fingerprints) > 0 {
		server.Control.Crashed(fingerprints)
	}
	return true
}

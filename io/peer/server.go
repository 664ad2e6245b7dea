// Package peer implements the communication between daemons. They exchange records
// and claims by gRPC. An ingress forwards requests to the gate of the target over
// separate connections, which transport one request at a time as length-delimited
// protobuf messages. docs/design/added-time.md explains why gRPC is not used there.
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
	"time"

	"github.com/zeebo/errs"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/io/peer/peerpb"
	"ibislift/io/upstream"
)

// Error is the class of all errors of this package.
var Error = errs.Class("peer")

// Control is the interface to the daemon's control loop.
type Control interface {
	Exchange(ctx context.Context, envelope kernel.Envelope) (kernel.Envelope, error)
	Claim(ctx context.Context, request kernel.ClaimRequested) (kernel.ClaimResult, error)
	CloseClaim(closed kernel.ClaimClosed)
	// ReportCompleted reports the fingerprint of a request that got a response.
	ReportCompleted(fingerprint string)
	// ReportMisdirected reports an instance whose address now belongs to another
	// one.
	ReportMisdirected(instance string)
	// ReportLeaving reports an instance that has said in a response that it is leaving.
	ReportLeaving(instance string)
	// Serves reports whether the local upstream belongs to the service.
	Serves(service string) bool
	// ReportCrashed reports the fingerprints of the requests that were running
	// when the upstream crashed.
	ReportCrashed(fingerprints []string)
}

// Server handles the calls and the forwarded requests of other daemons. Set the
// fields before registering it.
type Server struct {
	peerpb.UnimplementedPeerServer

	Gate     *upstream.Gate
	Upstream *upstream.Client
	Control  Control
	// Reporter sends load reports to ingresses. It may be nil.
	Reporter *Reporter
	// CountBytes, if set, is called for each message of a forwarded request.
	CountBytes CountBytes
	// Log receives messages about failed requests. It may be nil.
	Log *slog.Logger

	gateConns gateConns
}

// Exchange processes another daemon's envelope and returns the reply.
func (server *Server) Exchange(ctx context.Context, message *peerpb.Envelope) (*peerpb.Envelope, error) {
	reply, err := server.Control.Exchange(ctx, DecodeEnvelope(message))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	encoded := EncodeEnvelope(reply)
	compressReply(ctx, encoded)
	return encoded, nil
}

// Claim handles a request for an idempotency key.
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

// CloseClaim records how a claimed request ended.
func (server *Server) CloseClaim(_ context.Context, closed *peerpb.ClaimClosed) (*peerpb.Nothing, error) {
	server.Control.CloseClaim(kernel.ClaimClosed{
		Partition: int(closed.GetPartition()),
		Key:       closed.GetKey(),
		RequestID: closed.GetRequestId(),
		Released:  closed.GetReleased(),
	})
	return &peerpb.Nothing{}, nil
}

// requestStream is a GateStream with the ID, the class and the admission of its request.
type requestStream struct {
	GateStream
	admission *upstream.Admission
	requestID string
	class     string
	// committedBody is the body that arrived with the commit.
	committedBody []byte
	// cause says why the gate refused the request.
	cause admit.Cause
}

// ServeStream admits one request and sends it to the upstream. It returns an error
// only if the stream to the ingress has failed.
func (server *Server) ServeStream(gateStream GateStream) error {
	frame, err := gateStream.Recv()
	if err != nil {
		return Error.Wrap(err)
	}
	head := frame.GetHead()
	if head == nil {
		return Error.New("the first frame is not a request head")
	}
	stream := &requestStream{GateStream: gateStream, requestID: string(head.GetRequestId()), class: head.GetClass()}
	if !server.Control.Serves(head.GetService()) {
		return server.refuse(stream, admit.ReasonNoUpstream, 0)
	}
	server.Reporter.Subscribe(head.GetReportTo(), server.Gate.Now())
	defer func() { server.Reporter.ReportIfChanged(server.Gate.Now()) }()
	remaining := time.Duration(head.GetRemainingMicroseconds()) * time.Microsecond
	deadline := server.Gate.Now().Add(remaining)
	ctx, cancel := context.WithTimeout(stream.Context(), remaining)
	defer cancel()
	if limit := head.GetRateLimit(); limit != nil {
		server.logRateLimit(server.Gate.HintRateLimit(decodeRateLimit(limit)))
	}
	admission := server.Gate.Admit(admit.Arrived{
		Deadline:  deadline,
		Important: head.GetImportant(),
		Reserve:   head.GetReserve(),
		Rank:      int(head.GetRank()),
		Objective: server.Gate.Now().Add(time.Duration(head.GetObjectiveMicroseconds()) * time.Microsecond),
		Class:     head.GetClass(),
		Workspace: head.GetWorkspace(),
		Call:      head.GetCall(),
		MaxDelay:  time.Duration(head.GetPatienceMicroseconds()) * time.Microsecond,
	}, head.GetFingerprint())
	failed := true
	defer func() { admission.Finish(failed) }()
	stream.admission = admission
	decision, err := server.awaitDecision(ctx, stream, admission)
	if err != nil {
		return err
	}
	if !decision.HandedOver {
		stream.cause = decision.Cause
		return server.refuse(stream, decision.Reason, decision.RetryAfter)
	}
	failed, err = server.execute(ctx, stream, head, deadline)
	if !failed {
		server.Control.ReportCompleted(head.GetFingerprint())
	}
	return err
}

// awaitDecision waits for the gate's decision and, for a reserved request, for
// the commit from the ingress.
func (server *Server) awaitDecision(ctx context.Context, stream *requestStream, admission *upstream.Admission) (upstream.Decision, error) {
	decision := admission.Wait(ctx)
	if !decision.Granted {
		return decision, nil
	}
	granted := &peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Granted{Granted: encodeLoad(server.Gate.LoadForClass(stream.class))}}
	if err := stream.Send(granted); err != nil {
		admission.Cancel()
		return upstream.Decision{}, Error.Wrap(err)
	}
	frame, err := stream.Recv()
	if err == nil && frame.GetCommit() == nil {
		err = errors.New("expected a commit frame")
	}
	if err != nil {
		admission.Cancel()
		return upstream.Decision{}, Error.Wrap(err)
	}
	stream.committedBody = frame.GetCommit().GetBody()
	return admission.Commit(), nil
}

func (server *Server) refuse(stream *requestStream, reason admit.Reason, retryAfter time.Duration) error {
	return server.sendRefusal(stream, reason, retryAfter, false)
}

// sendRefusal sends a refusal to the ingress. byUpstream means that the upstream
// itself refused the request, not the gate.
func (server *Server) sendRefusal(stream *requestStream, reason admit.Reason, retryAfter time.Duration, byUpstream bool) error {
	level := slog.LevelDebug
	if byUpstream {
		level = slog.LevelInfo
	}
	server.log(stream, level, "refused at the gate", "reason", string(reason), "retryAfter", retryAfter, "reached", byUpstream, "cause", stream.cause.String())
	refusal := &peerpb.Refusal{
		Reached:                byUpstream,
		Reason:                 string(reason),
		RetryAfterMilliseconds: retryAfter.Milliseconds(),
		Load:                   encodeLoad(server.Gate.LoadForClass(stream.class)),
		Cause:                  stream.cause.String(),
	}
	return Error.Wrap(stream.Send(&peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Refused{Refused: refusal}}))
}

// sendLoss notifies the ingress that there is no complete response and that the
// request may have been executed.
func (server *Server) sendLoss(stream *requestStream, crashed bool) error {
	server.log(stream, slog.LevelWarn, "answer lost", "crashed", crashed)
	loss := &peerpb.Loss{Crashed: crashed, Load: encodeLoad(server.Gate.LoadForClass(stream.class))}
	return Error.Wrap(stream.Send(&peerpb.AnswerFrame{Frame: &peerpb.AnswerFrame_Lost{Lost: loss}}))
}

// log writes a message about a request together with the gate's current load.
func (server *Server) log(stream *requestStream, level slog.Level, message string, attributes ...any) {
	if server.Log == nil || !server.Log.Enabled(stream.Context(), level) {
		return
	}
	load := server.Gate.LoadForClass(stream.class)
	attributes = append(attributes, "request", stream.requestID, "class", stream.class, "target", server.Upstream.ExpectedInstance(),
		"running", load.Running, "slots", load.Slots, "queued", load.Queued, "slowness", load.Slowness, "rateDelay", load.RateDelay)
	server.Log.Log(stream.Context(), level, message, attributes...)
}

// checkCrash reports whether the upstream has crashed. If so, it passes the
// fingerprints of the running requests to Control.
func (server *Server) checkCrash() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if !server.Upstream.IsDown(ctx) {
		return false
	}
	server.Upstream.CloseIdleConnections()
	if fingerprints := server.Gate.TakeCrashSuspects(); len(fingerprints) > 0 {
		server.Control.ReportCrashed(fingerprints)
	}
	return true
}

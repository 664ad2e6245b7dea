package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"ibislift/core/call"
	"ibislift/core/kernel"
	"ibislift/core/quota"
	"ibislift/io/http1"
	"ibislift/io/peer"
	"ibislift/io/peer/peerpb"
)

// attempt is one forwarding of a request to a target. stop ends its context, which
// closes the stream, and so does expiry at the time it is set to. recordEnd removes it
// from the tracker's requests in flight.
type attempt struct {
	index       int
	member      kernel.Member
	linkLatency time.Duration
	started     time.Time
	stream      peer.IngressStream
	stop        func()
	expiry      *time.Timer
	cancelOnce  sync.Once
	head        *peerpb.AnswerHead
	interim     []*peerpb.AnswerHead
	ctx         context.Context
	recordEnd   func()
	// responding is set when the response is relayed.
	responding atomic.Bool
	// bodyWithCommit is set if the head was sent without the body.
	bodyWithCommit bool
	// token is the token of the workspace's quota that the attempt spent, if spentToken is
	// set.
	token      quota.Decision
	spentToken bool
}

// newAttempt creates an attempt and records its start in the tracker. Until its response
// has begun, the stream ends with the deadline of the request, since the gate that is to
// end it may be suspended.
func newAttempt(exchange *exchange, member kernel.Member, send call.Send) *attempt {
	tracker := exchange.service.tracker
	started := exchange.handler.Now()
	ctx, cancel := context.WithCancelCause(context.Background())
	expiry := time.AfterFunc(exchange.request.deadline.Sub(started), func() { cancel(context.DeadlineExceeded) })
	tracker.RecordStart(member.ID, started)
	return &attempt{
		index:       send.Attempt,
		member:      member,
		linkLatency: exchange.handler.LinkTo(member).Latency,
		started:     started,
		stop:        func() { cancel(nil); expiry.Stop() },
		expiry:      expiry,
		ctx:         ctx,
		recordEnd:   func() { tracker.RecordEnd(member.ID, started) },

		bodyWithCommit: exchange.sendsBodyWithCommit(send),
	}
}

// send sends the head of the request and returns immediately. If a connection
// has to be established first, a goroutine does so and sends the head.
func (attempt *attempt) send(exchange *exchange, head *peerpb.CallHead) {
	stream, ready := exchange.handler.Peers.OpenReady(attempt.ctx, attempt.member)
	if !ready {
		exchange.readDirectAsync()
		exchange.readers++
		go func() { exchange.events <- attempt.openAndSend(exchange, head) }()
		return
	}
	attempt.stream = stream
	if err := attempt.sendHead(head); err != nil {
		attempt.recordFailure(exchange)
		exchange.readers++
		exchange.events <- attempt.lost(exchange, false)
		return
	}
	exchange.startReading(attempt)
}

// lost returns the event that the end of the stream or a loss at the gate means. At the
// deadline both daemons end the attempt, which must not lead to another one.
func (attempt *attempt) lost(exchange *exchange, crashed bool) call.Event {
	if attempt.isExpired() || !exchange.handler.Now().Before(exchange.endAt()) {
		return call.DeadlinePassed{}
	}
	return call.AttemptLost{Attempt: attempt.index, Crashed: crashed}
}

// isExpired reports whether expiry has ended the stream.
func (attempt *attempt) isExpired() bool {
	return errors.Is(context.Cause(attempt.ctx), context.DeadlineExceeded)
}

func (attempt *attempt) sendHead(head *peerpb.CallHead) error {
	return attempt.stream.Send(&peerpb.CallFrame{Frame: &peerpb.CallFrame_Head{Head: head}})
}

// callHead returns the head of the request in the form sent to a gate.
func callHead(exchange *exchange, send call.Send) *peerpb.CallHead {
	request, original := exchange.request, exchange.original
	header := exchange.handler.upstreamHeader(original.Header)
	request.removeIdentity(header, exchange.handler.Dialect.Workspace)
	head := &peerpb.CallHead{
		RequestId:             []byte(request.id),
		Service:               request.service,
		Method:                original.Method,
		Target:                []byte(original.URL.RequestURI()),
		Host:                  original.Host,
		Headers:               peer.EncodeHeader(header),
		ContentLength:         int64(len(request.body)),
		RemainingMicroseconds: max(1, request.deadline.Sub(exchange.handler.Now()).Microseconds()),
		Important:             request.important,
		Reserve:               send.Reserve || request.streamed,
		Fingerprint:           request.fingerprint,
		Rank:                  int32(request.rank),
		Class:                 request.class,
		ReportTo:              exchange.handler.ReportTo,
		PatienceMicroseconds:  exchange.maxDelay.Microseconds(),
		ObjectiveMicroseconds: request.objective.Sub(exchange.handler.Now()).Microseconds(),
		Workspace:             request.workspaceName(),
		Call:                  exchange.isCall,
		RateLimit:             peer.EncodeRateLimit(exchange.service.tracker.RateLimit(send.Target)),
	}
	if name := exchange.handler.Dialect.CallerService; name != "" {
		head.Headers = append(head.Headers, &peerpb.Field{Name: name, Value: []byte(exchange.handler.CallerService)})
	}
	if name := exchange.handler.Dialect.Workspace; name != "" && request.workspace != nil {
		head.Headers = append(head.Headers, &peerpb.Field{Name: name, Value: []byte(request.workspace.Name)})
	}
	if request.streamed {
		head.ContentLength = original.ContentLength
		head.BodyFollows = true
		return head
	}
	if !exchange.sendsBodyWithCommit(send) {
		head.Body = request.body
	}
	return head
}

// sendsBodyWithCommit reports whether the body of a reserved request is sent only when
// a gate has granted a slot.
func (exchange *exchange) sendsBodyWithCommit(send call.Send) bool {
	return send.Reserve && !exchange.request.streamed && len(exchange.request.body) > peer.MaxEagerBodySize
}

// cancel ends the attempt. Closing the stream notifies the gate. The tracker
// records the time waited so far, less the round trip on the link, as a lower bound
// of the response time of the target.
func (attempt *attempt) cancel(exchange *exchange) {
	attempt.cancelOnce.Do(func() {
		now := exchange.handler.Now()
		exchange.service.tracker.RecordWait(attempt.member.ID, now, now.Sub(attempt.started)-2*attempt.linkLatency)
		attempt.stop()
		attempt.recordEnd()
	})
}

// openAndSend opens the stream, sends the head and waits for the first frame
// that yields an event.
func (attempt *attempt) openAndSend(exchange *exchange, head *peerpb.CallHead) call.Event {
	stream, err := exchange.handler.Peers.Open(attempt.ctx, attempt.member)
	if err != nil {
		attempt.recordFailure(exchange)
		if lost, isLost := attempt.lost(exchange, false).(call.AttemptLost); isLost {
			lost.Unsent = true
			return lost
		}
		return call.DeadlinePassed{}
	}
	attempt.stream = stream
	if err := attempt.sendHead(head); err != nil {
		attempt.recordFailure(exchange)
		return attempt.lost(exchange, false)
	}
	return attempt.nextEvent(exchange)
}

// nextEvent reads frames until one yields an event.
func (attempt *attempt) nextEvent(exchange *exchange) call.Event {
	for {
		frame, err := attempt.stream.Recv()
		if err != nil {
			attempt.recordFailure(exchange)
			return attempt.lost(exchange, false)
		}
		if event := attempt.handleFrame(exchange, frame); event != nil {
			return event
		}
	}
}

// nextEventUntil is nextEvent with a deadline. It reports whether the deadline
// has passed before an event arrived.
func (attempt *attempt) nextEventUntil(exchange *exchange, deadline time.Time) (event call.Event, timedOut bool) {
	for {
		frame, err := attempt.stream.RecvUntil(deadline)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, true
		}
		if err != nil {
			attempt.recordFailure(exchange)
			return attempt.lost(exchange, false), false
		}
		if event := attempt.handleFrame(exchange, frame); event != nil {
			return event, false
		}
	}
}

// handleFrame processes a frame and returns its event, or nil if the state
// machine needs no event for it.
func (attempt *attempt) handleFrame(exchange *exchange, frame *peerpb.AnswerFrame) call.Event {
	switch frame := frame.GetFrame().(type) {
	case *peerpb.AnswerFrame_Granted:
		attempt.recordLoad(exchange, frame.Granted)
		return call.SlotGranted{Attempt: attempt.index}
	case *peerpb.AnswerFrame_Refused:
		attempt.recordLoad(exchange, frame.Refused.GetLoad())
		if frame.Refused.GetReached() {
			exchange.service.tracker.RecordRefusal(attempt.member.ID, exchange.handler.Now())
		}
		return call.AttemptRefused{
			Attempt:         attempt.index,
			Reason:          frame.Refused.GetReason(),
			Cause:           frame.Refused.GetCause(),
			RetryAfter:      time.Duration(frame.Refused.GetRetryAfterMilliseconds()) * time.Millisecond,
			ReachedUpstream: frame.Refused.GetReached(),
		}
	case *peerpb.AnswerFrame_Lost:
		attempt.recordLoad(exchange, frame.Lost.GetLoad())
		attempt.recordFailure(exchange)
		return attempt.lost(exchange, frame.Lost.GetCrashed())
	case *peerpb.AnswerFrame_Interim:
		attempt.receiveInterim(frame.Interim)
		return nil
	case *peerpb.AnswerFrame_Head:
		return attempt.receiveHead(exchange, frame.Head)
	default:
		return nil
	}
}

// receiveInterim keeps an interim response for the caller. One with a status that no
// interim response has is left out, since it could be taken for the final response. A
// caller that asks for 100 Continue gets it from the server when its body is read.
func (attempt *attempt) receiveInterim(interim *peerpb.AnswerHead) {
	if status := int(interim.GetStatus()); http1.IsInterimStatus(status) && status != http.StatusContinue {
		attempt.interim = append(attempt.interim, interim)
	}
}

func (attempt *attempt) receiveHead(exchange *exchange, head *peerpb.AnswerHead) call.Event {
	attempt.recordLoad(exchange, head.GetLoad())
	if !http1.IsFinalStatus(int(head.GetStatus())) {
		return attempt.loseResponse(exchange, head, "answer with a status that no response has")
	}
	if head.GetLeaving() {
		attempt.recordLeaving(exchange)
	}
	if promises := exchange.handler.Dialect.PromisesNotRun; promises != nil && promises(int(head.GetStatus())) {
		return attempt.loseResponse(exchange, head, "answer without a statement that the request was not executed")
	}
	attempt.head = head
	if head.GetStatus() >= http.StatusInternalServerError {
		attempt.recordFailure(exchange)
		if head.GetComplete() {
			return call.ServerErrorReceived{Attempt: attempt.index}
		}
		return call.ResponseStarted{Attempt: attempt.index}
	}
	now := exchange.handler.Now()
	size := head.GetContentLength()
	if head.GetComplete() {
		size = int64(len(head.GetBody()))
	}
	if work := peer.DecodeLoad(head.GetLoad()).ClassServiceTime; work > 0 || size > 0 {
		exchange.service.tracker.UpdateClass(exchange.request.class, work, max(0, size))
	}
	exchange.service.tracker.RecordResponse(attempt.member.ID, now, now.Sub(attempt.started)-2*attempt.linkLatency)
	return call.ResponseStarted{Attempt: attempt.index}
}

// loseResponse ends an attempt whose response can't be relayed, because its status is
// none, or because it would tell the caller that the request was not executed, which the
// upstream has not stated. The gate reports those with the statement as refusals.
func (attempt *attempt) loseResponse(exchange *exchange, head *peerpb.AnswerHead, reason string) call.Event {
	exchange.handler.Log.Warn(reason, "request", exchange.request.id,
		"service", exchange.request.service, "target", attempt.member.ID, "status", head.GetStatus())
	attempt.recordFailure(exchange)
	if !head.GetComplete() {
		attempt.stop()
	}
	return call.AttemptLost{Attempt: attempt.index}
}

// recordLeaving keeps further requests from a target that has said that it is leaving.
func (attempt *attempt) recordLeaving(exchange *exchange) {
	if exchange.service.tracker.RecordLeaving(attempt.member.ID, attempt.member.Target.StartedAt) {
		exchange.handler.Log.Info("target says that it is leaving", "request", exchange.request.id,
			"service", exchange.request.service, "target", attempt.member.ID)
	}
}

func (attempt *attempt) recordLoad(exchange *exchange, load *peerpb.Load) {
	if load != nil {
		exchange.service.tracker.RecordReport(attempt.member.ID, exchange.handler.Now(), peer.DecodeLoad(load))
	}
}

// recordFailure records a failure of the target, unless this daemon ended the
// attempt itself.
func (attempt *attempt) recordFailure(exchange *exchange) {
	if attempt.ctx.Err() != nil {
		return
	}
	exchange.service.tracker.RecordFailure(attempt.member.ID, exchange.handler.Now(), exchange.service.profile.Ejection)
}

// commit allows the gate to execute the request, starts sending a streamed
// body, and starts reading the response.
func (attempt *attempt) commit(exchange *exchange) {
	commit := &peerpb.Commit{}
	if attempt.bodyWithCommit {
		commit.Body = exchange.request.body
	}
	err := attempt.stream.Send(&peerpb.CallFrame{Frame: &peerpb.CallFrame_Commit{Commit: commit}})
	if err == nil && exchange.request.streamed {
		go attempt.sendBody(exchange)
	}
	exchange.startReading(attempt)
}

// sendBody sends the part of the body that was already read, and then the rest
// as it arrives from the caller.
func (attempt *attempt) sendBody(exchange *exchange) {
	remaining := exchange.request.profile.MaxBodyBytes
	chunk := exchange.request.body
	for {
		remaining -= int64(len(chunk))
		if remaining < 0 {
			attempt.endBody(errBodyTooLarge)
			return
		}
		if len(chunk) > 0 && attempt.stream.Send(&peerpb.CallFrame{Frame: &peerpb.CallFrame_Chunk{Chunk: chunk}}) != nil {
			return
		}
		buffer := make([]byte, peer.MaxChunkSize)
		count, err := exchange.original.Body.Read(buffer)
		chunk = buffer[:count]
		if errors.Is(err, io.EOF) {
			attempt.sendEnd(exchange, chunk)
			return
		}
		if err != nil {
			attempt.endBody(err)
			return
		}
	}
}

// endBody ends an attempt whose body cannot be sent to its end. A response that has begun is
// relayed as far as it goes, and the deadline of the request ends the attempt in any case.
func (attempt *attempt) endBody(err error) {
	if !attempt.responding.Load() && !errors.Is(err, os.ErrDeadlineExceeded) {
		attempt.stop()
	}
}

func (attempt *attempt) sendEnd(exchange *exchange, rest []byte) {
	if len(rest) > 0 && attempt.stream.Send(&peerpb.CallFrame{Frame: &peerpb.CallFrame_Chunk{Chunk: rest}}) != nil {
		return
	}
	trailers := exchange.original.Trailer.Clone()
	exchange.request.removeIdentity(trailers, exchange.handler.Dialect.Workspace)
	trailer := &peerpb.Trailer{Fields: peer.EncodeHeader(trailers)}
	_ = attempt.stream.Send(&peerpb.CallFrame{Frame: &peerpb.CallFrame_End{End: trailer}})
}

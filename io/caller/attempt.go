package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"ibislift/core/call"
	"ibislift/core/kernel"
	"ibislift/io/peer"
	"ibislift/io/peer/peerpb"
)

// attempt is one sending of a request to a target.
type attempt struct {
	index   int
	member  kernel.Member
	link    time.Duration
	started time.Time
	stream  peer.IngressStream
	stop    context.CancelFunc
	ended   sync.Once
	head    *peerpb.AnswerHead
	interim []*peerpb.AnswerHead
	ctx     context.Context
	finish  func()
}

// startAttempt notes the sending of a request to a target.
func startAttempt(exchange *exchange, member kernel.Member, send call.Send) *attempt {
	ctx, stop := context.WithCancel(context.Background())
	book := exchange.service.book
	started := exchange.handler.Now()
	book.RecordStart(member.ID, started)
	return &attempt{
		index:   send.Attempt,
		member:  member,
		link:    exchange.handler.Distance(member).Latency,
		started: started,
		stop:    stop,
		ctx:     ctx,
		finish:  func() { book.RecordEnd(member.ID, started) },
	}
}

// send sends the head of the request and returns at once. If a connection has
// to be set up first, that happens beside.
func (attempt *attempt) send(exchange *exchange, head *peerpb.CallHead) {
	stream, ready := exchange.handler.Peers.OpenReady(attempt.ctx, attempt.member)
	if !ready {
		exchange.demoteDirect()
		exchange.following++
		go func() { exchange.events <- attempt.begin(exchange, head) }()
		return
	}
	attempt.stream = stream
	if err := attempt.sendHead(head); err != nil {
		attempt.noteFailure(exchange)
		exchange.following++
		exchange.events <- call.AttemptLost{Attempt: attempt.index}
		return
	}
	exchange.read(attempt)
}

func (attempt *attempt) sendHead(head *peerpb.CallHead) error {
	return attempt.stream.Send(&peerpb.CallFrame{Frame: &peerpb.CallFrame_Head{Head: head}})
}

// callHead is the head of the request as it travels to a gate.
func callHead(exchange *exchange, send call.Send) *peerpb.CallHead {
	request, original := exchange.request, exchange.original
	head := &peerpb.CallHead{
		RequestId:             request.id,
		Service:               request.service,
		Method:                original.Method,
		Target:                original.URL.RequestURI(),
		Host:                  original.Host,
		Headers:               peer.EncodeHeader(exchange.handler.forwarded(original.Header)),
		ContentLength:         int64(len(request.body)),
		RemainingMicroseconds: max(1, request.deadline.Sub(exchange.handler.Now()).Microseconds()),
		Important:             request.important,
		Reserve:               send.Reserve || request.streamed,
		Fingerprint:           request.fingerprint,
		Rank:                  int32(request.rank),
		Class:                 request.class,
		ReportTo:              exchange.handler.ReportTo,
		PatienceMicroseconds:  exchange.patience.Microseconds(),
		ObjectiveMicroseconds: request.objective.Sub(exchange.handler.Now()).Microseconds(),
	}
	if name := exchange.handler.Dialect.CallerService; name != "" {
		head.Headers = append(head.Headers, &peerpb.Field{Name: name, Value: exchange.handler.Service})
	}
	if request.streamed {
		head.ContentLength = original.ContentLength
		head.BodyFollows = true
		return head
	}
	head.Body = request.body
	return head
}

// cancel ends the attempt. The gate learns of it by the end of the stream. A
// target that is given up before its answer is known to take at least so long.
func (attempt *attempt) cancel(exchange *exchange) {
	attempt.ended.Do(func() {
		now := exchange.handler.Now()
		exchange.service.book.RecordWait(attempt.member.ID, now, now.Sub(attempt.started)-2*attempt.link)
		attempt.stop()
		attempt.finish()
	})
}

// begin opens the stream, sends the head and waits for the first word of the
// gate that the request's course depends on.
func (attempt *attempt) begin(exchange *exchange, head *peerpb.CallHead) call.Event {
	stream, err := exchange.handler.Peers.Open(attempt.ctx, attempt.member)
	if err != nil {
		attempt.noteFailure(exchange)
		return call.AttemptLost{Attempt: attempt.index, Unsent: true}
	}
	attempt.stream = stream
	if err := attempt.sendHead(head); err != nil {
		attempt.noteFailure(exchange)
		return call.AttemptLost{Attempt: attempt.index}
	}
	return attempt.next(exchange)
}

// next reads frames until one decides the attempt's course.
func (attempt *attempt) next(exchange *exchange) call.Event {
	for {
		frame, err := attempt.stream.Recv()
		if err != nil {
			attempt.noteFailure(exchange)
			return call.AttemptLost{Attempt: attempt.index}
		}
		if event := attempt.understand(exchange, frame); event != nil {
			return event
		}
	}
}

// nextUntil is next that gives up at a time, and says so.
func (attempt *attempt) nextUntil(exchange *exchange, deadline time.Time) (event call.Event, waiting bool) {
	for {
		frame, err := attempt.stream.RecvUntil(deadline)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, true
		}
		if err != nil {
			attempt.noteFailure(exchange)
			return call.AttemptLost{Attempt: attempt.index}, false
		}
		if event := attempt.understand(exchange, frame); event != nil {
			return event, false
		}
	}
}

// understand turns a frame into an event, or into nothing if it does not
// decide the attempt's course.
func (attempt *attempt) understand(exchange *exchange, frame *peerpb.AnswerFrame) call.Event {
	switch frame := frame.GetFrame().(type) {
	case *peerpb.AnswerFrame_Granted:
		attempt.noteLoad(exchange, frame.Granted)
		return call.SlotGranted{Attempt: attempt.index}
	case *peerpb.AnswerFrame_Refused:
		attempt.noteLoad(exchange, frame.Refused.GetLoad())
		return call.AttemptRefused{
			Attempt:         attempt.index,
			Reason:          frame.Refused.GetReason(),
			RetryAfter:      time.Duration(frame.Refused.GetRetryAfterMilliseconds()) * time.Millisecond,
			ReachedUpstream: frame.Refused.GetReached(),
		}
	case *peerpb.AnswerFrame_Lost:
		attempt.noteLoad(exchange, frame.Lost.GetLoad())
		attempt.noteFailure(exchange)
		return call.AttemptLost{Attempt: attempt.index, Crashed: frame.Lost.GetCrashed()}
	case *peerpb.AnswerFrame_Interim:
		attempt.interim = append(attempt.interim, frame.Interim)
		return nil
	case *peerpb.AnswerFrame_Head:
		return attempt.noteHead(exchange, frame.Head)
	default:
		return nil
	}
}

func (attempt *attempt) noteHead(exchange *exchange, head *peerpb.AnswerHead) call.Event {
	attempt.head = head
	attempt.noteLoad(exchange, head.GetLoad())
	if head.GetStatus() >= http.StatusInternalServerError {
		attempt.noteFailure(exchange)
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
		exchange.service.book.UpdateClass(exchange.request.class, work, max(0, size))
	}
	exchange.service.book.RecordResponse(attempt.member.ID, now, now.Sub(attempt.started)-2*attempt.link)
	return call.ResponseStarted{Attempt: attempt.index}
}

func (attempt *attempt) noteLoad(exchange *exchange, load *peerpb.Load) {
	if load != nil {
		exchange.service.book.RecordReport(attempt.member.ID, exchange.handler.Now(), peer.DecodeLoad(load))
	}
}

// noteFailure counts a failure against the target, unless this daemon itself
// has ended the attempt.
func (attempt *attempt) noteFailure(exchange *exchange) {
	if attempt.ctx.Err() != nil {
		return
	}
	exchange.service.book.RecordFailure(attempt.member.ID, exchange.handler.Now(), exchange.service.rules.Ejection)
}

// commit lets the gate run the request, sends a streamed body, and goes on to
// wait for the answer.
func (attempt *attempt) commit(exchange *exchange) {
	err := attempt.stream.Send(&peerpb.CallFrame{Frame: &peerpb.CallFrame_Commit{Commit: &peerpb.Nothing{}}})
	if err == nil && exchange.request.streamed {
		go attempt.sendBody(exchange)
	}
	exchange.read(attempt)
}

// sendBody sends the part of the body that has been read, and then the rest as
// it comes.
func (attempt *attempt) sendBody(exchange *exchange) {
	left := exchange.request.rules.MaxBodyBytes
	chunk := exchange.request.body
	for {
		left -= int64(len(chunk))
		if left < 0 {
			attempt.stop()
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
			attempt.stop()
			return
		}
	}
}

func (attempt *attempt) sendEnd(exchange *exchange, rest []byte) {
	if len(rest) > 0 && attempt.stream.Send(&peerpb.CallFrame{Frame: &peerpb.CallFrame_Chunk{Chunk: rest}}) != nil {
		return
	}
	trailer := &peerpb.Trailer{Fields: peer.EncodeHeader(exchange.original.Trailer)}
	_ = attempt.stream.Send(&peerpb.CallFrame{Frame: &peerpb.CallFrame_End{End: trailer}})
}

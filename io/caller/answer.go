package caller

import (
	"context"
	"net/http"

	"ibislift/core/call"
	"ibislift/io/peer"
	"ibislift/io/peer/peerpb"
)

// relay passes an attempt's answer on to the caller. An answer that is cut
// short reaches the caller as a broken one: the connection is aborted.
func (exchange *exchange) relay(attempt *attempt) {
	head := attempt.head
	stop := context.AfterFunc(exchange.original.Context(), attempt.stop)
	defer stop()
	exchange.writeInterim(attempt)
	exchange.writeHead(head)
	whole := head.GetComplete()
	if whole {
		_, _ = exchange.writer.Write(head.GetBody())
	} else {
		whole = exchange.relayParts(attempt)
	}
	exchange.over = true
	exchange.apply(call.ResponseRelayed{})
	exchange.conclude(call.OutcomeRun, int(head.GetStatus()), "")
	if !whole {
		exchange.handler.Log.Warn("answer cut short", "request", exchange.request.id, "service", exchange.request.service,
			"target", attempt.member.ID, "callerLeft", exchange.original.Context().Err() != nil)
		panic(http.ErrAbortHandler)
	}
}

// writeInterim sends the interim answers, such as early hints, that came before
// the answer.
func (exchange *exchange) writeInterim(attempt *attempt) {
	for _, interim := range attempt.interim {
		header := exchange.writer.Header()
		for name, values := range forwardHeader(peer.DecodeHeader(interim.GetHeaders())) {
			header[name] = values
		}
		exchange.writer.WriteHeader(int(interim.GetStatus()))
		clear(header)
	}
}

func (exchange *exchange) writeHead(head *peerpb.AnswerHead) {
	header := exchange.writer.Header()
	for name, values := range forwardHeader(peer.DecodeHeader(head.GetHeaders())) {
		header[name] = values
	}
	names := exchange.handler.Dialect
	header.Set(names.RequestID, exchange.request.id)
	if names.Outcome != "" {
		header.Set(names.Outcome, string(call.OutcomeRun))
	}
	exchange.writer.WriteHeader(int(head.GetStatus()))
}

// relayParts passes a longer answer on as it comes, and says whether it came
// whole.
func (exchange *exchange) relayParts(attempt *attempt) bool {
	flusher, _ := exchange.writer.(http.Flusher)
	if flusher != nil {
		flusher.Flush()
	}
	for {
		frame, err := attempt.stream.Recv()
		if err != nil {
			attempt.noteFailure(exchange)
			return false
		}
		switch frame := frame.GetFrame().(type) {
		case *peerpb.AnswerFrame_Chunk:
			if _, err := exchange.writer.Write(frame.Chunk); err != nil {
				return false
			}
			if flusher != nil && attempt.head.GetContentLength() < 0 {
				flusher.Flush()
			}
		case *peerpb.AnswerFrame_End:
			attempt.noteLoad(exchange, frame.End.GetLoad())
			exchange.writeTrailers(frame.End)
			return true
		default:
			attempt.noteFailure(exchange)
			return false
		}
	}
}

// writeTrailers sends the trailers: those announced in the head under their
// names, others by the prefix of net/http.
func (exchange *exchange) writeTrailers(end *peerpb.AnswerEnd) {
	header := exchange.writer.Header()
	for name, values := range peer.DecodeHeader(end.GetTrailers()) {
		header[http.TrailerPrefix+name] = values
	}
}

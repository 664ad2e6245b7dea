package caller

import (
	"context"
	"errors"
	"net/http"

	"ibislift/core/call"
	"ibislift/io/peer"
	"ibislift/io/peer/peerpb"
)

// relay relays the response of an attempt to the caller. If the response is cut short
// before any of it was sent, the request goes on. Otherwise the connection to the caller is
// aborted, so that the caller detects the truncation.
func (exchange *exchange) relay(attempt *attempt) {
	head := attempt.head
	if !attempt.expiry.Stop() && !head.GetComplete() {
		// The stream was closed after the head had arrived.
		exchange.logCut(attempt, errDeadline)
		exchange.apply(exchange.cutEvent(attempt, errDeadline))
		return
	}
	attempt.responding.Store(true)
	stop := context.AfterFunc(exchange.original.Context(), attempt.stop)
	defer stop()
	exchange.writeInterim(attempt)
	exchange.writeHead(head)
	var err error
	if head.GetComplete() {
		_, _ = exchange.writer.Write(head.GetBody())
	} else {
		err = newBodyRelay(exchange, attempt).run()
	}
	if err != nil {
		exchange.logCut(attempt, err)
		if exchange.discardResponse() {
			exchange.apply(exchange.cutEvent(attempt, err))
			return
		}
	}
	exchange.done = true
	exchange.apply(call.ResponseRelayed{})
	exchange.recordOutcome(call.OutcomeRun, int(head.GetStatus()), "")
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// discardResponse drops the response written so far and reports whether none of it has
// been sent.
func (exchange *exchange) discardResponse() bool {
	discarder, canDiscard := exchange.writer.(interface{ Discard() bool })
	return canDiscard && discarder.Discard()
}

func (exchange *exchange) cutEvent(attempt *attempt, err error) call.ResponseCut {
	cut := call.ResponseCut{Attempt: attempt.index, Crashed: errors.Is(err, errCrashed)}
	switch {
	case exchange.original.Context().Err() != nil:
		cut.Problem = call.ProblemLost
	case errors.Is(err, errDeadline) || !exchange.handler.Now().Before(exchange.endAt()):
		cut.Problem = call.ProblemDeadline
	}
	return cut
}

// logCut logs why the response of an attempt has no end.
func (exchange *exchange) logCut(attempt *attempt, err error) {
	exchange.handler.Log.Warn("answer cut short", "request", exchange.request.id, "service", exchange.request.service,
		"target", attempt.member.ID, "callerLeft", exchange.original.Context().Err() != nil, "connection", exchange.request.connection,
		"error", err.Error(), "deadline", exchange.request.remaining(exchange.arrived, exchange.request.deadline), "took", exchange.handler.Now().Sub(exchange.arrived), "steps", steps(exchange.record.Steps))
}

// writeInterim sends the interim responses, such as early hints, that preceded
// the response.
func (exchange *exchange) writeInterim(attempt *attempt) {
	for _, interim := range attempt.interim {
		header := exchange.writer.Header()
		for name, values := range endToEndHeader(peer.DecodeHeader(interim.GetHeaders())) {
			header[name] = values
		}
		exchange.writer.WriteHeader(int(interim.GetStatus()))
		clear(header)
	}
}

func (exchange *exchange) writeHead(head *peerpb.AnswerHead) {
	header := exchange.writer.Header()
	for name, values := range endToEndHeader(peer.DecodeHeader(head.GetHeaders())) {
		header[name] = values
	}
	if head.GetStatus() == http.StatusNoContent {
		// A caller that relies on the length would wait for a body.
		header.Del("Content-Length")
	}
	dialect := exchange.handler.Dialect
	header.Set(dialect.RequestID, exchange.request.id)
	if dialect.Outcome != "" {
		header.Set(dialect.Outcome, string(call.OutcomeRun))
	}
	exchange.writer.WriteHeader(int(head.GetStatus()))
}

// writeTrailers sends the trailers. It uses the prefix of net/http, which also
// covers trailers that the head has not announced.
func (exchange *exchange) writeTrailers(end *peerpb.AnswerEnd) {
	header := exchange.writer.Header()
	for name, values := range peer.DecodeHeader(end.GetTrailers()) {
		header[http.TrailerPrefix+name] = values
	}
}

package caller

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"ibislift/io/http1"
	"ibislift/io/peer/peerpb"
)

// Reasons why a response is cut short.
var (
	errDeadline     = errors.New("the deadline of the request has passed")
	errStreamEnded  = errors.New("the stream to the gate has ended")
	errResponseLost = errors.New("the gate has lost the response")
	errCrashed      = errors.New("the target has crashed")
	errFrameOrder   = errors.New("the gate has sent a frame out of order")
	errCallerWrite  = errors.New("the response cannot be written to the caller")
)

// arrivalSlack is how long after the end of its request a part of a response may still
// arrive, in addition to a round trip to its gate: the time to schedule both daemons.
const arrivalSlack = 50 * time.Millisecond

// maxArrivalTime limits how long after the end of its request a response may arrive. A request
// counts as held too long 250 ms after its timeout.
const maxArrivalTime = 200 * time.Millisecond

// heldFlushInterval is the time between two attempts to flush a response that is held back.
// Callers of streams don't notice a delay of this size.
const heldFlushInterval = 20 * time.Millisecond

// bodyRelay relays the streamed body of a response to the caller as it arrives.
type bodyRelay struct {
	exchange   *exchange
	attempt    *attempt
	controller *http.ResponseController
	// held is set while the server holds the response back.
	held bool
	// writing is the time spent after the end of the request on writing to the caller.
	writing time.Duration
}

func newBodyRelay(exchange *exchange, attempt *attempt) *bodyRelay {
	return &bodyRelay{exchange: exchange, attempt: attempt, controller: http.NewResponseController(exchange.writer)}
}

// run returns an error if the body is incomplete.
func (bodyRelay *bodyRelay) run() error {
	if queued, isQueued := bodyRelay.exchange.writer.(interface{ SetTurnDeadline(time.Time) }); isQueued {
		queued.SetTurnDeadline(bodyRelay.exchange.request.deadline)
	}
	bodyRelay.flush()
	for {
		frame, err := bodyRelay.receive()
		if err != nil {
			bodyRelay.recordFailure()
			return err
		}
		switch frame := frame.GetFrame().(type) {
		case *peerpb.AnswerFrame_Chunk:
			if err := bodyRelay.write(frame.Chunk); err != nil {
				return err
			}
			if bodyRelay.attempt.head.GetContentLength() < 0 {
				bodyRelay.flush()
			}
		case *peerpb.AnswerFrame_End:
			bodyRelay.attempt.recordLoad(bodyRelay.exchange, frame.End.GetLoad())
			bodyRelay.exchange.writeTrailers(frame.End)
			return nil
		case *peerpb.AnswerFrame_Lost:
			bodyRelay.recordFailure()
			if frame.Lost.GetCrashed() {
				return errCrashed
			}
			return errResponseLost
		default:
			bodyRelay.recordFailure()
			return errFrameOrder
		}
	}
}

func (bodyRelay *bodyRelay) flush() {
	bodyRelay.held = errors.Is(bodyRelay.controller.Flush(), http1.ErrHeld)
}

// receive receives the next frame. It flushes a response that is held back while it waits.
func (bodyRelay *bodyRelay) receive() (*peerpb.AnswerFrame, error) {
	since := bodyRelay.exchange.handler.Now()
	for now := since; ; now = bodyRelay.exchange.handler.Now() {
		limit := bodyRelay.limit(since)
		if !now.Before(limit) {
			return nil, errDeadline
		}
		wait := maxWait
		if bodyRelay.held {
			wait = heldFlushInterval
		}
		// The rest of a frame whose first byte has arrived is limited, too.
		bodyRelay.attempt.expiry.Reset(limit.Sub(now))
		frame, err := bodyRelay.attempt.stream.RecvUntil(earlier(limit, now.Add(wait)))
		bodyRelay.attempt.expiry.Stop()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			if bodyRelay.held {
				bodyRelay.flush()
			}
		case err != nil && bodyRelay.attempt.isExpired():
			return nil, errDeadline
		case err != nil:
			return nil, fmt.Errorf("%w: %w", errStreamEnded, err)
		default:
			return frame, nil
		}
	}
}

// limit returns the end of a wait for a frame. The gate ends the response at the deadline;
// after that, what it has sent before still arrives. The time that the caller takes to accept
// the response does not count. A gate that goes on sending has twice the slack.
func (bodyRelay *bodyRelay) limit(since time.Time) time.Time {
	endAt, arrival := bodyRelay.exchange.endAt(), 2*bodyRelay.attempt.linkLatency+arrivalSlack
	last := endAt.Add(bodyRelay.writing + min(arrival+arrivalSlack, maxArrivalTime))
	if endAt.Before(since) {
		endAt = since
	}
	return earlier(last, endAt.Add(arrival))
}

// write writes a part of the body to the caller.
func (bodyRelay *bodyRelay) write(part []byte) error {
	started := bodyRelay.exchange.handler.Now()
	_, err := bodyRelay.exchange.writer.Write(part)
	if endAt := bodyRelay.exchange.endAt(); started.Before(endAt) {
		started = endAt
	}
	bodyRelay.writing += max(0, bodyRelay.exchange.handler.Now().Sub(started))
	switch {
	case errors.Is(err, http1.ErrTurnTimeout):
		return errDeadline
	case err != nil:
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	default:
		return nil
	}
}

// recordFailure records a failure of the target, unless its response was ended at the deadline.
func (bodyRelay *bodyRelay) recordFailure() {
	if bodyRelay.exchange.handler.Now().Before(bodyRelay.exchange.endAt()) {
		bodyRelay.attempt.recordFailure(bodyRelay.exchange)
	}
}

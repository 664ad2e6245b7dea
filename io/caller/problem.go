package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"ibislift/core/call"
	"ibislift/io/upstream"
)

// OutcomeHeader names the header that says whether a request has run.
const OutcomeHeader = "Ibislift-Outcome"

// problem is an answer of our own, in the form of RFC 9457.
type problem struct {
	Type      string       `json:"type"`
	Title     string       `json:"title"`
	Status    int          `json:"status"`
	Detail    string       `json:"detail,omitempty"`
	RequestID string       `json:"requestId"`
	Outcome   call.Outcome `json:"outcome"`
	Known     call.Outcome `json:"known,omitempty"`

	retryAfter time.Duration
}

const problemType = "urn:ibislift:problem:"

// problemOf turns the end of a call into an answer.
func problemOf(finish call.Finish) problem {
	answer := problem{
		Type:    problemType + string(finish.Problem),
		Status:  http.StatusServiceUnavailable,
		Outcome: finish.Outcome,
		Known:   finish.Known,
	}
	switch finish.Problem {
	case call.ProblemNoTarget:
		answer.Title = "no target of the service takes work"
	case call.ProblemRefused:
		answer.Title = "the targets refused the request"
	case call.ProblemDeadline:
		answer.Title = "the deadline passed"
		answer.Status = http.StatusGatewayTimeout
	case call.ProblemLost:
		answer.Title = "the answer was lost"
		answer.Status = http.StatusBadGateway
	case call.ProblemCrashed:
		answer.Title = "the upstream crashed"
		answer.Status = http.StatusBadGateway
	case call.ProblemClaimHeld:
		answer.Title = "the idempotency key belongs to an earlier request"
		answer.Status = http.StatusConflict
	case call.ProblemClaimFailed:
		answer.Title = "idempotency keys cannot be claimed now"
	}
	if finish.Outcome == call.OutcomeNotRun && finish.Problem == call.ProblemLost {
		answer.Status = http.StatusServiceUnavailable
	}
	if answer.Status == http.StatusServiceUnavailable {
		answer.retryAfter = max(finish.RetryAfter, call.DefaultRetryAfter)
	}
	return answer
}

// write sends the problem at once: nothing is held back.
func (problem problem) write(writer http.ResponseWriter) {
	header := writer.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(upstream.RequestIDHeader, problem.RequestID)
	header.Set(OutcomeHeader, string(problem.Outcome))
	if problem.retryAfter > 0 {
		seconds := int(math.Ceil(problem.retryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	writer.WriteHeader(problem.Status)
	_ = json.NewEncoder(writer).Encode(problem)
}

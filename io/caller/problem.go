package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"ibislift/core/call"
	"ibislift/io/dialect"
)

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

// problemOf turns the end of a call into an answer. Where the status alone
// tells the outcome, a request that has not run is always told so.
func problemOf(finish call.Finish, names *dialect.Dialect) problem {
	answer := problem{
		Type:    problemType + string(finish.Problem),
		Status:  http.StatusServiceUnavailable,
		Outcome: finish.Outcome,
		Known:   finish.HolderOutcome,
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
	case call.ProblemClaimUnavailable:
		answer.Title = "idempotency keys cannot be claimed now"
	}
	proved := finish.Problem == call.ProblemLost || names.Outcome == ""
	if finish.Outcome == call.OutcomeNotRun && proved {
		answer.Status = http.StatusServiceUnavailable
	}
	if finish.Outcome != call.OutcomeNotRun && answer.Status == http.StatusServiceUnavailable && names.Outcome == "" {
		answer.Status = http.StatusBadGateway
	}
	if answer.Status == http.StatusServiceUnavailable {
		answer.retryAfter = finish.RetryAfter
	}
	return answer
}

// kind is the problem's name in logs and metrics.
func (problem problem) kind() string { return strings.TrimPrefix(problem.Type, problemType) }

// write sends the problem at once: nothing is held back.
func (problem problem) write(writer http.ResponseWriter, names *dialect.Dialect) {
	header := writer.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(names.RequestID, problem.RequestID)
	if names.Outcome != "" {
		header.Set(names.Outcome, string(problem.Outcome))
	}
	if problem.retryAfter > 0 {
		header.Set("Retry-After", names.FormatRetryAfter(problem.retryAfter))
	}
	writer.WriteHeader(problem.Status)
	_ = json.NewEncoder(writer).Encode(problem)
}

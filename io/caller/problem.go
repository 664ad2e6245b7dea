package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"ibislift/core/call"
	"ibislift/io/dialect"
)

// problem is an error response of the daemon itself, in the format of RFC 9457.
type problem struct {
	Type          string       `json:"type"`
	Title         string       `json:"title"`
	Status        int          `json:"status"`
	Detail        string       `json:"detail,omitempty"`
	RequestID     string       `json:"requestId"`
	Outcome       call.Outcome `json:"outcome"`
	HolderOutcome call.Outcome `json:"known,omitempty"`

	retryAfter time.Duration
	// challenge is the value of WWW-Authenticate, which goes with status 401. reason
	// explains the problem to operators; the caller does not get it.
	challenge string
	reason    string
}

const problemType = "urn:ibislift:problem:"

// newProblem returns the error response for the end of a call. If the dialect
// has no outcome header, the status alone conveys the outcome: it is 503 if and
// only if the request was not executed. In every dialect, the status is also 503 if
// an attempt was lost but the request was certainly not executed.
func newProblem(finish call.Finish, dialect *dialect.Dialect) problem {
	response := problem{
		Type:          problemType + string(finish.Problem),
		Status:        http.StatusServiceUnavailable,
		Outcome:       finish.Outcome,
		HolderOutcome: finish.HolderOutcome,
	}
	switch finish.Problem {
	case call.ProblemNoTarget:
		response.Title = "no target of the service takes work"
	case call.ProblemRefused:
		response.Title = "the targets refused the request"
	case call.ProblemDeadline:
		response.Title = "the deadline passed"
		response.Status = http.StatusGatewayTimeout
	case call.ProblemLost:
		response.Title = "the answer was lost"
		response.Status = http.StatusBadGateway
	case call.ProblemCrashed:
		response.Title = "the upstream crashed"
		response.Status = http.StatusBadGateway
	case call.ProblemClaimHeld:
		response.Title = "the idempotency key belongs to an earlier request"
		response.Status = http.StatusConflict
	case call.ProblemClaimUnavailable:
		response.Title = "idempotency keys cannot be claimed now"
	}
	reportAs503 := finish.Problem == call.ProblemLost || dialect.Outcome == ""
	if finish.Outcome == call.OutcomeNotRun && reportAs503 {
		response.Status = http.StatusServiceUnavailable
	}
	if finish.Outcome != call.OutcomeNotRun && response.Status == http.StatusServiceUnavailable && dialect.Outcome == "" {
		response.Status = http.StatusBadGateway
	}
	if response.Status == http.StatusServiceUnavailable {
		response.retryAfter = finish.RetryAfter
	}
	return response
}

// kind returns the name of the problem in logs and metrics.
func (problem problem) kind() string { return strings.TrimPrefix(problem.Type, problemType) }

// write sends the problem to the caller without delay.
func (problem problem) write(writer http.ResponseWriter, dialect *dialect.Dialect) {
	header := writer.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(dialect.RequestID, problem.RequestID)
	if dialect.Outcome != "" {
		header.Set(dialect.Outcome, string(problem.Outcome))
	}
	if problem.retryAfter > 0 {
		header.Set("Retry-After", dialect.FormatRetryAfter(problem.retryAfter))
	}
	if problem.challenge != "" {
		header.Set("WWW-Authenticate", problem.challenge)
	}
	writer.WriteHeader(problem.Status)
	_ = json.NewEncoder(writer).Encode(problem)
}

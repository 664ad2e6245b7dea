// Package dialect names the headers that callers and upstreams use, and the
// forms of what stands in them. The product's own dialect is Own; an adapter
// for a platform brings another one.
//
// # Usage
//
//	names := dialect.Own()
//	left, err := names.ParseDeadline(request.Header.Get(names.Deadline))
package dialect

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("dialect")

// MaxDeadline bounds the time that a caller may give a request.
const MaxDeadline = time.Hour

// Load is what an upstream says of its own load in an answer.
type Load struct {
	// Running and Waiting count requests, Slots is how many run at once.
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes at this moment, as a multiple of the
	// usual time; 0 means that it was not said.
	Slowness float64
}

// Dialect holds header names and forms. An empty name is a header that the
// dialect does not have.
type Dialect struct {
	// RequestID names a request. With CallerNames callers choose the name and
	// it is passed on as it is; otherwise the daemon does.
	RequestID   string
	CallerNames bool
	// Deadline tells the time that is left for a request.
	Deadline       string
	FormatDeadline func(time.Duration) string
	ParseDeadline  func(string) (time.Duration, error)
	// Outcome tells a caller whether its request has run. Without it the
	// status alone tells: 503 is a promise that the request has not run.
	Outcome string
	// IdempotencyKey and Tenant are what callers may add.
	IdempotencyKey string
	Tenant         string
	// FormatRetryAfter writes when to come back.
	FormatRetryAfter func(time.Duration) string
	// CallerService tells an upstream which service a request comes from.
	CallerService string
	// Instance tells an upstream which instance a request is meant for.
	Instance string
	// Proof is what an upstream adds to each answer of its own; a success
	// without it is not the upstream's.
	Proof string
	// NotRun says whether an answer is the upstream's word that it has not
	// run the request. It may be nil.
	NotRun func(*http.Response) bool
	// Misdirected says whether an answer comes from another instance than the
	// one that was meant. It may be nil.
	Misdirected func(*http.Response) bool
	// ParseLoad reads the upstream's load from an answer. It may be nil.
	ParseLoad func(http.Header) (Load, bool)
	// ReadyPath is asked to learn whether the daemon takes callers.
	ReadyPath string
}

// Own returns the product's own dialect.
func Own() *Dialect {
	return &Dialect{
		RequestID:        "Ibislift-Request-Id",
		Deadline:         "Ibislift-Deadline",
		FormatDeadline:   func(left time.Duration) string { return strconv.FormatInt(left.Milliseconds(), 10) + "ms" },
		ParseDeadline:    parseOwnDeadline,
		Outcome:          "Ibislift-Outcome",
		IdempotencyKey:   "Idempotency-Key",
		Tenant:           "Ibislift-Tenant",
		FormatRetryAfter: WholeSeconds,
		ReadyPath:        "/ready",
	}
}

func parseOwnDeadline(text string) (time.Duration, error) {
	left, err := time.ParseDuration(text)
	if err != nil || left <= 0 || left > MaxDeadline {
		return 0, Error.New("must be one duration such as 250ms, above 0 and at most 1h")
	}
	return left, nil
}

// WholeSeconds writes a time in whole seconds, rounded up.
func WholeSeconds(after time.Duration) string {
	return strconv.Itoa(int(math.Ceil(after.Seconds())))
}

// Package dialect defines the headers that daemons exchange with callers and
// upstreams, and the formats of their values. Default returns the dialect of
// ibislift; the adapter of a platform provides its own.
//
// # Usage
//
//	current := dialect.Default()
//	timeLeft, err := current.ParseDeadline(request.Header.Get(current.Deadline))
package dialect

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("dialect")

// MaxDeadline is the longest time that a caller may allow for a request.
const MaxDeadline = time.Hour

// Load is the load that an upstream reports in a response.
type Load struct {
	// Running and Queued count requests. Slots is the number of requests that
	// can run at the same time.
	Running int
	Queued  int
	Slots   int
	// Slowness is the current service time as a multiple of the usual one, or
	// 0 if the upstream did not report it.
	Slowness float64
}

// Dialect holds the names and formats of headers. An empty name means that the
// dialect lacks the header.
type Dialect struct {
	// RequestID carries the ID of a request. If CallerAssignsID is set, the
	// caller provides the ID and it is forwarded unchanged; otherwise the
	// daemon generates it.
	RequestID       string
	CallerAssignsID bool
	// Deadline carries the time that is left for the request.
	Deadline       string
	FormatDeadline func(time.Duration) string
	ParseDeadline  func(string) (time.Duration, error)
	// Outcome tells the caller whether its request was executed. Without this
	// header the status alone tells; see PromisesNotRun. 503 always guarantees that
	// the request was not executed.
	Outcome string
	// IdempotencyKey and Tenant are optional headers of callers.
	IdempotencyKey string
	Tenant         string
	// Workspace tells an upstream which workspace the request belongs to. It is set and
	// removed by the daemon where the route table has workspaces.
	Workspace string
	// FormatRetryAfter formats the value of the Retry-After header.
	FormatRetryAfter func(time.Duration) string
	// CallerService tells an upstream which service sent the request.
	CallerService string
	// Instance tells an upstream which instance the request is meant for.
	Instance string
	// OriginProof is a header that an upstream adds to all its responses. A
	// successful response without it does not come from the upstream.
	OriginProof string
	// NotRun reports whether the upstream states in a response that it has not
	// executed the request. It may be nil.
	NotRun func(*http.Response) bool
	// PromisesNotRun reports whether a status promises a caller that its request was
	// not executed and never will be. It may be nil, as where Outcome tells that.
	PromisesNotRun func(status int) bool
	// Misdirected reports whether a response comes from another instance than
	// the intended one. It may be nil.
	Misdirected func(*http.Response) bool
	// ParseLoad reads the load of the upstream from the headers of a response.
	// It returns false if there is no valid load. It may be nil.
	ParseLoad func(http.Header) (Load, bool)
	// ParseRateLimit reads from the headers of a response how many requests a second
	// the upstream takes from all daemons together. named is false if the response
	// names no limit. It may be nil.
	ParseRateLimit func(http.Header) (perSecond float64, named bool, err error)
	// ParseWarmup reads from the headers of a response how much longer the upstream
	// stays cold. reported is false if the response does not say so in a form that can
	// be read. It may be nil.
	ParseWarmup func(http.Header) (left time.Duration, reported bool)
	// Leaving reports whether the headers of a response say that the upstream is
	// leaving. It may be nil.
	Leaving func(http.Header) bool
	// ReadyPath is the path at which the daemon reports whether it accepts
	// callers.
	ReadyPath string
}

// Default returns the dialect of ibislift itself.
func Default() *Dialect {
	return &Dialect{
		RequestID:        "Ibislift-Request-Id",
		Deadline:         "Ibislift-Deadline",
		FormatDeadline:   func(left time.Duration) string { return strconv.FormatInt(left.Milliseconds(), 10) + "ms" },
		ParseDeadline:    parseDeadline,
		Outcome:          "Ibislift-Outcome",
		IdempotencyKey:   "Idempotency-Key",
		Tenant:           "Ibislift-Tenant",
		Workspace:        "Ibislift-Workspace",
		FormatRetryAfter: FormatSeconds,
		ParseRateLimit:   RateLimitHeader("Ibislift-Rate-Limit"),
		ParseWarmup:      WarmupHeader("Ibislift-Warmup-Remaining", time.Second),
		Leaving:          LeavingHeader("Ibislift-Leaving"),
		ReadyPath:        "/ready",
	}
}

// RateLimitHeader returns a Dialect.ParseRateLimit for a header that holds a decimal
// number of requests a second.
func RateLimitHeader(name string) func(http.Header) (float64, bool, error) {
	return func(header http.Header) (perSecond float64, named bool, err error) {
		text := strings.TrimSpace(header.Get(name))
		if text == "" {
			return 0, false, nil
		}
		perSecond, err = strconv.ParseFloat(text, 64)
		if isRate := perSecond >= 0 && !math.IsInf(perSecond, 0); err != nil || !isRate {
			return 0, false, Error.New("%s: %q is not a number of requests a second", name, text)
		}
		return perSecond, true, nil
	}
}

// MaxWarmup is the longest time that an upstream may say it stays cold. A longer one is
// taken for a mistake, since it would limit the upstream for as long.
const MaxWarmup = time.Hour

// WarmupHeader returns a Dialect.ParseWarmup for a header that holds a decimal number of
// the given unit.
func WarmupHeader(name string, unit time.Duration) func(http.Header) (time.Duration, bool) {
	return func(header http.Header) (time.Duration, bool) {
		number, err := strconv.ParseFloat(strings.TrimSpace(header.Get(name)), 64)
		if err != nil {
			return 0, false
		}
		return WarmupSeconds(number * unit.Seconds())
	}
}

// WarmupSeconds converts the seconds for which an upstream stays cold. It reports false
// for a number that is out of range.
func WarmupSeconds(seconds float64) (left time.Duration, valid bool) {
	if inRange := seconds >= 0 && seconds <= MaxWarmup.Seconds(); !inRange {
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// LeavingHeader returns a Dialect.Leaving for a header that is set to 1 by an upstream
// that is leaving.
func LeavingHeader(name string) func(http.Header) bool {
	return func(header http.Header) bool {
		text := strings.TrimSpace(header.Get(name))
		return text != "" && text != "0"
	}
}

func parseDeadline(text string) (time.Duration, error) {
	timeLeft, err := time.ParseDuration(text)
	if err != nil || timeLeft <= 0 || timeLeft > MaxDeadline {
		return 0, Error.New("must be one duration such as 250ms, above 0 and at most 1h")
	}
	return timeLeft, nil
}

// FormatSeconds formats a duration as whole seconds, rounded up.
func FormatSeconds(after time.Duration) string {
	return strconv.Itoa(int(math.Ceil(after.Seconds())))
}

package caller

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"ibislift/core/pick"
	"ibislift/core/profile"
	"ibislift/core/quota"
	"ibislift/core/routes"
	"ibislift/io/dialect"
	"ibislift/io/peer"
)

// Limits on the length of header values from callers, in bytes.
const (
	maxKeyLength       = 255
	maxTenantLength    = 64
	maxRequestIDLength = 128
)

// notReadyRetryAfter is the time after which a caller may retry at a daemon
// that is still starting.
const notReadyRetryAfter = 500 * time.Millisecond

// evacuatedRetryAfter is the time after which a caller may retry whose request only targets
// in evacuated data centres could run. Operators end evacuations, so the time is not known.
const evacuatedRetryAfter = time.Second

// request is a validated request of a caller, with the settings that its
// profile and route give it.
type request struct {
	id string
	// connection is the address of the caller's end of its connection.
	connection  string
	service     string
	class       string
	tenant      string
	key         string
	fingerprint string
	// deadline is the earlier of callerDeadline and the timeout of the route.
	// callerDeadline comes from the caller. objective is the time after which a
	// response has lost most of its value.
	deadline       time.Time
	callerDeadline time.Time
	objective      time.Time
	repeatable     bool
	important      bool
	rank           int
	profile        profile.Profile
	// route is the route that matched, or nil without a route table.
	route *routes.Route
	// workspace is the workspace whose key the request carries, or nil. hidesKey says
	// that the table has workspaces, so that the key and the header that names the
	// workspace are not forwarded as the caller sent them.
	workspace *routes.Workspace
	hidesKey  bool
	// regions are the regions whose targets may get the request and its body. nil allows
	// all regions.
	regions []string
	// token is the token of the workspace's quota for the next attempt, if hasToken is set.
	token    quota.Decision
	hasToken bool
	// body is the whole body if it is short. A longer body is streamed, and
	// body is its beginning.
	body     []byte
	streamed bool
	// bodyBytes is the size of the body or, if the caller has not stated it, of
	// the part in body.
	bodyBytes float64
}

// serviceFromHost returns the service that a request names by its host.
func serviceFromHost(original *http.Request) string {
	host := original.Host
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	return strings.ToLower(host)
}

// headerError reports an invalid header.
type headerError struct {
	header string
	detail string
}

func (headerProblem *headerError) Error() string {
	return headerProblem.header + ": " + headerProblem.detail
}

// readHeaders reads and validates the headers that ibislift defines.
func (request *request) readHeaders(original *http.Request, now time.Time, dialect *dialect.Dialect, ageEstimator *pick.AgeEstimator) error {
	timeLeft, err := readDeadline(original.Header, dialect, time.Duration(request.profile.DefaultDeadline))
	if err != nil {
		return err
	}
	request.deadline = now.Add(timeLeft)
	request.callerDeadline = request.deadline
	request.objective = request.deadline
	if request.key, err = readToken(original.Header, dialect.IdempotencyKey, maxKeyLength); err != nil {
		return err
	}
	if request.tenant, err = readToken(original.Header, dialect.Tenant, maxTenantLength); err != nil {
		return err
	}
	if request.hidesKey {
		request.tenant = request.workspaceName()
	}
	if request.route != nil {
		request.applyRoute(now, ageEstimator.Estimate(request.route.Name, request.route.Timeout, timeLeft))
		return nil
	}
	request.repeatable = request.profile.Repeatable(original.Method, original.URL.Path)
	request.important = request.profile.Important(original.Method, original.URL.Path)
	request.class = "ordinary"
	if request.important {
		request.class = "important"
	}
	return nil
}

// applyRoute sets the fields that the matched route determines. age is how long
// ago the caller is estimated to have first wanted the request; it shortens the
// objective.
func (request *request) applyRoute(now time.Time, age time.Duration) {
	route := request.route
	request.repeatable = route.Repeatable
	if route.Timeout > 0 {
		request.deadline = earlier(request.deadline, now.Add(route.Timeout))
	}
	request.objective = request.deadline
	if route.Objective > 0 {
		request.objective = earlier(request.deadline, now.Add(route.Objective-age))
	}
}

// picker returns the picker that chooses targets for the request.
func (request *request) picker(service *service, random uint64) *pick.Picker {
	return &pick.Picker{
		Tracker: service.tracker, Profile: service.profile, Policy: service.policy, Warmup: service.warmup, Class: request.class,
		BodyBytes: request.bodyBytes, HasObjective: request.route != nil, Objective: request.objective,
		ObjectiveLength: request.objectiveLength(), Regions: request.regions, Random: random,
		CrossesByValue: service.profile.Crossing.IsByValue(request.hidesKey),
	}
}

// objectiveLength returns the latency objective of the request's route, or 0.
func (request *request) objectiveLength() time.Duration {
	if request.route == nil {
		return 0
	}
	return request.route.Objective
}

// remaining returns the time from the arrival of the request until at, or 0 if
// at was never set.
func (request *request) remaining(arrived, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return at.Sub(arrived)
}

func earlier(one, other time.Time) time.Time {
	if other.Before(one) {
		return other
	}
	return one
}

func readDeadline(header http.Header, dialect *dialect.Dialect, fallback time.Duration) (time.Duration, error) {
	values := header[http.CanonicalHeaderKey(dialect.Deadline)]
	if len(values) == 0 {
		return fallback, nil
	}
	if len(values) > 1 {
		return 0, &headerError{header: dialect.Deadline, detail: "must be given once"}
	}
	timeLeft, err := dialect.ParseDeadline(values[0])
	if err != nil {
		return 0, &headerError{header: dialect.Deadline, detail: err.Error()}
	}
	return timeLeft, nil
}

func readToken(header http.Header, name string, maxLength int) (string, error) {
	values := header[http.CanonicalHeaderKey(name)]
	if name == "" || len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxLength || !utf8.ValidString(values[0]) {
		return "", &headerError{header: name, detail: fmt.Sprintf("must be given once, with 1 to %d bytes of UTF-8", maxLength)}
	}
	return values[0], nil
}

// errBodyTooLarge reports that a body is longer than the profile allows.
var errBodyTooLarge = errors.New("the body is longer than the profile allows")

// readBodyByDeadline is readBody limited by the deadline of the request. The
// limit stays in force while a body is streamed.
func (request *request) readBodyByDeadline(writer http.ResponseWriter, original *http.Request) error {
	if original.Body == nil || original.Body == http.NoBody {
		return nil
	}
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(request.deadline)
	err := request.readBody(original)
	if err == nil && !request.streamed {
		_ = controller.SetReadDeadline(time.Time{})
	}
	return err
}

// readBody reads a short body completely. Of a longer one it reads the
// beginning and leaves the rest to be streamed.
func (request *request) readBody(original *http.Request) error {
	if original.ContentLength > request.profile.MaxBodyBytes {
		return errBodyTooLarge
	}
	if original.Body == nil || original.Body == http.NoBody {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(original.Body, peer.MaxInlineBodySize+1))
	if err != nil {
		return err
	}
	if int64(len(body)) > request.profile.MaxBodyBytes {
		return errBodyTooLarge
	}
	request.body = body
	request.bodyBytes = max(float64(len(body)), float64(original.ContentLength))
	request.streamed = len(body) > peer.MaxInlineBodySize || len(original.Trailer) > 0
	return nil
}

// setFingerprint computes the fingerprint that identifies the request if
// upstreams crash on it. It covers the service, the calling service and the
// idempotency key or, without a key, the method, the URI and the beginning of
// the body.
func (request *request) setFingerprint(original *http.Request, callerService string) {
	var digest xxhash.Digest
	_, _ = digest.WriteString(request.service + "\x00" + callerService + "\x00")
	if request.key != "" {
		_, _ = digest.WriteString("key\x00" + request.claimKey())
	} else {
		_, _ = digest.WriteString(original.Method + "\x00" + original.URL.RequestURI() + "\x00")
		_, _ = digest.Write(request.body)
	}
	request.fingerprint = strconv.FormatUint(digest.Sum64(), 16)
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Transfer-Encoding", "Upgrade", "Expect",
}

// upstreamHeader returns the header to forward to the upstream. It lacks the
// hop-by-hop fields and those that the daemon sets itself.
func (handler *Handler) upstreamHeader(header http.Header) http.Header {
	forwarded := endToEndHeader(header)
	for _, own := range []string{handler.Dialect.CallerService, handler.Dialect.Instance} {
		if own != "" {
			forwarded.Del(own)
		}
	}
	return forwarded
}

// endToEndHeader returns a copy of the header without hop-by-hop fields.
func endToEndHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, listed := range header["Connection"] {
		for _, name := range strings.Split(listed, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

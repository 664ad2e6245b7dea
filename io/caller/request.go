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

	"github.com/cespare/xxhash/v2"

	"ibislift/core/pick"
	"ibislift/core/profile"
	"ibislift/core/routes"
	"ibislift/io/dialect"
	"ibislift/io/peer"
)

// Limits of what a caller may send.
const (
	maxKeyLength    = 255
	maxTenantLength = 64
	maxNameLength   = 128
)

// notReadyRetryAfter is when a caller may come back to a daemon that is
// starting.
const notReadyRetryAfter = 500 * time.Millisecond

// request is a caller's request, checked, with what its profile says of it.
type request struct {
	id          string
	service     string
	class       string
	tenant      string
	key         string
	fingerprint string
	// deadline is when the caller's patience or the route's timeout ends,
	// whichever is first; objective is when the answer loses most of its worth.
	// patience is when the caller's own ends.
	deadline   time.Time
	patience   time.Time
	objective  time.Time
	repeatable bool
	important  bool
	rank       int
	rules      profile.Profile
	// route is the route that matched; it is nil without a route table.
	route *routes.Route
	// body is the whole body where it is short; longer ones are streamed.
	body     []byte
	streamed bool
}

// serviceOf is the service that a request names by its host.
func serviceOf(original *http.Request) string {
	host := original.Host
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	return strings.ToLower(host)
}

// headerProblem is a fault in one header.
type headerProblem struct {
	header string
	detail string
}

func (headerProblem *headerProblem) Error() string {
	return headerProblem.header + ": " + headerProblem.detail
}

// readHeaders checks the headers that concern ibislift.
func (request *request) readHeaders(original *http.Request, now time.Time, names *dialect.Dialect, ages *pick.AgeEstimator) error {
	left, err := readDeadline(original.Header, names, time.Duration(request.rules.DefaultDeadline))
	if err != nil {
		return err
	}
	request.deadline = now.Add(left)
	request.patience = request.deadline
	request.objective = request.deadline
	if request.key, err = readToken(original.Header, names.IdempotencyKey, maxKeyLength); err != nil {
		return err
	}
	if request.tenant, err = readToken(original.Header, names.Tenant, maxTenantLength); err != nil {
		return err
	}
	if request.route != nil {
		request.followRoute(now, ages.Estimate(request.route.Name, request.route.Timeout, left))
		return nil
	}
	request.repeatable = request.rules.Repeatable(original.Method, original.URL.Path)
	request.important = request.rules.Important(original.Method, original.URL.Path)
	request.class = "ordinary"
	if request.important {
		request.class = "important"
	}
	return nil
}

// followRoute takes what the route says of its requests.
func (request *request) followRoute(now time.Time, age time.Duration) {
	route := request.route
	request.repeatable = route.Repeatable
	request.rank = route.Rank
	request.important = route.Rank == 0
	request.class = route.Name
	if route.Timeout > 0 {
		request.deadline = earlier(request.deadline, now.Add(route.Timeout))
	}
	request.objective = request.deadline
	if route.Objective > 0 {
		request.objective = earlier(request.deadline, now.Add(route.Objective-age))
	}
}

// picker chooses the request's targets.
func (request *request) picker(service *service, random uint64) *pick.Picker {
	return &pick.Picker{
		Tracker: service.book, Profile: service.rules, Policy: service.policy, Class: request.class,
		HasObjective: request.route != nil, Objective: request.objective, Random: random,
	}
}

// left is the time from a request's arrival to one of its times, or 0 if that
// was not found out.
func (request *request) left(arrived, at time.Time) time.Duration {
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

func readDeadline(header http.Header, names *dialect.Dialect, otherwise time.Duration) (time.Duration, error) {
	values := header[http.CanonicalHeaderKey(names.Deadline)]
	if len(values) == 0 {
		return otherwise, nil
	}
	if len(values) > 1 {
		return 0, &headerProblem{header: names.Deadline, detail: "must be given once"}
	}
	left, err := names.ParseDeadline(values[0])
	if err != nil {
		return 0, &headerProblem{header: names.Deadline, detail: err.Error()}
	}
	return left, nil
}

func readToken(header http.Header, name string, longest int) (string, error) {
	values := header[http.CanonicalHeaderKey(name)]
	if name == "" || len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > longest {
		return "", &headerProblem{header: name, detail: fmt.Sprintf("must be given once, with 1 to %d characters", longest)}
	}
	return values[0], nil
}

// errTooLarge says that a body is longer than the profile allows.
var errTooLarge = errors.New("the body is longer than the profile allows")

// readBodyInTime is readBody that waits for the body until the request's
// deadline at most. A streamed body keeps that bound.
func (request *request) readBodyInTime(writer http.ResponseWriter, original *http.Request) error {
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

// readBody reads a short body whole, and leaves a longer one to be streamed.
func (request *request) readBody(original *http.Request) error {
	if original.ContentLength > request.rules.MaxBodyBytes {
		return errTooLarge
	}
	if original.Body == nil || original.Body == http.NoBody {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(original.Body, peer.MaxInlineBodySize+1))
	if err != nil {
		return err
	}
	if int64(len(body)) > request.rules.MaxBodyBytes {
		return errTooLarge
	}
	request.body = body
	request.streamed = len(body) > peer.MaxInlineBodySize || len(original.Trailer) > 0
	return nil
}

// sign gives the request the fingerprint by which it is known if it crashes
// upstreams: its key, or else its method, path and the start of its body.
func (request *request) sign(original *http.Request, from string) {
	var digest xxhash.Digest
	_, _ = digest.WriteString(request.service + "\x00" + from + "\x00")
	if request.key != "" {
		_, _ = digest.WriteString("key\x00" + request.key)
	} else {
		_, _ = digest.WriteString(original.Method + "\x00" + original.URL.RequestURI() + "\x00")
		_, _ = digest.Write(request.body)
	}
	request.fingerprint = strconv.FormatUint(digest.Sum64(), 16)
}

// hopHeaders are meant for one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Transfer-Encoding", "Upgrade", "Expect",
}

// forwarded is the header that goes on to the upstream: without what is meant
// for one connection only, and without what the daemon says itself.
func (handler *Handler) forwarded(header http.Header) http.Header {
	forwarded := forwardHeader(header)
	for _, own := range []string{handler.Dialect.CallerService, handler.Dialect.Instance} {
		if own != "" {
			forwarded.Del(own)
		}
	}
	return forwarded
}

// forwardHeader is the header without what is meant for one connection only.
func forwardHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, listed := range header["Connection"] {
		for _, name := range strings.Split(listed, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

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

	"ibislift/core/profile"
	"ibislift/io/peer"
)

// The headers of a request that concern ibislift.
const (
	IdempotencyKeyHeader = "Idempotency-Key"
	TenantHeader         = "Ibislift-Tenant"
)

// Limits of what a caller may send.
const (
	maxKeyLength    = 255
	maxTenantLength = 64
	maxDeadline     = time.Hour
)

// request is a caller's request, checked, with what its profile says of it.
type request struct {
	id          string
	service     string
	class       string
	tenant      string
	key         string
	fingerprint string
	deadline    time.Time
	repeatable  bool
	important   bool
	rules       profile.Profile
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
func (request *request) readHeaders(original *http.Request, now time.Time) error {
	left, err := readDeadline(original.Header, time.Duration(request.rules.DefaultDeadline))
	if err != nil {
		return err
	}
	request.deadline = now.Add(left)
	if request.key, err = readToken(original.Header, IdempotencyKeyHeader, maxKeyLength); err != nil {
		return err
	}
	if request.tenant, err = readToken(original.Header, TenantHeader, maxTenantLength); err != nil {
		return err
	}
	request.repeatable = request.rules.Repeatable(original.Method, original.URL.Path)
	request.important = request.rules.Important(original.Method, original.URL.Path)
	request.class = "ordinary"
	if request.important {
		request.class = "important"
	}
	return nil
}

func readDeadline(header http.Header, otherwise time.Duration) (time.Duration, error) {
	values := header[peer.DeadlineHeader]
	if len(values) == 0 {
		return otherwise, nil
	}
	left, err := time.ParseDuration(values[0])
	if len(values) > 1 || err != nil || left <= 0 || left > maxDeadline {
		return 0, &headerProblem{header: peer.DeadlineHeader, detail: "must be one duration such as 250ms, above 0 and at most 1h"}
	}
	return left, nil
}

func readToken(header http.Header, name string, longest int) (string, error) {
	values := header[http.CanonicalHeaderKey(name)]
	if len(values) == 0 {
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
	body, err := io.ReadAll(io.LimitReader(original.Body, peer.WholeSize+1))
	if err != nil {
		return err
	}
	if int64(len(body)) > request.rules.MaxBodyBytes {
		return errTooLarge
	}
	request.body = body
	request.streamed = len(body) > peer.WholeSize || len(original.Trailer) > 0
	return nil
}

// sign gives the request the fingerprint by which it is known if it crashes
// upstreams: its key, or else its method, path and the start of its body.
func (request *request) sign(original *http.Request) {
	var digest xxhash.Digest
	_, _ = digest.WriteString(request.service + "\x00")
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

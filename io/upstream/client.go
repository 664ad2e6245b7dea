// Package upstream communicates over HTTP with the upstream that runs beside
// the daemon. It controls the admission of requests, forwards them, receives the
// upstream's announcements and probes its health.
//
// The package manages its own connections instead of using http.Transport. The
// transport may send a request again when a connection breaks, even one with an
// Idempotency-Key header, and may reuse a connection on which a late response
// has arrived unread. Here each request is written once, to a connection on
// which nothing has arrived for a while. An upstream may also echo the request
// ID in each response, so that a response to another request is recognized.
//
// # Usage
//
//	client := &upstream.Client{}
//	client.SetAddress("127.0.0.1:9000")
//	response, err := client.Do(ctx, request, nil)
//	if upstream.NotHandedOver(err) {
//		// The upstream has received no part of the request.
//	}
package upstream

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"ibislift/io/dialect"
	"ibislift/io/http1"
)

// Error is the class of all errors of this package.
var Error = errs.Class("upstream")

// notHandedOver wraps an error that occurred before the first byte of the
// request was written.
type notHandedOver struct{ cause error }

func (failure *notHandedOver) Error() string { return "not handed over: " + failure.cause.Error() }

func (failure *notHandedOver) Unwrap() error { return failure.cause }

// NotHandedOver reports whether an error returned by Do proves that no part of
// the request was written to the upstream.
func NotHandedOver(err error) bool {
	var failure *notHandedOver
	return errors.As(err, &failure)
}

// errMismatchedResponse is returned for a response with the ID of another
// request, or without one where an ID is required.
var errMismatchedResponse = errors.New("the response belongs to another request")

// Client sends requests to one upstream. It is safe for concurrent use.
type Client struct {
	// Dialect defines the headers that the upstream uses; nil means the
	// product's own dialect. Set it before first use.
	Dialect *dialect.Dialect

	pool            pool
	echoesRequestID atomic.Bool
	instance        atomic.Pointer[string]
	refused         refusedRequests
	// probes is the number of health probes so far.
	probes atomic.Uint64
}

var defaultDialect = dialect.Default()

// EffectiveDialect returns Dialect, or the product's own dialect if it is nil.
func (client *Client) EffectiveDialect() *dialect.Dialect {
	if client.Dialect == nil {
		return defaultDialect
	}
	return client.Dialect
}

// SetExpectedInstance sets the instance that requests are meant for.
func (client *Client) SetExpectedInstance(instance string) { client.instance.Store(&instance) }

// ExpectedInstance returns the instance that requests are meant for, or "" if
// none is set.
func (client *Client) ExpectedInstance() string {
	if instance := client.instance.Load(); instance != nil {
		return *instance
	}
	return ""
}

// SetEchoesRequestID sets whether the upstream echoes the request ID in each
// response. If so, a response without a request ID is treated as the response to
// another request.
func (client *Client) SetEchoesRequestID(echoesRequestID bool) {
	client.echoesRequestID.Store(echoesRequestID)
}

// SetAddress sets the upstream's address.
func (client *Client) SetAddress(address string) { client.pool.setAddress(address) }

// CloseIdleConnections closes all idle connections.
func (client *Client) CloseIdleConnections() { client.pool.closeIdle() }

// minIdle returns how long a connection must be idle between two requests.
func (client *Client) minIdle() time.Duration {
	if client.echoesRequestID.Load() {
		return 0
	}
	return minIdleTime
}

// Response is a response whose body has not been read yet. The caller ends it
// with Finish, Refuse or Abort.
type Response struct {
	*http.Response

	client     *Client
	connection *connection
	// stop prevents the end of the request's context from closing the
	// connection.
	stop func() bool
	// sent receives the result of writing the request. It is nil if the request
	// has no body.
	sent <-chan error
}

// Do writes the request once and reads the header of the response. Interim
// responses are passed to the interim function, which may be nil. When the
// context ends, the connection is closed, so that the upstream can detect that
// the caller has gone.
func (client *Client) Do(ctx context.Context, request *http.Request, interim func(*http.Response)) (*Response, error) {
	return client.do(ctx, request, interim, maxIdleTime)
}

// DoNonRepeatable is like Do, for a request that may not be repeated. It reuses a
// connection only if it was in use very
// recently, because the upstream may have closed one that was idle for longer.
func (client *Client) DoNonRepeatable(ctx context.Context, request *http.Request, interim func(*http.Response)) (*Response, error) {
	return client.do(ctx, request, interim, maxIdleTimeNonRepeatable)
}

func (client *Client) do(ctx context.Context, request *http.Request, interim func(*http.Response), maxIdle time.Duration) (*Response, error) {
	connection, err := client.connectionFor(ctx, request, maxIdle)
	if err != nil {
		return nil, &notHandedOver{cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	if ctx.Err() != nil {
		stop()
		_ = connection.Close()
		return nil, &notHandedOver{cause: ctx.Err()}
	}
	response := &Response{client: client, connection: connection, stop: stop}
	if response.sent, err = send(connection, request); err == nil {
		response.Response, err = client.receive(connection, request, interim)
	}
	if err != nil {
		response.Abort()
		return nil, Error.Wrap(err)
	}
	if endsWithConnection(response.Response) {
		response.Body = &untilEndBody{ReadCloser: response.Body, writer: connection.unbuffered}
	}
	return response, nil
}

// connectionFor returns the connection on which to send a request: an idle one if it is
// safe, or else a new one.
func (client *Client) connectionFor(ctx context.Context, request *http.Request, maxIdle time.Duration) (*connection, error) {
	if client.refused.includes(request.Header.Get(client.EffectiveDialect().RequestID), time.Now()) {
		return client.pool.dial(ctx)
	}
	return client.pool.get(ctx, client.minIdle(), maxIdle)
}

// send writes the request. A request with a body is written in a goroutine of
// its own, since an upstream may respond before it has read the whole body.
func send(connection *connection, request *http.Request) (<-chan error, error) {
	if request.Body == nil {
		return nil, write(connection, request)
	}
	sent := make(chan error, 1)
	go func() { sent <- write(connection, request) }()
	return sent, nil
}

func write(connection *connection, request *http.Request) error {
	if err := request.Write(connection.writer); err != nil {
		_ = connection.Close()
		return err
	}
	return connection.writer.Flush()
}

// receive reads responses until the final response to the request. It skips
// stray responses and passes interim responses on.
func (client *Client) receive(connection *connection, request *http.Request, interim func(*http.Response)) (*http.Response, error) {
	connection.head.remaining = maxHeadBytes
	for extra := 0; ; extra++ {
		if extra > maxExtraResponses {
			return nil, errTooManyResponses
		}
		response, err := connection.readHead(request)
		if err != nil {
			return nil, err
		}
		if !isResponseStatus(response.StatusCode) {
			return nil, errUnexpectedStatus
		}
		if response.StatusCode >= http.StatusOK {
			if client.isStray(request, response) {
				if err := discard(response); err != nil {
					return nil, err
				}
				continue
			}
			connection.recordKeepAlive(response)
			return response, client.checkRequestID(request, response)
		}
		if interim != nil && response.StatusCode != http.StatusContinue && !client.namesAnother(request, response) {
			interim(response)
		}
	}
}

// errUnexpectedStatus is returned for a status that no request can have asked for.
var errUnexpectedStatus = errors.New("the status is not one of a response")

// isResponseStatus reports whether a status is one of an interim or final response.
// Requests are sent without the Upgrade header, so an upstream has no reason to switch
// protocols.
func isResponseStatus(status int) bool {
	return http1.IsInterimStatus(status) || http1.IsFinalStatus(status)
}

// isStray reports whether a response has the ID of another request, as a late
// or duplicate response to an earlier request of the connection does, and can be
// skipped because its length is known.
func (client *Client) isStray(request *http.Request, response *http.Response) bool {
	hasLength := response.ContentLength >= 0 && !response.Close
	return client.echoesRequestID.Load() && hasLength && client.namesAnother(request, response)
}

// namesAnother reports whether a response has the ID of another request.
func (client *Client) namesAnother(request *http.Request, response *http.Response) bool {
	requestID := response.Header.Get(client.EffectiveDialect().RequestID)
	return requestID != "" && requestID != request.Header.Get(client.EffectiveDialect().RequestID)
}

// maxStrayBytes is the largest stray response that is read to reach the next
// one.
const maxStrayBytes = 1 << 20

func discard(response *http.Response) error {
	if response.ContentLength > maxStrayBytes {
		return errMismatchedResponse
	}
	_, err := io.Copy(io.Discard, response.Body)
	return err
}

// checkRequestID returns an error if a response has the ID of another request,
// or none where the upstream echoes IDs. Responses to health probes need no ID.
func (client *Client) checkRequestID(request *http.Request, response *http.Response) error {
	requestID := response.Header.Get(client.EffectiveDialect().RequestID)
	matches := requestID == request.Header.Get(client.EffectiveDialect().RequestID)
	isProbe := strings.HasPrefix(request.Header.Get(client.EffectiveDialect().RequestID), probePrefix)
	if matches || requestID == "" && (isProbe || !client.echoesRequestID.Load()) {
		return nil
	}
	return errMismatchedResponse
}

// Finish returns the connection to the pool after the body has been read to its
// end. A connection that can't be reused is closed.
func (response *Response) Finish() {
	if !response.stop() || response.Close || !response.bodySent() {
		response.Abort()
		return
	}
	response.client.pool.put(response.connection)
}

// bodySent reports whether the request's body has been written without error.
func (response *Response) bodySent() bool {
	if response.sent == nil {
		return true
	}
	select {
	case err := <-response.sent:
		return err == nil
	default:
		return false
	}
}

// Refuse is Abort for a response that says that the request has not been executed.
func (response *Response) Refuse() {
	response.client.refused.add(response.Request.Header.Get(response.client.EffectiveDialect().RequestID), time.Now())
	response.Abort()
}

// Abort closes the connection.
func (response *Response) Abort() {
	response.stop()
	_ = response.connection.Close()
}

// IsDown reports whether nothing listens at the upstream's address, which is
// the case if it refuses a connection.
func (client *Client) IsDown(ctx context.Context) bool {
	connection, err := client.pool.dial(ctx)
	if err == nil {
		_ = connection.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// ProbeResult is what a response to a health probe says. The zero value stands for a
// probe without a response.
type ProbeResult struct {
	// Healthy is set if the response was a success.
	Healthy bool
	// Load is the load that the upstream reported, or nil if it reported none.
	Load   *dialect.Load
	Header http.Header
	// Instance is the instance that the probe was meant for, and SentAt when it was sent.
	Instance string
	SentAt   time.Time
}

// Probe requests the upstream's health path.
func (client *Client) Probe(ctx context.Context, path string) ProbeResult {
	instance, sentAt := client.ExpectedInstance(), time.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://upstream"+path, nil)
	if err != nil {
		return ProbeResult{}
	}
	request.Header.Set(client.EffectiveDialect().RequestID, probeRequestID(client.probes.Add(1)))
	response, err := client.Do(ctx, request, nil)
	if err != nil {
		return ProbeResult{}
	}
	count, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes))
	if err != nil {
		response.Abort()
		return ProbeResult{}
	}
	if count < maxProbeBytes {
		response.Finish()
	} else {
		// The rest of the body would be read as the response to the next request.
		response.Abort()
	}
	result := ProbeResult{Healthy: response.StatusCode < http.StatusMultipleChoices, Header: response.Header, Instance: instance, SentAt: sentAt}
	if parse := client.EffectiveDialect().ParseLoad; parse != nil {
		if reported, found := parse(response.Header); found {
			result.Load = &reported
		}
	}
	return result
}

// probePrefix begins the request IDs of health probes. It is random, since callers may
// choose the IDs of their requests.
var probePrefix = "probe-" + rand.Text() + "-"

// probeRequestID returns the request ID of a health probe. Each has its own, so that the
// response to an earlier one is recognized.
func probeRequestID(number uint64) string { return probePrefix + strconv.FormatUint(number, 10) }

const (
	probeTimeout  = time.Second
	maxProbeBytes = 4 << 10
)

var _ net.Conn = (*connection)(nil)

// Package upstream speaks HTTP with the upstream beside the daemon: it passes
// requests on, takes announcements, and probes.
//
// Requests go over connections of our own and not over http.Transport. The
// transport sends a request again by itself when a connection breaks, also one
// with an Idempotency-Key, and may reuse a connection that has an unread late
// answer on it. Here each request is written once, to a connection on which
// nothing has arrived for a while, and an upstream may name in each answer the
// request that it belongs to.
//
// # Usage
//
//	client := &upstream.Client{}
//	client.Retarget("127.0.0.1:9000")
//	answer, err := client.Do(ctx, request, nil)
//	if upstream.NotHandedOver(err) {
//		// proof that the upstream has not seen the request
//	}
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("upstream")

// RequestIDHeader names the header that carries a request's name.
const RequestIDHeader = "Ibislift-Request-Id"

// notHandedOver marks errors that come before the first byte is written.
type notHandedOver struct{ cause error }

func (failure *notHandedOver) Error() string { return "not handed over: " + failure.cause.Error() }

func (failure *notHandedOver) Unwrap() error { return failure.cause }

// NotHandedOver says whether an error of Do is proof that nothing of the
// request was written to the upstream.
func NotHandedOver(err error) bool {
	var failure *notHandedOver
	return errors.As(err, &failure)
}

// errCrossed says that an answer names another request.
var errCrossed = errors.New("the answer belongs to another request")

// Client sends requests to one upstream. It may be used by many goroutines.
type Client struct {
	pool   pool
	echoes atomic.Bool
}

// ExpectEcho says whether the upstream names in each answer the request that
// it belongs to. Then an answer that names none is taken for another's.
func (client *Client) ExpectEcho(echoes bool) { client.echoes.Store(echoes) }

// Retarget sets the upstream's address.
func (client *Client) Retarget(address string) { client.pool.retarget(address) }

// Reset drops all idle connections.
func (client *Client) Reset() { client.pool.reset() }

// rest is how long a connection has to rest between two requests.
func (client *Client) rest() time.Duration {
	if client.echoes.Load() {
		return 0
	}
	return quietTime
}

// Answer is an answer whose body is still to be read.
type Answer struct {
	*http.Response

	client *Client
	used   *connection
	stop   func() bool
	sent   <-chan error
}

// Do writes the request once and reads the head of its answer. Interim answers
// go to the interim function, which may be nil. The end of the context closes
// the connection, by which the upstream learns that nobody waits any more.
func (client *Client) Do(ctx context.Context, request *http.Request, interim func(*http.Response)) (*Answer, error) {
	used, err := client.pool.get(ctx, client.rest())
	if err != nil {
		return nil, &notHandedOver{cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = used.Close() })
	if ctx.Err() != nil {
		stop()
		_ = used.Close()
		return nil, &notHandedOver{cause: ctx.Err()}
	}
	answer := &Answer{client: client, used: used, stop: stop}
	if answer.sent, err = send(used, request); err == nil {
		answer.Response, err = client.receive(used, request, interim)
	}
	if err != nil {
		answer.Abort()
		return nil, Error.Wrap(err)
	}
	return answer, nil
}

// send writes the request. A body is written beside the reading of the answer,
// since an upstream may answer before it has read the whole.
func send(used *connection, request *http.Request) (<-chan error, error) {
	if request.Body == nil {
		return nil, write(used, request)
	}
	sent := make(chan error, 1)
	go func() { sent <- write(used, request) }()
	return sent, nil
}

func write(used *connection, request *http.Request) error {
	if err := request.Write(used.writer); err != nil {
		_ = used.Close()
		return err
	}
	return used.writer.Flush()
}

func (client *Client) receive(used *connection, request *http.Request, interim func(*http.Response)) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(used.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 || response.StatusCode == http.StatusSwitchingProtocols {
			return response, client.checkOwner(request, response)
		}
		if interim != nil && response.StatusCode != http.StatusContinue {
			interim(response)
		}
	}
}

// checkOwner refuses an answer that names another request than its own.
func (client *Client) checkOwner(request *http.Request, response *http.Response) error {
	named := response.Header.Get(RequestIDHeader)
	owned := named == request.Header.Get(RequestIDHeader)
	if owned || named == "" && !client.echoes.Load() {
		return nil
	}
	return errCrossed
}

// Finish gives the connection back after the body has been read to its end.
func (answer *Answer) Finish() {
	if !answer.stop() || answer.Close || !answer.bodySent() {
		answer.Abort()
		return
	}
	answer.client.pool.put(answer.used)
}

func (answer *Answer) bodySent() bool {
	if answer.sent == nil {
		return true
	}
	select {
	case err := <-answer.sent:
		return err == nil
	default:
		return false
	}
}

// Abort closes the connection.
func (answer *Answer) Abort() {
	answer.stop()
	_ = answer.used.Close()
}

// IsDown says whether nothing listens at the upstream's address.
func (client *Client) IsDown(ctx context.Context) bool {
	probe, err := client.pool.dial(ctx)
	if err == nil {
		_ = probe.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Probe asks the upstream's health path, and says whether it answered with a
// success.
func (client *Client) Probe(ctx context.Context, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://upstream"+path, nil)
	if err != nil {
		return false
	}
	request.Header.Set(RequestIDHeader, probeID)
	answer, err := client.Do(ctx, request, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, io.LimitReader(answer.Body, maxProbeBytes))
	if err != nil {
		answer.Abort()
		return false
	}
	answer.Finish()
	return answer.StatusCode < http.StatusMultipleChoices
}

// probeID is what probes carry as the name of their request.
const probeID = "probe"

const (
	probeTimeout  = time.Second
	maxProbeBytes = 4 << 10
)

var _ net.Conn = (*connection)(nil)

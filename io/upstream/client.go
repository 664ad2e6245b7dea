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

	"ibislift/io/dialect"
)

// Error is the class of all errors of this package.
var Error = errs.Class("upstream")

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
	// Dialect is how the upstream speaks; nil means the product's own way. Set
	// it before first use.
	Dialect *dialect.Dialect

	pool     pool
	echoes   atomic.Bool
	instance atomic.Pointer[string]
}

var ownNames = dialect.Own()

// Names is how the upstream speaks: the Dialect, or the product's own way.
func (client *Client) Names() *dialect.Dialect {
	if client.Dialect == nil {
		return ownNames
	}
	return client.Dialect
}

// Expect names the instance that the upstream is meant to be.
func (client *Client) Expect(instance string) { client.instance.Store(&instance) }

// Expected is the instance that the upstream is meant to be.
func (client *Client) Expected() string {
	if instance := client.instance.Load(); instance != nil {
		return *instance
	}
	return ""
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
	return client.do(ctx, request, interim, maxIdleTime)
}

// DoOnce is Do for a request that may not be repeated. It takes only a
// connection that was in use a moment ago, since the upstream may have dropped
// one that was idle for longer.
func (client *Client) DoOnce(ctx context.Context, request *http.Request, interim func(*http.Response)) (*Answer, error) {
	return client.do(ctx, request, interim, maxIdleTimeOnce)
}

func (client *Client) do(ctx context.Context, request *http.Request, interim func(*http.Response), idleFor time.Duration) (*Answer, error) {
	used, err := client.pool.get(ctx, client.rest(), idleFor)
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
			if client.isStray(request, response) {
				if err := skip(response); err != nil {
					return nil, err
				}
				continue
			}
			used.noteTimeout(response)
			return response, client.checkOwner(request, response)
		}
		if interim != nil && response.StatusCode != http.StatusContinue {
			interim(response)
		}
	}
}

// isStray says whether an answer names an earlier request of the connection:
// one that came late, or twice.
func (client *Client) isStray(request *http.Request, response *http.Response) bool {
	named := response.Header.Get(client.Names().RequestID)
	framed := response.ContentLength >= 0 && !response.Close
	return client.echoes.Load() && framed && named != "" && named != request.Header.Get(client.Names().RequestID)
}

// maxStrayBytes bounds a stray answer that is read to get at the next one.
const maxStrayBytes = 1 << 20

func skip(response *http.Response) error {
	if response.ContentLength > maxStrayBytes {
		return errCrossed
	}
	_, err := io.Copy(io.Discard, response.Body)
	return err
}

// checkOwner refuses an answer that names another request than its own. Health
// checks are not requests, and their answers may name none.
func (client *Client) checkOwner(request *http.Request, response *http.Response) error {
	named := response.Header.Get(client.Names().RequestID)
	owned := named == request.Header.Get(client.Names().RequestID)
	isProbe := request.Header.Get(client.Names().RequestID) == probeID
	if owned || named == "" && (isProbe || !client.echoes.Load()) {
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

// Probe asks the upstream's health path. It says whether it answered with a
// success, and what it told of its load, if it tells.
func (client *Client) Probe(ctx context.Context, path string) (healthy bool, load *dialect.Load) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://upstream"+path, nil)
	if err != nil {
		return false, nil
	}
	request.Header.Set(client.Names().RequestID, probeID)
	answer, err := client.Do(ctx, request, nil)
	if err != nil {
		return false, nil
	}
	_, err = io.Copy(io.Discard, io.LimitReader(answer.Body, maxProbeBytes))
	if err != nil {
		answer.Abort()
		return false, nil
	}
	answer.Finish()
	if parse := client.Names().ParseLoad; parse != nil {
		if told, is := parse(answer.Header); is {
			load = &told
		}
	}
	return answer.StatusCode < http.StatusMultipleChoices, load
}

// probeID is what probes carry as the name of their request.
const probeID = "probe"

const (
	probeTimeout  = time.Second
	maxProbeBytes = 4 << 10
)

var _ net.Conn = (*connection)(nil)

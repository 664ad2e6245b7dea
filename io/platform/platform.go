// Package platform speaks HTTP and JSON with the platform's object API.
//
// A call ends in one of the ways of kernel.PlatformStatus. The difference
// between refused and unknown matters most: refused is proof that a write has
// had no effect, and is told only when the platform said so or could not be
// connected to.
//
// # Usage
//
//	client := &platform.Client{Address: "127.0.0.1:7000"}
//	result := client.Do(ctx, kernel.ReadObject{Name: "config/profiles/fast"})
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"ibislift/core/kernel"
	"ibislift/io/tcp"
)

// Error is the class of all errors of this package.
var Error = errs.Class("platform")

// callTimeout bounds a call that does not wait on purpose.
const callTimeout = 2 * time.Second

// Object is an object as it travels.
type Object struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Body    json.RawMessage `json:"body"`
}

// List is the answer to a list or a watch.
type List struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Codec writes calls and reads answers in the form that a platform speaks.
type Codec interface {
	// Request writes a call. After continues a list behind a name; it is empty
	// for the first part. It returns nil for a call that the platform lacks.
	Request(call kernel.PlatformCall, after string) *http.Request
	// Result reads an answer. After is the name behind which a list goes on,
	// or empty when it is whole.
	Result(call kernel.PlatformCall, response *http.Response) (result kernel.PlatformResult, after string, err error)
}

// Client makes calls of the object API. Set the fields before first use. It
// may be used by many goroutines.
type Client struct {
	// Address is the platform's host:port.
	Address string
	// Codec is the platform's form; nil means the product's own.
	Codec Codec
	// HTTP is the client to use; nil means one with the package's defaults.
	HTTP *http.Client
	// Log takes answers that cannot be read; nil means the default logger.
	Log *slog.Logger
	// Count, if it is set, is told of each call that ended: its kind and its
	// result, in lower camel case.
	Count func(kind, result string)

	reads  atomic.Uint64
	writes atomic.Uint64
}

var defaultHTTP = &http.Client{Transport: &http.Transport{
	DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return tcp.Dial(ctx, address) },
	MaxIdleConnsPerHost: 2,
	IdleConnTimeout:     idleConnTimeout,
	DisableCompression:  true,
}}

// idleConnTimeout is how long an idle connection is kept: long enough for the
// calls of one exchange.
const idleConnTimeout = 2 * time.Second

// maxParts bounds the parts of one list.
const maxParts = 64

// Calls is the number of reads and writes made so far. A waiting watch counts
// as one read.
func (client *Client) Calls() (reads, writes uint64) {
	return client.reads.Load(), client.writes.Load()
}

// Do makes one call. A list is read to its end.
func (client *Client) Do(ctx context.Context, call kernel.PlatformCall) kernel.PlatformResult {
	var whole kernel.PlatformResult
	after := ""
	for part := 0; part < maxParts; part++ {
		result, next := client.once(ctx, call, after)
		result.Objects = append(whole.Objects, result.Objects...)
		whole = result
		if whole.Status != kernel.PlatformOK || next == "" {
			return whole
		}
		after = next
	}
	client.log().Warn("a list of the platform has too many parts", "parts", maxParts)
	return kernel.PlatformResult{Status: kernel.PlatformUnknown}
}

// once makes one request and counts it.
func (client *Client) once(ctx context.Context, call kernel.PlatformCall, after string) (kernel.PlatformResult, string) {
	client.count(call)
	result, next := client.exchange(ctx, call, after)
	if client.Count != nil {
		client.Count(kernel.CallKind(call), result.Status.String())
	}
	return result, next
}

// exchange sends one request and reads its answer.
func (client *Client) exchange(ctx context.Context, call kernel.PlatformCall, after string) (kernel.PlatformResult, string) {
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(call))
	defer cancel()
	request := client.codec().Request(call, after)
	if request == nil {
		return kernel.PlatformResult{Status: kernel.PlatformRefused}, ""
	}
	request.URL.Scheme = "http"
	request.URL.Host = client.Address
	// Without a way to read the body again the transport never repeats a
	// write by itself.
	request.GetBody = nil
	response, err := client.http().Do(request.WithContext(ctx))
	if err != nil {
		return kernel.PlatformResult{Status: statusOfError(err)}, ""
	}
	defer func() { _ = response.Body.Close() }()
	if status, ended := statusOfAnswer(response); ended {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscard))
		return kernel.PlatformResult{Status: status}, ""
	}
	result, next, err := client.codec().Result(call, response)
	if err != nil {
		client.log().Warn("an answer of the platform cannot be read", "status", response.StatusCode, "error", err)
		return kernel.PlatformResult{Status: kernel.PlatformUnknown}, ""
	}
	return result, next
}

// maxDiscard bounds what is read of an answer that tells nothing, so that its
// connection can be used again.
const maxDiscard = 4 << 10

func (client *Client) count(call kernel.PlatformCall) {
	switch call.(type) {
	case kernel.WriteObject, kernel.DeleteObject:
		client.writes.Add(1)
	default:
		client.reads.Add(1)
	}
}

func timeoutOf(call kernel.PlatformCall) time.Duration {
	if watch, is := call.(kernel.WatchObjects); is {
		return watch.Wait + callTimeout
	}
	return callTimeout
}

func (client *Client) codec() Codec {
	if client.Codec != nil {
		return client.Codec
	}
	return ownCodec{}
}

func (client *Client) http() *http.Client {
	if client.HTTP != nil {
		return client.HTTP
	}
	return defaultHTTP
}

func (client *Client) log() *slog.Logger {
	if client.Log != nil {
		return client.Log
	}
	return slog.Default()
}

// statusOfError tells a call that never reached the platform from one that may
// have.
func statusOfError(err error) kernel.PlatformStatus {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return kernel.PlatformRefused
	}
	return kernel.PlatformUnknown
}

// statusOfAnswer reads the statuses that every form shares and that have no
// body of interest.
func statusOfAnswer(response *http.Response) (kernel.PlatformStatus, bool) {
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusConflict, http.StatusPreconditionFailed:
		return kernel.PlatformOK, false
	case http.StatusNoContent:
		return kernel.PlatformOK, true
	case http.StatusNotFound:
		return kernel.PlatformNotFound, true
	case http.StatusGone:
		return kernel.PlatformGone, true
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return kernel.PlatformRefused, true
	default:
		return kernel.PlatformUnknown, true
	}
}

// Package platform is a client of the platform's object API, which uses JSON over
// HTTP.
//
// A call ends with one of the values of kernel.PlatformStatus. The difference
// between kernel.PlatformNotExecuted and kernel.PlatformUnknown matters most.
// PlatformNotExecuted proves that a write had no effect. It is returned only if the
// call was not sent, because no connection could be opened or the codec does not
// support it, or if the platform refused it.
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

// InvalidObjectError is the class of the errors that a Codec returns for an
// object of a reply that could not be decoded. The result of the call holds the
// other objects.
var InvalidObjectError = errs.Class("invalid object")

// callTimeout limits a call, not counting the time that a watch waits for
// changes.
const callTimeout = 2 * time.Second

// revisionTimeout limits a kernel.ReadRevision, whose reply is small, so that a
// platform that does not reply is noticed soon.
const revisionTimeout = time.Second

// Object is the encoding of an object.
type Object struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Body    json.RawMessage `json:"body"`
}

// List is the encoding of the reply to a list or a watch.
type List struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Codec encodes calls and decodes replies in a platform's format.
type Codec interface {
	// Request returns the HTTP request for a call. A list continues after the
	// name in after, which is empty for the first page. Request returns nil if
	// the platform does not support the call.
	Request(call kernel.PlatformCall, after string) *http.Request
	// Result decodes a reply. After is the name after which a list continues,
	// or empty if the list is complete. An InvalidObjectError comes with a
	// result that lacks the invalid objects.
	Result(call kernel.PlatformCall, response *http.Response) (result kernel.PlatformResult, after string, err error)
	// Era returns the era that a reply states, whatever its status, or 0 if the
	// platform has no eras.
	Era(response *http.Response) uint64
}

// Client calls the object API. Set its fields before the first use. A Client is
// safe for concurrent use by multiple goroutines.
type Client struct {
	// Address is the platform's host:port.
	Address string
	// Codec is the platform's format. The default, nil, is ibislift's own.
	Codec Codec
	// HTTP is the client to use. If it is nil, the package's default client is
	// used.
	HTTP *http.Client
	// Log receives reports of replies that cannot be decoded and of lists with
	// too many pages. If it is nil, the default logger is used.
	Log *slog.Logger
	// OnCallEnd, if it is set, is called at the end of each request with the
	// kind and the result of the call, both in lower camel case.
	OnCallEnd func(kind, result string)

	reads  atomic.Uint64
	writes atomic.Uint64
	// lastInvalid is the text of the last InvalidObjectError that was logged.
	lastInvalid atomic.Pointer[string]
}

var defaultHTTP = &http.Client{Transport: &http.Transport{
	DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return tcp.Dial(ctx, address) },
	MaxIdleConnsPerHost: 2,
	IdleConnTimeout:     idleConnTimeout,
	DisableCompression:  true,
}}

// idleConnTimeout limits how long an idle connection is kept. It is long enough
// for a series of calls to reuse one connection.
const idleConnTimeout = 2 * time.Second

// maxPages limits the number of pages of a list.
const maxPages = 64

// Calls returns the number of reads and writes made so far. A watch counts as one
// read, however long it waits.
func (client *Client) Calls() (reads, writes uint64) {
	return client.reads.Load(), client.writes.Load()
}

// Do makes a call. It reads all pages of a list.
func (client *Client) Do(ctx context.Context, call kernel.PlatformCall) kernel.PlatformResult {
	var combined kernel.PlatformResult
	after := ""
	for page := 0; page < maxPages; page++ {
		result, next := client.doPage(ctx, call, after)
		if page > 0 && result.Era != combined.Era {
			// The pages are of different copies.
			return kernel.PlatformResult{Status: kernel.PlatformUnknown, Era: result.Era}
		}
		result.Objects = append(combined.Objects, result.Objects...)
		combined = result
		if combined.Status != kernel.PlatformOK || next == "" {
			return combined
		}
		after = next
	}
	// The log field for the number of pages is called parts.
	client.log().Warn("platform list has too many pages", "parts", maxPages)
	return kernel.PlatformResult{Status: kernel.PlatformUnknown}
}

// doPage requests one page of a call and counts the request.
func (client *Client) doPage(ctx context.Context, call kernel.PlatformCall, after string) (kernel.PlatformResult, string) {
	client.count(call)
	result, next := client.roundTrip(ctx, call, after)
	if client.OnCallEnd != nil {
		client.OnCallEnd(kernel.CallKind(call), resultLabel(result))
	}
	return result, next
}

// resultLabel returns the result of a call as it appears in the metrics.
func resultLabel(result kernel.PlatformResult) string {
	if result.Invalid > 0 {
		return "invalid"
	}
	return result.Status.String()
}

// roundTrip sends one request and decodes the reply.
func (client *Client) roundTrip(ctx context.Context, call kernel.PlatformCall, after string) (kernel.PlatformResult, string) {
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(call))
	defer cancel()
	request := client.codec().Request(call, after)
	if request == nil {
		return kernel.PlatformResult{Status: kernel.PlatformNotExecuted}, ""
	}
	request.URL.Scheme = "http"
	request.URL.Host = client.Address
	// The transport cannot retry a write on its own without GetBody.
	request.GetBody = nil
	response, err := client.http().Do(request.WithContext(ctx))
	if err != nil {
		client.log().Debug("platform did not reply", "method", request.Method, "path", request.URL.Path, "error", err)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// Other connections that were opened earlier may be silent too.
			client.http().CloseIdleConnections()
		}
		return kernel.PlatformResult{Status: statusOfError(err)}, ""
	}
	defer func() { _ = response.Body.Close() }()
	era := client.codec().Era(response)
	if status, ended := statusOfReply(call, response); ended {
		if status == kernel.PlatformNotExecuted || status == kernel.PlatformUnknown {
			client.log().Debug("platform refused a call", "method", request.Method, "path", request.URL.Path, "status", response.StatusCode)
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardBytes))
		return kernel.PlatformResult{Status: status, Era: era}, ""
	}
	result, next, err := client.codec().Result(call, response)
	result.Era = era
	if InvalidObjectError.Has(err) {
		client.logInvalid(err)
		return result, next
	}
	if err != nil {
		client.log().Warn("cannot decode platform reply", "status", response.StatusCode, "error", err)
		return kernel.PlatformResult{Status: kernel.PlatformUnknown, Era: era}, ""
	}
	return result, next
}

// logInvalid logs an object that cannot be decoded, once for each error, since the
// same object is read again and again.
func (client *Client) logInvalid(err error) {
	text := err.Error()
	if last := client.lastInvalid.Swap(&text); last == nil || *last != text {
		client.log().Error("platform object is not used because it is invalid", "error", err)
	}
}

// maxDiscardBytes limits how much of an unused reply body is read. Reading the
// body to its end lets the connection be reused.
const maxDiscardBytes = 4 << 10

// count adds a request to the number of reads or writes.
func (client *Client) count(call kernel.PlatformCall) {
	switch call.(type) {
	case kernel.WriteObject, kernel.DeleteObject:
		client.writes.Add(1)
	default:
		client.reads.Add(1)
	}
}

func timeoutOf(call kernel.PlatformCall) time.Duration {
	switch call := call.(type) {
	case kernel.WatchObjects:
		return call.Wait + callTimeout
	case kernel.ReadRevision:
		return revisionTimeout
	default:
		return callTimeout
	}
}

func (client *Client) codec() Codec {
	if client.Codec != nil {
		return client.Codec
	}
	return defaultCodec{}
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

// statusOfError returns PlatformNotExecuted for a call that never reached the
// platform and PlatformUnknown for one that may have reached it.
func statusOfError(err error) kernel.PlatformStatus {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return kernel.PlatformNotExecuted
	}
	return kernel.PlatformUnknown
}

// statusOfReply returns the result of a reply whose HTTP status means the same
// for every codec. It reports false if the codec has to decode the body. A status that
// the call does not expect proves nothing: a list without a body would seem empty, and a
// write without one would have no version.
func statusOfReply(call kernel.PlatformCall, response *http.Response) (kernel.PlatformStatus, bool) {
	_, isWrite := call.(kernel.WriteObject)
	_, isDelete := call.(kernel.DeleteObject)
	switch response.StatusCode {
	case http.StatusOK:
		return kernel.PlatformOK, false
	case http.StatusCreated:
		return kernel.PlatformUnknown, !isWrite
	case http.StatusConflict, http.StatusPreconditionFailed:
		return kernel.PlatformUnknown, !isWrite && !isDelete
	case http.StatusNoContent:
		if isDelete {
			return kernel.PlatformOK, true
		}
		return kernel.PlatformUnknown, true
	case http.StatusNotFound:
		return kernel.PlatformNotFound, true
	case http.StatusGone:
		return kernel.PlatformHistoryLost, true
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return kernel.PlatformNotExecuted, true
	default:
		return kernel.PlatformUnknown, true
	}
}

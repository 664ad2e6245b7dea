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
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"ibislift/core/kernel"
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

// Client makes calls of the object API. Set the fields before first use. It
// may be used by many goroutines.
type Client struct {
	// Address is the platform's host:port.
	Address string
	// HTTP is the client to use; nil means one with the package's defaults.
	HTTP *http.Client

	reads  atomic.Uint64
	writes atomic.Uint64
}

var defaultHTTP = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	MaxIdleConnsPerHost: 8,
	IdleConnTimeout:     time.Minute,
}}

// Calls is the number of reads and writes made so far. A waiting watch counts
// as one read.
func (client *Client) Calls() (reads, writes uint64) {
	return client.reads.Load(), client.writes.Load()
}

// Do makes one call.
func (client *Client) Do(ctx context.Context, call kernel.PlatformCall) kernel.PlatformResult {
	switch call := call.(type) {
	case kernel.WriteObject:
		return client.write(ctx, call)
	case kernel.DeleteObject:
		client.writes.Add(1)
		return client.send(ctx, callTimeout, http.MethodDelete, objectPath(call.Name), nil, nil)
	case kernel.ReadObject:
		client.reads.Add(1)
		return client.send(ctx, callTimeout, http.MethodGet, objectPath(call.Name), nil, nil)
	case kernel.ListObjects:
		client.reads.Add(1)
		return client.send(ctx, callTimeout, http.MethodGet, "/objects?prefix="+url.QueryEscape(call.Prefix), nil, nil)
	case kernel.WatchObjects:
		client.reads.Add(1)
		path := fmt.Sprintf("/watch?prefix=%s&revision=%d&wait=%s", url.QueryEscape(call.Prefix), call.Revision, call.Wait)
		return client.send(ctx, call.Wait+callTimeout, http.MethodGet, path, nil, nil)
	default:
		return kernel.PlatformResult{Status: kernel.PlatformRefused}
	}
}

func (client *Client) write(ctx context.Context, call kernel.WriteObject) kernel.PlatformResult {
	client.writes.Add(1)
	header := http.Header{}
	if call.Base == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", strconv.FormatUint(call.Base, 10))
	}
	result := client.send(ctx, callTimeout, http.MethodPut, objectPath(call.Name), header, call.Body)
	if result.Status == kernel.PlatformOK {
		result.Object.Body = call.Body
	}
	return result
}

func objectPath(name string) string { return "/objects/" + name }

func (client *Client) send(ctx context.Context, timeout time.Duration, method, path string, header http.Header, body []byte) kernel.PlatformResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+client.Address+path, bytes.NewReader(body))
	if err != nil {
		return kernel.PlatformResult{Status: kernel.PlatformRefused}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	// Without a way to read the body again the transport never repeats a
	// write by itself.
	request.GetBody = nil
	response, err := client.http().Do(request)
	if err != nil {
		return kernel.PlatformResult{Status: statusOfError(err)}
	}
	defer func() { _ = response.Body.Close() }()
	return read(response)
}

func (client *Client) http() *http.Client {
	if client.HTTP != nil {
		return client.HTTP
	}
	return defaultHTTP
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

func read(response *http.Response) kernel.PlatformResult {
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
	case http.StatusNotFound:
		return kernel.PlatformResult{Status: kernel.PlatformAbsent}
	case http.StatusConflict, http.StatusPreconditionFailed:
		return kernel.PlatformResult{Status: kernel.PlatformConflict}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return kernel.PlatformResult{Status: kernel.PlatformRefused}
	default:
		return kernel.PlatformResult{Status: kernel.PlatformUnknown}
	}
	if response.StatusCode == http.StatusNoContent {
		return kernel.PlatformResult{}
	}
	var answer struct {
		Object
		List
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return kernel.PlatformResult{Status: kernel.PlatformUnknown}
	}
	result := kernel.PlatformResult{Object: objectOf(answer.Object), Revision: answer.Revision}
	for _, object := range answer.Objects {
		result.Objects = append(result.Objects, objectOf(object))
	}
	return result
}

func objectOf(object Object) kernel.Object {
	return kernel.Object{Name: object.Name, Version: object.Version, Body: object.Body}
}

package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"ibislift/core/kernel"
)

// defaultCodec encodes the object API in ibislift's own format.
type defaultCodec struct{}

func (defaultCodec) Request(call kernel.PlatformCall, _ string) *http.Request {
	switch call := call.(type) {
	case kernel.WriteObject:
		request := newRequest(http.MethodPut, objectPath(call.Name), call.Body)
		if request != nil && call.BaseVersion == 0 {
			request.Header.Set("If-None-Match", "*")
		} else if request != nil {
			request.Header.Set("If-Match", strconv.FormatUint(call.BaseVersion, 10))
		}
		return request
	case kernel.DeleteObject:
		return newRequest(http.MethodDelete, objectPath(call.Name), nil)
	case kernel.ReadObject:
		return newRequest(http.MethodGet, objectPath(call.Name), nil)
	case kernel.ListObjects:
		return newRequest(http.MethodGet, "/objects?prefix="+url.QueryEscape(call.Prefix), nil)
	case kernel.ReadRevision:
		return newRequest(http.MethodGet, "/revision", nil)
	case kernel.WatchObjects:
		path := fmt.Sprintf("/watch?prefix=%s&revision=%d&wait=%s", url.QueryEscape(call.Prefix), call.Revision, call.Wait)
		return newRequest(http.MethodGet, path, nil)
	default:
		return nil
	}
}

func objectPath(name string) string { return "/objects/" + name }

func newRequest(method, path string, body []byte) *http.Request {
	request, err := http.NewRequest(method, path, bytes.NewReader(body))
	if err != nil {
		return nil
	}
	return request
}

// Era returns 0, since ibislift's own form has no eras.
func (defaultCodec) Era(*http.Response) uint64 { return 0 }

func (defaultCodec) Result(call kernel.PlatformCall, response *http.Response) (kernel.PlatformResult, string, error) {
	if response.StatusCode == http.StatusConflict || response.StatusCode == http.StatusPreconditionFailed {
		return kernel.PlatformResult{Status: kernel.PlatformConflict}, "", nil
	}
	var reply struct {
		Object
		Revision uint64            `json:"revision"`
		Objects  []json.RawMessage `json:"objects"`
	}
	if err := ReadReply(response.Body, &reply); err != nil {
		return kernel.PlatformResult{}, "", err
	}
	result := kernel.PlatformResult{Object: toKernel(reply.Object), Revision: reply.Revision}
	var invalid []error
	for _, encoded := range reply.Objects {
		var object Object
		if err := json.Unmarshal(encoded, &object); err != nil {
			invalid = append(invalid, err)
			continue
		}
		result.Objects = append(result.Objects, toKernel(object))
	}
	result.Invalid = len(invalid)
	if write, ok := call.(kernel.WriteObject); ok {
		result.Object.Body = write.Body
	}
	return result, "", InvalidObjectError.Wrap(errors.Join(invalid...))
}

// toKernel converts an object to the kernel's type.
func toKernel(object Object) kernel.Object {
	return kernel.Object{Name: object.Name, Version: object.Version, Body: object.Body}
}

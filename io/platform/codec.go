package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"ibislift/core/kernel"
)

// ownCodec is the product's own form of the object API.
type ownCodec struct{}

func (ownCodec) Request(call kernel.PlatformCall, _ string) *http.Request {
	switch call := call.(type) {
	case kernel.WriteObject:
		request := requestOf(http.MethodPut, objectPath(call.Name), call.Body)
		if request != nil && call.BaseVersion == 0 {
			request.Header.Set("If-None-Match", "*")
		} else if request != nil {
			request.Header.Set("If-Match", strconv.FormatUint(call.BaseVersion, 10))
		}
		return request
	case kernel.DeleteObject:
		return requestOf(http.MethodDelete, objectPath(call.Name), nil)
	case kernel.ReadObject:
		return requestOf(http.MethodGet, objectPath(call.Name), nil)
	case kernel.ListObjects:
		return requestOf(http.MethodGet, "/objects?prefix="+url.QueryEscape(call.Prefix), nil)
	case kernel.WatchObjects:
		path := fmt.Sprintf("/watch?prefix=%s&revision=%d&wait=%s", url.QueryEscape(call.Prefix), call.Revision, call.Wait)
		return requestOf(http.MethodGet, path, nil)
	default:
		return nil
	}
}

func objectPath(name string) string { return "/objects/" + name }

func requestOf(method, path string, body []byte) *http.Request {
	request, err := http.NewRequest(method, path, bytes.NewReader(body))
	if err != nil {
		return nil
	}
	return request
}

func (ownCodec) Result(call kernel.PlatformCall, response *http.Response) (kernel.PlatformResult, string, error) {
	if response.StatusCode == http.StatusConflict || response.StatusCode == http.StatusPreconditionFailed {
		return kernel.PlatformResult{Status: kernel.PlatformConflict}, "", nil
	}
	var answer struct {
		Object
		List
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return kernel.PlatformResult{}, "", Error.Wrap(err)
	}
	result := kernel.PlatformResult{Object: objectOf(answer.Object), Revision: answer.Revision}
	for _, object := range answer.Objects {
		result.Objects = append(result.Objects, objectOf(object))
	}
	if write, is := call.(kernel.WriteObject); is {
		result.Object.Body = write.Body
	}
	return result, "", nil
}

func objectOf(object Object) kernel.Object {
	return kernel.Object{Name: object.Name, Version: object.Version, Body: object.Body}
}

package operator

import (
	"net/http"
	"net/http/pprof"
	"strings"
)

// servePprof serves the runtime profiles of net/http/pprof.
func servePprof(writer http.ResponseWriter, request *http.Request) {
	switch name := strings.TrimPrefix(request.URL.Path, "/debug/pprof/"); name {
	case "profile":
		pprof.Profile(writer, request)
	case "trace":
		pprof.Trace(writer, request)
	default:
		pprof.Index(writer, request)
	}
}

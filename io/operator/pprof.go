package operator

import (
	"net/http"
	"net/http/pprof"
	"strings"
)

// profiles serves the runtime profiles of the standard library.
func profiles(writer http.ResponseWriter, request *http.Request) {
	switch name := strings.TrimPrefix(request.URL.Path, "/debug/pprof/"); name {
	case "profile":
		pprof.Profile(writer, request)
	case "trace":
		pprof.Trace(writer, request)
	default:
		pprof.Index(writer, request)
	}
}

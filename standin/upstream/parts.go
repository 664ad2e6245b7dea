package upstream

import (
	"io"
	"net/http"
	"time"
)

// stall waits for the time in the query stall, if there is one. It reports false if the
// request was cancelled meanwhile. What the upstream says of its state is not said before.
func stall(request *http.Request) bool {
	if wait, err := time.ParseDuration(request.URL.Query().Get("stall")); err == nil {
		sleep(request.Context(), wait)
	}
	return request.Context().Err() == nil
}

// parts is how a request wants its response: without a length, the head and half of the
// body first and the rest after the time in the query rest. With the query cut there is no
// rest.
type parts struct {
	requested bool
	pause     time.Duration
	cut       bool
}

func requestedParts(request *http.Request) parts {
	query := request.URL.Query()
	pause, err := time.ParseDuration(query.Get("rest"))
	return parts{requested: err == nil, pause: pause, cut: query.Has("cut")}
}

// write sends the body, or only its first half.
func (parts parts) write(writer http.ResponseWriter, text string, cut bool) {
	controller := http.NewResponseController(writer)
	_, _ = io.WriteString(writer, text[:len(text)/2])
	_ = controller.Flush()
	time.Sleep(parts.pause)
	if cut {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(writer, text[len(text)/2:])
	_ = controller.Flush()
}

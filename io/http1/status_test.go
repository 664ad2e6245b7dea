package http1_test

import (
	"io"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"ibislift/io/http1"
)

// A handler that relays a status which no response has must not send a success, nor a
// status line that callers cannot read.
func TestStatusThatNoResponseHas(t *testing.T) {
	for _, status := range []int{-1, 0, 1, 99, 600, 999, 1000} {
		for name, flush := range map[string]bool{"whole": false, "streamed": true} {
			t.Run(strconv.Itoa(status)+" "+name, func(t *testing.T) {
				conn, reader := serve(t, &http1.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
					if request.URL.Path == "/1" {
						writer.WriteHeader(status)
					}
					_, _ = io.WriteString(writer, "ok")
					if flush {
						writer.(http.Flusher).Flush()
					}
				})})
				send(t, conn, get("/1"), get("/2"))
				expectResponse(t, reader, http.StatusBadGateway, "ok")
				expectResponse(t, reader, http.StatusOK, "ok")
			})
		}
	}
	t.Run("a later status does not replace it", func(t *testing.T) {
		conn, reader := serve(t, &http1.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(0)
			writer.WriteHeader(http.StatusOK)
		})})
		send(t, conn, get("/1"))
		is.New(t).Equal(expectResponse(t, reader, http.StatusBadGateway, "").StatusCode, http.StatusBadGateway)
	})
}

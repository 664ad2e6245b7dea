package load_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/standin/load"
	"ibislift/standin/upstream"
)

// TestClientSendsOnce checks that the HTTP client never resends a request by
// itself. Otherwise one attempt ID would stand for two requests, and the outcome
// of one could be recorded for the other.
func TestClientSendsOnce(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) { testSendsOnce(t, method) })
	}
}

func testSendsOnce(t *testing.T, method string) {
	var received, broken atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		if received.Add(1)%2 == 0 {
			// Break a connection that has already served a request.
			broken.Add(1)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(writer, `{"service": "desk", "trial": %q}`, request.Header.Get(upstream.AttemptIDHeader))
	}))
	defer server.Close()
	generator := &load.Generator{Rate: 200, Seed: 1, IDPrefix: "t", MaxInFlight: 1, NextRequest: func(_ *rand.Rand, number int) load.Request {
		return load.Request{
			Address: strings.TrimPrefix(server.URL, "http://"), Service: "desk", Method: method, Path: "/entries",
			IdempotencyKey: fmt.Sprint(number), Deadline: 5 * time.Second,
		}
	}}
	report := generator.Run(200 * time.Millisecond)
	is := is.New(t)
	is.True(broken.Load() > 0)
	is.Equal(int64(len(report.Broken)), broken.Load())
	is.Equal(int64(report.Total("").Requests-report.Total("").Dropped), received.Load())
}

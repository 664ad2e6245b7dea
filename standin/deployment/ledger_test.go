package deployment

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/standin/upstream"
)

// TestLedger guards against runs that the checks don't see because the upstream and the
// reader disagree about the lines.
func TestLedger(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	server := &upstream.Server{Service: "log", Name: "log-1", Slots: 1, Ledger: &text}
	handler := server.Handler()
	before := time.Now().Truncate(time.Microsecond)
	for range 2 {
		request := httptest.NewRequest(http.MethodPost, "/logs", nil)
		request.Header.Set(upstream.AttemptIDHeader, "s1-7.0")
		handler.ServeHTTP(httptest.NewRecorder(), request)
	}
	ledger := ParseLedger(text.String())
	is.Equal(ledger.RunCounts(), map[string]int{"s1-7.0": 2})
	run := ledger.Runs[0]
	is.Equal(run.Upstream, "log-1")
	is.Equal(run.Method, http.MethodPost)
	is.True(!run.At.Before(before) && !run.At.After(time.Now()))
}

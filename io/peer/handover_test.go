package peer_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/io/dialect"
	"ibislift/io/peer"
	"ibislift/io/peer/peerpb"
	"ibislift/io/upstream"
)

// TestCancelledRunsReachTheGate guards against loads of responses and probes, and requests that
// are given up at their deadline, that the gate is not told of.
func TestCancelledRunsReachTheGate(t *testing.T) {
	is := is.New(t)
	var offset atomic.Int64 // the gate's clock, in milliseconds
	now := func() time.Time {
		return time.Unix(1_800_000_000, 0).Add(time.Duration(offset.Load()) * time.Millisecond)
	}
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/endless" {
			<-ended
			return
		}
		offset.Add(80)
		writer.Header().Set("Running", "0")
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(ended) })
	client := &upstream.Client{Dialect: dialect.Default()}
	client.Dialect.ParseLoad = func(header http.Header) (dialect.Load, bool) {
		running, err := strconv.Atoi(header.Get("Running"))
		return dialect.Load{Running: running}, err == nil
	}
	client.SetAddress(strings.TrimPrefix(server.URL, "http://"))
	gate := &upstream.Gate{Now: now, HoldCancelledRuns: true}
	gate.Resize(4, 4)
	peerServer := &peer.Server{Gate: gate, Upstream: client, Control: stubControl{service: "shop"}}
	serve := func(path string, timeLeft time.Duration) {
		head := &peerpb.CallHead{Service: "shop", Method: "GET", Target: []byte(path), Host: "shop", RemainingMicroseconds: timeLeft.Microseconds()}
		_ = peerServer.ServeStream(&recordingStream{head: head})
	}
	serve("/endless", 50*time.Millisecond)
	is.Equal(gate.Load().CancelledRuns, 0) // the upstream has reported no load
	serve("/", 10*time.Second)
	is.Equal(gate.Load().CancelledRuns, 0)
	serve("/endless", 50*time.Millisecond)
	offset.Add(20)
	for _, running := range []int{1, 0} {
		peerServer.RecordProbe(upstream.ProbeResult{Healthy: true, Load: &dialect.Load{Running: running}, SentAt: now()})
		is.Equal(gate.Load().CancelledRuns, running)
	}
}

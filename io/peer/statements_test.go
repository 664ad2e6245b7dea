package peer_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/io/peer"
	"ibislift/io/peer/peerpb"
	"ibislift/io/upstream"
)

// leavingControl is a stubControl that counts reports of a leaving upstream.
type leavingControl struct {
	stubControl
	reports *int
}

func (leavingControl leavingControl) ReportLeaving(string) { *leavingControl.reports++ }

// newStatingServer returns a server whose upstream answers all requests with the header,
// and the number of reports that it is leaving.
func newStatingServer(t *testing.T, header *http.Header) (*peer.Server, *int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				response := http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Request: request, Header: *header, Close: true}
				_ = response.Write(conn)
			}()
		}
	}()
	gate := &upstream.Gate{Now: time.Now}
	gate.Resize(4, 4)
	client := &upstream.Client{}
	client.SetAddress(listener.Addr().String())
	reports := 0
	return &peer.Server{Gate: gate, Upstream: client, Control: leavingControl{stubControl{service: "shop"}, &reports}}, &reports
}

// serve passes a request to the upstream and returns the limit that is known afterwards.
func serve(t *testing.T, server *peer.Server) admit.RateLimit {
	t.Helper()
	stream := &recordingStream{head: &peerpb.CallHead{Service: "shop", Method: "GET", Target: []byte("/"), Host: "shop", RemainingMicroseconds: 5_000_000}}
	is := is.New(t)
	is.NoErr(server.ServeStream(stream))
	is.Equal(stream.sent[0].GetHead().GetStatus(), int32(http.StatusOK))
	return server.Gate.Load().RateLimit
}

func TestStatementsOfAnUpstream(t *testing.T) {
	named := http.Header{"Ibislift-Rate-Limit": {"5"}}
	t.Run("a response names a limit, and the next one ends it", func(t *testing.T) {
		is := is.New(t)
		header := named
		server, _ := newStatingServer(t, &header)
		is.True(serve(t, server).InForce)
		header = http.Header{}
		is.True(!serve(t, server).InForce)
	})
	t.Run("a limit that is no number changes nothing", func(t *testing.T) {
		is := is.New(t)
		header := named
		server, _ := newStatingServer(t, &header)
		serve(t, server)
		header = http.Header{"Ibislift-Rate-Limit": {"few"}}
		is.Equal(serve(t, server), admit.RateLimit{InForce: true, PerSecond: 5})
	})
	t.Run("a health check names a limit and ends none", func(t *testing.T) {
		is := is.New(t)
		header := http.Header{}
		server, _ := newStatingServer(t, &header)
		server.RecordProbe(upstream.ProbeResult{Healthy: true, Header: named})
		is.True(server.Gate.Load().RateLimit.InForce)
		server.RecordProbe(upstream.ProbeResult{Healthy: true})
		is.True(server.Gate.Load().RateLimit.InForce)
	})
	t.Run("a response or a health check says how long the upstream stays cold", func(t *testing.T) {
		is := is.New(t)
		header := http.Header{"Ibislift-Warmup-Remaining": {"2.5"}}
		server, _ := newStatingServer(t, &header)
		server.Gate.SetWarmupLimit(admit.NewWarmupLimit(12, 1.5, 8, time.Second))
		serve(t, server)
		is.True(server.Gate.Load().WarmupLeft > 2*time.Second)
		server.RecordProbe(upstream.ProbeResult{Healthy: true, Header: http.Header{"Ibislift-Warmup-Remaining": {"few"}}, SentAt: time.Now()})
		is.True(server.Gate.Load().WarmupLeft > 2*time.Second)
		server.RecordProbe(upstream.ProbeResult{Healthy: true, Header: http.Header{"Ibislift-Warmup-Remaining": {"0"}}, SentAt: time.Now()})
		is.Equal(server.Gate.Load().WarmupLeft, time.Duration(0))
		server.RecordProbe(upstream.ProbeResult{Healthy: true, Header: header, SentAt: time.Now()})
		is.True(server.Gate.Load().WarmupLeft > 2*time.Second)
	})
	t.Run("a response or a health check says that the upstream is leaving", func(t *testing.T) {
		is := is.New(t)
		header := http.Header{"Ibislift-Leaving": {"1"}}
		server, reports := newStatingServer(t, &header)
		serve(t, server)
		is.Equal(*reports, 1)
		server.RecordProbe(upstream.ProbeResult{Healthy: true, Header: header})
		is.Equal(*reports, 2)
		server.RecordProbe(upstream.ProbeResult{Healthy: true})
		is.Equal(*reports, 2)
	})
}

package peer_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/io/peer"
)

// receivedReport holds the arguments of Reporter.OnReport.
type receivedReport struct {
	from, service string
	load          admit.Load
}

// newReporter starts a reporter on a free port of the loopback interface and
// returns its address.
func newReporter(t *testing.T, load func() admit.Load, received func(receivedReport), options ...func(*peer.Reporter)) (*peer.Reporter, string) {
	t.Helper()
	listener, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	address := listener.LocalAddr().String()
	is.New(t).NoErr(listener.Close())
	reporter := &peer.Reporter{
		Self:         "gate",
		Service:      func() string { return "shop" },
		Load:         load,
		InSameRegion: func(string) bool { return true },
		OnReport:     func(from, service string, load admit.Load) { received(receivedReport{from, service, load}) },
	}
	for _, option := range options {
		option(reporter)
	}
	is.New(t).NoErr(reporter.Listen(address))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go reporter.Run(ctx)
	return reporter, address
}

func TestReports(t *testing.T) {
	reports := make(chan receivedReport, 16)
	_, ingress := newReporter(t, nil, func(report receivedReport) { reports <- report })
	load := admit.Load{Slots: 10, Slowness: 1}
	gate, _ := newReporter(t, func() admit.Load { return load }, func(receivedReport) {})
	at := time.Unix(1_800_000_000, 0)
	advance := func() { at = at.Add(50 * time.Millisecond); gate.ReportIfChanged(at) }
	expectNone := func(t *testing.T) {
		t.Helper()
		is.New(t).Equal(len(reports), 0)
	}
	t.Run("an ingress that has sent no request gets no report", func(t *testing.T) {
		load.Slowness = 4
		advance()
		expectNone(t)
	})
	t.Run("an ingress with a recent request gets a report of a change", func(t *testing.T) {
		gate.Subscribe(ingress, at)
		load.Slowness = 1
		advance()
		report := <-reports
		is := is.New(t)
		is.Equal(report.from, "gate")
		is.Equal(report.service, "shop")
		is.Equal(report.load.Slowness, 1.0)
	})
	t.Run("a minor change is not reported", func(t *testing.T) {
		load.Running = 3
		load.Slowness = 1.1
		advance()
		expectNone(t)
	})
	t.Run("a full gate is reported", func(t *testing.T) {
		load.Running = 10
		advance()
		is.New(t).Equal((<-reports).load.Running, 10)
	})
	t.Run("an ingress without recent requests gets no report", func(t *testing.T) {
		at = at.Add(3 * time.Second)
		load.Running = 0
		advance()
		expectNone(t)
	})
}

// cancellingContext is a context that has an error but has not run its AfterFunc functions
// yet, as between the two steps of a cancellation.
type cancellingContext struct{ context.Context }

func (cancellingContext) Err() error { return context.Canceled }

// Guards against a socket that stays open, so that a daemon that is started again at the
// address can't listen.
func TestReporterClosesItsSocketWhenADatagramArrivesAtTheEnd(t *testing.T) {
	is := is.New(t)
	listener, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.LocalAddr().String()
	is.NoErr(listener.Close())
	reporter := &peer.Reporter{Self: "gate"}
	is.NoErr(reporter.Listen(address))
	sender, err := net.Dial("udp", address)
	is.NoErr(err)
	defer func() { _ = sender.Close() }()
	_, err = sender.Write([]byte("report"))
	is.NoErr(err)
	reporter.Run(cancellingContext{context.Background()})
	listener, err = net.ListenPacket("udp", address)
	is.NoErr(err)
	is.NoErr(listener.Close())
}

func TestReportsAreBounded(t *testing.T) {
	sent := 0
	gate := &peer.Reporter{
		Self:         "gate",
		Service:      func() string { return "shop" },
		InSameRegion: func(string) bool { return true },
		CountBytes:   func(_ string, _ peer.ByteKind, _ string, bytes int) { sent += bytes },
	}
	load := admit.Load{Slots: 10, Slowness: 1}
	gate.Load = func() admit.Load { return load }
	is := is.New(t)
	is.NoErr(gate.Listen("127.0.0.1:0"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go gate.Run(ctx)
	at := time.Unix(1_800_000_000, 0)
	const seconds = 20
	for step := range seconds * 20 {
		for ingress := range 64 {
			gate.Subscribe(fmt.Sprintf("127.9.9.%d:9", ingress+1), at)
		}
		load.Running = step % 2 * 10
		at = at.Add(50 * time.Millisecond)
		gate.ReportIfChanged(at)
	}
	is.True(sent <= 9_000*seconds+9_000) // the rate limit, plus the burst and one datagram
	is.True(sent >= 9_000*seconds/2)     // at least half of the rate limit is used
}

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

// told is a report as it was received.
type told struct {
	from, service string
	load          admit.Load
}

// newReporter starts a reporter on a free port of loopback.
func newReporter(t *testing.T, load func() admit.Load, received func(told)) (*peer.Reporter, string) {
	t.Helper()
	free, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	address := free.LocalAddr().String()
	is.New(t).NoErr(free.Close())
	reporter := &peer.Reporter{
		Self:     "gate",
		Service:  func() string { return "shop" },
		Load:     load,
		IsNear:   func(string) bool { return true },
		Received: func(from, service string, load admit.Load) { received(told{from, service, load}) },
	}
	is.New(t).NoErr(reporter.Listen(address))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go reporter.Run(ctx)
	return reporter, address
}

func TestReports(t *testing.T) {
	reports := make(chan told, 16)
	_, entry := newReporter(t, nil, func(report told) { reports <- report })
	load := admit.Load{Slots: 10, Slowness: 1}
	gate, _ := newReporter(t, func() admit.Load { return load }, func(told) {})
	at := time.Unix(1_800_000_000, 0)
	step := func() { at = at.Add(50 * time.Millisecond); gate.Check(at) }
	none := func(t *testing.T) {
		t.Helper()
		is.New(t).Equal(len(reports), 0)
	}
	t.Run("nobody who has asked nothing is told", func(t *testing.T) {
		load.Slowness = 4
		step()
		none(t)
	})
	t.Run("a recent caller is told of a change", func(t *testing.T) {
		gate.Subscribe(entry, at)
		load.Slowness = 1
		step()
		report := <-reports
		is := is.New(t)
		is.Equal(report.from, "gate")
		is.Equal(report.service, "shop")
		is.Equal(report.load.Slowness, 1.0)
	})
	t.Run("and not of what hardly matters", func(t *testing.T) {
		load.Running = 3
		load.Slowness = 1.1
		step()
		none(t)
	})
	t.Run("a full gate is news", func(t *testing.T) {
		load.Running = 10
		step()
		is.New(t).Equal((<-reports).load.Running, 10)
	})
	t.Run("one that has not asked for a while is left out", func(t *testing.T) {
		at = at.Add(3 * time.Second)
		load.Running = 0
		step()
		none(t)
	})
}

func TestReportsAreBounded(t *testing.T) {
	sent := 0
	gate := &peer.Reporter{
		Self:    "gate",
		Service: func() string { return "shop" },
		IsNear:  func(string) bool { return true },
		Count:   func(_, _ string, bytes int) { sent += bytes + 28 },
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
		for entry := range 64 {
			gate.Subscribe(fmt.Sprintf("127.9.9.%d:9", entry+1), at)
		}
		load.Running = step % 2 * 10
		at = at.Add(50 * time.Millisecond)
		gate.Check(at)
	}
	is.True(sent <= 9_000*seconds+9_000) // the budget, and the burst with one datagram more
	is.True(sent >= 9_000*seconds/2)     // and it is used
}

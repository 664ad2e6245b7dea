package daemon

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/core/routes"
	"ibislift/io/upstream"
)

// admitAfter returns the gate's decision on a request that arrives as soon as a new
// daemon has handled its first announcement.
func admitAfter(announcement upstream.Announcement) upstream.Decision {
	daemon := &Daemon{gate: &upstream.Gate{Now: time.Now}, client: &upstream.Client{}, control: newControl(kernel.Settings{Self: "intake-1"})}
	daemon.handleAnnouncement(announcement)
	return daemon.gate.Admit(admit.Arrived{Deadline: time.Now().Add(time.Minute)}, "").Wait(context.Background())
}

// Other daemons may still know a leaving target as serving.
func TestFirstAnnouncement(t *testing.T) {
	serving := upstream.Announcement{Service: "intake", Address: "127.0.0.1:9000", Slots: 4, HealthPath: "/health", StartedAt: 1}
	leaving := serving
	leaving.Draining = true
	t.Run("a serving target gets requests", func(t *testing.T) {
		is := is.New(t)
		is.True(admitAfter(serving).HandedOver)
		is.Equal(serving.Target().State, kernel.TargetServing)
	})
	t.Run("one that is leaving gets none and is published so", func(t *testing.T) {
		is := is.New(t)
		is.Equal(admitAfter(leaving).Reason, admit.ReasonDraining)
		is.Equal(leaving.Target().State, kernel.TargetDraining)
	})
}

// The gate must know how little a cold target takes before the first request arrives.
func TestColdTargetIsLimitedFromItsFirstAnnouncement(t *testing.T) {
	routesWith := func(service string) *routes.Table {
		table, err := routes.Parse([]byte(`{"version":1,"services":{"intake":` + service + `}}`))
		is.New(t).NoErr(err)
		return table
	}
	announced := upstream.Announcement{Service: "intake", Address: "127.0.0.1:9000", Slots: 4, HealthPath: "/health", StartedAt: 1000, WarmupLeft: 2 * time.Second, ReportsWarmup: true}
	newDaemon := func(table *routes.Table) *Daemon {
		daemon := &Daemon{Log: slog.New(slog.DiscardHandler), gate: &upstream.Gate{Now: time.Now}, client: &upstream.Client{}, control: newControl(kernel.Settings{Self: "intake-1"})}
		daemon.Settings = Settings{WarmupOvershoot: 1.5, WarmupSlack: 8, RouteObject: "config/main"}
		daemon.liveSettings.Store(&daemon.Settings)
		daemon.control.view.Store(&kernel.View{Self: "intake-1", Joined: true, Routes: table})
		daemon.monitor = &upstream.Monitor{Now: time.Now, OnAnnouncement: daemon.handleAnnouncement, HoldsFirst: true, Drain: func() <-chan struct{} { return nil }}
		return daemon
	}
	t.Run("with the rate of the route table", func(t *testing.T) {
		is := is.New(t)
		daemon := newDaemon(routesWith(`{"warmupRate":12,"warmupTime":3000000000}`))
		daemon.handleAnnouncement(announced)
		load := daemon.gate.Load()
		is.True(load.WarmupLeft > time.Second && load.RateDelay > 50*time.Millisecond)
		is.True(!daemon.gate.AllowProbe())
	})
	t.Run("without a rate it is not limited", func(t *testing.T) {
		daemon := newDaemon(routesWith(`{}`))
		daemon.handleAnnouncement(announced)
		is.New(t).Equal(daemon.gate.Load().RateDelay, time.Duration(0))
	})
	t.Run("without a route table the announcement is held", func(t *testing.T) {
		is := is.New(t)
		daemon := newDaemon(nil)
		is.NoErr(daemon.monitor.ReceiveAnnouncement(announced))
		is.True(!daemon.releaseFirstAnnouncement())
	})
}

// A restarted daemon must not hand anything over before it knows of the evacuation.
func TestTargetInAnEvacuatedDataCentre(t *testing.T) {
	announced := upstream.Announcement{Service: "intake", Address: "127.0.0.1:9000", Slots: 4, HealthPath: "/health", StartedAt: 1000}
	newDaemon := func(view *kernel.View) *Daemon {
		daemon := &Daemon{Log: slog.New(slog.DiscardHandler), gate: &upstream.Gate{Now: time.Now}, client: &upstream.Client{}, control: newControl(kernel.Settings{Self: "intake-1"})}
		daemon.Settings = Settings{DataCentre: "e1", EvacuationPrefix: "evacuations/"}
		daemon.control.view.Store(view)
		daemon.monitor = &upstream.Monitor{Now: time.Now, OnAnnouncement: daemon.handleAnnouncement, HoldsFirst: true, Drain: func() <-chan struct{} { return nil }}
		return daemon
	}
	decide := func(daemon *Daemon) upstream.Decision {
		return daemon.gate.Admit(admit.Arrived{Deadline: time.Now().Add(time.Minute)}, "").Wait(context.Background())
	}
	t.Run("gets nothing from its first announcement on, until the evacuation ends", func(t *testing.T) {
		is := is.New(t)
		daemon := newDaemon(&kernel.View{Self: "intake-1", Evacuated: []string{"e1"}})
		daemon.handleAnnouncement(announced)
		is.Equal(decide(daemon).Reason, admit.ReasonEvacuated)
		daemon.applyEvacuation(&kernel.View{Self: "intake-1", Evacuated: []string{"e0", "e2"}})
		is.True(decide(daemon).HandedOver)
		daemon.applyEvacuation(&kernel.View{Self: "intake-1", Evacuated: []string{"e1"}})
		is.Equal(decide(daemon).Reason, admit.ReasonEvacuated)
	})
	t.Run("is not accepted before the evacuations are known", func(t *testing.T) {
		is := is.New(t)
		daemon := newDaemon(&kernel.View{Self: "intake-1", Joined: true})
		is.NoErr(daemon.monitor.ReceiveAnnouncement(announced))
		is.True(!daemon.releaseFirstAnnouncement())
	})
}

// The daemon may hear from another one only later that its upstream has left.
func TestGateDrainsWhenADepartureIsLearnt(t *testing.T) {
	announced := upstream.Announcement{Service: "intake", Address: "127.0.0.1:9000", Slots: 4, HealthPath: "/health", StartedAt: 1000}
	admitWith := func(departed kernel.Departure) upstream.Decision {
		daemon := &Daemon{Log: slog.New(slog.DiscardHandler), gate: &upstream.Gate{Now: time.Now}, client: &upstream.Client{}, control: newControl(kernel.Settings{Self: "intake-1"})}
		daemon.monitor = &upstream.Monitor{Now: time.Now, OnAnnouncement: daemon.handleAnnouncement}
		is.New(t).NoErr(daemon.monitor.ReceiveAnnouncement(announced))
		daemon.drainDeparted(&kernel.View{Departures: []kernel.Departure{departed}})
		return daemon.gate.Admit(admit.Arrived{Deadline: time.Now().Add(time.Minute)}, "").Wait(context.Background())
	}
	is := is.New(t)
	is.Equal(admitWith(kernel.Departure{StartedAt: 1000}).Reason, admit.ReasonDraining)
	is.True(admitWith(kernel.Departure{StartedAt: 900}).HandedOver) // an earlier run
}

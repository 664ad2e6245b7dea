package daemon

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/core/kernel"
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

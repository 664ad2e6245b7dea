package upstream_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/io/upstream"
)

// monitored is a Monitor with a record of what it has reported.
type monitored struct {
	upstream.Monitor
	announced []upstream.Announcement
	drains    int
	departed  map[string]int64
}

var monitorStart = time.UnixMilli(5000)

func newMonitored() *monitored {
	monitored := &monitored{departed: map[string]int64{}}
	monitored.Now = func() time.Time { return monitorStart }
	monitored.OnAnnouncement = func(announcement upstream.Announcement) {
		monitored.announced = append(monitored.announced, announcement)
	}
	monitored.OnSilent = func() {}
	monitored.Drain = func() <-chan struct{} { monitored.drains++; return nil }
	monitored.OnDeparture = func(instance string, startedAt int64) { monitored.departed[instance] = startedAt }
	return monitored
}

// announcement returns an announcement of an instance that started at 1000.
func announcement(sequence uint64, draining bool) upstream.Announcement {
	return upstream.Announcement{
		Service: "shop", Address: "127.0.0.1:9000", Slots: 4, HealthPath: "/health", StartedAt: 1000, Instance: "i-1", Sequence: sequence, Draining: draining,
	}
}

// A heartbeat that was sent before the instance left may be the first that a restarted
// daemon receives.
func TestFirstAnnouncementIsHeld(t *testing.T) {
	newHolding := func() *monitored {
		monitored := newMonitored()
		monitored.HoldsFirst = true
		return monitored
	}
	t.Run("until it is released, and later ones are not", func(t *testing.T) {
		is := is.New(t)
		monitored := newHolding()
		is.NoErr(monitored.ReceiveAnnouncement(announcement(4, false)))
		is.NoErr(monitored.ReceiveAnnouncement(announcement(3, false)))
		is.Equal(len(monitored.announced), 0)
		is.Equal(monitored.Current().Service, "")
		is.NoErr(monitored.Release(false))
		is.Equal(monitored.announced[0].Sequence, uint64(4))
		is.NoErr(monitored.ReceiveAnnouncement(announcement(5, false)))
		is.Equal(len(monitored.announced), 2)
	})
	t.Run("an instance that drains does not serve again", func(t *testing.T) {
		is := is.New(t)
		monitored := newHolding()
		is.NoErr(monitored.ReceiveAnnouncement(announcement(4, true)))
		is.NoErr(monitored.ReceiveAnnouncement(announcement(5, false)))
		is.NoErr(monitored.Release(false))
		is.True(monitored.announced[0].Draining)
		is.Equal(monitored.drains, 1)
	})
	t.Run("an instance that has said that it is leaving drains", func(t *testing.T) {
		is := is.New(t)
		monitored := newHolding()
		is.NoErr(monitored.ReceiveAnnouncement(announcement(4, false)))
		is.NoErr(monitored.Release(true))
		is.True(monitored.announced[0].Draining)
	})
	t.Run("an instance that leaves meanwhile is not accepted", func(t *testing.T) {
		is := is.New(t)
		monitored := newHolding()
		is.NoErr(monitored.ReceiveAnnouncement(announcement(4, false)))
		monitored.RecordDeparture("i-1")
		is.NoErr(monitored.Release(false))
		is.Equal(len(monitored.announced), 0)
	})
	t.Run("an upstream that asks to drain meanwhile drains", func(t *testing.T) {
		is := is.New(t)
		monitored := newHolding()
		is.NoErr(monitored.ReceiveAnnouncement(announcement(4, false)))
		ctx, cancel := context.WithCancel(t.Context())
		cancel() // the response waits for the drain
		request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/drain", nil)
		monitored.Handler().ServeHTTP(httptest.NewRecorder(), request)
		is.NoErr(monitored.ReceiveAnnouncement(announcement(5, false)))
		is.NoErr(monitored.Release(false))
		is.Equal(len(monitored.announced), 1)
		is.True(monitored.announced[0].Draining)
	})
	t.Run("an invalid one is refused at once", func(t *testing.T) {
		invalid := announcement(4, false)
		invalid.Slots = 0
		is.New(t).True(newHolding().ReceiveAnnouncement(invalid) != nil)
	})
}

func TestDeparturesOfEarlierProcesses(t *testing.T) {
	t.Run("an instance that has left is not accepted", func(t *testing.T) {
		is := is.New(t)
		monitored := newMonitored()
		monitored.HasDeparted = func(instance string, startedAt int64) bool { return instance == "i-1" && startedAt <= 1000 }
		is.NoErr(monitored.ReceiveAnnouncement(announcement(4, false)))
		is.Equal(len(monitored.announced), 0)
		next := announcement(1, false)
		next.StartedAt = 2000
		is.NoErr(monitored.ReceiveAnnouncement(next))
		is.Equal(len(monitored.announced), 1)
	})
	t.Run("a departure is reported with the latest start of its run", func(t *testing.T) {
		is := is.New(t)
		monitored := newMonitored()
		is.NoErr(monitored.ReceiveAnnouncement(announcement(4, false)))
		monitored.RecordDeparture("i-1")
		monitored.RecordDeparture("i-0")
		is.Equal(monitored.departed, map[string]int64{"i-1": 1000, "i-0": monitorStart.UnixMilli()})
	})
}

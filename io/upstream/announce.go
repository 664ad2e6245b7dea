package upstream

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ibislift/core/kernel"
	"ibislift/core/profile"
	"ibislift/io/dialect"
)

// DefaultSilenceTimeout is how long an upstream may send no announcement before
// it counts as gone, unless the settings say otherwise. It is four of the usual
// announcement intervals.
const DefaultSilenceTimeout = 2 * time.Second

// Announcement describes an upstream instance. The upstream sends it as JSON
// to POST /announce when it starts and every half second after that.
type Announcement struct {
	Service string `json:"service"`
	// Address is the upstream's host:port on this machine.
	Address string `json:"address"`
	// Slots is the number of requests that the upstream runs at once.
	Slots int `json:"slots"`
	// HealthPath is the path that health probes request.
	HealthPath string `json:"healthPath"`
	// LoadPath is the path where the upstream reports its load. The daemon does
	// not request it; operators use it.
	LoadPath string `json:"loadPath,omitempty"`
	// EchoesRequestID reports whether the upstream copies Ibislift-Request-Id
	// from each request into its response. If so, responses without the header
	// are refused.
	EchoesRequestID bool `json:"echoesRequestId,omitempty"`
	// StartedAt is when the upstream started, in Unix milliseconds.
	StartedAt int64 `json:"started"`
	// Instance identifies this run of the upstream. It is set if the upstream
	// accepts only requests that name this instance.
	Instance string `json:"instance,omitempty"`
	// Sequence increases with each announcement of an instance. It is 0 if the
	// upstream doesn't number its announcements.
	Sequence uint64 `json:"sequence,omitempty"`
	// Draining reports whether the upstream accepts no new requests.
	Draining bool `json:"draining,omitempty"`
	// WarmupLeft is how much longer the upstream stays cold, in nanoseconds. It counts
	// only if ReportsWarmup is set; an upstream that does not report it counts as cold
	// for a time after its start.
	WarmupLeft    time.Duration `json:"warmupLeft,omitempty"`
	ReportsWarmup bool          `json:"reportsWarmup,omitempty"`
}

// maxSlots is the largest number of slots that an upstream may announce.
const maxSlots = 100_000

// maxSequence is the largest number of an announcement, which all writers of JSON can
// write exactly.
const maxSequence = 1 << 53

// maxClockDifference is how far the clock of an upstream may be ahead. An announcement
// with a later start would outdate all others.
const maxClockDifference = time.Hour

// Validate returns an error for the first invalid field.
func (announcement Announcement) Validate() error {
	if err := profile.ValidateName(announcement.Service); err != nil {
		return Error.New("service: %v", err)
	}
	host, port, err := net.SplitHostPort(announcement.Address)
	if number, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || host == "" || number == 0 {
		return Error.New("address: %q is not of the form host:port, with a port from 1 to 65535", announcement.Address)
	}
	if announcement.Slots < 1 || announcement.Slots > maxSlots {
		return Error.New("slots: %d is not between 1 and %d", announcement.Slots, maxSlots)
	}
	if announcement.Sequence > maxSequence {
		return Error.New("sequence: %d is above %d", announcement.Sequence, uint64(maxSequence))
	}
	if announcement.WarmupLeft < 0 || announcement.WarmupLeft > dialect.MaxWarmup {
		return Error.New("warmupLeft: %s is not between 0 and %s", announcement.WarmupLeft, dialect.MaxWarmup)
	}
	if !strings.HasPrefix(announcement.HealthPath, "/") {
		return Error.New("healthPath: must start with /")
	}
	return nil
}

// Target returns the target record that the daemon publishes to the other
// members.
func (announcement Announcement) Target() kernel.Target {
	state := kernel.TargetServing
	if announcement.Draining {
		state = kernel.TargetDraining
	}
	return kernel.Target{
		Service:   announcement.Service,
		Address:   announcement.Address,
		Slots:     announcement.Slots,
		State:     state,
		StartedAt: announcement.StartedAt,
	}
}

// Monitor follows the state of the upstream that runs beside the daemon. It
// receives the upstream's announcements and drain requests and detects when the
// announcements stop. Set the fields before calling Handler.
type Monitor struct {
	Now func() time.Time
	// OnAnnouncement is called for each announcement that is accepted.
	OnAnnouncement func(Announcement)
	// OnSilent is called when the upstream counts as gone.
	OnSilent func()
	// Drain starts a drain. It returns a channel that is closed when no request
	// is running any more.
	Drain func() <-chan struct{}
	// HasDeparted reports whether a run of an instance has left, as an earlier process
	// of this daemon was told. It may be nil.
	HasDeparted func(instance string, startedAt int64) bool
	// OnDeparture, if it is set, is called when an instance that the upstream names has
	// said that it is leaving. It gets the latest time at which its run can have started.
	OnDeparture func(instance string, startedAt int64)
	// HoldsFirst is set if the first announcement is held until Release, because the
	// daemon does not know yet whether the instance has left.
	HoldsFirst bool
	// SilenceTimeout returns how long the upstream may send no announcement. If
	// it is nil or returns 0, DefaultSilenceTimeout applies.
	SilenceTimeout func() time.Duration

	mutex   sync.Mutex
	current Announcement
	// announcedAt is when the last announcement was accepted. It is zero while
	// the upstream counts as gone.
	announcedAt time.Time
	departures  departures
	held        held
}

// Handler returns the HTTP handler for the requests of the upstream.
func (monitor *Monitor) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", monitor.handleAnnounce)
	mux.HandleFunc("POST /drain", monitor.handleDrain)
	return mux
}

func (monitor *Monitor) handleAnnounce(writer http.ResponseWriter, request *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, bufferSize))
	decoder.DisallowUnknownFields()
	var announcement Announcement
	if err := decoder.Decode(&announcement); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if err := monitor.ReceiveAnnouncement(announcement); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

// ReceiveAnnouncement validates an announcement and accepts it. It ignores an
// announcement that is older than the current one or comes from an instance
// that has left.
func (monitor *Monitor) ReceiveAnnouncement(announcement Announcement) error {
	if err := announcement.Validate(); err != nil {
		return err
	}
	if latest := monitor.Now().Add(maxClockDifference).UnixMilli(); announcement.StartedAt > latest {
		return Error.New("started: %d is in the future", announcement.StartedAt)
	}
	monitor.mutex.Lock()
	if monitor.hasLeft(announcement) || monitor.isOutdated(announcement) {
		monitor.mutex.Unlock()
		return nil
	}
	if monitor.HoldsFirst && !monitor.held.released {
		monitor.held.add(announcement)
		monitor.mutex.Unlock()
		return nil
	}
	monitor.current = announcement
	monitor.announcedAt = monitor.Now()
	if announcement.Draining {
		monitor.departures.add(announcement.Instance, announcement.StartedAt)
	}
	monitor.mutex.Unlock()
	monitor.OnAnnouncement(announcement)
	if announcement.Draining {
		monitor.Drain()
	}
	return nil
}

// isOutdated reports whether an announcement is older than the current one.
// The caller holds the mutex.
func (monitor *Monitor) isOutdated(announcement Announcement) bool {
	current := monitor.current
	if monitor.announcedAt.IsZero() || announcement.Sequence == 0 {
		return false
	}
	if announcement.Instance == current.Instance && announcement.StartedAt == current.StartedAt {
		return announcement.Sequence <= current.Sequence
	}
	return announcement.StartedAt < current.StartedAt
}

// hasLeft reports whether an announcement comes from an instance that has left. The
// caller holds the mutex.
func (monitor *Monitor) hasLeft(announcement Announcement) bool {
	return monitor.departures.includes(announcement) ||
		monitor.HasDeparted != nil && !announcement.Draining && monitor.HasDeparted(announcement.Instance, announcement.StartedAt)
}

// RecordDeparture records that an instance has reported that it is leaving. The
// instance gets no new requests, even if it continues to serve.
func (monitor *Monitor) RecordDeparture(instance string) {
	monitor.mutex.Lock()
	current := monitor.current.Instance == instance
	startedAt := int64(0)
	if current {
		startedAt = monitor.current.StartedAt
	}
	monitor.departures.add(instance, startedAt)
	monitor.mutex.Unlock()
	if monitor.OnDeparture != nil && instance != "" {
		monitor.OnDeparture(instance, cmp.Or(startedAt, monitor.Now().UnixMilli()))
	}
	if current {
		monitor.Drain()
	}
}

// ReportMisdirected is called when the upstream has rejected a request because
// it isn't the instance that the request named. If that instance is still the
// current one, the upstream counts as gone until it announces itself again.
func (monitor *Monitor) ReportMisdirected(instance string) {
	if monitor.Current().Instance == instance {
		monitor.MarkGone()
	}
}

// handleDrain starts a drain and responds when no request is running on the
// upstream any more.
func (monitor *Monitor) handleDrain(writer http.ResponseWriter, request *http.Request) {
	monitor.mutex.Lock()
	monitor.held.announcement.Draining = monitor.held.present
	monitor.mutex.Unlock()
	select {
	case <-monitor.Drain():
		writer.WriteHeader(http.StatusNoContent)
	case <-request.Context().Done():
	}
}

// CheckSilence calls OnSilent if the last announcement is older than the
// silence timeout.
func (monitor *Monitor) CheckSilence() {
	monitor.mutex.Lock()
	silent := !monitor.announcedAt.IsZero() && monitor.Now().Sub(monitor.announcedAt) > monitor.silenceTimeout()
	if silent {
		monitor.announcedAt = time.Time{}
	}
	monitor.mutex.Unlock()
	if silent {
		monitor.OnSilent()
	}
}

func (monitor *Monitor) silenceTimeout() time.Duration {
	if monitor.SilenceTimeout == nil {
		return DefaultSilenceTimeout
	}
	return cmp.Or(monitor.SilenceTimeout(), DefaultSilenceTimeout)
}

// MarkGone makes the upstream count as gone until it announces itself again.
func (monitor *Monitor) MarkGone() {
	monitor.mutex.Lock()
	monitor.announcedAt = time.Time{}
	monitor.mutex.Unlock()
	monitor.OnSilent()
}

// Current returns the last accepted announcement.
func (monitor *Monitor) Current() Announcement {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	return monitor.current
}

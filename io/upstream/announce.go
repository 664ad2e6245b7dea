package upstream

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"ibislift/core/kernel"
	"ibislift/core/profile"
)

// SilenceTime is how long an upstream may be silent before it counts as gone,
// if nothing else is set: four of its usual heartbeats.
const SilenceTime = 2 * time.Second

// Announcement is what an upstream says about itself, as JSON to POST
// /announce, at start and every half second.
type Announcement struct {
	Service string `json:"service"`
	// Address is the upstream's host:port on this machine.
	Address string `json:"address"`
	// Slots is how many requests it runs at once.
	Slots int `json:"slots"`
	// HealthPath is asked by probes.
	HealthPath string `json:"healthPath"`
	// LoadPath reports the load. It is kept for operators.
	LoadPath string `json:"loadPath,omitempty"`
	// EchoesRequestID says that the upstream copies Ibislift-Request-Id from
	// each request into its answer. Answers without it are refused then.
	EchoesRequestID bool `json:"echoesRequestId,omitempty"`
	// Started is the upstream's start in Unix milliseconds.
	Started int64 `json:"started"`
	// Instance names this run of the upstream, if it answers only requests
	// that are meant for it.
	Instance string `json:"instance,omitempty"`
	// Sequence grows with each announcement of an instance; 0 means that it is
	// not counted.
	Sequence uint64 `json:"sequence,omitempty"`
	// Draining says that the upstream takes no new work.
	Draining bool `json:"draining,omitempty"`
}

// maxSlots bounds what an upstream may claim to run at once.
const maxSlots = 100_000

// Check reports the first field that cannot be right.
func (announcement Announcement) Check() error {
	if err := profile.CheckName(announcement.Service); err != nil {
		return Error.New("service: %v", err)
	}
	if _, _, err := net.SplitHostPort(announcement.Address); err != nil {
		return Error.New("address: %q is not host:port", announcement.Address)
	}
	if announcement.Slots < 1 || announcement.Slots > maxSlots {
		return Error.New("slots: %d is not from 1 to %d", announcement.Slots, maxSlots)
	}
	if !strings.HasPrefix(announcement.HealthPath, "/") {
		return Error.New("healthPath: must start with /")
	}
	return nil
}

// Target is the announcement as members know it.
func (announcement Announcement) Target() kernel.Target {
	return kernel.Target{
		Service:   announcement.Service,
		Address:   announcement.Address,
		Slots:     announcement.Slots,
		State:     kernel.TargetServing,
		StartedAt: announcement.Started,
	}
}

// Beside is the upstream beside the daemon: it takes its announcements and its
// wish to drain. Set the fields before Handler is used.
type Beside struct {
	Now       func() time.Time
	Announced func(Announcement)
	Silent    func()
	// Drain starts a drain and returns a channel that is closed when nothing
	// runs any more.
	Drain func() <-chan struct{}
	// Silence returns how long the upstream may be silent; nil, or 0, means the
	// default.
	Silence func() time.Duration

	mutex   sync.Mutex
	current Announcement
	heard   time.Time
	left    departures
}

// Handler returns the HTTP face towards the upstream.
func (beside *Beside) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", beside.announce)
	mux.HandleFunc("POST /drain", beside.drain)
	return mux
}

func (beside *Beside) announce(writer http.ResponseWriter, request *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, bufferSize))
	decoder.DisallowUnknownFields()
	var announcement Announcement
	if err := decoder.Decode(&announcement); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if err := beside.Hear(announcement); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

// Hear takes an announcement, or returns what is wrong with it. One that is
// older than what is known, or comes from an instance that has left, changes
// nothing.
func (beside *Beside) Hear(announcement Announcement) error {
	if err := announcement.Check(); err != nil {
		return err
	}
	beside.mutex.Lock()
	if beside.left.has(announcement) || beside.outdated(announcement) {
		beside.mutex.Unlock()
		return nil
	}
	beside.current = announcement
	beside.heard = beside.Now()
	if announcement.Draining {
		beside.left.add(announcement.Instance, announcement.Started)
	}
	beside.mutex.Unlock()
	beside.Announced(announcement)
	if announcement.Draining {
		beside.Drain()
	}
	return nil
}

// outdated says whether an announcement is older than the current one. The
// mutex is held.
func (beside *Beside) outdated(announcement Announcement) bool {
	current := beside.current
	if beside.heard.IsZero() || announcement.Sequence == 0 {
		return false
	}
	if announcement.Instance == current.Instance && announcement.Started == current.Started {
		return announcement.Sequence <= current.Sequence
	}
	return announcement.Started < current.Started
}

// Leave takes an instance's word that it is gone. It gets no new work, also
// while it goes on to serve.
func (beside *Beside) Leave(instance string) {
	beside.mutex.Lock()
	current := beside.current.Instance == instance
	started := int64(0)
	if current {
		started = beside.current.Started
	}
	beside.left.add(instance, started)
	beside.mutex.Unlock()
	if current {
		beside.Drain()
	}
}

// Misdirected takes the upstream's word that it is another instance than the
// one that was announced.
func (beside *Beside) Misdirected(instance string) {
	if beside.Current().Instance == instance {
		beside.Forget()
	}
}

// drain answers when nothing runs on the upstream any more.
func (beside *Beside) drain(writer http.ResponseWriter, request *http.Request) {
	select {
	case <-beside.Drain():
		writer.WriteHeader(http.StatusNoContent)
	case <-request.Context().Done():
	}
}

// Tick notices that the announcements have stopped.
func (beside *Beside) Tick() {
	beside.mutex.Lock()
	silent := !beside.heard.IsZero() && beside.Now().Sub(beside.heard) > beside.silence()
	if silent {
		beside.heard = time.Time{}
	}
	beside.mutex.Unlock()
	if silent {
		beside.Silent()
	}
}

func (beside *Beside) silence() time.Duration {
	if beside.Silence == nil {
		return SilenceTime
	}
	return cmp.Or(beside.Silence(), SilenceTime)
}

// Forget makes the upstream count as gone until it announces itself again.
func (beside *Beside) Forget() {
	beside.mutex.Lock()
	beside.heard = time.Time{}
	beside.mutex.Unlock()
	beside.Silent()
}

// Current is the last announcement.
func (beside *Beside) Current() Announcement {
	beside.mutex.Lock()
	defer beside.mutex.Unlock()
	return beside.current
}

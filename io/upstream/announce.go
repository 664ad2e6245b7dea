package upstream

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"ibislift/core/kernel"
	"ibislift/core/profile"
)

// SilenceTime is how long an upstream may be silent before it counts as gone.
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
		Service: announcement.Service,
		Address: announcement.Address,
		Slots:   announcement.Slots,
		State:   kernel.TargetServing,
		Since:   announcement.Started,
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

	mutex   sync.Mutex
	current Announcement
	heard   time.Time
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
	if err := announcement.Check(); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	beside.mutex.Lock()
	beside.current = announcement
	beside.heard = beside.Now()
	beside.mutex.Unlock()
	beside.Announced(announcement)
	writer.WriteHeader(http.StatusNoContent)
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
	silent := !beside.heard.IsZero() && beside.Now().Sub(beside.heard) > SilenceTime
	if silent {
		beside.heard = time.Time{}
	}
	beside.mutex.Unlock()
	if silent {
		beside.Silent()
	}
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

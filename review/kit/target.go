package kit

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is the setting heartbeat-s.
const heartbeatInterval = 1500 * time.Millisecond

// Run is a request that a target has run.
type Run struct {
	At                       float64
	ID, Target, Service      string
	Method, Path, BodyDigest string
	BodyLength               int
	Complete                 bool
}

// Target is a target of a service. Set the fields before Start.
type Target struct {
	Record  *Record
	Machine *Machine
	ID      string
	Slots   int
	Work    time.Duration
	// ShedShare is the share of the requests that the target rejects while Shedding
	// is set, without having run them.
	ShedShare float64
	Shedding  atomic.Bool
	// OnRun is called for each request that the target has run.
	OnRun func(Run)

	born     int64
	left     atomic.Bool
	sequence atomic.Uint64
	running  atomic.Int64
	server   *http.Server
	stop     context.CancelFunc
	mutex    sync.Mutex
}

// Start starts the target and its check-ins.
func (target *Target) Start() error {
	listener, err := net.Listen("tcp", target.Machine.AppAddress())
	if err != nil {
		return err
	}
	target.born = time.Now().UnixMilli()
	target.server = &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second, Handler: target}
	go func() { _ = target.server.Serve(listener) }()
	ctx, stop := context.WithCancel(context.Background())
	target.stop = stop
	go target.checkIn(ctx)
	return nil
}

// StopCheckIns ends the check-ins.
func (target *Target) StopCheckIns() { target.stop() }

// Exit ends the target: nothing listens at its address any more.
func (target *Target) Exit() {
	target.stop()
	_ = target.server.Close()
	target.Record.Line("target: %s has ended", target.ID)
}

func (target *Target) checkIn(ctx context.Context) {
	for ctx.Err() == nil {
		target.Send(target.Beat())
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// Beat returns the next check-in, in the state ready.
func (target *Target) Beat() []byte {
	body, err := json.Marshal(map[string]any{
		"service": target.Machine.Service, "address": target.Machine.AppAddress(), "zone": target.Machine.Zone, "version": "v1",
		"slots": target.Slots, "state": "ready", Name("warmup"): 0, "seq": target.sequence.Add(1), "born": target.born,
	})
	if err != nil {
		panic("kit: " + err.Error())
	}
	return body
}

// Send sends a check-in and returns the status, or 0 if there was no answer.
func (target *Target) Send(body []byte) int {
	return target.call(http.MethodPut, body)
}

// Leave sends the call with which a target leaves, and returns the status.
// From then on all its answers say that it is leaving.
func (target *Target) Leave() int {
	target.left.Store(true)
	return target.call(http.MethodDelete, nil)
}

func (target *Target) call(method string, body []byte) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+target.Machine.Control()+Name("instancesPath")+target.ID, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// ServeHTTP runs a request.
func (target *Target) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	header.Set(Name("load"), fmt.Sprintf("%d,0,%d", target.running.Load(), target.Slots))
	if target.left.Load() {
		header.Set(Name("leaving"), "1")
	}
	id := request.Header.Get(Name("requestID"))
	if id != "" {
		header.Set(Name("requestID"), id)
	}
	if request.URL.Path == "/health" {
		header.Set(Name("instanceID"), target.ID)
		if target.left.Load() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		target.Record.Line("target: %s answers a status check", target.ID)
		return
	}
	if expected := request.Header.Get(Name("instance")); expected != "" && expected != target.ID {
		header.Set(Name("instanceID"), target.ID)
		header.Set(Name("notRun"), "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if target.Shedding.Load() && rand.Float64() < target.ShedShare {
		target.Record.Line("target: %s rejects %s, not run", target.ID, id)
		_ = http.NewResponseController(writer).EnableFullDuplex()
		header.Set(Name("notRun"), "1")
		header.Set("Connection", "close")
		header.Set("Content-Length", "0")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	target.run(writer, request, id)
}

func (target *Target) run(writer http.ResponseWriter, request *http.Request, id string) {
	target.running.Add(1)
	defer target.running.Add(-1)
	digest := sha256.New()
	length, err := io.Copy(digest, request.Body)
	run := Run{
		At: target.Record.Seconds(), ID: id, Target: target.ID, Service: target.Machine.Service, Method: request.Method,
		Path: request.RequestURI, BodyLength: int(length), BodyDigest: hex.EncodeToString(digest.Sum(nil)[:8]), Complete: err == nil,
	}
	if err != nil {
		target.Record.Line("target: %s gets only a part of the body of %s (%d bytes) and does not run it: %v", target.ID, id, length, err)
		writer.Header().Set(Name("notRun"), "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case <-time.After(target.Work):
	case <-request.Context().Done():
		target.Record.Line("target: %s breaks off %s, its connection has closed", target.ID, id)
		return
	}
	target.Record.Line("target: %s runs %s: %s %s, body of %d bytes, digest %s", target.ID, id, run.Method, run.Path, run.BodyLength, run.BodyDigest)
	target.mutex.Lock()
	if target.OnRun != nil {
		target.OnRun(run)
	}
	target.mutex.Unlock()
	answer := []byte("done by " + target.ID + " for " + id)
	writer.Header().Set(Name("seal"), "seal-"+target.ID+"-"+id)
	writer.Header().Set("Content-Type", "text/plain")
	_, _ = writer.Write(answer)
}

// Package upstream implements a stand-in for an upstream: an HTTP server with a
// number of slots and a random service time, which announces itself to the
// daemon beside it. Its switches make it respond slowly, fail or shed every
// request, fail its health probes, truncate or duplicate responses, send invalid
// statuses, or hang. A
// request with CrashHeader makes it crash. The queries stall=400ms, rest=5ms and cut=1 make it
// wait, respond without a length, and break off such a response; see parts.
//
// # Usage
//
//	server := &upstream.Server{Service: "sleeplog", Name: "sleeplog-1", Slots: 13}
//	http.ListenAndServe("127.0.0.1:9000", server.Handler())
//
//	curl -X POST -d '{"slowFactor": 10}' http://127.0.0.1:9000/switches
package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ibislift/io/dialect"
)

// Switches are the faults that a test can switch on.
type Switches struct {
	// SlowFactor multiplies the service time; zero stands for one.
	SlowFactor float64 `json:"slowFactor"`
	// FailFast responds with status 500 at once.
	FailFast bool `json:"failFast"`
	// Shed responds with status 503 at once.
	Shed bool `json:"shed"`
	// FailHealthProbes responds to health probes with status 500, whatever the
	// actual state of the upstream.
	FailHealthProbes bool `json:"sick"`
	// Truncate breaks the connection before the response is complete.
	Truncate bool `json:"truncate"`
	// DuplicateResponses sends each response a second time on the same connection.
	DuplicateResponses bool `json:"twice"`
	// DuplicateDelay is the time between a response and its duplicate.
	DuplicateDelay time.Duration `json:"duplicateDelay"`
	// InvalidStatus is a status that no response has, with which all requests are
	// responded to after they have run. An empty one switches this off.
	InvalidStatus string `json:"invalidStatus,omitempty"`
	// Hang holds requests, and their slots, until it is switched off.
	Hang bool `json:"hang"`
	// RateLimit is the number of requests a second that all responses name as the limit
	// of the upstream. Nothing is refused above it.
	RateLimit *float64 `json:"rateLimit,omitempty"`
	// Leaving makes all responses say that the upstream is leaving.
	Leaving bool `json:"leaving"`
	// ColdFor makes the upstream cold for a time from now on, which it says in all
	// responses and heartbeats. Nothing is refused meanwhile.
	ColdFor time.Duration `json:"coldFor,omitempty"`
}

// EndOfResponse stands in place of the method in the ledger's lines of RecordEndHeader.
const EndOfResponse = "end"

// Request headers that the stand-in interprets.
const (
	// AttemptIDHeader identifies an attempt to send a request. The ledger records
	// it, and the response repeats it in the header and, as trial, in the body.
	AttemptIDHeader = "Standin-Trial"
	// CrashHeader makes the upstream crash if it is not empty.
	CrashHeader = "Standin-Crash"
	// RecordEndHeader makes the ledger also record the end of the response, if the upstream
	// has written all of it, in a line as for a run, with
	// EndOfResponse in place of the method.
	RecordEndHeader = "Standin-Record-End"
)

// Server is the stand-in. Set the exported fields before Handler is called.
type Server struct {
	Service string
	Name    string
	Slots   int
	// ServiceTime is the mean time that a request takes. A service time is the sum
	// of ServiceShape exponentially distributed parts; zero stands for one part.
	ServiceTime  time.Duration
	ServiceShape int
	Seed         uint64
	// Ledger receives a line for each request with AttemptIDHeader that starts to
	// run: the server's name, the method, the time in microseconds since 1970 and the
	// value of the header. While the upstream is cold, it also receives a line with the
	// server's name, mostInASecond and that number whenever it grows.
	Ledger io.Writer
	// Crash ends the upstream; if it is nil, the process exits.
	Crash func()

	mutex      sync.Mutex
	switches   Switches
	statements statements
	warmup     warmup
	// arrived counts all requests but health probes.
	arrived  int
	random   *rand.Rand
	slots    chan struct{}
	running  atomic.Int64
	bodies   atomic.Int64
	released chan struct{}
}

// Handler returns the HTTP handler of the upstream.
func (server *Server) Handler() http.Handler {
	server.slots = make(chan struct{}, server.Slots)
	server.random = rand.New(rand.NewPCG(server.Seed, 1))
	server.released = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /switches", server.handleSwitches)
	mux.HandleFunc("GET /health", server.handleHealth)
	mux.HandleFunc("GET /load", server.handleLoad)
	mux.HandleFunc("/", server.handleRequest)
	return mux
}

// SetSwitches replaces the switches. Switching Hang off releases the requests
// that it holds.
func (server *Server) SetSwitches(switches Switches) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.switches.Hang && !switches.Hang {
		close(server.released)
		server.released = make(chan struct{})
	}
	server.switches = switches
	server.statements.set(switches)
	server.warmup.set(switches, time.Now())
}

// Running returns the number of requests that hold a slot.
func (server *Server) Running() int { return int(server.running.Load()) }

// Bodies returns the number of request bodies that were received to their end.
func (server *Server) Bodies() int { return int(server.bodies.Load()) }

func (server *Server) handleSwitches(writer http.ResponseWriter, request *http.Request) {
	var switches Switches
	if err := json.NewDecoder(request.Body).Decode(&switches); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	server.SetSwitches(switches)
	writer.WriteHeader(http.StatusNoContent)
}

func (server *Server) handleHealth(writer http.ResponseWriter, request *http.Request) {
	server.countProbe()
	writer.Header().Set(dialect.Default().RequestID, request.Header.Get(dialect.Default().RequestID))
	if server.currentSwitches().FailHealthProbes {
		http.Error(writer, "sick", http.StatusInternalServerError)
		return
	}
	server.state(writer.Header())
	_, _ = io.WriteString(writer, "ok\n")
}

func (server *Server) handleLoad(writer http.ResponseWriter, _ *http.Request) {
	excess, late := server.Unwanted()
	server.mutex.Lock()
	arrived := server.arrived
	server.mutex.Unlock()
	_ = json.NewEncoder(writer).Encode(map[string]int{"running": server.Running(), "slots": server.Slots, "excess": excess, "late": late, "arrived": arrived})
}

func (server *Server) currentSwitches() Switches {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.switches
}

func (server *Server) handleRequest(writer http.ResponseWriter, request *http.Request) {
	server.countArrival()
	server.slots <- struct{}{}
	server.running.Add(1)
	defer func() {
		server.running.Add(-1)
		<-server.slots
	}()
	server.recordStart(request)
	if !stall(request) {
		return
	}
	writer.Header().Set(dialect.Default().RequestID, request.Header.Get(dialect.Default().RequestID))
	server.state(writer.Header())
	switches := server.currentSwitches()
	switch {
	case request.Header.Get(CrashHeader) != "":
		server.crash()
		return
	case switches.FailFast:
		http.Error(writer, "failing fast", http.StatusInternalServerError)
		return
	case switches.Shed:
		http.Error(writer, "shedding load", http.StatusServiceUnavailable)
		return
	case switches.Hang:
		server.hang(request)
	}
	if !server.simulateWork(request, switches) {
		return
	}
	server.state(writer.Header())
	server.respond(writer, request, switches)
}

// recordStart records in the ledger that a request has started to run.
func (server *Server) recordStart(request *http.Request) {
	if attemptID := request.Header.Get(AttemptIDHeader); attemptID != "" && server.Ledger != nil {
		_, _ = fmt.Fprintf(server.Ledger, "%s %s %d %s\n", server.Name, request.Method, time.Now().UnixMicro(), attemptID)
	}
}

// recordEnd records in the ledger that a response has been written whole.
func (server *Server) recordEnd(request *http.Request) {
	if request.Header.Get(RecordEndHeader) != "" && server.Ledger != nil {
		_, _ = fmt.Fprintf(server.Ledger, "%s %s %d %s\n", server.Name, EndOfResponse, time.Now().UnixMicro(), request.Header.Get(AttemptIDHeader))
	}
}

func (server *Server) crash() {
	if server.Crash != nil {
		server.Crash()
		panic(http.ErrAbortHandler)
	}
	os.Exit(1)
}

func (server *Server) hang(request *http.Request) {
	server.mutex.Lock()
	released := server.released
	server.mutex.Unlock()
	select {
	case <-released:
	case <-request.Context().Done():
	}
}

// simulateWork waits for the service time. It reports false if the request was
// cancelled meanwhile.
func (server *Server) simulateWork(request *http.Request, switches Switches) bool {
	server.mutex.Lock()
	serviceTime := server.drawServiceTime()
	server.mutex.Unlock()
	if switches.SlowFactor > 0 {
		serviceTime = time.Duration(float64(serviceTime) * switches.SlowFactor)
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}

func (server *Server) drawServiceTime() time.Duration {
	parts := max(1, server.ServiceShape)
	sum := 0.0
	for range parts {
		sum += server.random.ExpFloat64()
	}
	return time.Duration(sum / float64(parts) * float64(server.ServiceTime))
}

// maxStreamedBytes is the largest body that streamBody sends.
const maxStreamedBytes = 1 << 30

func (server *Server) respond(writer http.ResponseWriter, request *http.Request, switches Switches) {
	received, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the body broke off
	}
	server.bodies.Add(1)
	header := writer.Header()
	header.Set(AttemptIDHeader, request.Header.Get(AttemptIDHeader))
	header.Set("Standin-Name", server.Name)
	if size, err := strconv.Atoi(request.URL.Query().Get("size")); err == nil {
		server.streamBody(writer, min(size, maxStreamedBytes), switches)
		return
	}
	parts := requestedParts(request)
	if switches.Truncate && !parts.requested {
		truncate(writer)
		return
	}
	if switches.InvalidStatus != "" {
		respondWithStatus(writer, switches.InvalidStatus)
		return
	}
	// The JSON name of the attempt ID is trial.
	text := fmt.Sprintf(`{"service":%q,"path":%q,"trial":%q,"received":%d}`+"\n",
		server.Service, request.URL.Path, request.Header.Get(AttemptIDHeader), received)
	header.Set("Content-Type", "application/json")
	if parts.requested {
		parts.write(writer, text, parts.cut || switches.Truncate)
		server.recordEnd(request)
		return
	}
	header.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(writer, text)
	server.recordEnd(request)
	if switches.DuplicateResponses {
		respondAgain(writer, text, switches.DuplicateDelay)
	}
}

// streamBody sends a body of the given size in chunks, with its size as a
// trailer.
func (server *Server) streamBody(writer http.ResponseWriter, size int, switches Switches) {
	writer.Header().Set("Trailer", "Standin-Size")
	chunk := make([]byte, 32<<10)
	for sent := 0; sent < size; {
		count := min(len(chunk), size-sent)
		if _, err := writer.Write(chunk[:count]); err != nil {
			return
		}
		sent += count
		if switches.Truncate && sent > size/2 {
			panic(http.ErrAbortHandler)
		}
	}
	writer.Header().Set("Standin-Size", strconv.Itoa(size))
}

// truncate sends a response whose body is shorter than its Content-Length.
func truncate(writer http.ResponseWriter) {
	writer.Header().Set("Content-Length", "1000")
	_, _ = io.WriteString(writer, "cut sh")
	panic(http.ErrAbortHandler)
}

// respondWithStatus sends a response with a status that net/http does not send, and
// closes the connection.
func respondWithStatus(writer http.ResponseWriter, status string) {
	conn, buffer, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	_, _ = buffer.WriteString("HTTP/1.1 " + status + " None\r\n")
	_ = writer.Header().Write(buffer)
	_, _ = buffer.WriteString("Content-Length: 3\r\n\r\nok\n")
	_ = buffer.Flush()
	_ = conn.Close()
}

// respondAgain sends the response once more on the same connection after a delay,
// as a faulty server might. The connection then takes no further request.
func respondAgain(writer http.ResponseWriter, text string, delay time.Duration) {
	controller := http.NewResponseController(writer)
	if controller.Flush() != nil {
		return
	}
	conn, buffer, err := controller.Hijack()
	if err != nil {
		return
	}
	duplicate := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	time.Sleep(delay)
	_, _ = buffer.WriteString(duplicate)
	_ = buffer.Flush()
	time.AfterFunc(time.Second, func() { _ = conn.Close() })
}

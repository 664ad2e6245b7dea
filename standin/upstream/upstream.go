// Package upstream is a stand-in for an upstream: an HTTP server with slots and
// a service time that announces itself to the daemon beside. Its switches make
// it slow, fail fast, shed, lie about its health, cut answers short, or answer
// twice; a marked request makes it crash.
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

// Switches are what a test can turn.
type Switches struct {
	// SlowFactor multiplies the service time; zero means one.
	SlowFactor float64 `json:"slowFactor"`
	// FailFast answers 500 at once.
	FailFast bool `json:"failFast"`
	// Shed answers 503 at once.
	Shed bool `json:"shed"`
	// Sick answers health probes with 500, whatever the truth.
	Sick bool `json:"sick"`
	// Truncate cuts answers short.
	Truncate bool `json:"truncate"`
	// Twice sends an answer a second time on the same connection.
	Twice bool `json:"twice"`
	// Hang keeps requests until it is turned off.
	Hang bool `json:"hang"`
}

// The headers that a request may carry for the stand-in.
const (
	// TrialHeader names the request for the ledger, and comes back in the
	// answer.
	TrialHeader = "Standin-Trial"
	// CrashHeader makes the upstream crash.
	CrashHeader = "Standin-Crash"
)

// Server is the stand-in. Set the fields before Handler.
type Server struct {
	Service string
	Name    string
	Slots   int
	// ServiceTime is the mean time that a request takes, as the sum of
	// ServiceShape exponential parts; zero means one.
	ServiceTime  time.Duration
	ServiceShape int
	Seed         uint64
	// Ledger gets the trial of each request that starts to run.
	Ledger io.Writer
	// Crash ends the upstream; nil exits the process.
	Crash func()

	mutex    sync.Mutex
	switches Switches
	random   *rand.Rand
	slots    chan struct{}
	running  atomic.Int64
	hung     chan struct{}
}

// Handler returns the HTTP face of the upstream.
func (server *Server) Handler() http.Handler {
	server.slots = make(chan struct{}, server.Slots)
	server.random = rand.New(rand.NewPCG(server.Seed, 1))
	server.hung = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /switches", server.turn)
	mux.HandleFunc("GET /health", server.health)
	mux.HandleFunc("GET /load", server.load)
	mux.HandleFunc("/", server.serve)
	return mux
}

// Turn sets the switches.
func (server *Server) Turn(switches Switches) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.switches.Hang && !switches.Hang {
		close(server.hung)
		server.hung = make(chan struct{})
	}
	server.switches = switches
}

// Running is the number of requests that hold a slot.
func (server *Server) Running() int { return int(server.running.Load()) }

func (server *Server) turn(writer http.ResponseWriter, request *http.Request) {
	var switches Switches
	if err := json.NewDecoder(request.Body).Decode(&switches); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	server.Turn(switches)
	writer.WriteHeader(http.StatusNoContent)
}

func (server *Server) health(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(dialect.Own().RequestID, request.Header.Get(dialect.Own().RequestID))
	if server.turned().Sick {
		http.Error(writer, "sick", http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(writer, "ok\n")
}

func (server *Server) load(writer http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(writer).Encode(map[string]int{"running": server.Running(), "slots": server.Slots})
}

func (server *Server) turned() Switches {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.switches
}

func (server *Server) serve(writer http.ResponseWriter, request *http.Request) {
	server.slots <- struct{}{}
	server.running.Add(1)
	defer func() {
		server.running.Add(-1)
		<-server.slots
	}()
	server.enter(request)
	writer.Header().Set(dialect.Own().RequestID, request.Header.Get(dialect.Own().RequestID))
	switches := server.turned()
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
	if !server.work(request, switches) {
		return
	}
	server.answer(writer, request, switches)
}

// enter notes in the ledger that a request has started to run.
func (server *Server) enter(request *http.Request) {
	if trial := request.Header.Get(TrialHeader); trial != "" && server.Ledger != nil {
		_, _ = fmt.Fprintf(server.Ledger, "%s %s %s\n", server.Name, request.Method, trial)
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
	hung := server.hung
	server.mutex.Unlock()
	select {
	case <-hung:
	case <-request.Context().Done():
	}
}

// work takes the service time, and says whether anyone still waits.
func (server *Server) work(request *http.Request, switches Switches) bool {
	server.mutex.Lock()
	took := server.drawTime()
	server.mutex.Unlock()
	if switches.SlowFactor > 0 {
		took = time.Duration(float64(took) * switches.SlowFactor)
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}

func (server *Server) drawTime() time.Duration {
	parts := max(1, server.ServiceShape)
	sum := 0.0
	for range parts {
		sum += server.random.ExpFloat64()
	}
	return time.Duration(sum / float64(parts) * float64(server.ServiceTime))
}

// maxArchive bounds an archive, in bytes.
const maxArchive = 1 << 30

func (server *Server) answer(writer http.ResponseWriter, request *http.Request, switches Switches) {
	body, _ := io.Copy(io.Discard, request.Body)
	header := writer.Header()
	header.Set(TrialHeader, request.Header.Get(TrialHeader))
	header.Set("Standin-Name", server.Name)
	if size, err := strconv.Atoi(request.URL.Query().Get("size")); err == nil {
		server.archive(writer, min(size, maxArchive), switches)
		return
	}
	if switches.Truncate {
		truncate(writer)
		return
	}
	text := fmt.Sprintf(`{"service":%q,"path":%q,"trial":%q,"received":%d}`+"\n",
		server.Service, request.URL.Path, request.Header.Get(TrialHeader), body)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(writer, text)
	if switches.Twice {
		answerAgain(writer, text)
	}
}

// archive streams a body of a size, with its length as a trailer.
func (server *Server) archive(writer http.ResponseWriter, size int, switches Switches) {
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

// truncate sends the head of an answer and less body than it says.
func truncate(writer http.ResponseWriter) {
	writer.Header().Set("Content-Length", "1000")
	_, _ = io.WriteString(writer, "cut sh")
	panic(http.ErrAbortHandler)
}

// answerAgain sends the answer once more on the same connection, as a broken
// server would.
func answerAgain(writer http.ResponseWriter, text string) {
	controller := http.NewResponseController(writer)
	if controller.Flush() != nil {
		return
	}
	conn, buffer, err := controller.Hijack()
	if err != nil {
		return
	}
	again := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	_, _ = buffer.WriteString(again)
	_ = buffer.Flush()
	time.AfterFunc(time.Second, func() { _ = conn.Close() })
}

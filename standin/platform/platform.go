// Package platform implements a stand-in for the platform's object API. It keeps
// versioned objects in memory and offers conditional writes, lists and watches
// over HTTP and JSON. Its switches make it unavailable or slow, drop the
// responses to writes that have taken effect, or hold writes back.
//
// # Usage
//
//	store := &platform.Store{WritesPerSecond: 300, ReadsPerSecond: 2000}
//	http.ListenAndServe("127.0.0.1:7000", store.Handler())
//
//	curl -X POST -d '{"down": true}' http://127.0.0.1:7000/switches
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	wire "ibislift/io/platform"
)

// maxObjectBytes is the maximum size of an object's body.
const maxObjectBytes = 1 << 20

// Switches are the faults that a test can switch on.
type Switches struct {
	// Down responds to every call with status 503.
	Down bool `json:"down"`
	// DelayMilliseconds is added to the duration of every call.
	DelayMilliseconds int `json:"slow"`
	// DropWriteResponses breaks the connection instead of responding to a write,
	// after the write has taken effect.
	DropWriteResponses bool `json:"loseAnswers"`
	// HoldWrites blocks each write until it is switched off. Only then does the write
	// take effect and get its response, whether or not its caller is still waiting.
	HoldWrites bool `json:"holdWrites"`
	// DownAfterWrite switches Down on, and all other switches off, once the next
	// write has taken effect.
	DownAfterWrite bool `json:"downAfterWrite"`
}

// Counts holds the numbers of calls since the start. Refused calls count neither
// as reads nor as writes.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Refused uint64 `json:"refused"`
}

// Store holds the objects. Set the exported fields before Handler is called. The
// limits are in calls per second; zero means no limit.
type Store struct {
	WritesPerSecond int
	ReadsPerSecond  int

	mutex        sync.Mutex
	objects      map[string]wire.Object
	revision     uint64
	changed      chan struct{}
	switches     Switches
	released     chan struct{}
	counts       Counts
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
}

// Handler returns the HTTP handler of the store.
func (store *Store) Handler() http.Handler {
	store.objects = map[string]wire.Object{}
	store.changed = make(chan struct{})
	store.released = make(chan struct{})
	store.writeLimiter = newLimiter(store.WritesPerSecond)
	store.readLimiter = newLimiter(store.ReadsPerSecond)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects", store.limit(store.readLimiter, store.list))
	mux.HandleFunc("GET /objects/{name...}", store.limit(store.readLimiter, store.get))
	mux.HandleFunc("PUT /objects/{name...}", store.limit(store.writeLimiter, store.put))
	mux.HandleFunc("DELETE /objects/{name...}", store.limit(store.writeLimiter, store.remove))
	mux.HandleFunc("GET /watch", store.limit(store.readLimiter, store.watch))
	mux.HandleFunc("GET /revision", store.limit(store.readLimiter, store.readRevision))
	mux.HandleFunc("POST /switches", store.handleSwitches)
	mux.HandleFunc("GET /counts", store.handleCounts)
	return mux
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// SetSwitches replaces the switches. Switching HoldWrites off releases the writes
// that it holds.
func (store *Store) SetSwitches(switches Switches) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.switches.HoldWrites && !switches.HoldWrites {
		close(store.released)
		store.released = make(chan struct{})
	}
	store.switches = switches
}

// Counts returns the numbers of calls since the start.
func (store *Store) Counts() Counts {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.counts
}

func (store *Store) handleSwitches(writer http.ResponseWriter, request *http.Request) {
	var switches Switches
	if err := json.NewDecoder(request.Body).Decode(&switches); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	store.SetSwitches(switches)
	writer.WriteHeader(http.StatusNoContent)
}

func (store *Store) handleCounts(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, store.Counts())
}

// limit wraps a handler so that each call is counted and is subject to the rate
// limit and the Down and DelayMilliseconds switches.
func (store *Store) limit(limiter *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		store.mutex.Lock()
		switches := store.switches
		refused := switches.Down || !limiter.Allow()
		switch {
		case refused:
			store.counts.Refused++
		case request.Method == http.MethodGet:
			store.counts.Reads++
		default:
			store.counts.Writes++
		}
		store.mutex.Unlock()
		if refused {
			http.Error(writer, "unavailable", http.StatusServiceUnavailable)
			return
		}
		time.Sleep(time.Duration(switches.DelayMilliseconds) * time.Millisecond)
		next(writer, request)
	}
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

func (store *Store) get(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	object, found := store.objects[request.PathValue("name")]
	store.mutex.Unlock()
	if !found {
		http.Error(writer, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(writer, object)
}

func (store *Store) list(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	list := store.newerThan(request.URL.Query().Get("prefix"), 0)
	store.mutex.Unlock()
	writeJSON(writer, list)
}

// readRevision responds with an empty list at the current revision.
func (store *Store) readRevision(writer http.ResponseWriter, _ *http.Request) {
	store.mutex.Lock()
	list := wire.List{Revision: store.revision, Objects: []wire.Object{}}
	store.mutex.Unlock()
	writeJSON(writer, list)
}

// newerThan returns the objects with the prefix whose version is later than the
// revision. The caller holds the mutex.
func (store *Store) newerThan(prefix string, revision uint64) wire.List {
	list := wire.List{Revision: store.revision, Objects: []wire.Object{}}
	for name, object := range store.objects {
		if strings.HasPrefix(name, prefix) && object.Version > revision {
			list.Objects = append(list.Objects, object)
		}
	}
	sort.Slice(list.Objects, func(i, j int) bool { return list.Objects[i].Name < list.Objects[j].Name })
	return list
}

func (store *Store) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	revision, _ := strconv.ParseUint(query.Get("revision"), 10, 64)
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		http.Error(writer, "wait must be a duration, such as 10s", http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		store.mutex.Lock()
		list := store.newerThan(query.Get("prefix"), revision)
		changed := store.changed
		down := store.switches.Down
		store.mutex.Unlock()
		if down {
			http.Error(writer, "unavailable", http.StatusServiceUnavailable)
			return
		}
		if len(list.Objects) > 0 {
			writeJSON(writer, list)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(writer, list)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (store *Store) put(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxObjectBytes+1))
	if err != nil || len(body) > maxObjectBytes || !json.Valid(body) {
		http.Error(writer, "the body must be valid JSON of at most 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	store.awaitRelease()
	store.mutex.Lock()
	name := request.PathValue("name")
	current := store.objects[name]
	baseVersion, _ := strconv.ParseUint(request.Header.Get("If-Match"), 10, 64)
	if current.Version != baseVersion {
		store.mutex.Unlock()
		http.Error(writer, "If-Match does not name the current version", http.StatusPreconditionFailed)
		return
	}
	store.revision++
	object := wire.Object{Name: name, Version: store.revision, Body: body}
	store.objects[name] = object
	store.notifyWatchers()
	dropResponse := store.switches.DropWriteResponses
	if store.switches.DownAfterWrite {
		store.switches = Switches{Down: true}
	}
	store.mutex.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, object)
}

// awaitRelease blocks a write while HoldWrites is on.
func (store *Store) awaitRelease() {
	store.mutex.Lock()
	held := store.switches.HoldWrites
	released := store.released
	store.mutex.Unlock()
	if held {
		<-released
	}
}

// notifyWatchers makes all waiting watches look at the objects again. The caller
// holds the mutex.
func (store *Store) notifyWatchers() {
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *Store) remove(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	delete(store.objects, request.PathValue("name"))
	store.revision++
	writer.WriteHeader(http.StatusNoContent)
}

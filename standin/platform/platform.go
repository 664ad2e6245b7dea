// Package platform is a stand-in for the platform's object API: versioned
// objects in memory, conditional writes, lists and watches, over HTTP and JSON.
// It has switches to be down, to be slow, and to lose the answer of a write
// that has taken effect.
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

// maxObjectBytes is the largest body of an object.
const maxObjectBytes = 1 << 20

// Switches are what a test can turn.
type Switches struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Slow is added to every call, in milliseconds.
	Slow int `json:"slow"`
	// LoseAnswers breaks the connection after each write has taken effect.
	LoseAnswers bool `json:"loseAnswers"`
	// HoldWrites keeps writes back until it is turned off again; they take
	// effect then, whether or not their callers still wait.
	HoldWrites bool `json:"holdWrites"`
	// DownAfterWrite goes down by itself after the next write.
	DownAfterWrite bool `json:"downAfterWrite"`
}

// Counts are the calls so far.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Refused uint64 `json:"refused"`
}

// Store holds the objects. Set the fields before Handler. The limits are in
// calls a second; zero means none.
type Store struct {
	WritesPerSecond int
	ReadsPerSecond  int

	mutex    sync.Mutex
	objects  map[string]wire.Object
	revision uint64
	changed  chan struct{}
	switches Switches
	released chan struct{}
	counts   Counts
	writes   *rate.Limiter
	reads    *rate.Limiter
}

// Handler returns the HTTP face of the store.
func (store *Store) Handler() http.Handler {
	store.objects = map[string]wire.Object{}
	store.changed = make(chan struct{})
	store.released = make(chan struct{})
	store.writes = limiter(store.WritesPerSecond)
	store.reads = limiter(store.ReadsPerSecond)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects", store.guard(store.reads, store.list))
	mux.HandleFunc("GET /objects/{name...}", store.guard(store.reads, store.get))
	mux.HandleFunc("PUT /objects/{name...}", store.guard(store.writes, store.put))
	mux.HandleFunc("DELETE /objects/{name...}", store.guard(store.writes, store.remove))
	mux.HandleFunc("GET /watch", store.guard(store.reads, store.watch))
	mux.HandleFunc("POST /switches", store.turn)
	mux.HandleFunc("GET /counts", store.count)
	return mux
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Turn sets the switches.
func (store *Store) Turn(switches Switches) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.switches.HoldWrites && !switches.HoldWrites {
		close(store.released)
		store.released = make(chan struct{})
	}
	store.switches = switches
}

// Counts returns the calls so far.
func (store *Store) Counts() Counts {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.counts
}

func (store *Store) turn(writer http.ResponseWriter, request *http.Request) {
	var switches Switches
	if err := json.NewDecoder(request.Body).Decode(&switches); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	store.Turn(switches)
	writer.WriteHeader(http.StatusNoContent)
}

func (store *Store) count(writer http.ResponseWriter, _ *http.Request) {
	answer(writer, store.Counts())
}

// guard counts a call and applies the switches and the limits to it.
func (store *Store) guard(limit *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		store.mutex.Lock()
		switches := store.switches
		refused := switches.Down || !limit.Allow()
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
		time.Sleep(time.Duration(switches.Slow) * time.Millisecond)
		next(writer, request)
	}
}

func answer(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

func (store *Store) get(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	object, known := store.objects[request.PathValue("name")]
	store.mutex.Unlock()
	if !known {
		http.Error(writer, "no such object", http.StatusNotFound)
		return
	}
	answer(writer, object)
}

func (store *Store) list(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	list := store.since(request.URL.Query().Get("prefix"), 0)
	store.mutex.Unlock()
	answer(writer, list)
}

// since lists the objects with the prefix that are newer than a revision.
func (store *Store) since(prefix string, revision uint64) wire.List {
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
		http.Error(writer, "wait must be a duration", http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		store.mutex.Lock()
		list := store.since(query.Get("prefix"), revision)
		changed := store.changed
		down := store.switches.Down
		store.mutex.Unlock()
		if down {
			http.Error(writer, "unavailable", http.StatusServiceUnavailable)
			return
		}
		if len(list.Objects) > 0 {
			answer(writer, list)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			answer(writer, list)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (store *Store) put(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxObjectBytes+1))
	if err != nil || len(body) > maxObjectBytes || !json.Valid(body) {
		http.Error(writer, "the body must be JSON of at most a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	store.awaitRelease()
	store.mutex.Lock()
	name := request.PathValue("name")
	current := store.objects[name]
	base, _ := strconv.ParseUint(request.Header.Get("If-Match"), 10, 64)
	if current.Version != base {
		store.mutex.Unlock()
		http.Error(writer, "the version is another", http.StatusPreconditionFailed)
		return
	}
	store.revision++
	object := wire.Object{Name: name, Version: store.revision, Body: body}
	store.objects[name] = object
	store.wake()
	lose := store.switches.LoseAnswers
	if store.switches.DownAfterWrite {
		store.switches = Switches{Down: true}
	}
	store.mutex.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	answer(writer, object)
}

// awaitRelease keeps a write back while writes are held.
func (store *Store) awaitRelease() {
	store.mutex.Lock()
	held := store.switches.HoldWrites
	released := store.released
	store.mutex.Unlock()
	if held {
		<-released
	}
}

func (store *Store) wake() {
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *Store) remove(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	delete(store.objects, request.PathValue("name"))
	writer.WriteHeader(http.StatusNoContent)
}

package kit

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	kind, name string
	revision   uint64
	created    uint64
	spec       json.RawMessage
}

// Store is the platform's store. Each machine has an address of its own at it, so
// that the store can turn single machines away.
type Store struct {
	Record *Record

	mutex    sync.Mutex
	era      int
	away     bool
	revision uint64
	objects  []object
	changed  chan struct{}
	silent   map[string]bool
	watching map[string]int
}

// Listen serves the store to a machine at a free port and returns its address.
func (store *Store) Listen(ip, machine string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		store.serve(machine, writer, request)
	})}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// Silence sets whether the store is silent to a machine. A call that is not answered
// meanwhile stays unanswered, and so does its connection.
func (store *Store) Silence(machine string, silent bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.silent == nil {
		store.silent = map[string]bool{}
	}
	store.silent[machine] = silent
}

// Copy is a copy of the store's objects.
type Copy struct {
	revision uint64
	objects  []object
}

// Copy returns a copy of the store.
func (store *Store) Copy() Copy {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return Copy{revision: store.revision, objects: slices.Clone(store.objects)}
}

// GoAway cuts all calls, and those that follow until Return.
func (store *Store) GoAway() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.away = true
	store.announceLocked()
}

// Return brings the store back from a copy, in the next era.
func (store *Store) Return(from Copy) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.away = false
	store.era++
	store.revision, store.objects = from.revision, from.objects
}

// announceLocked wakes the watches. The caller holds the mutex.
func (store *Store) announceLocked() {
	if store.changed != nil {
		close(store.changed)
	}
	store.changed = make(chan struct{})
}

func (store *Store) isAway() bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.away
}

func (store *Store) isSilent(machine string) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.silent[machine]
}

// Watching returns the machines that have a watch open, sorted.
func (store *Store) Watching() []string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var machines []string
	for machine, count := range store.watching {
		if count > 0 {
			machines = append(machines, machine)
		}
	}
	slices.Sort(machines)
	return machines
}

// Specs returns the objects of a kind.
func (store *Store) Specs(kind string) []string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var specs []string
	for _, object := range store.objects {
		if object.kind == kind {
			specs = append(specs, string(object.spec))
		}
	}
	return specs
}

// Put writes an object as the operator, and returns its revision.
func (store *Store) Put(kind, name string, spec []byte) uint64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.putLocked(kind, name, spec).revision
}

// putLocked writes an object. The caller holds the mutex.
func (store *Store) putLocked(kind, name string, spec []byte) object {
	store.revision++
	written := object{kind: kind, name: name, revision: store.revision, created: store.revision, spec: spec}
	index := store.find(kind, name)
	if index < 0 {
		store.objects = append(store.objects, written)
	} else {
		written.created = store.objects[index].created
		store.objects[index] = written
	}
	store.announceLocked()
	return written
}

// find returns the index of an object or -1. The caller holds the mutex.
func (store *Store) find(kind, name string) int {
	return slices.IndexFunc(store.objects, func(object object) bool { return object.kind == kind && object.name == name })
}

// encode returns an object in the platform's encoding.
func (object object) encode() map[string]any {
	return map[string]any{
		"metadata": map[string]any{
			"name": object.name, "revision": object.revision, "created": object.created,
			"finalizers": []string{}, Name("deleting"): false,
		},
		"spec": object.spec, "status": nil,
	}
}

func (store *Store) serve(machine string, writer http.ResponseWriter, request *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, Name("objectsPath")), "/")
	var status int
	var reply any
	switch {
	case store.isSilent(machine), store.isAway():
	case request.Method == http.MethodGet && name == "" && request.URL.Query().Get("watch") != "":
		status, reply = store.watch(request.Context(), machine, kind, request)
	case request.Method == http.MethodGet:
		status, reply = store.read(kind, name)
	case request.Method == http.MethodPost, request.Method == http.MethodPut:
		status, reply = store.write(kind, name, request)
	default:
		status = http.StatusMethodNotAllowed
	}
	if store.isSilent(machine) {
		store.Record.Line("store: %s %s of %s is not answered", request.Method, request.URL.RequestURI(), machine)
		<-request.Context().Done()
		return
	}
	if store.isAway() {
		store.Record.Line("store: %s %s of %s is cut", request.Method, request.URL.RequestURI(), machine)
		panic(http.ErrAbortHandler)
	}
	store.Record.Line("store: %s %s of %s: %d", request.Method, request.URL.RequestURI(), machine, status)
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set(Name("eraHeader"), store.eraText())
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(reply)
}

// eraText returns the number of the era. The first is 1.
func (store *Store) eraText() string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return strconv.Itoa(store.era + 1)
}

func (store *Store) read(kind, name string) (int, any) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if name != "" {
		index := store.find(kind, name)
		if index < 0 {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, store.objects[index].encode()
	}
	items := []any{}
	for _, object := range store.objects {
		if object.kind == kind {
			items = append(items, object.encode())
		}
	}
	return http.StatusOK, map[string]any{"items": items, Name("hasMore"): false, Name("currentRevision"): store.revision}
}

func (store *Store) write(kind, name string, request *http.Request) (int, any) {
	var body struct {
		Metadata struct {
			Name     string
			Revision uint64
		}
		Spec json.RawMessage
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		return http.StatusBadRequest, nil
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if name == "" {
		name = body.Metadata.Name
	}
	index := store.find(kind, name)
	switch {
	case request.Method == http.MethodPost && index >= 0:
		return http.StatusConflict, store.objects[index].encode()
	case request.Method == http.MethodPut && index < 0:
		return http.StatusNotFound, nil
	case request.Method == http.MethodPut && body.Metadata.Revision != 0 && body.Metadata.Revision != store.objects[index].revision:
		return http.StatusConflict, store.objects[index].encode()
	}
	return http.StatusOK, store.putLocked(kind, name, body.Spec).encode()
}

// watch waits for a change after a revision.
func (store *Store) watch(ctx context.Context, machine, kind string, request *http.Request) (int, any) {
	revision, _ := strconv.ParseUint(request.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait-ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	store.countWatch(machine, 1)
	defer store.countWatch(machine, -1)
	for {
		events, current, changed := store.eventsAfter(kind, revision)
		if revision > current || store.isAway() {
			return http.StatusGone, nil
		}
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, Name("currentRevision"): current}
		}
		select {
		case <-changed:
		case <-timeout.C:
			return http.StatusOK, map[string]any{"events": []any{}, Name("currentRevision"): current}
		case <-ctx.Done():
			return http.StatusOK, nil
		}
	}
}

func (store *Store) countWatch(machine string, change int) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.watching == nil {
		store.watching = map[string]int{}
	}
	store.watching[machine] += change
}

func (store *Store) eventsAfter(kind string, revision uint64) ([]any, uint64, chan struct{}) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var events []any
	for _, object := range store.objects {
		if object.kind == kind && object.revision > revision {
			events = append(events, map[string]any{"object": object.encode(), "deleted": false})
		}
	}
	if store.changed == nil {
		store.changed = make(chan struct{})
	}
	return events, store.revision, store.changed
}

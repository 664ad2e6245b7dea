package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store. Deleted objects stay as tombstones for watches.
type object struct {
	kind, name string
	revision   uint64
	spec       json.RawMessage
	deleted    bool
}

// store is a stand-in of the platform's metadata store. It keeps all changes for watches. Its
// replies to calls that allow stale data are current.
type store struct {
	mutex    sync.Mutex
	revision uint64
	era      int
	away     bool
	changes  []object
	changed  chan struct{}
	server   *http.Server
	address  string
}

// startStore serves the store at a free port of the IP address.
func startStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	started := &store{revision: 100, era: 1, changed: make(chan struct{}), address: listener.Addr().String()}
	started.server = &http.Server{Handler: http.HandlerFunc(started.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = started.server.Serve(listener) }()
	return started, nil
}

func (store *store) close() { _ = store.server.Close() }

// put writes an object as the operator does. The return is the acknowledgement.
func (store *store) put(kind, name string, spec []byte) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write(object{kind: kind, name: name, spec: spec})
}

// leave makes the store reply to nobody until comeBack. Calls that wait are cut off.
func (store *store) leave() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.away = true
	close(store.changed)
	store.changed = make(chan struct{})
}

// comeBack makes the store reply again, from a copy with the given revision.
func (store *store) comeBack(revision uint64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.away = false
	store.era++
	store.revision = revision
	store.changes = slices.DeleteFunc(store.changes, func(change object) bool { return change.revision > revision })
}

// state returns the revision, the era and whether the store is away.
func (store *store) state() (revision uint64, era int, away bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.revision, store.era, store.away
}

// write is called with the mutex held.
func (store *store) write(written object) object {
	store.revision++
	written.revision = store.revision
	store.changes = append(store.changes, written)
	close(store.changed)
	store.changed = make(chan struct{})
	return written
}

// list returns the objects of a kind and the revision.
func (store *store) list(kind string) ([]object, uint64) {
	latest := map[string]object{}
	for _, change := range store.changes {
		if change.kind == kind {
			latest[change.name] = change
		}
	}
	var objects []object
	for _, object := range latest {
		if !object.deleted {
			objects = append(objects, object)
		}
	}
	slices.SortFunc(objects, func(one, other object) int { return strings.Compare(one.name, other.name) })
	return objects, store.revision
}

func (store *store) get(kind, name string) (object, bool) {
	objects, _ := store.list(kind)
	index := slices.IndexFunc(objects, func(object object) bool { return object.name == name })
	if index < 0 {
		return object{}, false
	}
	return objects[index], true
}

func (object object) encode() map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": object.name, "revision": object.revision, "finalizers": []string{}},
		"spec":     object.spec, "status": nil,
	}
}

func (store *store) serve(writer http.ResponseWriter, request *http.Request) {
	_, era, away := store.state()
	if away {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Store-Era", strconv.Itoa(era))
	kind, name, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, protocol("path.objects")), "/")
	query := request.URL.Query()
	switch {
	case request.Method == http.MethodGet && name != "":
		store.mutex.Lock()
		found, exists := store.get(kind, name)
		store.mutex.Unlock()
		if !exists {
			reply(writer, http.StatusNotFound, map[string]any{})
			return
		}
		reply(writer, http.StatusOK, found.encode())
	case request.Method == http.MethodGet && query.Has("watch"):
		store.serveWatch(writer, request, kind)
	case request.Method == http.MethodGet:
		store.mutex.Lock()
		objects, revision := store.list(kind)
		store.mutex.Unlock()
		items := []any{}
		for _, object := range objects {
			if object.name > query.Get("after") {
				items = append(items, object.encode())
			}
		}
		reply(writer, http.StatusOK, map[string]any{"items": items, protocol("field.hasMore"): false, protocol("field.currentRevision"): revision})
	case request.Method == http.MethodPost, request.Method == http.MethodPut:
		store.serveWrite(writer, request, kind, name)
	default:
		reply(writer, http.StatusNotFound, map[string]any{})
	}
}

func (store *store) serveWrite(writer http.ResponseWriter, request *http.Request, kind, name string) {
	var body struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.NewDecoder(io.LimitReader(request.Body, 1<<20)).Decode(&body); err != nil {
		reply(writer, http.StatusBadRequest, map[string]any{})
		return
	}
	if request.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	current, exists := store.get(kind, name)
	switch {
	case request.Method == http.MethodPost && exists,
		request.Method == http.MethodPut && exists && body.Metadata.Revision != 0 && body.Metadata.Revision != current.revision:
		reply(writer, http.StatusConflict, current.encode())
	case request.Method == http.MethodPut && !exists:
		reply(writer, http.StatusNotFound, map[string]any{})
	default:
		written := store.write(object{kind: kind, name: name, spec: body.Spec})
		status := http.StatusOK
		if request.Method == http.MethodPost {
			status = http.StatusCreated
		}
		reply(writer, status, written.encode())
	}
}

func (store *store) serveWatch(writer http.ResponseWriter, request *http.Request, kind string) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	if revision, _, _ := store.state(); after > revision {
		reply(writer, http.StatusGone, map[string]any{})
		return
	}
	for {
		store.mutex.Lock()
		if store.away {
			store.mutex.Unlock()
			panic(http.ErrAbortHandler)
		}
		events := []any{}
		for _, change := range store.changes {
			if change.kind == kind && change.revision > after {
				events = append(events, map[string]any{"object": change.encode(), "deleted": change.deleted})
			}
		}
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		if len(events) > 0 {
			reply(writer, http.StatusOK, map[string]any{"events": events, protocol("field.currentRevision"): revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(writer, http.StatusOK, map[string]any{"events": events, protocol("field.currentRevision"): revision})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

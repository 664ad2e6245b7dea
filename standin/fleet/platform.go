package fleet

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"ibislift/core/kernel"
)

// The timing of the simulated platform.
const (
	platformLatency = 2 * time.Millisecond
	platformTimeout = 2 * time.Second
)

// Platform keeps the objects of the platform in a map. Down, DropWriteReply and
// WriteDelay inject faults.
type Platform struct {
	Random *rand.Rand
	// Down makes the platform refuse every call.
	Down bool
	// Refuses reports whether the platform refuses the calls of a daemon. It
	// refuses none if it is nil.
	Refuses func(caller kernel.Settings) bool
	// DropWriteReply reports whether the reply to a write is lost although the
	// write takes effect. No reply is lost if it is nil.
	DropWriteReply func() bool
	// WriteDelay returns the delay after which a write takes effect, which may
	// be later than the timeout of the call. Writes are not delayed if it is nil.
	WriteDelay func() time.Duration
	// Reads and Writes count the calls, and StaleReads those of the reads that
	// may be stale.
	Reads      int
	StaleReads int
	Writes     int

	objects     map[string]kernel.Object
	revision    uint64
	watches     map[int]func()
	nextWatchID int
}

// Object returns the current version of an object.
func (platform *Platform) Object(name string) (kernel.Object, bool) {
	object, known := platform.objects[name]
	return object, known
}

// Set writes an object, as an operator who does not go through a daemon does.
func (platform *Platform) Set(name string, body []byte) {
	platform.commit(kernel.WriteObject{Name: name, BaseVersion: platform.objects[name].Version, Body: body})
}

// Names returns the sorted names of the objects with a prefix.
func (platform *Platform) Names(prefix string) []string {
	var names []string
	for name := range platform.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// call performs a call and passes the result to reply with the delay after which
// it arrives. The call to reply itself may be made later.
func (platform *Platform) call(fleet *Fleet, caller kernel.Settings, call kernel.PlatformCall, reply func(kernel.PlatformResult, time.Duration)) {
	if platform.Down || platform.Refuses != nil && platform.Refuses(caller) {
		reply(kernel.PlatformResult{Status: kernel.PlatformNotExecuted}, platformLatency)
		return
	}
	switch call := call.(type) {
	case kernel.WriteObject:
		platform.Writes++
		platform.write(fleet, call, reply)
	case kernel.DeleteObject:
		platform.Writes++
		delete(platform.objects, call.Name)
		reply(kernel.PlatformResult{}, platformLatency)
	case kernel.ReadObject:
		platform.Reads++
		reply(platform.read(call.Name), platformLatency)
	case kernel.ListObjects:
		platform.Reads++
		if call.StaleAllowed {
			platform.StaleReads++
		}
		reply(platform.list(call.Prefix, 0), platformLatency)
	case kernel.WatchObjects:
		platform.Reads++
		platform.watch(fleet, call, reply)
	}
}

func (platform *Platform) read(name string) kernel.PlatformResult {
	object, known := platform.objects[name]
	if !known {
		return kernel.PlatformResult{Status: kernel.PlatformNotFound}
	}
	return kernel.PlatformResult{Object: object}
}

func (platform *Platform) list(prefix string, revision uint64) kernel.PlatformResult {
	result := kernel.PlatformResult{Revision: platform.revision}
	for _, name := range platform.Names(prefix) {
		if object := platform.objects[name]; object.Version > revision {
			result.Objects = append(result.Objects, object)
		}
	}
	return result
}

func (platform *Platform) write(fleet *Fleet, call kernel.WriteObject, reply func(kernel.PlatformResult, time.Duration)) {
	delay := time.Duration(0)
	if platform.WriteDelay != nil {
		delay = platform.WriteDelay()
	}
	lost := platform.DropWriteReply != nil && platform.DropWriteReply()
	replied := !lost && delay < platformTimeout
	fleet.schedule(delay+platformLatency/2, func() {
		if result := platform.commit(call); replied {
			reply(result, platformLatency/2)
		}
	})
	if !replied {
		reply(kernel.PlatformResult{Status: kernel.PlatformUnknown}, platformTimeout)
	}
}

func (platform *Platform) commit(call kernel.WriteObject) kernel.PlatformResult {
	if platform.objects[call.Name].Version != call.BaseVersion {
		return kernel.PlatformResult{Status: kernel.PlatformConflict}
	}
	if platform.objects == nil {
		platform.objects = map[string]kernel.Object{}
	}
	platform.revision++
	object := kernel.Object{Name: call.Name, Version: platform.revision, Body: call.Body}
	platform.objects[call.Name] = object
	for _, id := range slices.Sorted(maps.Keys(platform.watches)) {
		platform.watches[id]()
	}
	return kernel.PlatformResult{Object: object}
}

// watch replies when an object with the prefix has changed, or when the wait is
// over.
func (platform *Platform) watch(fleet *Fleet, call kernel.WatchObjects, reply func(kernel.PlatformResult, time.Duration)) {
	replied := false
	tryReply := func(final bool) {
		result := platform.list(call.Prefix, call.Revision)
		if replied || len(result.Objects) == 0 && !final {
			return
		}
		replied = true
		if platform.Down {
			result = kernel.PlatformResult{Status: kernel.PlatformUnknown}
		}
		reply(result, platformLatency)
	}
	tryReply(false)
	if !replied {
		id := platform.nextWatchID
		platform.nextWatchID++
		if platform.watches == nil {
			platform.watches = map[int]func(){}
		}
		platform.watches[id] = func() { tryReply(false) }
		fleet.schedule(call.Wait, func() {
			delete(platform.watches, id)
			tryReply(true)
		})
	}
}

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
	// revisionTimeout is the timeout of a kernel.ReadRevision.
	revisionTimeout = time.Second
)

// Platform keeps the objects of the platform in a map. Down, Refuses, Silent,
// DropWriteReply and WriteDelay inject faults.
type Platform struct {
	Random *rand.Rand
	// Down makes the platform refuse every call.
	Down bool
	// Refuses reports whether the platform refuses the calls of a daemon. It
	// refuses none if it is nil.
	Refuses func(caller kernel.Settings) bool
	// Silent reports whether the platform sends nothing to a daemon. Calls of the
	// daemon have no effect, and the replies to its waiting watches are lost. It is
	// silent to none if it is nil.
	Silent func(caller kernel.Settings) bool
	// Unreadable is the number of objects in each list that cannot be decoded. They are
	// left out of the reply.
	Unreadable int
	// StaleAge is how old the objects are that a read returns which may be stale.
	StaleAge time.Duration
	// HidesRemovals makes watches miss the removal of objects.
	HidesRemovals bool
	// OnWatch, if set, is called when a daemon begins a watch.
	OnWatch func(caller kernel.Settings)
	// DropWriteReply reports whether the reply to a write is lost although the
	// write takes effect. No reply is lost if it is nil.
	DropWriteReply func() bool
	// WriteDelay returns the delay after which a write takes effect, which may
	// be later than the timeout of the call. Writes are not delayed if it is nil.
	WriteDelay func() time.Duration
	// Reads and Writes count the calls, and StaleReads those of the reads that
	// may be stale. RevisionReads counts each kernel.ReadRevision, which is none of
	// these.
	Reads         int
	StaleReads    int
	RevisionReads int
	Writes        int

	// Era is returned with each reply. Restore raises it.
	Era uint64

	objects map[string]kernel.Object
	// removed holds the revision at which an object was removed by Remove.
	removed     map[string]uint64
	revision    uint64
	copies      []copyOfObjects
	watches     map[int]func(cut bool)
	nextWatchID int
}

// copyOfObjects is the state of the platform after a change.
type copyOfObjects struct {
	at       time.Time
	objects  map[string]kernel.Object
	revision uint64
}

// Restore replaces all objects with a copy of the given age and begins a new era.
// Watches that wait are cut off.
func (platform *Platform) Restore(fleet *Fleet, age time.Duration) {
	restored := platform.copyAt(fleet.Now, age)
	platform.objects = maps.Clone(restored.objects)
	platform.revision = restored.revision
	platform.copies = []copyOfObjects{restored}
	maps.DeleteFunc(platform.removed, func(_ string, revision uint64) bool { return revision > restored.revision })
	platform.Era++
	for _, id := range slices.Sorted(maps.Keys(platform.watches)) {
		platform.watches[id](true)
	}
	platform.watches = nil
}

// copyAt returns the latest copy that is at least as old as the given age.
func (platform *Platform) copyAt(now time.Time, age time.Duration) copyOfObjects {
	found := copyOfObjects{}
	for _, earlier := range platform.copies {
		if !earlier.at.After(now.Add(-age)) {
			found = earlier
		}
	}
	return found
}

// keepCopy keeps a copy of all objects, if the platform has eras or stale reads.
func (platform *Platform) keepCopy(at time.Time) {
	if platform.Era > 0 || platform.StaleAge > 0 {
		platform.copies = append(platform.copies, copyOfObjects{at: at, objects: maps.Clone(platform.objects), revision: platform.revision})
	}
}

// Object returns the current version of an object.
func (platform *Platform) Object(name string) (kernel.Object, bool) {
	object, known := platform.objects[name]
	return object, known
}

// Set writes an object, as an operator who does not go through a daemon does.
func (platform *Platform) Set(fleet *Fleet, name string, body []byte) {
	platform.commit(fleet, kernel.WriteObject{Name: name, BaseVersion: platform.objects[name].Version, Body: body})
}

// Remove removes an object, as an operator who does not go through a daemon does.
func (platform *Platform) Remove(fleet *Fleet, name string) {
	platform.revision++
	delete(platform.objects, name)
	if platform.removed == nil {
		platform.removed = map[string]uint64{}
	}
	platform.removed[name] = platform.revision
	platform.notify(fleet)
}

// notify keeps a copy of the objects and tells the watches that wait of a change.
func (platform *Platform) notify(fleet *Fleet) {
	platform.keepCopy(fleet.Now)
	for _, id := range slices.Sorted(maps.Keys(platform.watches)) {
		platform.watches[id](false)
	}
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
	reply = platform.withEra(reply)
	if platform.Down || platform.Refuses != nil && platform.Refuses(caller) {
		reply(kernel.PlatformResult{Status: kernel.PlatformNotExecuted}, platformLatency)
		return
	}
	if platform.isSilent(caller) {
		reply(kernel.PlatformResult{Status: kernel.PlatformUnknown}, timeoutOf(call))
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
		result := platform.list(call.Prefix, 0)
		if call.StaleAllowed {
			platform.StaleReads++
			result = platform.staleList(fleet.Now, result)
		}
		result.Invalid = platform.Unreadable
		reply(result, platformLatency)
	case kernel.WatchObjects:
		platform.Reads++
		if platform.OnWatch != nil {
			platform.OnWatch(caller)
		}
		platform.watch(fleet, caller, call, reply)
	case kernel.ReadRevision:
		platform.RevisionReads++
		reply(kernel.PlatformResult{Revision: platform.revision}, platformLatency)
	}
}

func (platform *Platform) isSilent(caller kernel.Settings) bool {
	return platform.Silent != nil && platform.Silent(caller)
}

// timeoutOf returns when a call without a reply ends.
func timeoutOf(call kernel.PlatformCall) time.Duration {
	switch call := call.(type) {
	case kernel.WatchObjects:
		return call.Wait + platformTimeout
	case kernel.ReadRevision:
		return revisionTimeout
	default:
		return platformTimeout
	}
}

// withEra adds the era at the time of the reply to the replies that come from the
// platform.
func (platform *Platform) withEra(reply func(kernel.PlatformResult, time.Duration)) func(kernel.PlatformResult, time.Duration) {
	return func(result kernel.PlatformResult, delay time.Duration) {
		if result.Status != kernel.PlatformUnknown && result.Status != kernel.PlatformNotExecuted {
			result.Era = platform.Era
		}
		reply(result, delay)
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

// staleList returns a list as it was StaleAge ago. current is the list as it is now.
func (platform *Platform) staleList(now time.Time, current kernel.PlatformResult) kernel.PlatformResult {
	if platform.StaleAge == 0 {
		return current
	}
	earlier := platform.copyAt(now, platform.StaleAge)
	result := kernel.PlatformResult{Revision: earlier.revision}
	for _, object := range current.Objects {
		if object, known := earlier.objects[object.Name]; known {
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
		if result := platform.commit(fleet, call); replied {
			reply(result, platformLatency/2)
		}
	})
	if !replied {
		reply(kernel.PlatformResult{Status: kernel.PlatformUnknown}, platformTimeout)
	}
}

func (platform *Platform) commit(fleet *Fleet, call kernel.WriteObject) kernel.PlatformResult {
	if platform.objects[call.Name].Version != call.BaseVersion {
		return kernel.PlatformResult{Status: kernel.PlatformConflict}
	}
	if platform.objects == nil {
		platform.objects = map[string]kernel.Object{}
	}
	platform.revision++
	object := kernel.Object{Name: call.Name, Version: platform.revision, Body: call.Body}
	platform.objects[call.Name] = object
	delete(platform.removed, call.Name)
	platform.notify(fleet)
	return kernel.PlatformResult{Object: object}
}

// watch replies when an object with the prefix has changed, or when the wait is
// over.
func (platform *Platform) watch(fleet *Fleet, caller kernel.Settings, call kernel.WatchObjects, reply func(kernel.PlatformResult, time.Duration)) {
	if call.Revision > platform.revision {
		reply(kernel.PlatformResult{Status: kernel.PlatformHistoryLost}, platformLatency)
		return
	}
	replied := false
	tryReply := func(final bool) {
		result := platform.list(call.Prefix, call.Revision)
		for _, name := range slices.Sorted(maps.Keys(platform.removed)) {
			hidden := platform.HidesRemovals
			if strings.HasPrefix(name, call.Prefix) && platform.removed[name] > call.Revision && !hidden {
				result.Deleted = append(result.Deleted, name)
			}
		}
		if replied || len(result.Objects)+len(result.Deleted) == 0 && !final {
			return
		}
		replied = true
		if platform.isSilent(caller) {
			reply(kernel.PlatformResult{Status: kernel.PlatformUnknown}, timeoutOf(call))
			return
		}
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
			platform.watches = map[int]func(bool){}
		}
		platform.watches[id] = func(cut bool) {
			if cut && !replied {
				replied = true
				reply(kernel.PlatformResult{Status: kernel.PlatformUnknown}, platformLatency)
				return
			}
			tryReply(false)
		}
		fleet.schedule(call.Wait, func() {
			delete(platform.watches, id)
			tryReply(true)
		})
	}
}

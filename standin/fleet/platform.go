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

// Times of the fake platform.
const (
	platformLatency = 2 * time.Millisecond
	platformTimeout = 2 * time.Second
)

// Platform is the object API as a map. Its fields are its faults.
type Platform struct {
	Random *rand.Rand
	// Down refuses every call.
	Down bool
	// LoseAnswer says whether the answer of a write that has taken effect is
	// lost; nil loses none.
	LoseAnswer func() bool
	// Delay is how late a write takes effect, after its caller may have given
	// up; nil delays none.
	Delay func() time.Duration
	// Reads and Writes count the calls.
	Reads  int
	Writes int

	objects  map[string]kernel.Object
	revision uint64
	watches  map[int]func()
	nextID   int
}

// Object returns an object that stands now.
func (platform *Platform) Object(name string) (kernel.Object, bool) {
	object, known := platform.objects[name]
	return object, known
}

// Names lists the objects with a prefix.
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

// call makes one call and answers it, now or later.
func (platform *Platform) call(fleet *Fleet, call kernel.PlatformCall, answer func(kernel.PlatformResult, time.Duration)) {
	if platform.Down {
		answer(kernel.PlatformResult{Status: kernel.PlatformRefused}, platformLatency)
		return
	}
	switch call := call.(type) {
	case kernel.WriteObject:
		platform.Writes++
		platform.write(fleet, call, answer)
	case kernel.DeleteObject:
		platform.Writes++
		delete(platform.objects, call.Name)
		answer(kernel.PlatformResult{}, platformLatency)
	case kernel.ReadObject:
		platform.Reads++
		answer(platform.read(call.Name), platformLatency)
	case kernel.ListObjects:
		platform.Reads++
		answer(platform.list(call.Prefix, 0), platformLatency)
	case kernel.WatchObjects:
		platform.Reads++
		platform.watch(fleet, call, answer)
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

func (platform *Platform) write(fleet *Fleet, call kernel.WriteObject, answer func(kernel.PlatformResult, time.Duration)) {
	delay := time.Duration(0)
	if platform.Delay != nil {
		delay = platform.Delay()
	}
	lost := platform.LoseAnswer != nil && platform.LoseAnswer()
	answered := !lost && delay < platformTimeout
	fleet.after(delay+platformLatency/2, func() {
		if result := platform.commit(call); answered {
			answer(result, platformLatency/2)
		}
	})
	if !answered {
		answer(kernel.PlatformResult{Status: kernel.PlatformUnknown}, platformTimeout)
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

// watch answers when something has changed, or at the end of the wait.
func (platform *Platform) watch(fleet *Fleet, call kernel.WatchObjects, answer func(kernel.PlatformResult, time.Duration)) {
	answered := false
	try := func(last bool) {
		result := platform.list(call.Prefix, call.Revision)
		if answered || len(result.Objects) == 0 && !last {
			return
		}
		answered = true
		if platform.Down {
			result = kernel.PlatformResult{Status: kernel.PlatformUnknown}
		}
		answer(result, platformLatency)
	}
	try(false)
	if !answered {
		id := platform.nextID
		platform.nextID++
		if platform.watches == nil {
			platform.watches = map[int]func(){}
		}
		platform.watches[id] = func() { try(false) }
		fleet.after(call.Wait, func() {
			delete(platform.watches, id)
			try(true)
		})
	}
}

package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/kernel"
)

// stableTime is how long after its start a daemon may lack a change that was written before.
const stableTime = 4 * time.Second

// settlingTime returns how long a daemon settles while a new member appears with each tick.
func settlingTime(isWatcher, isSynced bool) time.Duration {
	start := time.Unix(1_800_000_000, 0)
	var plugin plugin
	plugin.contact.Update(kernel.Event{At: start, Message: kernel.Started{}})
	if isSynced {
		plugin.contact.Update(kernel.Event{At: start, Message: kernel.PeerSynced{}})
	}
	state := &kernel.State{Watching: isWatcher}
	age := time.Duration(0)
	for ; plugin.isSettling(state, start.Add(age)); age += kernel.TickInterval {
		key := kernel.Key{Kind: kernel.KindMember, Name: fmt.Sprint(age)}
		state.Table.Put(kernel.Record{Key: key, Version: 1})
	}
	return age
}

// Guards against watchers that start with the whole fleet and watch so late that a change is
// not in force in time, and against the calls of daemons that need not watch.
func TestSettling(t *testing.T) {
	t.Run("a watcher settles for less than the time in which a change is in force", func(t *testing.T) {
		is.New(t).True(settlingTime(true, true) < stableTime-500*time.Millisecond)
	})
	t.Run("a daemon that knows nobody settles for longer", func(t *testing.T) {
		is.New(t).True(settlingTime(true, false) > stableTime)
	})
	t.Run("one that is no watcher settles for longer", func(t *testing.T) {
		is.New(t).True(settlingTime(false, true) > stableTime)
	})
}

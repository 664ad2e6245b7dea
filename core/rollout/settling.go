package rollout

import (
	"time"

	"ibislift/core/contact"
	"ibislift/core/kernel"
)

var (
	// watcherSettling is that of a daemon which takes itself for a watcher and has the records
	// of another one. Until its end, daemons that start together may miss a change, which has
	// to be in force 4 s after their start.
	watcherSettling = contact.Settling{Least: 2 * time.Second, Quiet: 500 * time.Millisecond, Most: 3 * time.Second}
	// otherSettling is that of all others. They get a change from the watchers or, if they
	// know nobody, read it in time.
	otherSettling = contact.Settling{Least: 3500 * time.Millisecond, Quiet: time.Second, Most: 8 * time.Second}
)

// isSettling reports whether this daemon has started too recently to watch. In a large fleet
// that starts, many daemons know too few members to know the watchers; it would be dear
// if all of them watched early.
func (plugin *plugin) isSettling(state *kernel.State, at time.Time) bool {
	settling := otherSettling
	if state.Watching && plugin.contact.IsSynced() {
		settling = watcherSettling
	}
	return plugin.contact.IsSettling(state, at, settling)
}

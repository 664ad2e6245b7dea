package rollout

import (
	"time"

	"ibislift/core/kernel"
)

// checkInterval is the time between two checks of a waiting watch. Together with the
// timeout of a check and the time until a watcher is replaced, it stays below the 4 s
// within which a change must be in force.
const checkInterval = 1500 * time.Millisecond

// checkWatch reads the platform's revision if a check of the waiting watch is due. A
// platform that does not reply looks like one where nothing changes: its connections
// stay open, and the watch ends only with its timeout.
func (plugin *plugin) checkWatch(state *kernel.State, at time.Time) []kernel.Effect {
	interval := checkInterval
	if !state.Watching && plugin.contact.IsConnected(at) {
		if plugin.platformDownSince.IsZero() {
			return nil
		}
		interval = recheckInterval
	}
	if plugin.checkPending || at.Sub(plugin.calledAt) < interval {
		return nil
	}
	plugin.checkPending = true
	return plugin.call(at, checkToken, kernel.ReadRevision{Prefix: objectPrefix(state)})
}

// handleCheck reads the table if the platform has changed and the watch has not
// reported it. The change may be one that the watch does not ask for, so the cheaper
// read suffices, which may be some seconds old.
func (plugin *plugin) handleCheck(state *kernel.State, at time.Time, result kernel.PlatformResult) []kernel.Effect {
	// The reply shows that the waiting watch has missed nothing, or what it has missed.
	state.Following = state.Following || plugin.watchToken != 0
	if plugin.watchToken == 0 || plugin.readPending || result.Revision <= plugin.checkedRevision {
		return nil
	}
	plugin.readPending = true
	return plugin.call(at, verifyToken, kernel.ListObjects{Prefix: objectPrefix(state), StaleAllowed: true})
}

// handleVerification merges the table that was read while a watch waits. If it is newer
// than what the watch began with, the watch has missed it and is abandoned.
func (plugin *plugin) handleVerification(state *kernel.State, result kernel.PlatformResult) []kernel.Effect {
	plugin.checkedRevision = max(plugin.checkedRevision, result.Revision)
	effects := plugin.mergeTable(state, result.Objects, false)
	for _, object := range result.Objects {
		if object.Name == state.Settings.RouteObject && object.Version > plugin.eraTracker.revision {
			effects = append(effects, plugin.abandonWatch()...)
		}
	}
	return effects
}

// abandonWatch cancels the waiting watch, if there is one.
func (plugin *plugin) abandonWatch() []kernel.Effect {
	if plugin.watchToken == 0 {
		return nil
	}
	abandoned := kernel.CancelPlatformCall{Owner: pluginName, Token: plugin.watchToken}
	plugin.watchToken = 0
	return []kernel.Effect{abandoned}
}

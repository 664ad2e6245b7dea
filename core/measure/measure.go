// Package measure paces the probes of the upstream beside, so that the probes
// of a service in a region stay within the budget of its profile.
//
// The budget holds in every window of a minute and needs no agreement: each
// daemon takes a share that is the budget divided by the largest number of
// daemons the service may have in the region, a setting that is the same
// everywhere. A partition, a stale view or a restart therefore cannot multiply
// the sum. What a daemon does not need is not passed on, since real traffic
// replaces most probes.
//
// # Usage
//
// The package registers itself with the kernel, which then emits
// ProbeUpstream effects.
package measure

import (
	"time"

	"ibislift/core/kernel"
	"ibislift/core/profile"
)

// Window is the time over which a measuring budget is counted.
const Window = time.Minute

func init() {
	kernel.Register("measure", func() kernel.Plugin { return &plugin{} })
}

type plugin struct {
	last    time.Time
	service string
	gap     time.Duration
}

func (plugin *plugin) Admits(time.Time, kernel.Record) bool { return true }

func (plugin *plugin) Contribute(view *kernel.View) { view.ProbeGap = plugin.gap }

func (plugin *plugin) Update(state *kernel.State, event kernel.Event) []kernel.Effect {
	switch message := event.Message.(type) {
	case kernel.Started:
		plugin.last = event.At
	case kernel.UpstreamAnnounced:
		plugin.service = message.Target.Service
	case kernel.UpstreamSilent:
		plugin.service = ""
	case kernel.Ticked:
		return plugin.tick(state, event.At)
	}
	return nil
}

func (plugin *plugin) tick(state *kernel.State, at time.Time) []kernel.Effect {
	if plugin.service == "" {
		return nil
	}
	budget := profile.Of(&state.Table, plugin.service).MeasuringBudget.ProbesPerMinute
	gap, allowed := Gap(budget, state.Settings.RegionCapacity)
	plugin.gap = gap
	if !allowed || at.Sub(plugin.last) < gap {
		return nil
	}
	plugin.last = at
	return []kernel.Effect{kernel.ProbeUpstream{}}
}

// Gap is the least time between two probes of one daemon, such that any window
// of a minute holds at most the budget, with as many daemons as the capacity.
// A budget below one probe for each daemon allows none.
func Gap(probesPerMinute, capacity int) (time.Duration, bool) {
	share := probesPerMinute / max(1, capacity)
	switch {
	case share < 1:
		return 0, false
	case share == 1:
		return Window + time.Millisecond, true
	default:
		return Window / time.Duration(share-1), true
	}
}

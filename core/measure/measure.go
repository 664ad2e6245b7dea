// Package measure limits the rate of the probes that a daemon sends to its own
// upstream, so that the probes of a service in a region stay within the measuring
// budget of its profile.
//
// The budget holds in every window of one minute, without coordination between
// daemons. The share of each daemon is the budget divided by the maximum number of
// daemons that the service may have in the region, a setting that all daemons have
// in common. A partition, a stale view or a restart therefore cannot exceed the
// budget. The unused part of a share is not passed on to other daemons. A daemon
// leaves it unused because it needs no probes while requests are running at its
// upstream: their responses show the upstream's health as well.
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

// Window is the length of time to which a measuring budget applies.
const Window = time.Minute

func init() {
	kernel.Register("measure", func() kernel.Plugin { return &plugin{} })
}

type plugin struct {
	lastProbe   time.Time
	service     string
	minInterval time.Duration
}

func (plugin *plugin) Accepts(time.Time, kernel.Record) bool { return true }

func (plugin *plugin) FillView(view *kernel.View) { view.ProbeInterval = plugin.minInterval }

func (plugin *plugin) Update(state *kernel.State, event kernel.Event) []kernel.Effect {
	switch message := event.Message.(type) {
	case kernel.Started:
		plugin.lastProbe = event.At
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
	budget := profile.FromTable(&state.Table, plugin.service).MeasuringBudget.ProbesPerMinute
	minInterval, allowed := MinProbeInterval(budget, state.Settings.RegionCapacity)
	plugin.minInterval = minInterval
	if !allowed || at.Sub(plugin.lastProbe) < minInterval {
		return nil
	}
	plugin.lastProbe = at
	return []kernel.Effect{kernel.ProbeUpstream{}}
}

// MinProbeInterval returns the minimum time between two probes by one daemon, so
// that capacity daemons together stay within the budget in every Window. It returns
// false if the budget is below one probe for each daemon, so that no probe is
// allowed.
func MinProbeInterval(probesPerMinute, capacity int) (time.Duration, bool) {
	share := probesPerMinute / max(1, capacity)
	switch {
	case share < 1:
		return 0, false
	case share == 1:
		return Window + time.Millisecond, true
	default:
		// If a window starts with one probe and ends with another, the number
		// of probes in it, share, is one more than the number of intervals.
		return Window / time.Duration(share-1), true
	}
}

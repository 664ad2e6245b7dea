package daemon

import (
	"net"
	"time"

	"github.com/zeebo/errs"

	"ibislift/core/kernel"
	"ibislift/core/measure"
)

// gauges adds the values that are read whenever the metrics are.
func (daemon *Daemon) gauges() error {
	var group errs.Group
	for _, gauge := range []struct {
		name        string
		description string
		value       func() int64
	}{
		{
			"ibislift.gate.running", "Requests that hold a slot of the upstream beside.",
			func() int64 { return int64(daemon.gate.Load().Running) },
		},
		{
			"ibislift.gate.queued", "Requests that wait for a slot.",
			func() int64 { return int64(daemon.gate.Load().Queued) },
		},
		{
			"ibislift.gate.handed.over", "Requests handed over to the upstream so far.",
			func() int64 { return int64(daemon.gate.HandedOver()) },
		},
		{
			"ibislift.configuration.version", "Version of the configuration in force here.",
			func() int64 { return int64(versionOf(daemon.control.view.Load())) },
		},
		{"ibislift.configuration.age.seconds", "Time since the configuration in force came into force here.", daemon.configurationAge},
		{"ibislift.platform.silent.seconds", "Time since the platform has not answered; 0 while it does.", daemon.platformSilence},
		{
			"ibislift.probes.allowed", "Probes a minute that the measuring budget leaves this daemon.",
			func() int64 { return probesAllowed(daemon.control.view.Load().ProbeInterval) },
		},
	} {
		group.Add(daemon.meter.Gauge(gauge.name, gauge.description, gauge.value))
	}
	if daemon.LogDropped != nil {
		group.Add(daemon.meter.Count("ibislift.log.dropped", "Log lines left out.",
			func() int64 { return int64(daemon.LogDropped()) }))
	}
	group.Add(daemon.meter.Budgets(daemon.entry.Budgets))
	return Error.Wrap(group.Err())
}

// versionOf is the version of the route table or, without one, the newest
// version of the configuration objects.
func versionOf(view *kernel.View) uint64 {
	if view.Routes != nil {
		return view.Routes.Version
	}
	newest := uint64(0)
	for _, config := range view.Configs {
		newest = max(newest, config.Version)
	}
	return newest
}

func (daemon *Daemon) configurationAge() int64 {
	applied := daemon.applied.Load()
	if applied == nil {
		return 0
	}
	return int64(time.Since(*applied).Seconds())
}

func (daemon *Daemon) platformSilence() int64 {
	since := daemon.control.view.Load().PlatformDownSince
	if since.IsZero() {
		return 0
	}
	return int64(time.Since(since).Seconds())
}

func probesAllowed(gap time.Duration) int64 {
	if gap <= 0 {
		return 0
	}
	return int64(measure.Window / gap)
}

// reach says how far a daemon is, for the metrics.
type reach string

const (
	reachDataCentre reach = "dataCentre"
	reachRegion     reach = "region"
	reachBeyond     reach = "beyond"
	reachUnknown    reach = "unknown"
)

// reachOf says how far the daemon with an address is. A connection that the
// other side has opened shows its host only.
func (daemon *Daemon) reachOf(address string) reach {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return reachUnknown
	}
	if known, found := daemon.reaches.Load(host); found {
		return known.(reach)
	}
	found := daemon.lookUpReach(host)
	if found != reachUnknown {
		daemon.reaches.Store(host, found)
	}
	return found
}

func (daemon *Daemon) lookUpReach(host string) reach {
	for _, member := range daemon.control.view.Load().Members {
		if known, _, err := net.SplitHostPort(member.PeerAddress); err != nil || known != host {
			continue
		}
		switch {
		case member.Region != daemon.Settings.Region:
			return reachBeyond
		case member.DataCentre != daemon.Settings.DataCentre:
			return reachRegion
		default:
			return reachDataCentre
		}
	}
	return reachUnknown
}

// isNear says whether the daemon with an address is in the own region.
func (daemon *Daemon) isNear(address string) bool {
	reach := daemon.reachOf(address)
	return reach == reachDataCentre || reach == reachRegion
}

// countControl counts bytes of control messages.
func (daemon *Daemon) countControl(direction, address string, bytes int) {
	daemon.meter.Control(direction, string(daemon.reachOf(address)), bytes)
}

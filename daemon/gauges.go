package daemon

import (
	"net"
	"time"

	"github.com/zeebo/errs"

	"ibislift/core/kernel"
	"ibislift/core/measure"
	"ibislift/io/metrics"
	"ibislift/io/peer"
	"ibislift/io/upstream"
)

// registerGauges registers the metrics whose values are read at each scrape.
func (daemon *Daemon) registerGauges() error {
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
			"ibislift.gate.cancelled.running", "Slots held for cancelled requests that the upstream beside may still run.",
			func() int64 { return int64(daemon.gate.Load().CancelledRuns) },
		},
		{
			"ibislift.gate.queued", "Requests that wait for a slot.",
			func() int64 { return int64(daemon.gate.Load().Queued) },
		},
		{
			"ibislift.gate.handed.over", "Requests handed over to the upstream so far.",
			func() int64 { return int64(daemon.gate.HandedOverCount()) },
		},
		{
			"ibislift.configuration.version", "Version of the configuration in force here.",
			func() int64 { return int64(configVersion(daemon.control.view.Load())) },
		},
		{"ibislift.configuration.age.seconds", "Time since the configuration in force came into force here.", daemon.configurationAgeSeconds},
		{"ibislift.platform.silent.seconds", "Time since the platform has not answered; 0 while it does.", daemon.platformSilentSeconds},
		{
			"ibislift.evacuated.data.centres", "Data centres whose targets get nothing, as known here.",
			func() int64 { return int64(len(daemon.control.view.Load().Evacuated)) },
		},
		{"ibislift.withdrawn", "Whether this daemon has withdrawn from callers: 1 if it has, otherwise 0.", daemon.withdrawnGauge},
		{
			"ibislift.probes.allowed", "Probes a minute that the measuring budget leaves this daemon.",
			func() int64 { return probesPerMinute(daemon.control.view.Load().ProbeInterval) },
		},
	} {
		group.Add(daemon.meter.AddGauge(gauge.name, gauge.description, gauge.value))
	}
	group.Add(daemon.meter.AddFloatGauge("ibislift.gate.rate.limit", "Requests a second that the upstream beside takes; -1 without a limit.", daemon.rateLimit))
	group.Add(daemon.meter.AddFloatGauge("ibislift.gate.warmup.left.seconds", "How much longer the upstream beside is cold; 0 while it is warm.",
		func() float64 { return daemon.gate.Load().WarmupLeft.Seconds() }))
	for _, counter := range []struct {
		name        string
		description string
		value       func(upstream.CauseCounts) uint64
	}{
		{"ibislift.gate.refused.by.rank", "Requests refused behind requests of a more urgent rank.", func(counts upstream.CauseCounts) uint64 { return counts.ByRank }},
		{"ibislift.gate.refused.by.use", "Requests refused behind requests of workspaces that use less.", func(counts upstream.CauseCounts) uint64 { return counts.ByUse }},
		{"ibislift.gate.displaced", "Requests whose place in the full queue a more urgent one took.", func(counts upstream.CauseCounts) uint64 { return counts.Displaced }},
	} {
		group.Add(daemon.meter.AddCounter(counter.name, counter.description, func() int64 { return int64(counter.value(daemon.gate.CauseCounts())) }))
	}
	group.Add(daemon.meter.AddFloatGauge("ibislift.timer.lateness.seconds", "How late the last measured timer of this daemon fired; 0 if it does not measure.",
		func() float64 { return time.Duration(daemon.timerLateness.Load()).Seconds() }))
	if daemon.DroppedLogLines != nil {
		group.Add(daemon.meter.AddCounter("ibislift.log.dropped", "Log lines left out.",
			func() int64 { return int64(daemon.DroppedLogLines()) }))
	}
	group.Add(daemon.meter.AddBudgets(daemon.ingress.Budgets))
	group.Add(daemon.registerQuotaMetrics())
	return Error.Wrap(group.Err())
}

// configVersion returns the version of the route table or, if there is none,
// the highest version of the configuration objects.
func configVersion(view *kernel.View) uint64 {
	if view.Routes != nil {
		return view.Routes.Version
	}
	newest := uint64(0)
	for _, config := range view.Configs {
		newest = max(newest, config.Version)
	}
	return newest
}

// noRateLimit is the value of the gauge while the upstream names no rate limit.
const noRateLimit = -1

func (daemon *Daemon) rateLimit() float64 {
	limit := daemon.gate.Load().RateLimit
	if !limit.InForce {
		return noRateLimit
	}
	return limit.PerSecond
}

func (daemon *Daemon) configurationAgeSeconds() int64 {
	appliedAt := daemon.configAppliedAt.Load()
	if appliedAt == nil {
		return 0
	}
	return int64(time.Since(*appliedAt).Seconds())
}

func (daemon *Daemon) platformSilentSeconds() int64 {
	since := daemon.control.view.Load().PlatformDownSince
	if since.IsZero() {
		return 0
	}
	return int64(time.Since(since).Seconds())
}

func (daemon *Daemon) withdrawnGauge() int64 {
	if daemon.control.view.Load().Withdrawal.InForce(time.Now()) {
		return 1
	}
	return 0
}

func probesPerMinute(interval time.Duration) int64 {
	if interval <= 0 {
		return 0
	}
	return int64(measure.Window / interval)
}

// proximity is the location of another daemon relative to this one, as a label
// of metrics.
type proximity string

const (
	proximitySameDataCentre proximity = "dataCentre"
	proximitySameRegion     proximity = "region"
	proximityOtherRegion    proximity = "beyond"
	proximityUnknown        proximity = "unknown"
)

// proximityOf returns the proximity of the daemon at an address. Only the host
// is compared, since the port of a connection that the other daemon opened is
// not its peer port.
func (daemon *Daemon) proximityOf(address string) proximity {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return proximityUnknown
	}
	if known, found := daemon.proximities.Load(host); found {
		return known.(proximity)
	}
	found := daemon.findProximity(host)
	if found != proximityUnknown {
		daemon.proximities.Store(host, found)
	}
	return found
}

func (daemon *Daemon) findProximity(host string) proximity {
	for _, member := range daemon.control.view.Load().Members {
		if known, _, err := net.SplitHostPort(member.PeerAddress); err != nil || known != host {
			continue
		}
		switch {
		case member.Region != daemon.Settings.Region:
			return proximityOtherRegion
		case member.DataCentre != daemon.Settings.DataCentre:
			return proximitySameRegion
		default:
			return proximitySameDataCentre
		}
	}
	return proximityUnknown
}

// isSameRegion reports whether the daemon at an address is in this daemon's
// region.
func (daemon *Daemon) isSameRegion(address string) bool {
	proximity := daemon.proximityOf(address)
	return proximity == proximitySameDataCentre || proximity == proximitySameRegion
}

// countBytes adds to the metric for bytes between daemons.
func (daemon *Daemon) countBytes(direction string, kind peer.ByteKind, address string, bytes int) {
	labels := metrics.ByteLabels{Direction: direction, Proximity: string(daemon.proximityOf(address)), Kind: string(kind)}
	if kind.IsControl() {
		daemon.meter.ControlBytes(labels, bytes)
		return
	}
	daemon.meter.ForwardedBytes(labels, bytes)
}

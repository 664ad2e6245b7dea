package daemon

import (
	"context"
	"time"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/core/profile"
	"ibislift/io/upstream"
)

// handleAnnouncement applies an announcement of the local upstream to the
// client and the gate, and passes it to the kernel. If the upstream has
// restarted, the gate opens again after a drain, unless the daemon is leaving. For an
// upstream that is draining, the gate drains before it gets any slots.
func (daemon *Daemon) handleAnnouncement(announcement upstream.Announcement) {
	view := daemon.control.view.Load()
	self, _ := view.Member(view.Self)
	daemon.client.SetAddress(announcement.Address)
	daemon.client.SetEchoesRequestID(announcement.EchoesRequestID)
	daemon.client.SetExpectedInstance(announcement.Instance)
	daemon.applyEvacuation(view)
	daemon.gate.SetWarmupLimit(daemon.warmupLimit(view, announcement.Service))
	daemon.gate.SetUpstream(announcement.StartedAt, announcement.Instance)
	if announcement.ReportsWarmup {
		daemon.gate.RecordWarmup(announcement.WarmupLeft, time.Time{})
	}
	switch {
	case announcement.Draining:
		daemon.gate.Drain()
	case announcement.StartedAt != self.Target.StartedAt && !self.Leaving:
		daemon.gate.Reopen()
	}
	rules := profile.FromView(view, announcement.Service)
	daemon.gate.Resize(announcement.Slots, rules.QueueBound)
	daemon.gate.SetOrder(rules.QueueOrder)
	daemon.control.send(kernel.UpstreamAnnounced{Target: announcement.Target(), Instance: announcement.Instance})
}

// warmupLimit returns how many requests a second a target of the service takes while it is
// cold, as the route table in force and the settings say.
func (daemon *Daemon) warmupLimit(view *kernel.View, name string) admit.WarmupLimit {
	settings := daemon.liveSettings.Load()
	if settings == nil || view.Routes == nil {
		return admit.WarmupLimit{}
	}
	service := view.Routes.Services[name]
	return admit.NewWarmupLimit(service.WarmupRate, settings.WarmupOvershoot, settings.WarmupSlack, service.WarmupTime)
}

// firstProbeTimeout limits the probe before the first announcement is accepted.
const firstProbeTimeout = 300 * time.Millisecond

// releaseFirstAnnouncement accepts the first announcement of the local upstream once the
// daemon knows whether the instance has left: an earlier process of this daemon may have
// acknowledged that. The other daemons remember it, and the upstream says so itself in
// its responses. It reports whether announcements are accepted from now on.
func (daemon *Daemon) releaseFirstAnnouncement() bool {
	announcement, present := daemon.monitor.Held()
	view := daemon.control.view.Load()
	if !present || !view.Joined || daemon.needsConfiguration() && !view.Ready {
		return false
	}
	if err := daemon.monitor.Release(daemon.saysLeaving(announcement)); err != nil {
		daemon.Log.Warn("first announcement not accepted", "error", err)
	}
	daemon.Log.Info("announcements accepted", "target", announcement.Instance, "uptime", time.Since(daemon.startedAt))
	return true
}

// needsConfiguration reports whether the target must get nothing before this daemon has
// the route table, which says how little a cold target takes, and knows whether its data
// centre is evacuated.
func (daemon *Daemon) needsConfiguration() bool {
	return daemon.Settings.RouteObject != "" && daemon.Settings.WarmupOvershoot > 0 || daemon.Settings.EvacuationPrefix != ""
}

// applyEvacuation closes the gate while this daemon's data centre is evacuated, and opens it
// again, as a view says.
func (daemon *Daemon) applyEvacuation(view *kernel.View) {
	evacuated := view.IsEvacuated(daemon.Settings.DataCentre)
	if daemon.gate.SetEvacuated(evacuated) {
		load := daemon.gate.Load()
		daemon.Log.Info("evacuation of the target changed", "evacuated", evacuated, "running", load.Running, "handedOver", daemon.gate.HandedOverCount())
	}
}

// saysLeaving asks an upstream that has announced itself whether it is leaving.
func (daemon *Daemon) saysLeaving(announcement upstream.Announcement) bool {
	leaving := daemon.client.EffectiveDialect().Leaving
	if leaving == nil || daemon.control.view.Load().IsEvacuated(daemon.Settings.DataCentre) {
		return false
	}
	daemon.client.SetAddress(announcement.Address)
	daemon.client.SetEchoesRequestID(announcement.EchoesRequestID)
	daemon.client.SetExpectedInstance(announcement.Instance)
	ctx, cancel := context.WithTimeout(daemon.background, firstProbeTimeout)
	defer cancel()
	result := daemon.client.Probe(ctx, daemon.healthPath(announcement))
	daemon.meter.Probe(result.Healthy)
	if result.Load != nil {
		daemon.gate.RecordLoad(*result.Load, result.SentAt)
	}
	if !leaving(result.Header) {
		return false
	}
	daemon.Log.Info("upstream says that it is leaving", "target", announcement.Instance)
	return true
}

// recordDeparture passes on that an instance of the local upstream is leaving.
func (daemon *Daemon) recordDeparture(instance string, startedAt int64) {
	daemon.control.send(kernel.UpstreamDeparted{Departure: kernel.Departure{Instance: instance, StartedAt: startedAt}})
}

// drainDeparted drains the gate if a view shows that the upstream which is in service
// has left.
func (daemon *Daemon) drainDeparted(view *kernel.View) {
	current := daemon.monitor.Current()
	if current.Service != "" && view.HasDeparted(current.Instance, current.StartedAt) && !daemon.gate.Load().Draining {
		daemon.Log.Info("upstream has left, as another daemon remembers", "target", current.Instance)
		daemon.gate.Drain()
	}
}

// handleSilence takes the local upstream out of service until it announces
// itself again.
func (daemon *Daemon) handleSilence() {
	daemon.Log.Warn("upstream is silent")
	daemon.gate.Resize(0, 0)
	daemon.control.send(kernel.UpstreamSilent{})
}

// drainUpstream starts to drain the local upstream. The returned channel is
// closed when no request runs any more.
func (daemon *Daemon) drainUpstream() <-chan struct{} {
	daemon.control.send(kernel.DrainRequested{})
	return daemon.gate.Drain()
}

// probeUpstream sends a health probe to the local upstream, unless requests are
// running there: their responses show its health as well.
func (daemon *Daemon) probeUpstream() {
	if daemon.gate.Load().Running > 0 || !daemon.gate.AllowProbe() {
		return
	}
	path := daemon.healthPath(daemon.monitor.Current())
	if !daemon.probe(path).Healthy {
		daemon.Log.Warn("upstream failed its health probe", "path", path)
	}
}

// measureUpstream asks the local upstream for its current slowness and reports
// it. At most one such request runs at a time, so that a hanging upstream does
// not collect more of them.
func (daemon *Daemon) measureUpstream() {
	if !daemon.measuring.CompareAndSwap(false, true) {
		return
	}
	defer daemon.measuring.Store(false)
	result := daemon.probe(daemon.healthPath(daemon.monitor.Current()))
	if result.Load != nil {
		daemon.gate.RecordSlowness(result.Load.Slowness)
		daemon.peerServer.Reporter.ReportIfChanged(time.Now())
	}
}

// measureLoad asks the local upstream how many requests it runs, unless such a request is
// under way.
func (daemon *Daemon) measureLoad() {
	if !daemon.measuringLoad.CompareAndSwap(false, true) {
		return
	}
	defer daemon.measuringLoad.Store(false)
	daemon.probe(daemon.healthPath(daemon.monitor.Current()))
}

// probe sends a health probe to the local upstream and records what the response says of
// the upstream's own state.
func (daemon *Daemon) probe(path string) upstream.ProbeResult {
	result := daemon.client.Probe(context.Background(), path)
	daemon.meter.Probe(result.Healthy)
	daemon.peerServer.RecordProbe(result)
	return result
}

// healthPath returns the health path from the route table or, if the table has
// none, from the upstream's announcement.
func (daemon *Daemon) healthPath(announced upstream.Announcement) string {
	if table := daemon.control.view.Load().Routes; table != nil {
		if path := table.Services[announced.Service].HealthPath; path != "" {
			return path
		}
	}
	return announced.HealthPath
}

// Exchange handles an envelope from another daemon and returns the reply.
func (daemon *Daemon) Exchange(ctx context.Context, envelope kernel.Envelope) (kernel.Envelope, error) {
	return daemon.control.Exchange(ctx, envelope)
}

// Claim handles another daemon's claim request for an idempotency key.
func (daemon *Daemon) Claim(ctx context.Context, request kernel.ClaimRequested) (kernel.ClaimResult, error) {
	return daemon.control.Claim(ctx, request)
}

// CloseClaim handles the notice that a claimed request has ended.
func (daemon *Daemon) CloseClaim(closed kernel.ClaimClosed) { daemon.control.CloseClaim(closed) }

// ReportCompleted clears the suspicion against a fingerprint whose request got a
// response.
func (daemon *Daemon) ReportCompleted(fingerprint string) {
	if _, suspected := daemon.control.view.Load().CrashSuspect(fingerprint); suspected {
		daemon.control.send(kernel.SuspectCompleted{Fingerprint: fingerprint})
	}
}

// Serves reports whether the local upstream belongs to the service.
func (daemon *Daemon) Serves(service string) bool { return daemon.monitor.Current().Service == service }

// ReportMisdirected takes an instance out of service if its address now belongs to
// another instance.
func (daemon *Daemon) ReportMisdirected(instance string) { daemon.monitor.ReportMisdirected(instance) }

// ReportLeaving drains an instance that has said in a response that it is leaving, as if
// it had announced that.
func (daemon *Daemon) ReportLeaving(instance string) { daemon.monitor.RecordDeparture(instance) }

// ReportCrashed spreads the fingerprints of the requests that were running when the
// local upstream crashed, and takes the upstream out of service.
func (daemon *Daemon) ReportCrashed(fingerprints []string) {
	daemon.Log.Warn("upstream crashed", "fingerprints", fingerprints)
	service := daemon.monitor.Current().Service
	limit := profile.FromView(daemon.control.view.Load(), service).CrashLimit
	daemon.control.send(kernel.UpstreamCrashed{Fingerprints: fingerprints, BlockFor: limit.BlockFor.Duration()})
	daemon.monitor.MarkGone()
}

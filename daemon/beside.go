package daemon

import (
	"context"
	"time"

	"ibislift/core/kernel"
	"ibislift/core/profile"
	"ibislift/io/upstream"
)

// announced takes the word of the upstream beside.
func (daemon *Daemon) announced(announcement upstream.Announcement) {
	view := daemon.control.view.Load()
	self, _ := view.Member(view.Self)
	daemon.client.Retarget(announcement.Address)
	daemon.client.ExpectEcho(announcement.EchoesRequestID)
	daemon.client.Expect(announcement.Instance)
	if announcement.Started != self.Target.StartedAt && !self.Leaving {
		daemon.gate.Reopen()
	}
	rules := profile.InForce(view, announcement.Service)
	daemon.gate.Resize(announcement.Slots, rules.QueueBound)
	daemon.control.tell(kernel.UpstreamAnnounced{Target: announcement.Target()})
}

// silent takes the upstream out of service until it announces itself again.
func (daemon *Daemon) silent() {
	daemon.Log.Warn("upstream is silent")
	daemon.gate.Resize(0, 0)
	daemon.control.tell(kernel.UpstreamSilent{})
}

// drainTarget starts a drain of the upstream beside.
func (daemon *Daemon) drainTarget() <-chan struct{} {
	daemon.control.tell(kernel.DrainRequested{})
	return daemon.gate.Drain()
}

// probe asks the upstream beside for its health. An upstream that answers
// requests needs no probe.
func (daemon *Daemon) probe() {
	if daemon.gate.Load().Running > 0 {
		return
	}
	path := daemon.healthPath()
	healthy, _ := daemon.client.Probe(context.Background(), path)
	daemon.meter.Probe(healthy)
	if !healthy {
		daemon.Log.Warn("upstream failed its health probe", "path", path)
	}
}

// measure asks the upstream beside how long work takes now, and reports it. One
// question at a time is enough: an upstream that hangs gets no more.
func (daemon *Daemon) measure() {
	if !daemon.measuring.CompareAndSwap(false, true) {
		return
	}
	defer daemon.measuring.Store(false)
	healthy, load := daemon.client.Probe(context.Background(), daemon.healthPath())
	daemon.meter.Probe(healthy)
	if load != nil {
		daemon.gate.Slowness(load.Slowness)
		daemon.server.Reporter.Check(time.Now())
	}
}

// healthPath is the one that the route table names or, without it, the one
// that the upstream announced.
func (daemon *Daemon) healthPath() string {
	announced := daemon.beside.Current()
	if table := daemon.control.view.Load().Routes; table != nil {
		if path := table.Services[announced.Service].HealthPath; path != "" {
			return path
		}
	}
	return announced.HealthPath
}

// Exchange answers another daemon's envelope.
func (daemon *Daemon) Exchange(ctx context.Context, envelope kernel.Envelope) (kernel.Envelope, error) {
	return daemon.control.Exchange(ctx, envelope)
}

// Claim answers another daemon's request for an idempotency key.
func (daemon *Daemon) Claim(ctx context.Context, asked kernel.ClaimRequested) (kernel.ClaimResult, error) {
	return daemon.control.Claim(ctx, asked)
}

// CloseClaim takes the end of a claimed request.
func (daemon *Daemon) CloseClaim(closed kernel.ClaimClosed) { daemon.control.CloseClaim(closed) }

// Completed clears a suspect whose request was answered.
func (daemon *Daemon) Completed(fingerprint string) {
	if _, suspected := daemon.control.view.Load().Suspect(fingerprint); suspected {
		daemon.control.tell(kernel.SuspectCompleted{Fingerprint: fingerprint})
	}
}

// Serves says whether the upstream beside is of the service.
func (daemon *Daemon) Serves(service string) bool { return daemon.beside.Current().Service == service }

// Misdirected takes an instance out of service whose address belongs to
// another one.
func (daemon *Daemon) Misdirected(instance string) { daemon.beside.Misdirected(instance) }

// Crashed spreads the fingerprints of the requests that the upstream died
// with, and takes the upstream out of service.
func (daemon *Daemon) Crashed(fingerprints []string) {
	daemon.Log.Warn("upstream crashed", "fingerprints", fingerprints)
	service := daemon.beside.Current().Service
	limit := profile.InForce(daemon.control.view.Load(), service).CrashLimit
	daemon.control.tell(kernel.UpstreamCrashed{Fingerprints: fingerprints, BlockFor: limit.BlockFor.Duration()})
	daemon.beside.Forget()
}

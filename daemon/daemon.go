// Package daemon assembles the components of an ibislift daemon: the control
// goroutine with its kernel, the ingress for callers, the gate in front of the
// local upstream, and the servers for other daemons, operators and the
// platform.
//
// # Usage
//
//	instance := &daemon.Daemon{Settings: settings, Log: slog.Default()}
//	err := instance.Run(ctx) // drains and returns when the context ends
package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"

	"ibislift/core/admit"
	"ibislift/core/call"
	"ibislift/core/kernel"
	"ibislift/core/profile"
	"ibislift/core/route"
	"ibislift/core/routes"
	"ibislift/io/caller"
	"ibislift/io/http1"
	"ibislift/io/metrics"
	"ibislift/io/operator"
	"ibislift/io/peer"
	"ibislift/io/peer/peerpb"
	"ibislift/io/platform"
	"ibislift/io/quotas"
	"ibislift/io/upstream"

	// The plug-ins of the kernel register themselves.
	_ "ibislift/core/beacon"
	_ "ibislift/core/crash"
	_ "ibislift/core/evacuate"
	_ "ibislift/core/measure"
	_ "ibislift/core/member"
	_ "ibislift/core/once"
	_ "ibislift/core/rollout"
	_ "ibislift/core/spread"
	_ "ibislift/core/withdraw"
)

// Error is the class of all errors of this package.
var Error = errs.Class("daemon")

// Limits of the HTTP servers for operators, announcements and readiness checks.
// Callers have limits of their own.
const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// departureNotice is how long the gate of a stopping daemon still serves after the
// other daemons have been told to choose other targets. The news crosses a few
// daemons and one link between regions.
const departureNotice = 300 * time.Millisecond

// departureDelay is how long a stopping daemon waits for its last records to
// reach the neighbours.
const departureDelay = 200 * time.Millisecond

// finalAnswerTime limits how long the final answers may take: those that callers get
// when the drain timeout has passed, and those to claims of other daemons.
const finalAnswerTime = 300 * time.Millisecond

// housekeepingInterval is the time between two checks for a silent upstream and
// for a changed view that affects the gate and the connections to peers.
const housekeepingInterval = 100 * time.Millisecond

// proximityCacheTime is how long the proximity of a host is cached. After an
// address has moved to another location, metrics and load reports use its old
// proximity for at most this time.
const proximityCacheTime = time.Minute

// Daemon is an ibislift daemon. Its exported fields must be set before Run.
type Daemon struct {
	Settings Settings
	Log      *slog.Logger
	// Site holds what depends on the environment, such as the formats of a
	// platform. The zero value selects ibislift's own formats.
	Site Site
	// DialPeer replaces the default way to connect to other daemons if it is
	// set. Tests use it for links with latency or faults.
	DialPeer func(ctx context.Context, address string) (net.Conn, error)
	// DroppedLogLines returns the number of log lines dropped so far. It is nil
	// if the log does not count them.
	DroppedLogLines func() uint64

	startedAt       time.Time
	control         *control
	claims          *claims
	gate            *upstream.Gate
	client          *upstream.Client
	monitor         *upstream.Monitor
	peers           *peer.Peers
	platform        *platform.Client
	ingress         *caller.Handler
	quotas          *quotas.Quotas
	meter           *metrics.Meter
	rpc             *grpc.Server
	peerServer      *peer.Server
	forwardListener net.Listener
	httpServers     []*http.Server
	callerServer    *http1.Server
	// leaving reports whether the daemon is stopping, and measuring whether
	// measureUpstream is running.
	leaving   atomic.Bool
	measuring atomic.Bool
	// timerLateness is how late the last measured timer fired, in nanoseconds.
	timerLateness atomic.Int64
	// measuringLoad is set while the upstream is asked how many requests it runs.
	measuringLoad atomic.Bool
	serveErrors   chan error
	// liveSettings are the settings in force, which Reload may change.
	liveSettings atomic.Pointer[Settings]
	// configAppliedAt is when this daemon applied its current configuration.
	configAppliedAt atomic.Pointer[time.Time]
	// proximities caches the proximity of hosts for proximityCacheTime.
	proximities sync.Map
	// background is the context of all background work. It ends when the daemon
	// has stopped.
	background context.Context
}

// Run starts the daemon and serves until the context ends. Then it drains the
// daemon: the gate refuses new requests, running requests and those of callers
// finish, and the neighbours are notified that the daemon leaves.
func (daemon *Daemon) Run(ctx context.Context) error {
	if err := daemon.build(); err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	daemon.background = background
	go daemon.control.run(background)
	go daemon.gate.Run(background)
	go daemon.runHousekeeping(background)
	if daemon.Settings.WithdrawAfter > 0 {
		go daemon.measureTimerLateness(background)
	}
	if daemon.quotas != nil {
		go daemon.quotas.Run(background)
	}
	if err := daemon.listen(); err != nil {
		daemon.close()
		return err
	}
	daemon.Log.Info("daemon started", "name", daemon.Settings.Name, "callers", daemon.Settings.CallerAddress)
	select {
	case <-ctx.Done():
	case err := <-daemon.serveErrors:
		daemon.close()
		return err
	}
	daemon.stop()
	return nil
}

// build creates the components of the daemon and connects them.
func (daemon *Daemon) build() error {
	daemon.startedAt = time.Now()
	daemon.serveErrors = make(chan error, 4)
	daemon.liveSettings.CompareAndSwap(nil, &daemon.Settings)
	meter, err := metrics.New()
	if err != nil {
		return Error.Wrap(err)
	}
	daemon.meter = meter
	daemon.Site = daemon.Site.withDefaults()
	daemon.platform = &platform.Client{Address: daemon.Settings.PlatformAddress, Codec: daemon.Site.Codec, Log: daemon.Log, OnCallEnd: meter.PlatformCall}
	daemon.client = &upstream.Client{Dialect: daemon.Site.Dialect}
	daemon.gate = &upstream.Gate{Now: time.Now, Headroom: daemon.Settings.Headroom, HoldCancelledRuns: daemon.Settings.HoldCancelledRuns, RecordWait: meter.GateDecision, MaxSlownessAge: daemon.Settings.MaxSlownessAge, MeasureSlowness: daemon.measureUpstream, MeasureLoad: daemon.measureLoad}
	daemon.control = newControl(daemon.Settings.kernelSettings(daemon.startedAt.UnixMilli()))
	peerServer := &peer.Server{Gate: daemon.gate, Upstream: daemon.client, Control: daemon, CountBytes: daemon.countBytes, Log: daemon.Log}
	counter := &peer.Counter{CountBytes: daemon.countBytes}
	daemon.peerServer = peerServer
	peerServer.Reporter = &peer.Reporter{
		Self:         daemon.Settings.Name,
		Service:      func() string { return daemon.monitor.Current().Service },
		Load:         daemon.gate.Load,
		InSameRegion: daemon.isSameRegion,
		CountBytes:   daemon.countBytes,
		OnReport:     func(from, service string, load admit.Load) { daemon.ingress.RecordReport(from, service, load) },
	}
	daemon.peers = &peer.Peers{Self: daemon.Settings.Name, Server: peerServer, Dial: daemon.DialPeer, CountBytes: daemon.countBytes, StatsHandler: counter}
	daemon.control.platform = daemon.platform
	daemon.control.peers = daemon.peers
	daemon.control.probe = daemon.probeUpstream
	daemon.control.now = time.Now
	daemon.control.log = daemon.Log
	daemon.monitor = &upstream.Monitor{
		Now: time.Now, OnAnnouncement: daemon.handleAnnouncement, OnSilent: daemon.handleSilence, Drain: daemon.drainUpstream,
		SilenceTimeout: func() time.Duration { return daemon.liveSettings.Load().SilenceTimeout },
		HasDeparted: func(instance string, startedAt int64) bool {
			return daemon.control.view.Load().HasDeparted(instance, startedAt)
		},
		OnDeparture: daemon.recordDeparture,
		HoldsFirst:  true,
	}
	daemon.rpc = peer.NewRPCServer(counter)
	peerpb.RegisterPeerServer(daemon.rpc, peerServer)
	daemon.claims = &claims{control: daemon.control, peers: daemon.peers, meter: daemon.meter}
	daemon.ingress = daemon.buildIngress()
	daemon.buildQuotas()
	return daemon.registerGauges()
}

func (daemon *Daemon) buildIngress() *caller.Handler {
	return &caller.Handler{
		Daemon:        daemon.Settings.Name,
		Epoch:         daemon.startedAt.UnixMilli(),
		View:          daemon.control.view.Load,
		Peers:         daemon.peers,
		Claims:        daemon.claims,
		LinkTo:        daemon.Settings.linkTo,
		Now:           time.Now,
		Meter:         daemon.meter,
		Records:       &caller.Records{},
		Log:           daemon.Log,
		Dialect:       daemon.Site.Dialect,
		CallerService: daemon.Settings.Service,
		SharedBudget:  func() *call.SharedBudget { return daemon.liveSettings.Load().sharedRetryBudget() },
		ReportTo:      daemon.Settings.PeerAddress,
		Splitter:      &routes.Splitter{Daemon: daemon.Settings.Name},

		RunningExcept: daemon.gate.RunningExcept,
	}
}

// listen opens all listeners and starts serving on them. Callers come last.
func (daemon *Daemon) listen() error {
	peers, err := net.Listen("tcp", daemon.Settings.PeerAddress)
	if err != nil {
		return Error.Wrap(err)
	}
	go daemon.serveAndReport(func() error { return daemon.rpc.Serve(peers) })
	if daemon.forwardListener, err = net.Listen("tcp", daemon.Settings.ForwardAddress); err != nil {
		return Error.Wrap(err)
	}
	go daemon.serveAndReport(func() error { return daemon.peerServer.ServeForwardConns(daemon.forwardListener) })
	if err := daemon.peerServer.Reporter.Listen(daemon.Settings.PeerAddress); err != nil {
		return err
	}
	go daemon.peerServer.Reporter.Run(daemon.background)
	api := &operator.API{
		Name:          daemon.Settings.Name,
		View:          daemon.control.view.Load,
		Change:        daemon.control.Change,
		Records:       daemon.ingress.Records,
		Gate:          daemon.gate,
		Metrics:       daemon.meter.Handler(),
		StartedAt:     daemon.startedAt,
		PlatformCalls: daemon.platform.Calls,
	}
	for _, endpoint := range []struct {
		address string
		handler http.Handler
	}{
		{daemon.Settings.UpstreamAddress, daemon.Site.AnnouncementHandler(daemon.Settings.Service, daemon.monitor)},
		{daemon.Settings.OperatorAddress, api.Handler()},
		{daemon.Settings.ReadyAddress, daemon.readinessHandler()},
	} {
		if endpoint.address == "" {
			continue
		}
		if err := daemon.serve(endpoint.address, endpoint.handler); err != nil {
			return err
		}
	}
	return daemon.serveCallers()
}

func (daemon *Daemon) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(daemon.Log.Handler(), slog.LevelDebug),
	}
	daemon.httpServers = append(daemon.httpServers, server)
	go daemon.serveAndReport(func() error { return server.Serve(listener) })
	return nil
}

// serveAndReport runs a server and reports an error that ends it, unless the
// server was closed on purpose.
func (daemon *Daemon) serveAndReport(serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		daemon.serveErrors <- Error.Wrap(err)
	}
}

// stop drains the daemon and shuts it down. It still accepts callers for the
// linger time, since they find out late that the daemon is no longer ready. For as
// long, the upstream serves on: a restart of the daemon takes it away from the
// others for the end of the drain and the start only.
func (daemon *Daemon) stop() {
	daemon.Log.Info("daemon draining")
	settings := daemon.liveSettings.Load()
	ctx, cancel := context.WithTimeout(context.Background(), settings.DrainTimeout)
	defer cancel()
	daemon.leaving.Store(true)
	endAt := time.Now().Add(settings.DrainTimeout)
	daemon.ingress.EndRequestsAt(endAt)
	daemon.gate.ScheduleStop(endAt)
	daemon.callerServer.Drain()
	notice := min(departureNotice, settings.LingerTime)
	time.Sleep(settings.LingerTime - notice)
	daemon.control.send(kernel.DrainRequested{Leaving: true})
	if daemon.quotas != nil {
		daemon.quotas.Stop()
	}
	time.Sleep(notice)
	drained := daemon.gate.Close()
	daemon.shutDownCallerServer(ctx)
	select {
	case <-drained:
	case <-ctx.Done():
		daemon.Log.Warn("requests were still running when the drain timeout passed")
	}
	for _, server := range daemon.httpServers {
		_ = server.Shutdown(ctx)
	}
	if err := daemon.claims.awaitClosed(ctx); err != nil {
		daemon.Log.Warn("claims were still being closed when the drain timeout passed", "error", err)
	}
	daemon.control.send(kernel.StopRequested{})
	daemon.peerServer.DismissForwardConns()
	time.Sleep(departureDelay)
	daemon.close()
	daemon.Log.Info("daemon stopped")
}

// shutDownCallerServer waits for the requests of callers, and for the final answers to
// those that the ingress has ended at the drain timeout.
func (daemon *Daemon) shutDownCallerServer(ctx context.Context) {
	err := daemon.callerServer.Shutdown(ctx)
	if err == nil {
		return
	}
	daemon.Log.Warn("callers were still waiting when the drain timeout passed", "error", err)
	ctx, cancel := context.WithTimeout(context.Background(), finalAnswerTime)
	defer cancel()
	if err := daemon.callerServer.Shutdown(ctx); err != nil {
		daemon.Log.Warn("connections of callers were open after the final answers", "error", err)
	}
}

func (daemon *Daemon) close() {
	if daemon.callerServer != nil {
		_ = daemon.callerServer.Close()
	}
	for _, server := range daemon.httpServers {
		_ = server.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), finalAnswerTime)
	defer cancel()
	peer.StopRPC(ctx, daemon.rpc)
	daemon.peerServer.CloseForwardConns()
	if daemon.forwardListener != nil {
		_ = daemon.forwardListener.Close()
	}
}

// runHousekeeping runs the periodic checks: it detects a silent upstream, logs
// changes, and applies changes of the view to the gate and to the connections
// to peers.
func (daemon *Daemon) runHousekeeping(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	lastView := &kernel.View{}
	var health map[string]route.Health
	proximitiesClearedAt := time.Now()
	released, cold := false, false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			released = released || daemon.releaseFirstAnnouncement()
			daemon.monitor.CheckSilence()
			cold = logWarmup(daemon.Log, cold, daemon.gate.Load())
			health = logHealthChanges(daemon.Log, health, daemon.ingress.AssessHealth())
			if time.Since(proximitiesClearedAt) > proximityCacheTime {
				daemon.proximities.Clear()
				proximitiesClearedAt = time.Now()
			}
			if view := daemon.control.view.Load(); view != lastView {
				logChanges(daemon.Log, lastView, view)
				if configVersion(view) != configVersion(lastView) {
					now := time.Now()
					daemon.configAppliedAt.Store(&now)
				}
				lastView = view
				daemon.applyEvacuation(view)
				daemon.resizeGate(daemon.monitor.Current())
				daemon.drainDeparted(view)
				daemon.peers.CloseUnused(view)
			}
		}
	}
}

// resizeGate sets the limits of the gate from the upstream's announcement and
// the service's profile.
func (daemon *Daemon) resizeGate(announcement upstream.Announcement) {
	view := daemon.control.view.Load()
	self, _ := view.Member(view.Self)
	if self.Target.Service == "" {
		return
	}
	rules := profile.FromView(view, announcement.Service)
	daemon.gate.SetWarmupLimit(daemon.warmupLimit(view, announcement.Service))
	daemon.gate.Resize(announcement.Slots, rules.QueueBound)
	daemon.gate.SetOrder(rules.QueueOrder)
}

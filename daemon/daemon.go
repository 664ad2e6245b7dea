// Package daemon puts the parts of an ibislift daemon together: the control
// goroutine with its kernel, the entry for callers, the gate before the
// upstream beside, and the faces towards peers, operators and the platform.
//
// # Usage
//
//	started := &daemon.Daemon{Settings: settings, Log: slog.Default()}
//	err := started.Run(ctx) // drains and returns when the context ends
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
	"ibislift/io/upstream"

	// The plug-ins of the kernel register themselves.
	_ "ibislift/core/beacon"
	_ "ibislift/core/crash"
	_ "ibislift/core/measure"
	_ "ibislift/core/member"
	_ "ibislift/core/once"
	_ "ibislift/core/rollout"
	_ "ibislift/core/spread"
)

// Error is the class of all errors of this package.
var Error = errs.Class("daemon")

// Limits of the HTTP servers.
const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// farewellTime is how long the last records get to reach the neighbours.
const farewellTime = 200 * time.Millisecond

// housekeepingInterval is the time between two looks at the upstream's silence
// and the view's effect on gate and connections.
const housekeepingInterval = 100 * time.Millisecond

// reachTime is how long it is remembered how far a host is: an address that is
// used again elsewhere shows in the metrics within that time.
const reachTime = time.Minute

// Daemon is one ibislift daemon. Set the fields before Run.
type Daemon struct {
	Settings Settings
	Log      *slog.Logger
	// Site is how the place speaks where the daemon runs; the zero Site is the
	// product's own way.
	Site Site
	// DialPeer replaces the usual way to connect to other daemons, if it is
	// set; tests put links with latency or faults there.
	DialPeer func(ctx context.Context, address string) (net.Conn, error)
	// LogDropped is the number of log lines left out so far, if the log counts.
	LogDropped func() uint64

	started   time.Time
	control   *control
	gate      *upstream.Gate
	client    *upstream.Client
	beside    *upstream.Beside
	peers     *peer.Peers
	platform  *platform.Client
	entry     *caller.Handler
	meter     *metrics.Meter
	rpc       *grpc.Server
	server    *peer.Server
	lines     net.Listener
	servers   []*http.Server
	callers   *http1.Server
	leaving   atomic.Bool
	measuring atomic.Bool
	failed    chan error
	// live are the settings in force; see Reload.
	live atomic.Pointer[Settings]
	// applied is when the configuration in force came into force here.
	applied atomic.Pointer[time.Time]
	// reaches remembers how far hosts are, for reachTime.
	reaches sync.Map
	// background ends when the daemon has stopped.
	background context.Context
}

// Run starts the daemon and serves until the context ends. Then it drains: the
// gate refuses new work, what runs finishes, what the entry carries finishes,
// and the daemon says good-bye to its neighbours.
func (daemon *Daemon) Run(ctx context.Context) error {
	if err := daemon.build(); err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	daemon.background = background
	go daemon.control.run(background)
	go daemon.gate.Run(background)
	go daemon.keepHouse(background)
	if err := daemon.listen(); err != nil {
		daemon.close()
		return err
	}
	daemon.Log.Info("daemon started", "name", daemon.Settings.Name, "callers", daemon.Settings.CallerAddress)
	select {
	case <-ctx.Done():
	case err := <-daemon.failed:
		daemon.close()
		return err
	}
	daemon.stop()
	return nil
}

// build makes the parts and joins them.
func (daemon *Daemon) build() error {
	daemon.started = time.Now()
	daemon.failed = make(chan error, 4)
	daemon.live.CompareAndSwap(nil, &daemon.Settings)
	meter, err := metrics.New()
	if err != nil {
		return Error.Wrap(err)
	}
	daemon.meter = meter
	daemon.Site = daemon.Site.withDefaults()
	daemon.platform = &platform.Client{Address: daemon.Settings.PlatformAddress, Codec: daemon.Site.Codec, Log: daemon.Log, Count: meter.PlatformCall}
	daemon.client = &upstream.Client{Dialect: daemon.Site.Dialect}
	daemon.gate = &upstream.Gate{Now: time.Now, Headroom: daemon.Settings.Headroom, Waited: meter.Waited, FreshTime: daemon.Settings.FreshTime, Measure: daemon.measure}
	daemon.control = newControl(daemon.Settings.kernelSettings(daemon.started.UnixMilli()))
	server := &peer.Server{Gate: daemon.gate, Upstream: daemon.client, Control: daemon, Log: daemon.Log}
	counter := &peer.Counter{Count: daemon.countControl}
	daemon.server = server
	server.Reporter = &peer.Reporter{
		Self:     daemon.Settings.Name,
		Service:  func() string { return daemon.beside.Current().Service },
		Load:     daemon.gate.Load,
		IsNear:   daemon.isNear,
		Count:    daemon.countControl,
		Received: func(from, service string, load admit.Load) { daemon.entry.Reported(from, service, load) },
	}
	daemon.peers = &peer.Peers{Self: daemon.Settings.Name, Server: server, Dial: daemon.DialPeer, Stats: counter}
	daemon.control.platform = daemon.platform
	daemon.control.peers = daemon.peers
	daemon.control.probe = daemon.probe
	daemon.control.now = time.Now
	daemon.control.log = daemon.Log
	daemon.beside = &upstream.Beside{
		Now: time.Now, Announced: daemon.announced, Silent: daemon.silent, Drain: daemon.drainTarget,
		Silence: func() time.Duration { return daemon.live.Load().SilenceTime },
	}
	daemon.rpc = peer.NewRPCServer(counter)
	peerpb.RegisterPeerServer(daemon.rpc, server)
	daemon.entry = daemon.buildEntry()
	return daemon.gauges()
}

func (daemon *Daemon) buildEntry() *caller.Handler {
	return &caller.Handler{
		Self:     daemon.Settings.Name,
		Epoch:    daemon.started.UnixMilli(),
		View:     daemon.control.view.Load,
		Peers:    daemon.peers,
		Claims:   &claims{control: daemon.control, peers: daemon.peers, meter: daemon.meter},
		Distance: daemon.Settings.distance,
		Now:      time.Now,
		Meter:    daemon.meter,
		Records:  &caller.Records{},
		Log:      daemon.Log,
		Dialect:  daemon.Site.Dialect,
		Service:  daemon.Settings.Service,
		Shared:   func() *call.SharedBudget { return daemon.live.Load().sharedRetries() },
		ReportTo: daemon.Settings.PeerAddress,
		Split:    &routes.Split{Self: daemon.Settings.Name},
	}
}

// listen opens all addresses before it serves any.
func (daemon *Daemon) listen() error {
	peers, err := net.Listen("tcp", daemon.Settings.PeerAddress)
	if err != nil {
		return Error.Wrap(err)
	}
	go daemon.watch(func() error { return daemon.rpc.Serve(peers) })
	if daemon.lines, err = net.Listen("tcp", daemon.Settings.CarryAddress); err != nil {
		return Error.Wrap(err)
	}
	go daemon.watch(func() error { return daemon.server.ServeLines(daemon.lines) })
	if err := daemon.server.Reporter.Listen(daemon.Settings.PeerAddress); err != nil {
		return err
	}
	go daemon.server.Reporter.Run(daemon.background)
	api := &operator.API{
		Name:    daemon.Settings.Name,
		View:    daemon.control.view.Load,
		Change:  daemon.control.Change,
		Records: daemon.entry.Records,
		Gate:    daemon.gate,
		Metrics: daemon.meter.Handler(),
		Started: daemon.started,
		Calls:   daemon.platform.Calls,
	}
	for _, face := range []struct {
		address string
		handler http.Handler
	}{
		{daemon.Settings.UpstreamAddress, daemon.Site.Announcements(daemon.Settings.Service, daemon.beside)},
		{daemon.Settings.OperatorAddress, api.Handler()},
		{daemon.Settings.ReadyAddress, daemon.readiness()},
	} {
		if face.address == "" {
			continue
		}
		if err := daemon.serve(face.address, face.handler); err != nil {
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
	daemon.servers = append(daemon.servers, server)
	go daemon.watch(func() error { return server.Serve(listener) })
	return nil
}

// watch reports the end of a server that nobody has asked to end.
func (daemon *Daemon) watch(serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		daemon.failed <- Error.Wrap(err)
	}
}

// stop drains the daemon and ends it. Callers are still taken for a while,
// since they learn late that it is not ready any more.
func (daemon *Daemon) stop() {
	daemon.Log.Info("daemon draining")
	settings := daemon.live.Load()
	ctx, cancel := context.WithTimeout(context.Background(), settings.DrainTimeout)
	defer cancel()
	daemon.leaving.Store(true)
	daemon.callers.Drain()
	linger := time.After(settings.LingerTime)
	daemon.control.tell(kernel.DrainRequested{Leaving: true})
	select {
	case <-daemon.gate.Drain():
	case <-ctx.Done():
		daemon.Log.Warn("requests were still running when the drain timeout passed")
	}
	<-linger
	if err := daemon.callers.Shutdown(ctx); err != nil {
		daemon.Log.Warn("callers were still waiting when the drain timeout passed", "error", err)
	}
	for _, server := range daemon.servers {
		_ = server.Shutdown(ctx)
	}
	daemon.control.tell(kernel.StopRequested{})
	time.Sleep(farewellTime)
	daemon.close()
	daemon.Log.Info("daemon stopped")
}

func (daemon *Daemon) close() {
	if daemon.callers != nil {
		_ = daemon.callers.Close()
	}
	for _, server := range daemon.servers {
		_ = server.Close()
	}
	daemon.rpc.Stop()
	if daemon.lines != nil {
		_ = daemon.lines.Close()
	}
	daemon.server.CloseLines()
}

// keepHouse looks after what has to follow the view and the time.
func (daemon *Daemon) keepHouse(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	seen := &kernel.View{}
	var judged map[string]route.Judgement
	cleared := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			daemon.beside.Tick()
			judged = logJudgements(daemon.Log, judged, daemon.entry.Judgements())
			if time.Since(cleared) > reachTime {
				daemon.reaches.Clear()
				cleared = time.Now()
			}
			if view := daemon.control.view.Load(); view != seen {
				logChanges(daemon.Log, seen, view)
				if versionOf(view) != versionOf(seen) {
					now := time.Now()
					daemon.applied.Store(&now)
				}
				seen = view
				daemon.resize(daemon.beside.Current())
				daemon.peers.Keep(view)
			}
		}
	}
}

// resize gives the gate the limits of the announcement and the profile.
func (daemon *Daemon) resize(announcement upstream.Announcement) {
	view := daemon.control.view.Load()
	self, _ := view.Member(view.Self)
	if self.Target.Service == "" {
		return
	}
	rules := profile.InForce(view, announcement.Service)
	daemon.gate.Resize(announcement.Slots, rules.QueueBound)
}

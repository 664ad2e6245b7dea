package daemon

import (
	"net"
	"net/http"
	"slices"
	"time"

	"ibislift/core/kernel"
	"ibislift/io/http1"
)

// serveCallers listens for callers and serves them in the background. Pipelined
// requests may run concurrently; see allowConcurrent.
func (daemon *Daemon) serveCallers() error {
	listener, err := net.Listen("tcp", daemon.Settings.CallerAddress)
	if err != nil {
		return Error.Wrap(err)
	}
	daemon.callerServer = &http1.Server{Handler: daemon.ingress, Limits: daemon.callerLimits, AllowConcurrent: daemon.allowConcurrent, Log: daemon.Log}
	go daemon.serveAndReport(func() error { return daemon.callerServer.Serve(listener) })
	return nil
}

// callerLimits returns the limits set in the route table, or the zero Limits if
// there is no table.
func (daemon *Daemon) callerLimits() http1.Limits {
	table := daemon.control.view.Load().Routes
	if table == nil {
		return http1.Limits{}
	}
	limits := table.Limits
	return http1.Limits{MaxHeaderBytes: limits.MaxHeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}

// allowConcurrent reports whether a request may run concurrently with earlier
// requests of its connection. Only repeatable requests may: if a response
// closes the connection, the caller sends the requests behind it again, and
// these may already have run.
func (daemon *Daemon) allowConcurrent(request *http.Request) bool {
	table := daemon.control.view.Load().Routes
	if table == nil {
		return false
	}
	route, found := table.Match(request.Host, request.URL.Path)
	return found && route.Repeatable
}

// discoveryTime is how long a starting daemon waits for a target of every
// service in the route table before it accepts callers without them. Heartbeats
// of the targets and records from neighbours arrive within this time if they
// arrive at all.
const discoveryTime = 3 * time.Second

// acceptsCallers reports whether the daemon is ready for callers: it has a
// configuration, is not leaving, has not withdrawn from them, and knows a serving target for every service
// in the route table or has waited for discoveryTime.
func (daemon *Daemon) acceptsCallers(view *kernel.View) bool {
	if !view.Ready || daemon.leaving.Load() || view.Withdrawal.InForce(time.Now()) {
		return false
	}
	if view.Routes == nil || time.Since(daemon.startedAt) > discoveryTime {
		return true
	}
	for _, name := range view.Routes.ServiceNames() {
		members, _ := view.Service(name)
		if !slices.ContainsFunc(members, kernel.Member.Serves) {
			return false
		}
	}
	return true
}

// readinessHandler responds with 200 while the daemon accepts callers and with
// 503 otherwise.
func (daemon *Daemon) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+daemon.Site.Dialect.ReadyPath, func(writer http.ResponseWriter, _ *http.Request) {
		if !daemon.acceptsCallers(daemon.control.view.Load()) {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

package daemon

import (
	"net"
	"net/http"
	"slices"
	"time"

	"ibislift/core/kernel"
	"ibislift/io/http1"
)

// serveCallers takes callers. Their requests may come ahead of earlier answers.
func (daemon *Daemon) serveCallers() error {
	listener, err := net.Listen("tcp", daemon.Settings.CallerAddress)
	if err != nil {
		return Error.Wrap(err)
	}
	daemon.callers = &http1.Server{Handler: daemon.entry, Limits: daemon.callerLimits, Overlaps: daemon.overlaps, Log: daemon.Log}
	go daemon.watch(func() error { return daemon.callers.Serve(listener) })
	return nil
}

// callerLimits are the limits of the route table, as far as there is one.
func (daemon *Daemon) callerLimits() http1.Limits {
	table := daemon.control.view.Load().Routes
	if table == nil {
		return http1.Limits{}
	}
	limits := table.Limits
	return http1.Limits{HeaderBytes: limits.HeaderBytes, HeaderTime: limits.HeaderTime, IdleTime: limits.IdleTime}
}

// overlaps says whether a request may run beside earlier ones of its
// connection: only if running it twice does no harm, since a caller sends
// again what comes behind an answer that closes the connection.
func (daemon *Daemon) overlaps(request *http.Request) bool {
	table := daemon.control.view.Load().Routes
	if table == nil {
		return false
	}
	route, found := table.Match(request.Host, request.URL.Path)
	return found && route.Repeatable
}

// learningTime is how long a starting daemon waits until it knows targets of
// all services that the route table leads to: their heartbeats and its
// neighbours' records are there by then, if they come at all.
const learningTime = 3 * time.Second

// takesCallers says whether the daemon can do something for callers.
func (daemon *Daemon) takesCallers(view *kernel.View) bool {
	if !view.Ready || daemon.leaving.Load() {
		return false
	}
	if view.Routes == nil || time.Since(daemon.started) > learningTime {
		return true
	}
	for _, name := range view.Routes.Targets() {
		members, _ := view.Service(name)
		if !slices.ContainsFunc(members, kernel.Member.Serves) {
			return false
		}
	}
	return true
}

// readiness answers whether the daemon takes callers.
func (daemon *Daemon) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+daemon.Site.Dialect.ReadyPath, func(writer http.ResponseWriter, _ *http.Request) {
		if !daemon.takesCallers(daemon.control.view.Load()) {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

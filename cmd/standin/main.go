// Command standin runs the stand-ins that tests and the demo use: the
// platform's object API, an upstream, and a daemon whose links to other data
// centres and regions have a simulated latency and can be cut.
//
// # Usage
//
//	standin platform --listen 127.0.0.1:7000
//	standin upstream --service sleeplog --name sleeplog-1 --listen 127.0.0.1:9000 --daemon 127.0.0.1:8002
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"ibislift/daemon"
	"ibislift/standin/link"
	"ibislift/standin/platform"
	"ibislift/standin/upstream"
)

func main() {
	app := kingpin.New("standin", "Stand-ins for ibislift's tests and demo.")
	commands := map[string]func(context.Context) error{}
	registerPlatform(app, commands)
	registerUpstream(app, commands)
	registerDaemon(app, commands)
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := commands[chosen](ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// serve runs an HTTP server until the context is done.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); ctx.Err() == nil {
		return err
	}
	return nil
}

func registerPlatform(app *kingpin.Application, commands map[string]func(context.Context) error) {
	command := app.Command("platform", "Run the platform's object API.")
	listen := command.Flag("listen", "Address.").Default("127.0.0.1:7000").String()
	store := &platform.Store{}
	command.Flag("writes", "Maximum number of writes per second.").Default("300").IntVar(&store.WritesPerSecond)
	command.Flag("reads", "Maximum number of reads per second.").Default("2000").IntVar(&store.ReadsPerSecond)
	commands[command.FullCommand()] = func(ctx context.Context) error {
		return serve(ctx, *listen, store.Handler())
	}
}

func registerUpstream(app *kingpin.Application, commands map[string]func(context.Context) error) {
	command := app.Command("upstream", "Run an upstream.")
	listen := command.Flag("listen", "Address.").Default("127.0.0.1:9000").String()
	daemonAddress := command.Flag("daemon", "Address of the daemon beside the upstream, for announcements.").Default("127.0.0.1:8002").String()
	ledger := command.Flag("ledger", "File to which a line is appended for each request with a Standin-Trial header that starts to run.").String()
	server := &upstream.Server{}
	command.Flag("service", "Name of the service.").Required().StringVar(&server.Service)
	command.Flag("name", "Name of the upstream.").Required().StringVar(&server.Name)
	command.Flag("slots", "Number of requests that run concurrently.").Default("13").IntVar(&server.Slots)
	command.Flag("service-time", "Mean service time.").Default("5ms").DurationVar(&server.ServiceTime)
	command.Flag("service-shape", "Number of exponentially distributed parts of a service time.").Default("1").IntVar(&server.ServiceShape)
	coldTime := command.Flag("cold-time", "How long after its start the upstream says that it is cold.").Duration()
	command.Flag("seed", "Seed of the random service times.").Default("1").Uint64Var(&server.Seed)
	commands[command.FullCommand()] = func(ctx context.Context) error {
		if *ledger != "" {
			file, err := os.OpenFile(*ledger, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
			if err != nil {
				return err
			}
			server.Ledger = file
		}
		return runUpstream(ctx, server, *coldTime, *listen, *daemonAddress)
	}
}

// drainTimeout limits how long a stopping upstream waits until it is drained.
const drainTimeout = 30 * time.Second

// runUpstream serves requests until the context is done, and asks the daemon to
// drain the upstream before it stops.
func runUpstream(ctx context.Context, server *upstream.Server, coldTime time.Duration, listen, daemonAddress string) error {
	serveCtx, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 1)
	handler := server.Handler()
	server.SetSwitches(upstream.Switches{ColdFor: coldTime})
	go func() { failed <- serve(serveCtx, listen, handler) }()
	go server.Announce(serveCtx, daemonAddress, listen)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return server.Drain(drainCtx, daemonAddress)
}

func registerDaemon(app *kingpin.Application, commands map[string]func(context.Context) error) {
	command := app.Command("daemon", "Run an ibislift daemon whose links have a simulated latency and can be cut.")
	flags := &daemon.Flags{}
	flags.Register(command)
	links := &link.Links{}
	command.Flag("lan", "One-way latency between data centres.").Default("1ms").DurationVar(&links.DataCentreLatency)
	command.Flag("wan", "One-way latency between regions.").Default("30ms").DurationVar(&links.RegionLatency)
	linkAddress := command.Flag("link-address", "Address to listen on for requests that cut links.").String()
	commands[command.FullCommand()] = func(ctx context.Context) error {
		settings, err := flags.Validate()
		if err != nil {
			return err
		}
		if links.LocalIP, _, err = net.SplitHostPort(settings.PeerAddress); err != nil {
			return err
		}
		if *linkAddress != "" {
			go func() { _ = serve(ctx, *linkAddress, linkHandler(links)) }()
		}
		localDaemon := &daemon.Daemon{Settings: settings, Log: flags.Logger(), DialPeer: links.Dial}
		return localDaemon.Run(ctx)
	}
}

// linkCut is the body of a request that cuts or restores the links to a region
// or data centre.
type linkCut struct {
	Location  string         `json:"place"`
	Direction link.Direction `json:"direction"`
}

// linkHandler returns the HTTP handler that reports the traffic of the links
// and cuts or restores them.
func linkHandler(links *link.Links) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /links", func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(links.Traffic())
	})
	mux.HandleFunc("POST /links", func(writer http.ResponseWriter, request *http.Request) {
		var cut linkCut
		body, err := io.ReadAll(request.Body)
		if err == nil {
			err = json.Unmarshal(body, &cut)
		}
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		links.Cut(cut.Location, cut.Direction)
		writer.WriteHeader(http.StatusNoContent)
	})
	return mux
}

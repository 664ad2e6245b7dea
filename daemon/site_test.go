package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/daemon"
	"ibislift/standin/platform"
	"ibislift/standin/upstream"
)

// sites counts the sites of this process, so that each has its own addresses.
var sites atomic.Int64

// patience bounds the wait for a condition; it is no measure of speed.
const patience = 20 * time.Second

// ledger notes what the upstreams run.
type ledger struct {
	mutex sync.Mutex
	lines []string
}

func (ledger *ledger) Write(line []byte) (int, error) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.lines = append(ledger.lines, string(line))
	return len(line), nil
}

// runs counts the runs of a trial.
func (ledger *ledger) runs(trial string) int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	count := 0
	for _, line := range ledger.lines {
		if strings.HasSuffix(line, " "+trial+"\n") {
			count++
		}
	}
	return count
}

// instance is one daemon with its upstream, in this process.
type instance struct {
	ip       string
	upstream *upstream.Server
	server   *http.Server
	silence  context.CancelFunc
	stop     context.CancelFunc
	ended    chan error
}

func (instance *instance) callers() string   { return instance.ip + ":8000" }
func (instance *instance) operators() string { return instance.ip + ":8003" }

// site is a small deployment on loopback, in this process.
type site struct {
	t         *testing.T
	store     *platform.Store
	instances []*instance
	ledger    ledger
	prefix    string
	trial     atomic.Int64
}

// newSite starts daemons with an upstream each, all of the service intake.
func newSite(t *testing.T, daemons int) *site {
	t.Helper()
	site := &site{t: t, store: &platform.Store{}}
	site.prefix = fmt.Sprintf("127.%d.%d", 100+os.Getpid()%100, sites.Add(1))
	serveUntilEnd(t, site.prefix+".1:7000", site.store.Handler())
	for number := range daemons {
		site.start(number)
	}
	site.await("all daemons see all targets", func() bool {
		for _, instance := range site.instances {
			if !site.ready(instance) || site.targets(instance) != daemons {
				return false
			}
		}
		return true
	})
	return site
}

func serveUntilEnd(t *testing.T, address string, handler http.Handler) *http.Server {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	is.New(t).NoErr(err)
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return server
}

func (site *site) start(number int) {
	site.t.Helper()
	ip := fmt.Sprintf("%s.%d", site.prefix, 10+number)
	instance := &instance{ip: ip, ended: make(chan error, 1)}
	started := &daemon.Daemon{Settings: site.settings(ip, number), Log: slog.New(slog.DiscardHandler)}
	ctx, stop := context.WithCancel(context.Background())
	instance.stop = stop
	go func() { instance.ended <- started.Run(ctx) }()
	site.t.Cleanup(func() {
		stop()
		<-instance.ended
	})
	site.instances = append(site.instances, instance)
	site.startUpstream(instance, number)
}

func (site *site) settings(ip string, number int) daemon.Settings {
	return daemon.Settings{
		Name: fmt.Sprintf("intake-%d", number), Region: "east", DataCentre: "e1",
		CallerAddress: ip + ":8000", PeerAddress: ip + ":8001", CarryAddress: ip + ":8004", UpstreamAddress: ip + ":8002", OperatorAddress: ip + ":8003",
		PlatformAddress: site.prefix + ".1:7000", PlatformRegion: "east", FirstPeers: []string{site.prefix + ".10:8001"},
		RegionCapacity: 8, ClaimPartitions: 2, ClaimInterval: 5 * time.Millisecond, ClaimRetention: time.Hour,
		DrainTimeout: 10 * time.Second,
	}
}

func (site *site) startUpstream(instance *instance, number int) {
	server := &upstream.Server{
		Service: "intake", Name: fmt.Sprintf("intake-%d", number), Slots: 4, ServiceTime: time.Millisecond,
		Seed: uint64(number), Ledger: &site.ledger,
	}
	instance.upstream = server
	instance.server = serveUntilEnd(site.t, instance.ip+":9000", server.Handler())
	announcing, silence := context.WithCancel(context.Background())
	instance.silence = silence
	server.Crash = func() {
		silence()
		_ = instance.server.Close()
	}
	go server.Announce(announcing, instance.ip+":8002", instance.ip+":9000")
	site.t.Cleanup(silence)
}

func (site *site) await(what string, condition func() bool) {
	site.t.Helper()
	end := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(end) {
			site.t.Fatalf("%s did not come about in %s", what, patience)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (site *site) ready(instance *instance) bool {
	response, err := http.Get("http://" + instance.operators() + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// targets counts the targets that serve in a daemon's eyes.
func (site *site) targets(instance *instance) int {
	response, err := http.Get("http://" + instance.operators() + "/status")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	var status struct {
		Regions []struct{ Targets int }
	}
	_ = json.NewDecoder(response.Body).Decode(&status)
	count := 0
	for _, region := range status.Regions {
		count += region.Targets
	}
	return count
}

// answer is a whole answer to a request.
type answer struct {
	status  int
	outcome string
	header  http.Header
	trailer http.Header
	body    string
	trial   string
	err     error
}

// request describes a request to send.
type request struct {
	method string
	path   string
	header map[string]string
	body   io.Reader
	ctx    context.Context
	host   string
}

// send sends a request through a daemon, under a trial's name.
func (site *site) send(through int, request request) answer {
	site.t.Helper()
	if request.ctx == nil {
		request.ctx = context.Background()
	}
	address := "http://" + site.instances[through].callers() + request.path
	sent, err := http.NewRequestWithContext(request.ctx, request.method, address, request.body)
	is.New(site.t).NoErr(err)
	sent.Host = "intake"
	if request.host != "" {
		sent.Host = request.host
	}
	trial := fmt.Sprintf("trial%d", site.trial.Add(1))
	sent.Header.Set(upstream.TrialHeader, trial)
	for name, value := range request.header {
		sent.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(sent)
	if err != nil {
		return answer{trial: trial, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, outcome: response.Header.Get("Ibislift-Outcome"), header: response.Header,
		trailer: response.Trailer, body: string(body), trial: trial, err: err,
	}
}

// operate makes a call of an operator.
func (site *site) operate(through int, method, path, condition, body string) (int, string) {
	site.t.Helper()
	request, err := http.NewRequest(method, "http://"+site.instances[through].operators()+path, bytes.NewBufferString(body))
	is.New(site.t).NoErr(err)
	switch condition {
	case "":
	case "new":
		request.Header.Set("If-None-Match", "*")
	default:
		request.Header.Set("If-Match", condition)
	}
	response, err := http.DefaultClient.Do(request)
	is.New(site.t).NoErr(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	is.New(site.t).NoErr(err)
	return response.StatusCode, string(text)
}

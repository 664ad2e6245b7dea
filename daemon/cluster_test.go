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
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/quota"
	"ibislift/daemon"
	"ibislift/standin/platform"
	"ibislift/standin/upstream"
)

// clusterCount is the number of clusters started in this process. It gives each
// cluster its own addresses.
var clusterCount atomic.Int64

// awaitTimeout bounds the wait for a condition. It is generous and says nothing
// about expected speed.
const awaitTimeout = 20 * time.Second

// ledger records the requests that the upstreams run.
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

// runs returns how often the upstreams ran the request with an attempt ID.
func (ledger *ledger) runs(attemptID string) int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	count := 0
	for _, line := range ledger.lines {
		if strings.HasSuffix(line, " "+attemptID+"\n") {
			count++
		}
	}
	return count
}

// logs keeps what the daemons of a cluster log.
type logs struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (logs *logs) Write(line []byte) (int, error) {
	logs.mutex.Lock()
	defer logs.mutex.Unlock()
	return logs.text.Write(line)
}

// printIfFailed prints the logs of a failed test, since a failure that shows once
// is traced from them.
func (logs *logs) printIfFailed(t *testing.T) {
	logs.mutex.Lock()
	defer logs.mutex.Unlock()
	if t.Failed() {
		t.Log(logs.text.String())
	}
}

// ranOn reports whether the named upstream ran the request with an attempt ID.
func (ledger *ledger) ranOn(name, attemptID string) bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return slices.ContainsFunc(ledger.lines, func(line string) bool {
		return strings.HasPrefix(line, name+" ") && strings.HasSuffix(line, " "+attemptID+"\n")
	})
}

// instance is a daemon with its upstream, both in this process.
type instance struct {
	ip             string
	upstream       *upstream.Server
	server         *http.Server
	stopAnnouncing context.CancelFunc
	stop           context.CancelFunc
	ended          chan error
}

func (instance *instance) callerAddress() string   { return instance.ip + ":8000" }
func (instance *instance) operatorAddress() string { return instance.ip + ":8003" }

// cluster is a small deployment on loopback addresses in this process.
type cluster struct {
	t         *testing.T
	store     *platform.Store
	instances []*instance
	ledger    ledger
	logs      logs
	// lingerTime and drainTimeout are settings of all daemons.
	lingerTime   time.Duration
	drainTimeout time.Duration
	quotas       quota.Settings
	prefix       string
	// evacuable is set if each daemon has a data centre of its own, which can be
	// evacuated.
	evacuable bool
	// routeTable is the body of the route table, or empty without one.
	routeTable string
	// lastAttemptID is the number in the attempt ID of the last request.
	lastAttemptID atomic.Int64
}

// newCluster starts daemons with an upstream each, all of the service intake,
// and waits until every daemon knows every target.
func newCluster(t *testing.T, daemons int) *cluster {
	t.Helper()
	return newLingeringCluster(t, daemons, 0)
}

// newLingeringCluster is like newCluster, with daemons that linger when they are
// stopped.
func newLingeringCluster(t *testing.T, daemons int, lingerTime time.Duration) *cluster {
	t.Helper()
	return newStoppingCluster(t, daemons, lingerTime, 10*time.Second)
}

// newStoppingCluster is like newLingeringCluster, with a drain timeout.
func newStoppingCluster(t *testing.T, daemons int, lingerTime, drainTimeout time.Duration) *cluster {
	t.Helper()
	cluster := &cluster{t: t, store: &platform.Store{}, lingerTime: lingerTime, drainTimeout: drainTimeout}
	cluster.startAll(daemons)
	return cluster
}

// newEvacuableCluster is like newCluster, with a data centre for each daemon: e0, e1 and
// so on.
func newEvacuableCluster(t *testing.T, daemons int) *cluster {
	t.Helper()
	cluster := &cluster{t: t, store: &platform.Store{}, drainTimeout: 10 * time.Second, evacuable: true}
	cluster.startAll(daemons)
	return cluster
}

// startAll starts the platform and the daemons with their upstreams, and waits until every
// daemon knows every target.
func (cluster *cluster) startAll(daemons int) {
	t := cluster.t
	t.Helper()
	t.Cleanup(func() { cluster.logs.printIfFailed(t) })
	cluster.prefix = fmt.Sprintf("127.%d.%d", 100+os.Getpid()%100, clusterCount.Add(1))
	serveUntilEnd(t, cluster.prefix+".1:7000", cluster.store.Handler())
	if cluster.routeTable != "" {
		cluster.writeObject("config/main", cluster.routeTable)
	}
	for number := range daemons {
		cluster.start(number)
	}
	cluster.await("all daemons know all targets", func() bool {
		for _, instance := range cluster.instances {
			if !cluster.ready(instance) || cluster.targets(instance) != daemons {
				return false
			}
		}
		return true
	})
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

func (cluster *cluster) start(number int) {
	cluster.t.Helper()
	instance := &instance{ip: fmt.Sprintf("%s.%d", cluster.prefix, 10+number)}
	cluster.startDaemon(instance, number)
	cluster.instances = append(cluster.instances, instance)
	cluster.startUpstream(instance, number)
}

// restartDaemon stops the daemon of an instance and starts it again. Its upstream goes
// on.
func (cluster *cluster) restartDaemon(number int) {
	cluster.t.Helper()
	instance := cluster.instances[number]
	instance.stop()
	err := <-instance.ended
	is.New(cluster.t).NoErr(err)
	instance.ended <- err // the cleanup of the cluster receives it again
	cluster.await("the socket for load reports is closed", func() bool {
		socket, err := net.ListenPacket("udp", instance.ip+":8001")
		if err == nil {
			_ = socket.Close()
		}
		return err == nil
	})
	cluster.startDaemon(instance, number)
}

func (cluster *cluster) startDaemon(instance *instance, number int) {
	cluster.t.Helper()
	instance.ended = make(chan error, 1)
	log := slog.New(slog.NewTextHandler(&cluster.logs, &slog.HandlerOptions{Level: slog.LevelDebug})).With("daemon", number)
	running := &daemon.Daemon{Settings: cluster.settings(instance.ip, number), Log: log}
	ctx, stop := context.WithCancel(context.Background())
	instance.stop = stop
	ended := instance.ended
	go func() { ended <- running.Run(ctx) }()
	cluster.t.Cleanup(func() {
		stop()
		<-ended
	})
}

func (cluster *cluster) settings(ip string, number int) daemon.Settings {
	settings := daemon.Settings{
		Name: fmt.Sprintf("intake-%d", number), Region: "east", DataCentre: "e1",
		CallerAddress: ip + ":8000", PeerAddress: ip + ":8001", ForwardAddress: ip + ":8004", UpstreamAddress: ip + ":8002", OperatorAddress: ip + ":8003",
		PlatformAddress: cluster.prefix + ".1:7000", PlatformRegion: "east", FirstPeers: []string{cluster.prefix + ".10:8001"},
		RegionCapacity: 8, ClaimPartitions: 2, ClaimInterval: 5 * time.Millisecond, ClaimRetention: time.Hour,
		DrainTimeout: cluster.drainTimeout, LingerTime: cluster.lingerTime, Quotas: cluster.quotas,
	}
	if cluster.evacuable {
		settings.DataCentre, settings.EvacuationPrefix = fmt.Sprintf("e%d", number), "evacuations/"
	}
	if cluster.routeTable != "" {
		settings.RouteObject, settings.WarmupOvershoot, settings.WarmupSlack = "config/main", 1.5, 8
	}
	return settings
}

func (cluster *cluster) startUpstream(instance *instance, number int) {
	server := &upstream.Server{
		Service: "intake", Name: fmt.Sprintf("intake-%d", number), Slots: 4, ServiceTime: time.Millisecond,
		Seed: uint64(number), Ledger: &cluster.ledger,
	}
	instance.upstream = server
	instance.server = serveUntilEnd(cluster.t, instance.ip+":9000", server.Handler())
	announcing, stopAnnouncing := context.WithCancel(context.Background())
	instance.stopAnnouncing = stopAnnouncing
	server.Crash = func() {
		stopAnnouncing()
		_ = instance.server.Close()
	}
	go server.Announce(announcing, instance.ip+":8002", instance.ip+":9000")
	cluster.t.Cleanup(stopAnnouncing)
}

func (cluster *cluster) await(what string, condition func() bool) {
	cluster.t.Helper()
	cluster.awaitEvery(5*time.Millisecond, what, condition)
}

// awaitEvery checks a condition at an interval until it holds.
func (cluster *cluster) awaitEvery(interval time.Duration, what string, condition func() bool) {
	cluster.t.Helper()
	end := time.Now().Add(awaitTimeout)
	for !condition() {
		if time.Now().After(end) {
			cluster.t.Fatalf("%s: not met within %s", what, awaitTimeout)
		}
		time.Sleep(interval)
	}
}

func (cluster *cluster) ready(instance *instance) bool {
	httpResponse, err := http.Get("http://" + instance.operatorAddress() + "/readyz")
	if err != nil {
		return false
	}
	_ = httpResponse.Body.Close()
	return httpResponse.StatusCode == http.StatusOK
}

// targets returns the number of serving targets that a daemon knows.
func (cluster *cluster) targets(instance *instance) int {
	httpResponse, err := http.Get("http://" + instance.operatorAddress() + "/status")
	if err != nil {
		return 0
	}
	defer func() { _ = httpResponse.Body.Close() }()
	var status struct {
		Regions []struct{ Targets int }
	}
	_ = json.NewDecoder(httpResponse.Body).Decode(&status)
	count := 0
	for _, region := range status.Regions {
		count += region.Targets
	}
	return count
}

// response is a response that was read to its end, or the error.
type response struct {
	status  int
	outcome string
	header  http.Header
	trailer http.Header
	body    string
	// attemptID identifies the request in the ledger. The body of the upstream's
	// response repeats it.
	attemptID string
	err       error
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

// send sends a request with a new attempt ID through the daemon with the index.
func (cluster *cluster) send(index int, request request) response {
	cluster.t.Helper()
	if request.ctx == nil {
		request.ctx = context.Background()
	}
	address := "http://" + cluster.instances[index].callerAddress() + request.path
	httpRequest, err := http.NewRequestWithContext(request.ctx, request.method, address, request.body)
	is.New(cluster.t).NoErr(err)
	httpRequest.Host = "intake"
	if request.host != "" {
		httpRequest.Host = request.host
	}
	attemptID := fmt.Sprintf("trial%d", cluster.lastAttemptID.Add(1))
	httpRequest.Header.Set(upstream.AttemptIDHeader, attemptID)
	for name, value := range request.header {
		httpRequest.Header.Set(name, value)
	}
	httpResponse, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return response{attemptID: attemptID, err: err}
	}
	defer func() { _ = httpResponse.Body.Close() }()
	body, err := io.ReadAll(httpResponse.Body)
	return response{
		status: httpResponse.StatusCode, outcome: httpResponse.Header.Get("Ibislift-Outcome"), header: httpResponse.Header,
		trailer: httpResponse.Trailer, body: string(body), attemptID: attemptID, err: err,
	}
}

// callOperatorAPI sends a request to a daemon's operator API. The condition is
// empty, "new" for an object that must not exist yet, or the version to match.
func (cluster *cluster) callOperatorAPI(index int, method, path, condition, body string) (int, string) {
	cluster.t.Helper()
	request, err := http.NewRequest(method, "http://"+cluster.instances[index].operatorAddress()+path, bytes.NewBufferString(body))
	is.New(cluster.t).NoErr(err)
	switch condition {
	case "":
	case "new":
		request.Header.Set("If-None-Match", "*")
	default:
		request.Header.Set("If-Match", condition)
	}
	httpResponse, err := http.DefaultClient.Do(request)
	is.New(cluster.t).NoErr(err)
	defer func() { _ = httpResponse.Body.Close() }()
	text, err := io.ReadAll(httpResponse.Body)
	is.New(cluster.t).NoErr(err)
	return httpResponse.StatusCode, string(text)
}

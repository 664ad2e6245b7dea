package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/routes"
	"ibislift/daemon"
	"ibislift/io/tcp"
	"ibislift/standin/platform"
)

// wire records what the daemons of a cluster send to each other, by the address that
// they send to.
type wire struct {
	mutex sync.Mutex
	sent  map[string]*bytes.Buffer
}

// tapped is a connection whose output is recorded.
type tapped struct {
	*net.TCPConn
	wire    *wire
	address string
}

func (tapped *tapped) Write(part []byte) (int, error) {
	tapped.wire.mutex.Lock()
	if tapped.wire.sent[tapped.address] == nil {
		tapped.wire.sent[tapped.address] = &bytes.Buffer{}
	}
	_, _ = tapped.wire.sent[tapped.address].Write(part)
	tapped.wire.mutex.Unlock()
	return tapped.TCPConn.Write(part)
}

func (wire *wire) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := tcp.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &tapped{TCPConn: conn.(*net.TCPConn), wire: wire, address: address}, nil
}

// sentTo returns the addresses of the instances that were sent a text.
func (wire *wire) sentTo(text string) map[string]bool {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	addresses := map[string]bool{}
	for address, sent := range wire.sent {
		if bytes.Contains(sent.Bytes(), []byte(text)) {
			host, _, _ := net.SplitHostPort(address)
			addresses[host] = true
		}
	}
	return addresses
}

// newTableCluster starts a daemon with an upstream in each of the given regions, with a
// route table that the store holds. Without routes, the store holds no table yet.
func newTableCluster(t *testing.T, table routes.Table, regions ...string) (*cluster, *wire) {
	t.Helper()
	cluster := &cluster{t: t, store: &platform.Store{}, drainTimeout: 10 * time.Second}
	t.Cleanup(func() { cluster.logs.printIfFailed(t) })
	cluster.prefix = fmt.Sprintf("127.%d.%d", 100+os.Getpid()%100, clusterCount.Add(1))
	serveUntilEnd(t, cluster.prefix+".1:7000", cluster.store.Handler())
	if len(table.Routes) > 0 {
		cluster.putTable(table)
	}
	wire := &wire{sent: map[string]*bytes.Buffer{}}
	for number, region := range regions {
		instance := &instance{ip: fmt.Sprintf("%s.%d", cluster.prefix, 10+number), ended: make(chan error, 1)}
		settings := cluster.settings(instance.ip, number)
		settings.Region, settings.DataCentre, settings.RouteObject = region, region+"1", "routes/main"
		running := &daemon.Daemon{
			Settings: settings, DialPeer: wire.dial,
			Log: slog.New(slog.NewTextHandler(&cluster.logs, &slog.HandlerOptions{Level: slog.LevelDebug})).With("daemon", number),
		}
		ctx, stop := context.WithCancel(context.Background())
		instance.stop = stop
		go func() { instance.ended <- running.Run(ctx) }()
		t.Cleanup(func() {
			stop()
			<-instance.ended
		})
		cluster.instances = append(cluster.instances, instance)
		cluster.startUpstream(instance, number)
	}
	cluster.await("all daemons know all targets", func() bool {
		for _, instance := range cluster.instances {
			if len(table.Routes) > 0 && !cluster.ready(instance) || cluster.targets(instance) != len(regions) {
				return false
			}
		}
		return true
	})
	return cluster, wire
}

// putTable writes the next version of the route table to the store.
func (cluster *cluster) putTable(table routes.Table) {
	cluster.t.Helper()
	is := is.New(cluster.t)
	address := "http://" + cluster.prefix + ".1:7000/objects/routes/main"
	response, err := http.Get(address)
	is.NoErr(err)
	var current struct{ Version uint64 }
	_ = json.NewDecoder(response.Body).Decode(&current)
	_ = response.Body.Close()
	table.Version = current.Version + 1
	body, err := json.Marshal(table)
	is.NoErr(err)
	request, err := http.NewRequest(http.MethodPut, address, bytes.NewReader(body))
	is.NoErr(err)
	request.Header.Set("If-Match", fmt.Sprint(current.Version))
	response, err = http.DefaultClient.Do(request)
	is.NoErr(err)
	_ = response.Body.Close()
	is.Equal(response.StatusCode, http.StatusOK)
}

// tableOf returns a table with one route to the service intake, and /open, which needs no
// key.
func tableOf(workspaces ...routes.Workspace) routes.Table {
	destinations := []routes.Destination{{Service: "intake", Weight: 1}}
	return routes.Table{Workspaces: workspaces, Routes: []routes.Route{
		{Name: "all", Host: "intake", Prefix: "/", Repeatable: true, Timeout: 10 * time.Second, Objective: time.Second, Rank: 1, Destinations: destinations},
		{Name: "open", Host: "intake", Prefix: "/open", Repeatable: true, Timeout: 10 * time.Second, Anonymous: true, Rank: 1, Destinations: destinations},
	}}
}

func workspaceOf(name string, regions []string, keys ...string) routes.Workspace {
	workspace := routes.Workspace{Name: name, Regions: regions}
	for _, key := range keys {
		workspace.Keys = append(workspace.Keys, routes.DigestKey(key))
	}
	return workspace
}

// keptConnection is a connection of a caller that pipelines its requests.
type keptConnection struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// exchange sends a request for each key at once, every second one with a body, and
// returns the statuses. The connection must stay open.
func (kept *keptConnection) exchange(keys ...string) []int {
	kept.t.Helper()
	is := is.New(kept.t)
	var requests strings.Builder
	for index, key := range keys {
		method, body := "GET", ""
		if index%2 == 1 {
			method, body = "POST", "GET /smuggled HTTP/1.1\r\nHost: intake\r\n\r\n"
		}
		fmt.Fprintf(&requests, "%s /logs/%d HTTP/1.1\r\nHost: intake\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", method, index, key, len(body), body)
	}
	_, err := io.WriteString(kept.conn, requests.String())
	is.NoErr(err)
	var statuses []int
	for range keys {
		status, closes := readStatus(kept.t, kept.reader)
		is.True(!closes)
		statuses = append(statuses, status)
	}
	return statuses
}

// Keys change while callers keep their connections; neither may a removed key stay valid
// there, nor a valid one be refused.
func TestKeysChangeOnKeptConnections(t *testing.T) {
	const stays, removed, added = "s3cret-stays", "s3cret-removed", "s3cret-added"
	cluster, wire := newTableCluster(t, tableOf(workspaceOf("acme", nil, stays, removed)), "east", "east", "west")
	var connections []*keptConnection
	for index := range cluster.instances {
		conn, reader := cluster.connect(index)
		connections = append(connections, &keptConnection{t, conn, reader})
	}
	awaitStatuses := func(key string, status int) {
		t.Helper()
		for _, kept := range connections {
			last := 0
			cluster.await("the change is in force", func() bool {
				statuses := kept.exchange(stays, key, stays, key, stays)
				is := is.New(t)
				for _, index := range []int{0, 2, 4} {
					is.Equal(statuses[index], http.StatusOK) // valid at any time
				}
				last = statuses[3]
				return statuses[1] == status && last == status
			})
		}
		for _, kept := range connections {
			is.New(t).Equal(kept.exchange(key), []int{status})
		}
	}
	awaitStatuses(removed, http.StatusOK)
	awaitStatuses(added, http.StatusUnauthorized)
	cluster.putTable(tableOf(workspaceOf("acme", nil, stays, removed, added)))
	awaitStatuses(added, http.StatusOK)
	cluster.putTable(tableOf(workspaceOf("acme", nil, stays, added)))
	awaitStatuses(removed, http.StatusUnauthorized)
	// The line covers both changes if they came within one interval of the housekeeping.
	line := regexp.MustCompile(`msg="API keys changed" daemon=2 workspace=acme version=3 added=[01] removed=1`)
	cluster.await("the change of the keys is logged", func() bool {
		cluster.logs.mutex.Lock()
		defer cluster.logs.mutex.Unlock()
		return line.MatchString(cluster.logs.text.String())
	})
	cluster.requireNoKeys(wire)
}

// requireNoKeys checks that no key is disclosed by a log, another daemon's input, a
// metric or a record.
func (cluster *cluster) requireNoKeys(wire *wire) {
	cluster.t.Helper()
	is := is.New(cluster.t)
	is.Equal(len(wire.sentTo("s3cret")), 0)
	for index := range cluster.instances {
		for path, workspace := range map[string]string{"/explain?limit=1000": `"workspace":"acme"`, "/metrics": `tenant="acme"`, "/status": ""} {
			status, text := cluster.callOperatorAPI(index, http.MethodGet, path, "", "")
			is.Equal(status, http.StatusOK)
			is.True(!strings.Contains(text, "s3cret"))
			is.True(strings.Contains(text, workspace))
		}
	}
	cluster.logs.mutex.Lock()
	defer cluster.logs.mutex.Unlock()
	is.True(!strings.Contains(cluster.logs.text.String(), "s3cret"))
	is.True(strings.Contains(cluster.logs.text.String(), "problem=unknownKey"))
}

// The upstream must not learn the key, and trusts the header that names the workspace.
func TestUpstreamGetsTheNameOfTheWorkspace(t *testing.T) {
	cluster, _ := newTableCluster(t, tableOf(workspaceOf("acme", nil, "s3cret")), "east")
	raw := cluster.replaceUpstream(0)
	received := make(chan *http.Request, 100)
	raw.respond.Store(respondFunc(func(conn net.Conn, request *http.Request) bool {
		received <- request
		return text(rawHead+"Content-Length: 2\r\n\r\nok")(conn, request)
	}))
	cluster.await("the raw upstream serves", func() bool { return cluster.send(0, request{method: "GET", path: "/open"}).body == "ok" })
	check := func(t *testing.T, path, key, workspace string) {
		t.Helper()
		for len(received) > 0 {
			<-received
		}
		is := is.New(t)
		header := map[string]string{"Ibislift-Workspace": "victim"}
		if key != "" {
			header["Authorization"] = "Bearer " + key
		}
		is.Equal(cluster.send(0, request{method: "GET", path: path, header: header}).status, http.StatusOK)
		sent := <-received
		is.Equal(sent.Header.Get("Authorization"), "")
		is.Equal(strings.Join(sent.Header["Ibislift-Workspace"], " "), workspace)
	}
	t.Run("a valid key", func(t *testing.T) { check(t, "/logs/17", "s3cret", "acme") })
	t.Run("a valid key on an anonymous route", func(t *testing.T) { check(t, "/open", "s3cret", "acme") })
	t.Run("an unknown key on an anonymous route", func(t *testing.T) { check(t, "/open", "other", "") })
	t.Run("no key on an anonymous route", func(t *testing.T) { check(t, "/open", "", "") })
}

// A workspace may forbid that its data reach other regions, also when its own region
// has no capacity.
func TestBodiesStayInTheAllowedRegions(t *testing.T) {
	cluster, wire := newTableCluster(t, tableOf(workspaceOf("eastern", []string{"east"}, "s3cret")), "east", "east", "west", "west")
	const entry = 2 // in the west
	send := func(size int, marker string) response {
		body := append([]byte(marker), make([]byte, size)...)
		return cluster.send(entry, request{method: "POST", path: "/upload", header: map[string]string{"Authorization": "Bearer s3cret"}, body: bytes.NewReader(body)})
	}
	requireOnlyEast := func(t *testing.T, marker string, sent response) {
		t.Helper()
		is := is.New(t)
		for _, number := range []int{2, 3} {
			is.True(!cluster.ledger.ranOn(fmt.Sprintf("intake-%d", number), sent.attemptID))
		}
		for host := range wire.sentTo(marker) {
			is.True(host == cluster.instances[0].ip || host == cluster.instances[1].ip)
		}
	}
	for name, size := range map[string]int{"short": 10, "streamed": uploadSize} {
		t.Run(name, func(t *testing.T) {
			for range 8 {
				sent := send(size, "classified-"+name)
				checkServed(t, sent)
				requireOnlyEast(t, "classified-"+name, sent)
			}
			is.New(t).True(len(wire.sentTo("classified-"+name)) > 0) // the check sees bodies
		})
	}
	for _, instance := range cluster.instances[:2] {
		instance.stopAnnouncing()
		_ = instance.server.Close()
	}
	for name, size := range map[string]int{"short": 10, "streamed": uploadSize} {
		t.Run(name+", without a target in the region", func(t *testing.T) {
			for range 8 {
				sent := send(size, "secluded-"+name)
				is := is.New(t)
				is.True(sent.err != nil || sent.status == http.StatusServiceUnavailable || sent.status == http.StatusBadGateway)
				requireOnlyEast(t, "secluded-"+name, sent)
			}
		})
	}
	cluster.await("the daemons know that the region has no target", func() bool {
		return strings.Contains(send(10, "later").body, "noTargetInRegions")
	})
	checkServed(t, cluster.send(entry, request{method: "GET", path: "/open"})) // the west serves others
}

// Without the table a daemon cannot know which requests need a key, so it must serve
// none, although it has the profiles and a target.
func TestNoRequestIsServedWithoutTheTable(t *testing.T) {
	cluster, _ := newTableCluster(t, routes.Table{}, "east")
	for range 20 {
		checkProblem(t, cluster.send(0, request{method: "GET", path: "/logs/17"}), http.StatusServiceUnavailable, "notRun", "notReady")
		time.Sleep(50 * time.Millisecond)
	}
	cluster.putTable(tableOf(workspaceOf("acme", nil, "s3cret")))
	cluster.await("the table is in force", func() bool {
		sent := cluster.send(0, request{method: "GET", path: "/logs/17"})
		is.New(t).True(sent.status == http.StatusServiceUnavailable || sent.status == http.StatusUnauthorized)
		return sent.status == http.StatusUnauthorized
	})
}

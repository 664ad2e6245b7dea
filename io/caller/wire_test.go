package caller

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/matryer/is"

	"ibislift/core/call"
	"ibislift/core/kernel"
	"ibislift/core/routes"
	"ibislift/io/dialect"
	"ibislift/io/peer"
	"ibislift/io/upstream"
)

// localControl is the Control of a daemon whose upstream belongs to any service.
type localControl struct{ peer.Control }

func (localControl) Serves(string) bool     { return true }
func (localControl) ReportCompleted(string) {}

// noMeter counts nothing, and may be used by several requests at once.
type noMeter struct{}

func (noMeter) Request(string, string, string, call.Outcome, int, time.Duration) {}
func (noMeter) Attempt(string, string)                                           {}
func (noMeter) Refusal(string, string)                                           {}

// wire is an ingress with a real connection to a gate with one slot, and the upstream of
// that gate, whose requests end when the test lets them.
type wire struct {
	t       *testing.T
	handler *Handler
	logs    *bytes.Buffer
	gate    *upstream.Gate
	// started receives the path of each request that runs; finish ends one.
	started chan string
	finish  chan struct{}
	done    chan int
	// ended is closed at the end of the test, also of a failed one.
	ended chan struct{}
}

func newWire(t *testing.T) *wire {
	t.Helper()
	wire := &wire{t: t, gate: &upstream.Gate{Now: time.Now}, started: make(chan string, 8), finish: make(chan struct{}), done: make(chan int, 8), ended: make(chan struct{})}
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		wire.started <- request.URL.Path
		select {
		case <-wire.finish:
		case <-wire.ended:
		}
	}))
	t.Cleanup(func() {
		close(wire.ended)
		backend.Close()
	})
	wire.gate.Resize(1, 8)
	client := &upstream.Client{Dialect: dialect.Default()}
	client.SetAddress(backend.Listener.Addr().String())
	server := &peer.Server{Gate: wire.gate, Upstream: client, Control: localControl{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go func() { _ = server.ServeForwardConns(listener) }()
	t.Cleanup(server.CloseForwardConns)
	table := routes.Table{Workspaces: []routes.Workspace{
		{Name: "hot", Keys: []routes.KeyDigest{routes.DigestKey("hot")}}, {Name: "other", Keys: []routes.KeyDigest{routes.DigestKey("other")}},
	}}
	for number, prefix := range []string{"/hot", "/other", "/call"} {
		table.Routes = append(table.Routes, routes.Route{
			Name: prefix[1:], Host: "h", Prefix: prefix, Repeatable: true, Rank: 1 + number/2, Anonymous: prefix == "/call", Destinations: []routes.Destination{{Service: "one", Weight: 1}},
		})
	}
	member := newMember("n", 0, "one")
	member.ForwardAddress = listener.Addr().String()
	view := newView(t, []kernel.Member{member}, table)
	ingress := withKeys(t)
	wire.handler, wire.logs = ingress.handler, ingress.logs
	wire.handler.View = func() *kernel.View { return view }
	wire.handler.Meter = noMeter{}
	wire.handler.Peers = &peer.Peers{Self: "n1"}
	wire.handler.RunningExcept = wire.gate.RunningExcept
	return wire
}

// send sends a request and waits until so many are queued at the gate.
func (wire *wire) send(path, key string, queued int) {
	wire.t.Helper()
	request := httptest.NewRequest(http.MethodGet, path, nil)
	request.Host = "h"
	if key != "" {
		request.Header = bearer(key)
	}
	go func() {
		recorder := httptest.NewRecorder()
		wire.handler.ServeHTTP(recorder, request)
		wire.done <- recorder.Code
	}()
	for end := time.Now().Add(5 * time.Second); wire.gate.Load().Queued < queued; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			wire.t.Fatalf("%d requests are queued, expected %d", wire.gate.Load().Queued, queued)
		}
	}
}

// next returns the path of the request that runs next.
func (wire *wire) next() string {
	wire.t.Helper()
	select {
	case path := <-wire.started:
		return path
	case <-time.After(5 * time.Second):
		wire.t.Fatal("no request runs")
		return ""
	}
}

// use lets a workspace use the upstream for a time.
func (wire *wire) use(workspace string, length time.Duration) {
	wire.t.Helper()
	is := is.New(wire.t)
	wire.send("/"+workspace, workspace, 0)
	is.Equal(wire.next(), "/"+workspace)
	time.Sleep(length)
	wire.finish <- struct{}{}
	is.Equal(<-wire.done, http.StatusOK)
}

// TestOrderAcrossTheWire guards against a workspace, or the mark of a call, that is lost
// between the ingress and the gate: the gate then has no order by cost.
func TestOrderAcrossTheWire(t *testing.T) {
	is := is.New(t)
	wire := newWire(t)
	// Both workspaces have used the upstream, the hot one for much longer.
	wire.use("other", time.Millisecond)
	wire.use("hot", time.Millisecond)
	wire.use("hot", 300*time.Millisecond)
	wire.send("/hot/running", "hot", 0)
	is.Equal(wire.next(), "/hot/running")
	wire.send("/hot/queued", "hot", 1)
	wire.send("/other/queued", "other", 2)
	for number, path := range []string{"/call/1", "/call/2", "/call/unmarked"} {
		wire.send(path, "", 3+number)
	}
	for _, expected := range []string{"/call/1", "/call/2", "/other/queued", "/hot/queued", "/call/unmarked"} {
		wire.finish <- struct{}{}
		is.Equal(wire.next(), expected)
	}
	wire.finish <- struct{}{}
	for range 6 {
		is.Equal(<-wire.done, http.StatusOK)
	}
}

// TestMarksOfCalls guards against marks that are not given back, or that requests with a
// key get.
func TestMarksOfCalls(t *testing.T) {
	ingress := withKeys(t)
	running := 0
	ingress.handler.RunningExcept = func(string) int { return running }
	mark := func(header http.Header) bool {
		head, _ := ingress.forwarded("/open/", header)
		return head.GetCall()
	}
	is := is.New(t)
	is.True(!mark(nil)) // nothing runs
	running = 1
	for range 5 {
		is.True(mark(nil))
	}
	is.True(!mark(bearer(secretKey)))
	ingress.handler.RunningExcept = nil
	is.True(!mark(nil))
	t.Run("without workspaces nothing is marked", func(t *testing.T) {
		ingress := newIngress(t)
		ingress.handler.RunningExcept = func(string) int { return 1 }
		head, _ := ingress.forwarded("/open/", nil)
		is.New(t).True(!head.GetCall())
	})
}

// TestRefusalAcrossTheWire guards against a refusal of which the daemon of the caller does
// not say why the request was refused while others of its class were served.
func TestRefusalAcrossTheWire(t *testing.T) {
	is := is.New(t)
	wire := newWire(t)
	wire.gate.Resize(1, 1)
	wire.use("other", time.Millisecond)
	wire.use("hot", time.Millisecond)
	wire.use("hot", 300*time.Millisecond)
	wire.send("/hot/running", "hot", 0)
	is.Equal(wire.next(), "/hot/running")
	wire.send("/hot/queued", "hot", 1)
	wire.send("/other/queued", "other", 1)
	is.Equal(<-wire.done, http.StatusServiceUnavailable)
	records := wire.handler.Records.Find("", "", 1)
	is.Equal(records[0].Path, "/hot/queued")
	detail := ""
	for _, step := range records[0].Steps {
		if step.Event == "refused" {
			detail = step.Detail
		}
	}
	is.True(strings.HasPrefix(detail, "attempt 0: queueFull, displaced, workspace uses "))
	is.True(strings.HasSuffix(detail, " times its share"))
	is.True(strings.Contains(wire.logs.String(), "refused (attempt 0: queueFull, displaced, workspace uses "))
	is.Equal(wire.gate.CauseCounts(), upstream.CauseCounts{ByUse: 1, Displaced: 1})
	wire.finish <- struct{}{}
	is.Equal(wire.next(), "/other/queued")
}

// TestDescribeRefusal guards against a gate that fills the log and the records.
func TestDescribeRefusal(t *testing.T) {
	is := is.New(t)
	is.Equal(describeRefusal(call.AttemptRefused{Attempt: 2, Reason: "busy"}), "attempt 2: busy")
	long := describeRefusal(call.AttemptRefused{Reason: "busy", Cause: strings.Repeat("ä", 1000)})
	is.True(len(long) <= len("attempt 0: busy, ")+maxCauseLength)
	is.True(utf8.ValidString(long))
}

package daemon_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/standin/platform"
	"ibislift/standin/upstream"
)

// checkServed checks that a response is complete and belongs to its own
// request.
func checkServed(t *testing.T, response response) {
	t.Helper()
	is := is.New(t)
	is.NoErr(response.err)
	if response.status != http.StatusOK {
		t.Logf("refused with: %s", response.body)
	}
	is.Equal(response.status, http.StatusOK)
	is.Equal(response.outcome, "run")
	is.True(strings.Contains(response.body, fmt.Sprintf("%q", response.attemptID)))
}

// checkProblem checks the status, the outcome and the problem type of a
// refusal.
func checkProblem(t *testing.T, response response, status int, outcome, kind string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(response.err)
	is.Equal(response.status, status)
	is.Equal(response.outcome, outcome)
	is.True(strings.Contains(response.body, "urn:ibislift:problem:"+kind))
	if status == http.StatusServiceUnavailable {
		is.True(response.header.Get("Retry-After") != "")
	}
}

func TestWholePath(t *testing.T) {
	cluster := newCluster(t, 2)
	t.Run("through any daemon", func(t *testing.T) {
		for index := range cluster.instances {
			checkServed(t, cluster.send(index, request{method: "GET", path: "/logs/17"}))
			checkServed(t, cluster.send(index, request{method: "POST", path: "/enrol", body: strings.NewReader("body")}))
		}
	})
	t.Run("HEAD has a length and no body", func(t *testing.T) {
		response := cluster.send(0, request{method: "HEAD", path: "/logs/17"})
		is := is.New(t)
		is.Equal(response.status, http.StatusOK)
		is.Equal(response.body, "")
		is.True(response.header.Get("Content-Length") != "")
	})
	t.Run("a long response is streamed, with trailers", func(t *testing.T) {
		response := cluster.send(0, request{method: "GET", path: "/archive?size=5000000"})
		is := is.New(t)
		is.NoErr(response.err)
		is.Equal(len(response.body), 5_000_000)
		is.Equal(response.trailer.Get("Standin-Size"), "5000000")
	})
	t.Run("a long request is streamed", func(t *testing.T) {
		response := cluster.send(1, request{method: "POST", path: "/upload", body: bytes.NewReader(make([]byte, 3_000_000))})
		checkServed(t, response)
		is.New(t).True(strings.Contains(response.body, `"received":3000000`))
	})
	t.Run("unknown service", func(t *testing.T) {
		checkProblem(t, cluster.send(0, request{method: "GET", path: "/", host: "nobody"}), http.StatusNotFound, "notRun", "unknownService")
	})
	for name, header := range map[string]map[string]string{
		"deadline": {"Ibislift-Deadline": "soon"},
		"negative": {"Ibislift-Deadline": "-1s"},
		"key":      {"Idempotency-Key": strings.Repeat("k", 300)},
		"tenant":   {"Ibislift-Tenant": strings.Repeat("t", 300)},
	} {
		t.Run("bad header "+name, func(t *testing.T) {
			checkProblem(t, cluster.send(0, request{method: "GET", path: "/", header: header}), http.StatusBadRequest, "notRun", "badHeader")
		})
	}
	t.Run("header too long", func(t *testing.T) {
		response := cluster.send(0, request{method: "GET", path: "/", header: map[string]string{"X-Long": strings.Repeat("x", 100_000)}})
		is.New(t).Equal(response.status, http.StatusRequestHeaderFieldsTooLarge)
	})
	t.Run("a body that never arrives", func(t *testing.T) {
		unending, stop := io.Pipe()
		defer func() { _ = stop.Close() }()
		response := cluster.send(0, request{method: "POST", path: "/enrol", body: unending, header: map[string]string{"Ibislift-Deadline": "100ms"}})
		checkProblem(t, response, http.StatusRequestTimeout, "notRun", "bodyTooSlow")
	})
	t.Run("body too long", func(t *testing.T) {
		status, _ := cluster.callOperatorAPI(0, "PUT", "/profiles/tiny", "new", `{"maxBodyBytes": 10}`)
		is.New(t).Equal(status, http.StatusOK)
		cluster.await("the profile has arrived at the other daemon", func() bool {
			status, _ := cluster.callOperatorAPI(1, "GET", "/profiles/tiny", "", "")
			return status == http.StatusOK
		})
		status, _ = cluster.callOperatorAPI(1, "PUT", "/services/intake", "new", `{"profile": "tiny"}`)
		is.New(t).Equal(status, http.StatusOK)
		response := cluster.send(1, request{method: "POST", path: "/enrol", body: strings.NewReader("more than ten bytes")})
		checkProblem(t, response, http.StatusRequestEntityTooLarge, "notRun", "bodyTooLarge")
	})
}

func TestBrokenUpstreams(t *testing.T) {
	cluster := newCluster(t, 2)
	setSwitches := func(switches upstream.Switches) {
		for _, instance := range cluster.instances {
			instance.upstream.SetSwitches(switches)
		}
	}
	t.Run("a truncated short response is refused", func(t *testing.T) {
		setSwitches(upstream.Switches{Truncate: true})
		checkProblem(t, cluster.send(0, request{method: "POST", path: "/enrol"}), http.StatusBadGateway, "unknown", "lost")
	})
	t.Run("a truncated long response reaches the caller as an error", func(t *testing.T) {
		setSwitches(upstream.Switches{Truncate: true})
		response := cluster.send(0, request{method: "GET", path: "/archive?size=5000000"})
		is.New(t).True(response.err != nil)
	})
	for _, status := range []string{"000", "600"} {
		t.Run("a response with the status "+status+" is refused", func(t *testing.T) {
			setSwitches(upstream.Switches{InvalidStatus: status})
			checkProblem(t, cluster.send(0, request{method: "POST", path: "/enrol"}), http.StatusBadGateway, "unknown", "lost")
		})
		t.Run("a repeatable request is retried after a response with the status "+status, func(t *testing.T) {
			setSwitches(upstream.Switches{})
			cluster.instances[0].upstream.SetSwitches(upstream.Switches{InvalidStatus: status})
			for range 10 {
				checkServed(t, cluster.send(0, request{method: "GET", path: "/logs/17"}))
			}
		})
	}
	t.Run("a duplicate response never reaches another caller", func(t *testing.T) {
		setSwitches(upstream.Switches{DuplicateResponses: true})
		for number := range 60 {
			response := cluster.send(number%2, request{method: "GET", path: "/logs/17"})
			if response.status == http.StatusOK {
				checkServed(t, response)
			}
		}
	})
	t.Run("a repeatable request that meets late duplicates on all targets is served", func(t *testing.T) {
		setSwitches(upstream.Switches{DuplicateResponses: true, DuplicateDelay: 400 * time.Millisecond})
		for range 4 {
			checkServed(t, cluster.send(0, request{method: "GET", path: "/logs/17"}))
		}
		setSwitches(upstream.Switches{})
		time.Sleep(100 * time.Millisecond) // until the connections may be reused
		for range 4 {
			checkServed(t, cluster.send(0, request{method: "GET", path: "/logs/17"}))
		}
	})
	t.Run("a repeatable request is retried on another target after a server error", func(t *testing.T) {
		setSwitches(upstream.Switches{})
		cluster.instances[0].upstream.SetSwitches(upstream.Switches{FailFast: true})
		for range 20 {
			checkServed(t, cluster.send(0, request{method: "GET", path: "/logs/17"}))
		}
	})
	t.Run("the deadline ends the request and cancels it on the upstream", func(t *testing.T) {
		setSwitches(upstream.Switches{Hang: true})
		response := cluster.send(0, request{method: "POST", path: "/enrol", header: map[string]string{"Ibislift-Deadline": "200ms"}})
		is.New(t).Equal(response.outcome, "unknown")
		cluster.await("no request is running on the upstreams", func() bool {
			return cluster.instances[0].upstream.Running()+cluster.instances[1].upstream.Running() == 0
		})
	})
	t.Run("a request is cancelled on the upstream when its caller disconnects", func(*testing.T) {
		setSwitches(upstream.Switches{Hang: true})
		ctx, cancel := context.WithCancel(context.Background())
		sent := make(chan response, 1)
		go func() { sent <- cluster.send(0, request{method: "GET", path: "/logs/17", ctx: ctx}) }()
		running := func() int {
			return cluster.instances[0].upstream.Running() + cluster.instances[1].upstream.Running()
		}
		cluster.await("the request is running", func() bool { return running() > 0 })
		cancel()
		<-sent
		cluster.await("no request is running on the upstreams", func() bool { return running() == 0 })
	})
}

func TestKeys(t *testing.T) {
	cluster := newCluster(t, 3)
	keyed := func(key string) request {
		return request{method: "POST", path: "/enrol", header: map[string]string{"Idempotency-Key": key}}
	}
	t.Run("resends through all daemons at once run once", func(t *testing.T) {
		var responses [30]response
		var sending sync.WaitGroup
		for number := range responses {
			sending.Go(func() { responses[number] = cluster.send(number%3, keyed("same")) })
		}
		sending.Wait()
		ran, runs := 0, 0
		for _, response := range responses {
			runs += cluster.ledger.runs(response.attemptID)
			if response.status == http.StatusOK {
				ran++
				continue
			}
			t.Logf("refused with: %s", response.body)
			is.New(t).Equal(response.outcome, "notRun")
		}
		is := is.New(t)
		is.Equal(ran, 1)
		is.Equal(runs, 1)
	})
	t.Run("a resend is refused because the first request has run", func(t *testing.T) {
		checkServed(t, cluster.send(0, keyed("again")))
		cluster.await("the first request is recorded as run", func() bool {
			response := cluster.send(1, keyed("again"))
			return response.status == http.StatusConflict && strings.Contains(response.body, `"known":"run"`)
		})
	})
	t.Run("without the platform claims are refused at once", func(t *testing.T) {
		cluster.store.SetSwitches(platform.Switches{Down: true})
		checkProblem(t, cluster.send(0, keyed("down")), http.StatusServiceUnavailable, "notRun", "claimUnavailable")
		checkServed(t, cluster.send(0, request{method: "GET", path: "/logs/17"}))
		checkServed(t, cluster.send(0, request{method: "POST", path: "/enrol"}))
		cluster.store.SetSwitches(platform.Switches{})
		cluster.await("the key is served after the outage", func() bool { return cluster.send(0, keyed("down")).status == http.StatusOK })
	})
	t.Run("a lost platform reply does not block the key", func(t *testing.T) {
		cluster.store.SetSwitches(platform.Switches{DropWriteResponses: true})
		first := cluster.send(0, keyed("lost"))
		cluster.store.SetSwitches(platform.Switches{})
		if first.status != http.StatusOK {
			checkProblem(t, first, http.StatusServiceUnavailable, "notRun", "claimUnavailable")
			is.New(t).Equal(cluster.ledger.runs(first.attemptID), 0)
		}
		cluster.await("the claim of the key is settled", func() bool {
			status := cluster.send(1, keyed("lost")).status
			return status == http.StatusOK || status == http.StatusConflict
		})
	})
}

func TestKeysAfterJoin(t *testing.T) {
	cluster := newCluster(t, 2)
	for number := 2; number < 6; number++ {
		t.Run(fmt.Sprintf("daemon %d claims keys as soon as it is ready", number), func(t *testing.T) {
			cluster.start(number)
			cluster.awaitEvery(0, "the daemon is ready", func() bool { return cluster.ready(cluster.instances[number]) })
			for attempt := range 3 {
				checkServed(t, cluster.send(number, request{method: "POST", path: "/enrol", header: map[string]string{
					"Idempotency-Key": fmt.Sprintf("joined-%d-%d", number, attempt),
				}}))
			}
		})
	}
}

func TestDrain(t *testing.T) {
	cluster := newCluster(t, 2)
	leaving := cluster.instances[0]
	leaving.upstream.SetSwitches(upstream.Switches{Hang: true})
	cluster.instances[1].upstream.SetSwitches(upstream.Switches{Hang: true})
	var responses [2]response
	var sending sync.WaitGroup
	for number := range responses {
		sending.Go(func() { responses[number] = cluster.send(number, request{method: "POST", path: "/enrol"}) })
	}
	cluster.await("both requests are running", func() bool {
		return leaving.upstream.Running()+cluster.instances[1].upstream.Running() == 2
	})
	inProgress := leaving.upstream.Running()
	drained := make(chan error, 1)
	go func() { drained <- leaving.upstream.Drain(context.Background(), leaving.ip+":8002") }()
	cluster.await("the other daemon knows that the target drains", func() bool { return cluster.targets(cluster.instances[1]) == 1 })
	cluster.instances[1].upstream.SetSwitches(upstream.Switches{})
	for range 10 {
		checkServed(t, cluster.send(1, request{method: "GET", path: "/logs/17"}))
	}
	is := is.New(t)
	is.Equal(leaving.upstream.Running(), inProgress) // no new request, none cancelled
	leaving.upstream.SetSwitches(upstream.Switches{})
	is.NoErr(<-drained)
	sending.Wait()
	for _, response := range responses {
		checkServed(t, response)
	}
	is.Equal(leaving.upstream.Running(), 0)
}

func TestStopCutsNothing(t *testing.T) {
	cluster := newCluster(t, 2)
	for _, instance := range cluster.instances {
		instance.upstream.SetSwitches(upstream.Switches{Hang: true})
	}
	sent := make(chan response, 1)
	go func() { sent <- cluster.send(0, request{method: "POST", path: "/enrol"}) }()
	running := func() int { return cluster.instances[0].upstream.Running() + cluster.instances[1].upstream.Running() }
	cluster.await("the request is running", func() bool { return running() == 1 })
	cluster.instances[0].stop()
	cluster.await("the daemon is leaving", func() bool { return cluster.targets(cluster.instances[1]) == 1 })
	for _, instance := range cluster.instances {
		instance.upstream.SetSwitches(upstream.Switches{})
	}
	checkServed(t, <-sent)
	err := <-cluster.instances[0].ended
	is.New(t).NoErr(err)
	cluster.instances[0].ended <- err // the cleanup of the cluster receives it again
}

func TestStopServesOn(t *testing.T) {
	const lingerTime = 1500 * time.Millisecond
	cluster := newLingeringCluster(t, 2, lingerTime)
	stopping := cluster.instances[0]
	var sending sync.WaitGroup
	var served atomic.Int64 // by the upstream beside the stopping daemon, halfway
	stoppedAt := time.Now()
	stopping.stop()
	for caller := range 8 {
		sending.Go(func() {
			method := []string{"GET", "POST"}[caller%2]
			for time.Since(stoppedAt) < lingerTime+time.Second {
				response := cluster.send(1, request{method: method, path: "/logs/17"})
				checkServed(t, response)
				if since := time.Since(stoppedAt); since > lingerTime/3 && since < lingerTime/2 && cluster.ledger.ranOn("intake-0", response.attemptID) {
					served.Add(1)
				}
			}
		})
	}
	sending.Wait()
	is := is.New(t)
	is.True(served.Load() > 0)                         // by the upstream beside the stopping daemon
	is.Equal(cluster.targets(cluster.instances[1]), 1) // the stopped one is gone
}

func TestStopAcceptsNoCallersAfterLingering(t *testing.T) {
	const lingerTime = 500 * time.Millisecond
	cluster := newLingeringCluster(t, 2, lingerTime)
	stopping := cluster.instances[0]
	for _, instance := range cluster.instances {
		instance.upstream.SetSwitches(upstream.Switches{Hang: true})
	}
	var sending sync.WaitGroup
	sending.Go(func() {
		for range 8 { // until the stopping daemon's gate has one
			sending.Go(func() { checkServed(t, cluster.send(1, request{method: "POST", path: "/enrol"})) })
		}
	})
	cluster.await("a request runs beside the stopping daemon", func() bool { return stopping.upstream.Running() > 0 })
	stopping.stop()
	time.Sleep(2 * lingerTime)
	is := is.New(t)
	is.True(stopping.upstream.Running() > 0) // the gate still drains
	_, err := net.Dial("tcp", stopping.callerAddress())
	is.True(err != nil)
	for _, instance := range cluster.instances {
		instance.upstream.SetSwitches(upstream.Switches{})
	}
	sending.Wait()
	err = <-stopping.ended
	is.NoErr(err)
	stopping.ended <- err // the cleanup of the cluster receives it again
}

func TestStopAnswersRequestsAtDrainTimeout(t *testing.T) {
	cluster := newStoppingCluster(t, 2, 100*time.Millisecond, time.Second)
	stopping, other := cluster.instances[0], cluster.instances[1]
	for _, instance := range cluster.instances {
		instance.upstream.SetSwitches(upstream.Switches{Hang: true})
	}
	var sending sync.WaitGroup
	responses := make(chan response, 4)
	for range cap(responses) {
		sending.Go(func() { responses <- cluster.send(0, request{method: "POST", path: "/enrol"}) })
	}
	cluster.await("requests run", func() bool { return stopping.upstream.Running()+other.upstream.Running() == cap(responses) })
	stopping.stop()
	sending.Wait()
	close(responses)
	is := is.New(t)
	for response := range responses {
		is.NoErr(response.err)
		is.Equal(response.status, http.StatusGatewayTimeout)
		is.Equal(response.outcome, "unknown")
	}
}

func TestStopUnderLoadCutsNothing(t *testing.T) {
	const callers = 16
	cluster := newLingeringCluster(t, 2, 500*time.Millisecond)
	var sending sync.WaitGroup
	var sent atomic.Int64
	for caller := range callers {
		sending.Go(func() {
			method := []string{"GET", "POST"}[caller%2]
			for {
				response := cluster.send(0, request{method: method, path: "/enrol"})
				if failure := new(net.OpError); errors.As(response.err, &failure) && failure.Op == "dial" {
					return // the daemon has stopped, and no request was sent
				}
				checkServed(t, response)
				sent.Add(1)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	cluster.instances[0].stop()
	sending.Wait()
	t.Logf("%d requests served until the daemon had stopped", sent.Load())
	is.New(t).True(sent.Load() > callers)
}

func TestPoison(t *testing.T) {
	cluster := newCluster(t, 4)
	poison := request{method: "POST", path: "/enrol", header: map[string]string{upstream.CrashHeader: "1"}}
	crashed := 0
	for index := range 4 {
		response := cluster.send(index, poison)
		if response.status == http.StatusBadGateway {
			crashed++
			is.New(t).Equal(response.outcome, "unknown")
			cluster.await("all daemons know of the crash", func() bool {
				for _, instance := range cluster.instances {
					if cluster.targets(instance) != 4-crashed {
						return false
					}
				}
				return true
			})
			continue
		}
		checkProblem(t, response, http.StatusServiceUnavailable, "notRun", "crashSuspect")
	}
	is.New(t).Equal(crashed, 2)
	checkServed(t, cluster.send(3, request{method: "POST", path: "/other"}))
}

func TestOperators(t *testing.T) {
	cluster := newCluster(t, 3)
	is := is.New(t)
	status, body := cluster.callOperatorAPI(0, "PUT", "/profiles/fast", "new", `{"queueBound": "x"}`)
	is.Equal(status, http.StatusUnprocessableEntity)
	is.True(strings.Contains(body, `"field":"queueBound"`))
	status, _ = cluster.callOperatorAPI(0, "PUT", "/profiles/fast", "", `{}`)
	is.Equal(status, http.StatusPreconditionRequired)
	status, _ = cluster.callOperatorAPI(0, "PUT", "/profiles/Fast!", "new", `{}`)
	is.Equal(status, http.StatusUnprocessableEntity)
	var statuses [2]int
	var bodies [2]string
	var writing sync.WaitGroup
	for number := range statuses {
		writing.Go(func() {
			statuses[number], bodies[number] = cluster.callOperatorAPI(number, "PUT", "/profiles/fast", "new", fmt.Sprintf(`{"queueBound": %d}`, number))
		})
	}
	writing.Wait()
	is.Equal(statuses[0]+statuses[1], http.StatusOK+http.StatusConflict)
	for number, status := range statuses {
		is.True(status != http.StatusConflict || strings.Contains(bodies[number], `"current"`))
	}
	cluster.await("the profile is in force everywhere", func() bool {
		for index := range cluster.instances {
			if status, _ := cluster.callOperatorAPI(index, "GET", "/profiles/fast", "", ""); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	status, body = cluster.callOperatorAPI(2, "GET", "/metrics", "", "")
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, "ibislift_platform_calls_total{kind=\"list\""))
	is.True(strings.Contains(body, "ibislift_control_bytes_total{direction=\"out\",kind=\"message\",reach=\"dataCentre\"}"))
	checkMetricsDocumented(t, body)
	status, _ = cluster.callOperatorAPI(2, "GET", "/explain?request=none", "", "")
	is.Equal(status, http.StatusNotFound)
}

// checkMetricsDocumented checks that the operators' documentation explains each
// metric.
func checkMetricsDocumented(t *testing.T, scrape string) {
	t.Helper()
	page, err := os.ReadFile("../docs/operators/metrics.md")
	is.New(t).NoErr(err)
	for _, line := range strings.Split(scrape, "\n") {
		words := strings.Fields(line)
		if len(words) < 4 || words[1] != "TYPE" || !strings.HasPrefix(words[2], "ibislift_") {
			continue
		}
		if !bytes.Contains(page, []byte("`"+words[2])) {
			t.Errorf("docs/operators/metrics.md does not explain %s", words[2])
		}
	}
}

func TestReadyOnlyWithConfiguration(t *testing.T) {
	cluster := &cluster{t: t, store: &platform.Store{}}
	cluster.prefix = fmt.Sprintf("127.%d.%d", 220, clusterCount.Add(1))
	serveUntilEnd(t, cluster.prefix+".1:7000", cluster.store.Handler())
	cluster.store.SetSwitches(platform.Switches{Down: true})
	cluster.start(0)
	cluster.await("the daemon responds to callers", func() bool {
		return cluster.send(0, request{method: "GET", path: "/"}).err == nil
	})
	checkProblem(t, cluster.send(0, request{method: "GET", path: "/"}), http.StatusServiceUnavailable, "notRun", "notReady")
	is.New(t).True(!cluster.ready(cluster.instances[0]))
	cluster.store.SetSwitches(platform.Switches{})
	cluster.await("the daemon is ready", func() bool { return cluster.ready(cluster.instances[0]) })
	cluster.await("requests are served", func() bool {
		return cluster.send(0, request{method: "GET", path: "/logs/17"}).status == http.StatusOK
	})
}

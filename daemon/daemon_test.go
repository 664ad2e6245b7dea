package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"ibislift/standin/platform"
	"ibislift/standin/upstream"
)

// own checks that an answer is whole and belongs to its own request.
func own(t *testing.T, answer answer) {
	t.Helper()
	is := is.New(t)
	is.NoErr(answer.err)
	if answer.status != http.StatusOK {
		t.Logf("refused with: %s", answer.body)
	}
	is.Equal(answer.status, http.StatusOK)
	is.Equal(answer.outcome, "run")
	is.True(strings.Contains(answer.body, fmt.Sprintf("%q", answer.trial)))
}

// told checks the status and the outcome of a problem.
func told(t *testing.T, answer answer, status int, outcome, kind string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(answer.err)
	is.Equal(answer.status, status)
	is.Equal(answer.outcome, outcome)
	is.True(strings.Contains(answer.body, "urn:ibislift:problem:"+kind))
	if status == http.StatusServiceUnavailable {
		is.True(answer.header.Get("Retry-After") != "")
	}
}

func TestWholePath(t *testing.T) {
	site := newSite(t, 2)
	t.Run("through any daemon", func(t *testing.T) {
		for through := range site.instances {
			own(t, site.send(through, request{method: "GET", path: "/logs/17"}))
			own(t, site.send(through, request{method: "POST", path: "/enrol", body: strings.NewReader("body")}))
		}
	})
	t.Run("HEAD has a length and no body", func(t *testing.T) {
		answer := site.send(0, request{method: "HEAD", path: "/logs/17"})
		is := is.New(t)
		is.Equal(answer.status, http.StatusOK)
		is.Equal(answer.body, "")
		is.True(answer.header.Get("Content-Length") != "")
	})
	t.Run("a long answer is streamed, with trailers", func(t *testing.T) {
		answer := site.send(0, request{method: "GET", path: "/archive?size=5000000"})
		is := is.New(t)
		is.NoErr(answer.err)
		is.Equal(len(answer.body), 5_000_000)
		is.Equal(answer.trailer.Get("Standin-Size"), "5000000")
	})
	t.Run("a long request is streamed", func(t *testing.T) {
		answer := site.send(1, request{method: "POST", path: "/upload", body: bytes.NewReader(make([]byte, 3_000_000))})
		own(t, answer)
		is.New(t).True(strings.Contains(answer.body, `"received":3000000`))
	})
	t.Run("unknown service", func(t *testing.T) {
		told(t, site.send(0, request{method: "GET", path: "/", host: "nobody"}), http.StatusNotFound, "notRun", "unknownService")
	})
	for name, header := range map[string]map[string]string{
		"deadline": {"Ibislift-Deadline": "soon"},
		"negative": {"Ibislift-Deadline": "-1s"},
		"key":      {"Idempotency-Key": strings.Repeat("k", 300)},
		"tenant":   {"Ibislift-Tenant": strings.Repeat("t", 300)},
	} {
		t.Run("bad header "+name, func(t *testing.T) {
			told(t, site.send(0, request{method: "GET", path: "/", header: header}), http.StatusBadRequest, "notRun", "badHeader")
		})
	}
	t.Run("header too long", func(t *testing.T) {
		answer := site.send(0, request{method: "GET", path: "/", header: map[string]string{"X-Long": strings.Repeat("x", 100_000)}})
		is.New(t).Equal(answer.status, http.StatusRequestHeaderFieldsTooLarge)
	})
	t.Run("a body that does not come", func(t *testing.T) {
		unending, stop := io.Pipe()
		defer func() { _ = stop.Close() }()
		answer := site.send(0, request{method: "POST", path: "/enrol", body: unending, header: map[string]string{"Ibislift-Deadline": "100ms"}})
		told(t, answer, http.StatusRequestTimeout, "notRun", "bodyTooSlow")
	})
	t.Run("body too long", func(t *testing.T) {
		status, _ := site.operate(0, "PUT", "/profiles/tiny", "new", `{"maxBodyBytes": 10}`)
		is.New(t).Equal(status, http.StatusOK)
		site.await("the profile is known here", func() bool {
			status, _ := site.operate(1, "GET", "/profiles/tiny", "", "")
			return status == http.StatusOK
		})
		status, _ = site.operate(1, "PUT", "/services/intake", "new", `{"profile": "tiny"}`)
		is.New(t).Equal(status, http.StatusOK)
		answer := site.send(1, request{method: "POST", path: "/enrol", body: strings.NewReader("more than ten bytes")})
		told(t, answer, http.StatusRequestEntityTooLarge, "notRun", "bodyTooLarge")
	})
}

func TestBrokenUpstreams(t *testing.T) {
	site := newSite(t, 2)
	turn := func(switches upstream.Switches) {
		for _, instance := range site.instances {
			instance.upstream.Turn(switches)
		}
	}
	t.Run("a short answer that is cut is never whole", func(t *testing.T) {
		turn(upstream.Switches{Truncate: true})
		told(t, site.send(0, request{method: "POST", path: "/enrol"}), http.StatusBadGateway, "unknown", "lost")
	})
	t.Run("a long answer that is cut reaches the caller broken", func(t *testing.T) {
		turn(upstream.Switches{Truncate: true})
		answer := site.send(0, request{method: "GET", path: "/archive?size=5000000"})
		is.New(t).True(answer.err != nil)
	})
	t.Run("answers that come twice are nobody else's", func(t *testing.T) {
		turn(upstream.Switches{Twice: true})
		for number := range 60 {
			answer := site.send(number%2, request{method: "GET", path: "/logs/17"})
			if answer.status == http.StatusOK {
				own(t, answer)
			}
		}
	})
	t.Run("failing answers are tried elsewhere if they may be", func(t *testing.T) {
		turn(upstream.Switches{})
		site.instances[0].upstream.Turn(upstream.Switches{FailFast: true})
		for range 20 {
			own(t, site.send(0, request{method: "GET", path: "/logs/17"}))
		}
	})
	t.Run("the deadline ends the wait, and reaches the upstream", func(t *testing.T) {
		turn(upstream.Switches{Hang: true})
		answer := site.send(0, request{method: "POST", path: "/enrol", header: map[string]string{"Ibislift-Deadline": "200ms"}})
		is.New(t).Equal(answer.outcome, "unknown")
		site.await("nothing runs on the upstreams", func() bool {
			return site.instances[0].upstream.Running()+site.instances[1].upstream.Running() == 0
		})
	})
	t.Run("a caller that leaves reaches the upstream", func(*testing.T) {
		turn(upstream.Switches{Hang: true})
		ctx, cancel := context.WithCancel(context.Background())
		sent := make(chan answer, 1)
		go func() { sent <- site.send(0, request{method: "GET", path: "/logs/17", ctx: ctx}) }()
		running := func() int {
			return site.instances[0].upstream.Running() + site.instances[1].upstream.Running()
		}
		site.await("the request runs", func() bool { return running() > 0 })
		cancel()
		<-sent
		site.await("nothing runs on the upstreams", func() bool { return running() == 0 })
	})
}

func TestKeys(t *testing.T) {
	site := newSite(t, 3)
	keyed := func(key string) request {
		return request{method: "POST", path: "/enrol", header: map[string]string{"Idempotency-Key": key}}
	}
	t.Run("resends through all daemons at once run once", func(t *testing.T) {
		var answers [30]answer
		var sending sync.WaitGroup
		for number := range answers {
			sending.Go(func() { answers[number] = site.send(number%3, keyed("same")) })
		}
		sending.Wait()
		ran, runs := 0, 0
		for _, answer := range answers {
			runs += site.ledger.runs(answer.trial)
			if answer.status == http.StatusOK {
				ran++
				continue
			}
			t.Logf("refused with: %s", answer.body)
			is.New(t).Equal(answer.outcome, "notRun")
		}
		is := is.New(t)
		is.Equal(ran, 1)
		is.Equal(runs, 1)
	})
	t.Run("a resend is told that the first has run", func(t *testing.T) {
		own(t, site.send(0, keyed("again")))
		site.await("the first is known to have run", func() bool {
			answer := site.send(1, keyed("again"))
			return answer.status == http.StatusConflict && strings.Contains(answer.body, `"known":"run"`)
		})
	})
	t.Run("no platform, no claim, and at once", func(t *testing.T) {
		site.store.Turn(platform.Switches{Down: true})
		told(t, site.send(0, keyed("down")), http.StatusServiceUnavailable, "notRun", "claimUnavailable")
		own(t, site.send(0, request{method: "GET", path: "/logs/17"}))
		own(t, site.send(0, request{method: "POST", path: "/enrol"}))
		site.store.Turn(platform.Switches{})
		site.await("the key is served after the outage", func() bool { return site.send(0, keyed("down")).status == http.StatusOK })
	})
	t.Run("a lost answer of the platform loses nothing", func(t *testing.T) {
		site.store.Turn(platform.Switches{LoseAnswers: true})
		first := site.send(0, keyed("lost"))
		site.store.Turn(platform.Switches{})
		if first.status != http.StatusOK {
			told(t, first, http.StatusServiceUnavailable, "notRun", "claimUnavailable")
			is.New(t).Equal(site.ledger.runs(first.trial), 0)
		}
		site.await("the key ends", func() bool {
			status := site.send(1, keyed("lost")).status
			return status == http.StatusOK || status == http.StatusConflict
		})
	})
}

func TestDrain(t *testing.T) {
	site := newSite(t, 2)
	leaving := site.instances[0]
	leaving.upstream.Turn(upstream.Switches{Hang: true})
	site.instances[1].upstream.Turn(upstream.Switches{Hang: true})
	var answers [2]answer
	var sending sync.WaitGroup
	for number := range answers {
		sending.Go(func() { answers[number] = site.send(number, request{method: "POST", path: "/enrol"}) })
	}
	site.await("both requests run", func() bool {
		return leaving.upstream.Running()+site.instances[1].upstream.Running() == 2
	})
	inProgress := leaving.upstream.Running()
	drained := make(chan error, 1)
	go func() { drained <- leaving.upstream.Drain(context.Background(), leaving.ip+":8002") }()
	site.await("the target is known to drain", func() bool { return site.targets(site.instances[1]) == 1 })
	site.instances[1].upstream.Turn(upstream.Switches{})
	for range 10 {
		own(t, site.send(1, request{method: "GET", path: "/logs/17"}))
	}
	is := is.New(t)
	is.Equal(leaving.upstream.Running(), inProgress) // nothing new, nothing cut
	leaving.upstream.Turn(upstream.Switches{})
	is.NoErr(<-drained)
	sending.Wait()
	for _, answer := range answers {
		own(t, answer)
	}
	is.Equal(leaving.upstream.Running(), 0)
}

func TestStopCutsNothing(t *testing.T) {
	site := newSite(t, 2)
	for _, instance := range site.instances {
		instance.upstream.Turn(upstream.Switches{Hang: true})
	}
	sent := make(chan answer, 1)
	go func() { sent <- site.send(0, request{method: "POST", path: "/enrol"}) }()
	running := func() int { return site.instances[0].upstream.Running() + site.instances[1].upstream.Running() }
	site.await("the request runs", func() bool { return running() == 1 })
	site.instances[0].stop()
	site.await("the daemon is leaving", func() bool { return site.targets(site.instances[1]) == 1 })
	for _, instance := range site.instances {
		instance.upstream.Turn(upstream.Switches{})
	}
	own(t, <-sent)
	err := <-site.instances[0].ended
	is.New(t).NoErr(err)
	site.instances[0].ended <- err
}

func TestPoison(t *testing.T) {
	site := newSite(t, 4)
	poison := request{method: "POST", path: "/enrol", header: map[string]string{upstream.CrashHeader: "1"}}
	crashed := 0
	for through := range 4 {
		answer := site.send(through, poison)
		if answer.status == http.StatusBadGateway {
			crashed++
			is.New(t).Equal(answer.outcome, "unknown")
			site.await("the crash is known everywhere", func() bool {
				for _, instance := range site.instances {
					if site.targets(instance) != 4-crashed {
						return false
					}
				}
				return true
			})
			continue
		}
		told(t, answer, http.StatusServiceUnavailable, "notRun", "crashSuspect")
	}
	is.New(t).Equal(crashed, 2)
	own(t, site.send(3, request{method: "POST", path: "/other"}))
}

func TestOperators(t *testing.T) {
	site := newSite(t, 3)
	is := is.New(t)
	status, body := site.operate(0, "PUT", "/profiles/fast", "new", `{"queueBound": "x"}`)
	is.Equal(status, http.StatusUnprocessableEntity)
	is.True(strings.Contains(body, `"field":"queueBound"`))
	status, _ = site.operate(0, "PUT", "/profiles/fast", "", `{}`)
	is.Equal(status, http.StatusPreconditionRequired)
	status, _ = site.operate(0, "PUT", "/profiles/Fast!", "new", `{}`)
	is.Equal(status, http.StatusUnprocessableEntity)
	var statuses [2]int
	var bodies [2]string
	var writing sync.WaitGroup
	for number := range statuses {
		writing.Go(func() {
			statuses[number], bodies[number] = site.operate(number, "PUT", "/profiles/fast", "new", fmt.Sprintf(`{"queueBound": %d}`, number))
		})
	}
	writing.Wait()
	is.Equal(statuses[0]+statuses[1], http.StatusOK+http.StatusConflict)
	for number, status := range statuses {
		is.True(status != http.StatusConflict || strings.Contains(bodies[number], `"current"`))
	}
	site.await("the profile is in force everywhere", func() bool {
		for through := range site.instances {
			if status, _ := site.operate(through, "GET", "/profiles/fast", "", ""); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	status, body = site.operate(2, "GET", "/metrics", "", "")
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, "ibislift_platform_calls_total{kind=\"list\""))
	is.True(strings.Contains(body, "ibislift_control_bytes_total{direction=\"out\",reach=\"dataCentre\"}"))
	explained(t, body)
	status, _ = site.operate(2, "GET", "/explain?request=none", "", "")
	is.Equal(status, http.StatusNotFound)
}

// explained checks that the operators' page says what each metric means.
func explained(t *testing.T, scrape string) {
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
	site := &site{t: t, store: &platform.Store{}}
	site.prefix = fmt.Sprintf("127.%d.%d", 220, sites.Add(1))
	serveUntilEnd(t, site.prefix+".1:7000", site.store.Handler())
	site.store.Turn(platform.Switches{Down: true})
	site.start(0)
	site.await("the daemon answers callers", func() bool {
		return site.send(0, request{method: "GET", path: "/"}).err == nil
	})
	told(t, site.send(0, request{method: "GET", path: "/"}), http.StatusServiceUnavailable, "notRun", "notReady")
	is.New(t).True(!site.ready(site.instances[0]))
	site.store.Turn(platform.Switches{})
	site.await("the daemon is ready", func() bool { return site.ready(site.instances[0]) })
	site.await("requests are served", func() bool {
		return site.send(0, request{method: "GET", path: "/logs/17"}).status == http.StatusOK
	})
}

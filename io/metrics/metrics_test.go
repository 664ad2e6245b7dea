package metrics_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibislift/core/admit"
	"ibislift/core/call"
	"ibislift/io/metrics"
)

// Bounds of a scrape at the full size: what a daemon may take to serve one.
const (
	maxScrapeBytes = 4 << 20
	maxScrapeLines = 40_000
)

func newMeter(t testing.TB) *metrics.Meter {
	t.Helper()
	meter, err := metrics.New()
	if err != nil {
		t.Fatal(err)
	}
	return meter
}

// scrape returns the metrics as Prometheus reads them.
func scrape(meter *metrics.Meter) string {
	recorder := httptest.NewRecorder()
	meter.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	return recorder.Body.String()
}

// has checks that a scrape has a line.
func has(t *testing.T, text, line string) {
	t.Helper()
	if !strings.Contains(text, line) {
		t.Fatalf("the scrape has no line with %q", line)
	}
}

// fill counts what a daemon sees that passes requests to many services for many
// tenants, with names from outside that never repeat.
func fill(meter *metrics.Meter, services int) {
	for service := range services {
		name := fmt.Sprintf("service-%d", service)
		for class := range 4 {
			for repeat := range 3 {
				outside := fmt.Sprintf("%d-%d-%d", service, class, repeat)
				meter.Request(name, fmt.Sprintf("class-%d", class), "tenant-"+outside, call.OutcomeRun, 200+100*repeat, time.Millisecond)
				meter.Request(name, "class-"+outside, "tenant", call.OutcomeUnknown, 502, time.Millisecond)
				meter.Waited("class-"+outside, admit.ReasonDeadline, time.Millisecond)
			}
		}
		meter.Attempt(name, "first")
		meter.Attempt(name, "extra")
		meter.Refusal(name, "refused")
	}
}

func TestScrapeIsBounded(t *testing.T) {
	meter := newMeter(t)
	fill(meter, 500)
	once := scrape(meter)
	fill(meter, 1500)
	text := scrape(meter)
	is := is.New(t)
	is.True(len(text) <= maxScrapeBytes)
	is.True(strings.Count(text, "\n") <= maxScrapeLines)
	is.True(len(text) < len(once)*5/4) // three times the services add little
	has(t, text, `class="other"`)
	has(t, text, `tenant="other"`)
	has(t, once, `ibislift_attempts_total{kind="extra",service="service-499"} 1`)
}

func TestMeter(t *testing.T) {
	t.Run("a request is counted by class, tenant and end", func(t *testing.T) {
		meter := newMeter(t)
		meter.Request("intake", "enrol", "north", call.OutcomeNotRun, 503, 3*time.Millisecond)
		text := scrape(meter)
		has(t, text, `ibislift_requests_seconds_count{class="enrol",service="intake"} 1`)
		has(t, text, `ibislift_tenant_requests_seconds_count{tenant="north"} 1`)
		has(t, text, `ibislift_answers_total{outcome="notRun",service="intake",status="5xx"} 1`)
	})
	t.Run("the gate's waits and refusals are told apart", func(t *testing.T) {
		meter := newMeter(t)
		meter.Waited("enrol", "", 30*time.Millisecond)
		meter.Waited("enrol", admit.ReasonQueueFull, 0)
		text := scrape(meter)
		has(t, text, `ibislift_gate_waits_seconds_sum{class="enrol",decision="granted"} 0.03`)
		has(t, text, `ibislift_gate_waits_seconds_count{class="enrol",decision="refused"} 1`)
		has(t, text, `ibislift_gate_refusals_total{class="enrol",reason="queueFull"} 1`)
	})
	t.Run("budgets show what was taken, denied and is left", func(t *testing.T) {
		meter := newMeter(t)
		is.New(t).NoErr(meter.Budgets(func() []metrics.Budget {
			return []metrics.Budget{{Service: "intake", Kind: "retry", Taken: 7, Denied: 2, Left: 1.5}}
		}))
		text := scrape(meter)
		has(t, text, `ibislift_budget_attempts_total{kind="retry",result="taken",service="intake"} 7`)
		has(t, text, `ibislift_budget_attempts_total{kind="retry",result="denied",service="intake"} 2`)
		has(t, text, `ibislift_budget_left{kind="retry",service="intake"} 1.5`)
	})
	t.Run("control bytes and calls of the platform have their labels", func(t *testing.T) {
		meter := newMeter(t)
		meter.Control("out", "region", 120)
		meter.PlatformCall("watch", "unknown")
		text := scrape(meter)
		has(t, text, `ibislift_control_bytes_total{direction="out",reach="region"} 120`)
		has(t, text, `ibislift_platform_calls_total{kind="watch",result="unknown"} 1`)
	})
}

func BenchmarkScrape(b *testing.B) {
	meter := newMeter(b)
	fill(meter, 500)
	b.ResetTimer()
	for b.Loop() {
		b.ReportMetric(float64(len(scrape(meter))), "bytes")
	}
}

func BenchmarkRequest(b *testing.B) {
	meter := newMeter(b)
	for b.Loop() {
		meter.Request("intake", "enrol", "north", call.OutcomeRun, 200, time.Millisecond)
	}
}

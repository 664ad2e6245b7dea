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

// Limits on the size of a scrape in a full-size deployment.
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

// scrape returns the metrics in the Prometheus text format.
func scrape(meter *metrics.Meter) string {
	recorder := httptest.NewRecorder()
	meter.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	return recorder.Body.String()
}

// requireLine fails the test if no line of the scrape contains a text.
func requireLine(t *testing.T, text, line string) {
	t.Helper()
	if !strings.Contains(text, line) {
		t.Fatalf("no line of the scrape contains %q", line)
	}
}

// fill records the metrics of a daemon that forwards requests to many services
// for many tenants. The names of classes and tenants come from callers, and most
// of them never repeat.
func fill(meter *metrics.Meter, services int) {
	for service := range services {
		name := fmt.Sprintf("service-%d", service)
		for class := range 4 {
			for repetition := range 3 {
				unique := fmt.Sprintf("%d-%d-%d", service, class, repetition)
				meter.Request(name, fmt.Sprintf("class-%d", class), "tenant-"+unique, call.OutcomeRun, 200+100*repetition, time.Millisecond)
				meter.Request(name, "class-"+unique, "tenant", call.OutcomeUnknown, 502, time.Millisecond)
				meter.GateDecision("class-"+unique, admit.ReasonDeadline, time.Millisecond)
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
	first := scrape(meter)
	fill(meter, 1500)
	text := scrape(meter)
	is := is.New(t)
	is.True(len(text) <= maxScrapeBytes)
	is.True(strings.Count(text, "\n") <= maxScrapeLines)
	is.True(len(text) < len(first)*5/4) // three times as many services add little
	requireLine(t, text, `class="other"`)
	requireLine(t, text, `tenant="other"`)
	requireLine(t, first, `ibislift_attempts_total{kind="extra",service="service-499"} 1`)
}

func TestMeter(t *testing.T) {
	t.Run("requests are counted by class, tenant and outcome", func(t *testing.T) {
		meter := newMeter(t)
		meter.Request("intake", "enrol", "north", call.OutcomeNotRun, 503, 3*time.Millisecond)
		text := scrape(meter)
		requireLine(t, text, `ibislift_requests_seconds_count{class="enrol",service="intake"} 1`)
		requireLine(t, text, `ibislift_tenant_requests_seconds_count{tenant="north"} 1`)
		requireLine(t, text, `ibislift_answers_total{outcome="notRun",service="intake",status="5xx"} 1`)
	})
	t.Run("waits and refusals at the gate are counted separately", func(t *testing.T) {
		meter := newMeter(t)
		meter.GateDecision("enrol", "", 30*time.Millisecond)
		meter.GateDecision("enrol", admit.ReasonQueueFull, 0)
		text := scrape(meter)
		requireLine(t, text, `ibislift_gate_waits_seconds_sum{class="enrol",decision="granted"} 0.03`)
		requireLine(t, text, `ibislift_gate_waits_seconds_count{class="enrol",decision="refused"} 1`)
		requireLine(t, text, `ibislift_gate_refusals_total{class="enrol",reason="queueFull"} 1`)
	})
	t.Run("budgets show allowed, denied and remaining attempts", func(t *testing.T) {
		meter := newMeter(t)
		is.New(t).NoErr(meter.AddBudgets(func() []metrics.Budget {
			return []metrics.Budget{{Service: "intake", Kind: "retry", Spent: 7, Denied: 2, Remaining: 1.5}}
		}))
		text := scrape(meter)
		requireLine(t, text, `ibislift_budget_attempts_total{kind="retry",result="taken",service="intake"} 7`)
		requireLine(t, text, `ibislift_budget_attempts_total{kind="retry",result="denied",service="intake"} 2`)
		requireLine(t, text, `ibislift_budget_left{kind="retry",service="intake"} 1.5`)
	})
	t.Run("control bytes and platform calls have their labels", func(t *testing.T) {
		meter := newMeter(t)
		meter.ControlBytes(metrics.ByteLabels{Direction: "out", Proximity: "region", Kind: "report"}, 120)
		meter.PlatformCall("watch", "unknown")
		text := scrape(meter)
		requireLine(t, text, `ibislift_control_bytes_total{direction="out",kind="report",reach="region"} 120`)
		requireLine(t, text, `ibislift_platform_calls_total{kind="watch",result="unknown"} 1`)
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

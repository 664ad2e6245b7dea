// Package metrics counts what the daemon does, by OpenTelemetry, for
// Prometheus to read.
//
// A scrape is bounded: beyond a number of services, classes and tenants the rest
// is counted as "other", and each metric has at most maxSeries sets of labels,
// beyond which a set goes to one that is marked otel_metric_overflow.
//
// # Usage
//
//	meter, err := metrics.New()
//	http.Handle("/metrics", meter.Handler())
package metrics

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"ibislift/core/admit"
	"ibislift/core/call"
)

// Error is the class of all errors of this package.
var Error = errs.Class("metrics")

// Bounds of the labels. maxSeries lets two classes of each service be told
// apart at the full size of 490 services.
const (
	maxTenants  = 64
	maxServices = 512
	maxClasses  = 64
	maxSeries   = 1024
)

// requestBuckets are the bounds of the request histogram, in seconds.
var requestBuckets = []float64{
	.0002, .0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 60,
}

// Meter counts. It may be used by many goroutines.
type Meter struct {
	registry *prometheus.Registry
	meter    metric.Meter
	requests metric.Float64Histogram
	tenancy  metric.Float64Histogram
	waits    metric.Float64Histogram
	answers  metric.Int64Counter
	attempts metric.Int64Counter
	refusals metric.Int64Counter
	rejects  metric.Int64Counter
	claims   metric.Int64Counter
	control  metric.Int64Counter
	calls    metric.Int64Counter
	probes   metric.Int64Counter
	services bounded
	classes  bounded
	tenants  bounded
}

// New returns a meter with a registry of its own.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	meter := &Meter{
		registry: registry,
		meter:    sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithCardinalityLimit(maxSeries)).Meter("ibislift"),
		services: bounded{most: maxServices},
		classes:  bounded{most: maxClasses},
		tenants:  bounded{most: maxTenants},
	}
	return meter, Error.Wrap(meter.instruments())
}

func (meter *Meter) instruments() error {
	var group errs.Group
	var err error
	for _, histogram := range []struct {
		into        *metric.Float64Histogram
		name        string
		description string
	}{
		{&meter.requests, "ibislift.requests", "Time from the arrival of a request to the end of its answer, by service and class."},
		{&meter.tenancy, "ibislift.tenant.requests", "The same time, by tenant."},
		{&meter.waits, "ibislift.gate.waits", "Time that requests wait at the gate for its decision."},
	} {
		*histogram.into, err = meter.meter.Float64Histogram(histogram.name, metric.WithUnit("s"),
			metric.WithDescription(histogram.description), metric.WithExplicitBucketBoundaries(requestBuckets...))
		group.Add(err)
	}
	for _, counter := range []struct {
		into        *metric.Int64Counter
		name        string
		description string
	}{
		{&meter.answers, "ibislift.answers", "Ends of callers' requests, by outcome and status."},
		{&meter.attempts, "ibislift.attempts", "Sendings of requests to targets; kind is first or extra."},
		{&meter.refusals, "ibislift.refusals", "Requests that ended without an answer, by reason."},
		{&meter.rejects, "ibislift.gate.refusals", "Requests that the gate refused, by reason."},
		{&meter.claims, "ibislift.claims", "Requests for idempotency keys, by result."},
		{&meter.control, "ibislift.control.bytes", "Bytes of control messages, by direction and by how far the other daemon is."},
		{&meter.calls, "ibislift.platform.calls", "Calls of the platform, by kind and result."},
		{&meter.probes, "ibislift.probes", "Probes of the upstream beside, by result."},
	} {
		*counter.into, err = meter.meter.Int64Counter(counter.name, metric.WithDescription(counter.description))
		group.Add(err)
	}
	return group.Err()
}

// Gauge adds a value that is read whenever the metrics are.
func (meter *Meter) Gauge(name, description string, value func() int64) error {
	_, err := meter.meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(value())
			return nil
		}))
	return Error.Wrap(err)
}

// Count adds a value that only grows and is read whenever the metrics are.
func (meter *Meter) Count(name, description string, value func() int64) error {
	_, err := meter.meter.Int64ObservableCounter(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(value())
			return nil
		}))
	return Error.Wrap(err)
}

// Budget is the state of a budget of extra attempts: how many were taken and
// denied so far, and how many could be taken now.
type Budget struct {
	Service string
	Kind    string
	Taken   int
	Denied  int
	Left    float64
}

// Budgets adds the budgets of extra attempts, read whenever the metrics are.
func (meter *Meter) Budgets(read func() []Budget) error {
	var group errs.Group
	spent, err := meter.meter.Int64ObservableCounter("ibislift.budget.attempts",
		metric.WithDescription("Extra attempts that a budget was asked for; result is taken or denied."))
	group.Add(err)
	left, err := meter.meter.Float64ObservableGauge("ibislift.budget.left",
		metric.WithDescription("Extra attempts that a budget would allow now."))
	group.Add(err)
	if group.Err() != nil {
		return Error.Wrap(group.Err())
	}
	_, err = meter.meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		for _, budget := range read() {
			labels := metric.WithAttributes(attribute.String("service", meter.services.label(budget.Service)), attribute.String("kind", budget.Kind))
			observer.ObserveInt64(spent, int64(budget.Taken), labels, metric.WithAttributes(attribute.String("result", "taken")))
			observer.ObserveInt64(spent, int64(budget.Denied), labels, metric.WithAttributes(attribute.String("result", "denied")))
			observer.ObserveFloat64(left, budget.Left, labels)
		}
		return nil
	}, spent, left)
	return Error.Wrap(err)
}

// Handler returns the metrics as Prometheus text.
func (meter *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(meter.registry, promhttp.HandlerOpts{})
}

// Request counts the end of a caller's request.
func (meter *Meter) Request(service, class, tenant string, outcome call.Outcome, status int, took time.Duration) {
	ctx := context.Background()
	labels := metric.WithAttributes(
		attribute.String("service", meter.services.label(service)),
		attribute.String("class", meter.classes.label(class)),
	)
	meter.requests.Record(ctx, took.Seconds(), labels)
	meter.tenancy.Record(ctx, took.Seconds(), metric.WithAttributes(attribute.String("tenant", meter.tenants.label(tenant))))
	meter.answers.Add(ctx, 1, metric.WithAttributes(
		attribute.String("service", meter.services.label(service)),
		attribute.String("outcome", string(outcome)),
		attribute.String("status", strconv.Itoa(status/100)+"xx"),
	))
}

// Waited counts the gate's first decision on a request, which is "granted" or
// a reason to refuse it.
func (meter *Meter) Waited(class string, refused admit.Reason, wait time.Duration) {
	ctx := context.Background()
	label := attribute.String("class", meter.classes.label(class))
	decision := "granted"
	if refused != "" {
		decision = "refused"
		meter.rejects.Add(ctx, 1, metric.WithAttributes(label, attribute.String("reason", string(refused))))
	}
	meter.waits.Record(ctx, wait.Seconds(), metric.WithAttributes(label, attribute.String("decision", decision)))
}

// Attempt counts the sending of a request to a target.
func (meter *Meter) Attempt(service, kind string) {
	meter.attempts.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", meter.services.label(service)), attribute.String("kind", kind)))
}

// Refusal counts a request that ended without an answer.
func (meter *Meter) Refusal(service, reason string) {
	meter.refusals.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", meter.services.label(service)), attribute.String("reason", reason)))
}

// Claim counts a request for an idempotency key.
func (meter *Meter) Claim(result string) {
	meter.claims.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

// Control counts bytes of control messages. Reach says how far the other
// daemon is.
func (meter *Meter) Control(direction, reach string, bytes int) {
	meter.control.Add(context.Background(), int64(bytes), metric.WithAttributes(
		attribute.String("direction", direction), attribute.String("reach", reach)))
}

// PlatformCall counts a call of the platform.
func (meter *Meter) PlatformCall(kind, result string) {
	meter.calls.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("kind", kind), attribute.String("result", result)))
}

// Probe counts a probe of the upstream beside.
func (meter *Meter) Probe(healthy bool) {
	meter.probes.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("healthy", healthy)))
}

// bounded lets through the first labels it sees, and calls the rest "other".
type bounded struct {
	most  int
	mutex sync.Mutex
	seen  map[string]bool
}

func (bounded *bounded) label(value string) string {
	bounded.mutex.Lock()
	defer bounded.mutex.Unlock()
	if bounded.seen[value] {
		return value
	}
	if len(bounded.seen) >= bounded.most {
		return "other"
	}
	if bounded.seen == nil {
		bounded.seen = map[string]bool{}
	}
	bounded.seen[value] = true
	return value
}

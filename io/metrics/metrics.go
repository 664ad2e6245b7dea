// Package metrics counts what the daemon does, by OpenTelemetry, for
// Prometheus to read.
//
// Labels are bounded: services come from the fleet's own records, and beyond a
// number of tenants the rest is counted as "other".
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

	"ibislift/core/call"
)

// Error is the class of all errors of this package.
var Error = errs.Class("metrics")

// maxTenants and maxServices bound the values of labels.
const (
	maxTenants  = 64
	maxServices = 512
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
	attempts metric.Int64Counter
	refusals metric.Int64Counter
	claims   metric.Int64Counter
	control  metric.Int64Counter
	probes   metric.Int64Counter
	services bounded
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
		meter:    sdk.NewMeterProvider(sdk.WithReader(reader)).Meter("ibislift"),
		services: bounded{most: maxServices},
		tenants:  bounded{most: maxTenants},
	}
	return meter, Error.Wrap(meter.instruments())
}

func (meter *Meter) instruments() error {
	var group errs.Group
	var err error
	meter.requests, err = meter.meter.Float64Histogram("ibislift.requests",
		metric.WithUnit("s"), metric.WithDescription("Time from the arrival of a request to the end of its answer."),
		metric.WithExplicitBucketBoundaries(requestBuckets...))
	group.Add(err)
	for _, counter := range []struct {
		into        *metric.Int64Counter
		name        string
		description string
	}{
		{&meter.attempts, "ibislift.attempts", "Sendings of requests to targets; kind is first or extra."},
		{&meter.refusals, "ibislift.refusals", "Requests that ended without an answer, by reason."},
		{&meter.claims, "ibislift.claims", "Requests for idempotency keys, by result."},
		{&meter.control, "ibislift.control.bytes", "Bytes of control messages, by direction."},
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

// Handler returns the metrics as Prometheus text.
func (meter *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(meter.registry, promhttp.HandlerOpts{})
}

// Request counts the end of a caller's request.
func (meter *Meter) Request(service, class, tenant string, outcome call.Outcome, status int, took time.Duration) {
	meter.requests.Record(context.Background(), took.Seconds(), metric.WithAttributes(
		attribute.String("service", meter.services.label(service)),
		attribute.String("class", class),
		attribute.String("tenant", meter.tenants.label(tenant)),
		attribute.String("outcome", string(outcome)),
		attribute.String("status", strconv.Itoa(status/100)+"xx"),
	))
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

// Control counts bytes of control messages.
func (meter *Meter) Control(direction string, bytes int) {
	meter.control.Add(context.Background(), int64(bytes), metric.WithAttributes(attribute.String("direction", direction)))
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

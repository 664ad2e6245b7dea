// Package metrics records the daemon's metrics with OpenTelemetry and serves them
// to Prometheus.
//
// The size of a scrape is limited. Services, classes and tenants beyond a maximum
// number are counted under the label "other". Each metric has at most maxSeries
// sets of labels. Further sets are counted in one that is marked
// otel_metric_overflow.
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

// Limits on the number of label values and series. maxSeries suffices for two
// classes of each service in a full-size deployment of 490 services.
const (
	maxTenants  = 64
	maxServices = 512
	maxClasses  = 64
	maxSeries   = 1024
)

// requestBuckets are the bucket boundaries of the histograms, in seconds.
var requestBuckets = []float64{
	.0002, .0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 60,
}

// Meter records metrics. It is safe for concurrent use by multiple goroutines.
// Make one with New.
type Meter struct {
	registry       *prometheus.Registry
	meter          metric.Meter
	requests       metric.Float64Histogram
	tenantRequests metric.Float64Histogram
	gateWaits      metric.Float64Histogram
	ends           metric.Int64Counter
	attempts       metric.Int64Counter
	refusals       metric.Int64Counter
	gateRefusals   metric.Int64Counter
	claims         metric.Int64Counter
	controlBytes   metric.Int64Counter
	forwardedBytes metric.Int64Counter
	platformCalls  metric.Int64Counter
	probes         metric.Int64Counter
	services       labelLimiter
	classes        labelLimiter
	tenants        labelLimiter
	// byteOptions holds a metric.AddOption for each ByteLabels.
	byteOptions sync.Map
}

// New returns a meter that has its own registry.
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
		services: labelLimiter{max: maxServices},
		classes:  labelLimiter{max: maxClasses},
		tenants:  labelLimiter{max: maxTenants},
	}
	return meter, Error.Wrap(meter.createInstruments())
}

// createInstruments creates the histograms and counters.
func (meter *Meter) createInstruments() error {
	var group errs.Group
	var err error
	for _, histogram := range []struct {
		instrument  *metric.Float64Histogram
		name        string
		description string
	}{
		{&meter.requests, "ibislift.requests", "Time from the arrival of a request to the end of its answer, by service and class."},
		{&meter.tenantRequests, "ibislift.tenant.requests", "The same time, by tenant."},
		{&meter.gateWaits, "ibislift.gate.waits", "Time that requests wait at the gate for its decision."},
	} {
		*histogram.instrument, err = meter.meter.Float64Histogram(histogram.name, metric.WithUnit("s"),
			metric.WithDescription(histogram.description), metric.WithExplicitBucketBoundaries(requestBuckets...))
		group.Add(err)
	}
	for _, counter := range []struct {
		instrument  *metric.Int64Counter
		name        string
		description string
	}{
		// Includes the requests that ended without a response.
		{&meter.ends, "ibislift.answers", "Ends of callers' requests, by outcome and status."},
		{&meter.attempts, "ibislift.attempts", "Sendings of requests to targets; kind is first or extra."},
		{&meter.refusals, "ibislift.refusals", "Requests that ended without an answer, by reason."},
		{&meter.gateRefusals, "ibislift.gate.refusals", "Requests that the gate refused, by reason."},
		// Requests to claim an idempotency key.
		{&meter.claims, "ibislift.claims", "Requests for idempotency keys, by result."},
		{&meter.controlBytes, "ibislift.control.bytes", "Bytes of control messages and load reports, by direction, kind and how far the other daemon is."},
		{&meter.forwardedBytes, "ibislift.forwarded.bytes", "Bytes of forwarded requests, by direction, kind and how far the other daemon is."},
		{&meter.platformCalls, "ibislift.platform.calls", "Calls of the platform, by kind and result."},
		// Probes of the upstream that runs beside the daemon.
		{&meter.probes, "ibislift.probes", "Probes of the upstream beside, by result."},
	} {
		*counter.instrument, err = meter.meter.Int64Counter(counter.name, metric.WithDescription(counter.description))
		group.Add(err)
	}
	return group.Err()
}

// AddGauge adds a gauge whose value is read at each scrape.
func (meter *Meter) AddGauge(name, description string, value func() int64) error {
	_, err := meter.meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(value())
			return nil
		}))
	return Error.Wrap(err)
}

// AddFloatGauge is AddGauge for a value with fractions.
func (meter *Meter) AddFloatGauge(name, description string, value func() float64) error {
	_, err := meter.meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, observer metric.Float64Observer) error {
			observer.Observe(value())
			return nil
		}))
	return Error.Wrap(err)
}

// AddCounter adds a counter whose value is read at each scrape. The value must
// never decrease.
func (meter *Meter) AddCounter(name, description string, value func() int64) error {
	_, err := meter.meter.Int64ObservableCounter(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(value())
			return nil
		}))
	return Error.Wrap(err)
}

// Budget is the state of a budget of extra attempts: how many attempts it has
// allowed and denied so far, and how many it would allow now.
type Budget struct {
	Service   string
	Kind      string
	Spent     int
	Denied    int
	Remaining float64
}

// AddBudgets adds the metrics of the budgets of extra attempts. Their state is
// read at each scrape.
func (meter *Meter) AddBudgets(read func() []Budget) error {
	var group errs.Group
	attempts, err := meter.meter.Int64ObservableCounter("ibislift.budget.attempts",
		metric.WithDescription("Extra attempts that a budget was asked for; result is taken or denied."))
	group.Add(err)
	remaining, err := meter.meter.Float64ObservableGauge("ibislift.budget.left",
		metric.WithDescription("Extra attempts that a budget would allow now."))
	group.Add(err)
	if group.Err() != nil {
		return Error.Wrap(group.Err())
	}
	_, err = meter.meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		for _, budget := range read() {
			labels := metric.WithAttributes(attribute.String("service", meter.services.label(budget.Service)), attribute.String("kind", budget.Kind))
			observer.ObserveInt64(attempts, int64(budget.Spent), labels, metric.WithAttributes(attribute.String("result", "taken")))
			observer.ObserveInt64(attempts, int64(budget.Denied), labels, metric.WithAttributes(attribute.String("result", "denied")))
			observer.ObserveFloat64(remaining, budget.Remaining, labels)
		}
		return nil
	}, attempts, remaining)
	return Error.Wrap(err)
}

// Handler returns a handler that serves the metrics in the Prometheus text
// format.
func (meter *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(meter.registry, promhttp.HandlerOpts{})
}

// Request records the end of a caller's request, with or without a response of a
// target, and the time since its arrival.
func (meter *Meter) Request(service, class, tenant string, outcome call.Outcome, status int, duration time.Duration) {
	ctx := context.Background()
	labels := metric.WithAttributes(
		attribute.String("service", meter.services.label(service)),
		attribute.String("class", meter.classes.label(class)),
	)
	meter.requests.Record(ctx, duration.Seconds(), labels)
	meter.tenantRequests.Record(ctx, duration.Seconds(), metric.WithAttributes(attribute.String("tenant", meter.tenants.label(tenant))))
	meter.ends.Add(ctx, 1, metric.WithAttributes(
		attribute.String("service", meter.services.label(service)),
		attribute.String("outcome", string(outcome)),
		attribute.String("status", strconv.Itoa(status/100)+"xx"),
	))
}

// GateDecision records the gate's first decision on a request and the time
// until that decision. The reason is empty if the request was granted a slot.
func (meter *Meter) GateDecision(class string, reason admit.Reason, wait time.Duration) {
	ctx := context.Background()
	label := attribute.String("class", meter.classes.label(class))
	decision := "granted"
	if reason != "" {
		decision = "refused"
		meter.gateRefusals.Add(ctx, 1, metric.WithAttributes(label, attribute.String("reason", string(reason))))
	}
	meter.gateWaits.Record(ctx, wait.Seconds(), metric.WithAttributes(label, attribute.String("decision", decision)))
}

// Attempt counts an attempt to send a request to a target.
func (meter *Meter) Attempt(service, kind string) {
	meter.attempts.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", meter.services.label(service)), attribute.String("kind", kind)))
}

// Refusal counts a request that ended without a response of a target.
func (meter *Meter) Refusal(service, reason string) {
	meter.refusals.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", meter.services.label(service)), attribute.String("reason", reason)))
}

// Claim counts a request to claim an idempotency key.
func (meter *Meter) Claim(result string) {
	meter.claims.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

// ByteLabels are the labels of bytes between daemons: the direction, the
// proximity of the other daemon and the kind. The metric's label for the
// proximity is called reach.
type ByteLabels struct{ Direction, Proximity, Kind string }

// ControlBytes counts bytes of control traffic.
func (meter *Meter) ControlBytes(labels ByteLabels, bytes int) {
	meter.controlBytes.Add(context.Background(), int64(bytes), meter.byteOption(labels))
}

// ForwardedBytes counts bytes of forwarded requests and their responses.
func (meter *Meter) ForwardedBytes(labels ByteLabels, bytes int) {
	meter.forwardedBytes.Add(context.Background(), int64(bytes), meter.byteOption(labels))
}

// byteOption returns the attributes of the labels. They are kept, since there are
// few of them and bytes are counted several times a request.
func (meter *Meter) byteOption(labels ByteLabels) metric.AddOption {
	if known, found := meter.byteOptions.Load(labels); found {
		return known.(metric.AddOption)
	}
	option := metric.WithAttributeSet(attribute.NewSet(
		attribute.String("direction", labels.Direction), attribute.String("kind", labels.Kind), attribute.String("reach", labels.Proximity)))
	meter.byteOptions.Store(labels, metric.AddOption(option))
	return option
}

// PlatformCall counts a call to the platform.
func (meter *Meter) PlatformCall(kind, result string) {
	meter.platformCalls.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("kind", kind), attribute.String("result", result)))
}

// Probe counts a probe of the upstream on the same machine.
func (meter *Meter) Probe(healthy bool) {
	meter.probes.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("healthy", healthy)))
}

// labelLimiter limits the number of distinct values of a label.
type labelLimiter struct {
	max   int
	mutex sync.Mutex
	seen  map[string]bool
}

// label returns the value itself for the first max distinct values, and "other"
// for all further ones.
func (labelLimiter *labelLimiter) label(value string) string {
	labelLimiter.mutex.Lock()
	defer labelLimiter.mutex.Unlock()
	if labelLimiter.seen[value] {
		return value
	}
	if len(labelLimiter.seen) >= labelLimiter.max {
		return "other"
	}
	if labelLimiter.seen == nil {
		labelLimiter.seen = map[string]bool{}
	}
	labelLimiter.seen[value] = true
	return value
}

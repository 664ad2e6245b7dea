package admit

import (
	"math"
	"time"
)

// Timing of the load reports that a gate sends to ingresses.
const (
	// MinReportInterval is the minimum time between two reports to an ingress.
	// MinCrossRegionReportInterval applies to an ingress in another region,
	// where traffic is expensive and the latency is high.
	MinReportInterval            = 40 * time.Millisecond
	MinCrossRegionReportInterval = 200 * time.Millisecond
	// SubscriptionTime is how long an ingress gets reports after its last
	// request.
	SubscriptionTime = 2 * time.Second
)

// Changes since the last report that cause a new one, besides the begin and end of a
// delay because of a rate limit: the slowness rises or falls
// by more than the factor slownessStep, or the number of requests changes by at
// least the fraction requestsStep of the slots.
const (
	slownessStep = 1.25
	requestsStep = 0.25
	// rateDelayStep is the increase of the delay because of a rate limit that causes
	// a report. That it decreases with time is expected.
	rateDelayStep = 20 * time.Millisecond
)

// NeedsReport reports whether the load differs enough from the last reported one
// to send a new report.
func (load Load) NeedsReport(lastReported Load) bool {
	slots := float64(max(1, load.Slots))
	oldRequests, newRequests := float64(lastReported.Running+lastReported.Queued), float64(load.Running+load.Queued)
	// While at most half of the slots are in use, no request waits and the
	// number of requests hardly affects the choice of a target.
	if max(oldRequests, newRequests) > slots/2 && math.Abs(newRequests-oldRequests) >= requestsStep*slots {
		return true
	}
	if lastReported.Draining != load.Draining || lastReported.Evacuated != load.Evacuated || lastReported.Slots != load.Slots || lastReported.RateLimit != load.RateLimit {
		return true
	}
	if lastReported.RateDelay > 0 != (load.RateDelay > 0) || load.RateDelay > lastReported.RateDelay+rateDelayStep {
		return true
	}
	low, high := min(lastReported.Slowness, load.Slowness), max(lastReported.Slowness, load.Slowness)
	return high > low*slownessStep
}

package admit

import "time"

// Limits on the slowness measurements. A measurement is a health check of the
// upstream like the probes of core/measure, but does not count against their
// budget. Each request allows two measurements: one before a target is chosen and
// one while the request waits or runs. Without the limit, a gate that receives one
// request a second would measure ten times for each. Unused measurements are saved
// up to maxMeasurementCredit for bursts.
const (
	creditPerRequest     = 2
	maxMeasurementCredit = 10
)

// MeasureSlowness asks the upstream for its current slowness. The result comes
// back as SlownessReported.
type MeasureSlowness struct{}

func (MeasureSlowness) effect() {}

// measurementTimeout is how long a request waits for the upstream's slowness before
// the gate decides without it.
const measurementTimeout = 30 * time.Millisecond

// shouldMeasureFirst reports whether the gate decides on a request only when it knows
// the upstream's current slowness: the last report is too old, a measurement is under
// way or possible, and the request could go to another target instead. Where requests
// are rare, no response shows that the upstream has become slow, and a run takes
// much longer than a measurement.
func (gate *Gate) shouldMeasureFirst(arrived Arrived) bool {
	if gate.MaxSlownessAge <= 0 || gate.slowness <= 0 || arrived.MaxDelay <= 0 {
		return false
	}
	if gate.warmupLimiter.isLimited(arrived.At) {
		return false // probes are rare then
	}
	if arrived.At.Sub(gate.slownessReportedAt) < gate.MaxSlownessAge {
		return false
	}
	sinceRequest := arrived.At.Sub(gate.measureRequestedAt)
	return sinceRequest < measurementTimeout || sinceRequest >= gate.MaxSlownessAge && gate.measurementCredit >= 1
}

// decideMeasured decides on the requests that wait for the upstream's slowness: on all
// of them if it has been reported, and otherwise on those that have waited for
// measurementTimeout.
func (gate *Gate) decideMeasured(at time.Time, reported bool) []Effect {
	waiting := gate.measuring
	gate.measuring = nil
	var effects []Effect
	for _, id := range waiting {
		request, waits := gate.requests[id]
		switch {
		case !waits:
			// It was cancelled.
		case !reported && at.Sub(request.started) < measurementTimeout:
			gate.measuring = append(gate.measuring, id)
		default:
			delete(gate.requests, id)
			request.arrived.At = at
			effects = append(effects, gate.decide(request.arrived)...)
		}
	}
	return effects
}

// measureSlowness emits MeasureSlowness if requests have arrived recently and the
// last report of the upstream is too old. It does so only for an upstream that
// reports its slowness at all. Ingresses choose targets by the reported slowness
// and the gate refuses requests by it. Both decide wrongly if other workloads on
// the upstream's machine start and stop faster than responses arrive.
func (gate *Gate) measureSlowness(at time.Time) []Effect {
	reportsSlowness := gate.slowness > 0
	wanted := gate.Slots > 0 && !gate.draining && !gate.evacuated && at.Sub(gate.lastArrivalAt) <= SubscriptionTime
	stale := at.Sub(gate.slownessReportedAt) >= gate.MaxSlownessAge && at.Sub(gate.measureRequestedAt) >= gate.MaxSlownessAge
	if gate.MaxSlownessAge <= 0 || !reportsSlowness || !wanted || !stale || gate.measurementCredit < 1 || !gate.warmupLimiter.allowsProbe(at) {
		return nil
	}
	gate.measureRequestedAt = at
	gate.measurementCredit--
	return []Effect{MeasureSlowness{}}
}

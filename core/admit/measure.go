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

// measureSlowness emits MeasureSlowness if requests have arrived recently and the
// last report of the upstream is too old. It does so only for an upstream that
// reports its slowness at all. Ingresses choose targets by the reported slowness
// and the gate refuses requests by it. Both decide wrongly if other workloads on
// the upstream's machine start and stop faster than responses arrive.
func (gate *Gate) measureSlowness(at time.Time) []Effect {
	reportsSlowness := gate.slowness > 0
	wanted := gate.Slots > 0 && !gate.draining && at.Sub(gate.lastArrivalAt) <= SubscriptionTime
	stale := at.Sub(gate.slownessReportedAt) >= gate.MaxSlownessAge && at.Sub(gate.measureRequestedAt) >= gate.MaxSlownessAge
	if gate.MaxSlownessAge <= 0 || !reportsSlowness || !wanted || !stale || gate.measurementCredit < 1 {
		return nil
	}
	gate.measureRequestedAt = at
	gate.measurementCredit--
	return []Effect{MeasureSlowness{}}
}

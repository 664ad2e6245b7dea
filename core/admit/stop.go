package admit

import "time"

// stopServiceTimes is how many service times a request has to have until the end of a gate
// that stops, since some requests take longer than their mean.
const stopServiceTimes = 2

// StopScheduled announces that the requests which still run at EndAt are ended, because the
// daemon is stopping. Until a DrainRequested, the gate goes on to admit those that it can
// finish.
type StopScheduled struct{ At, EndAt time.Time }

func (StopScheduled) event() {}

// isCutByStop reports whether a request that needs the given time would be ended by the stop
// and not by its own deadline. Another target may finish it.
func (gate *Gate) isCutByStop(arrived Arrived, needed time.Duration) bool {
	return !gate.endAt.IsZero() && gate.endAt.Before(arrived.Deadline) && arrived.At.Add(needed).After(gate.endAt)
}

package route

import (
	"math"
	"time"
)

// Health summarizes the state of a target for operators; the zero value is a
// healthy target. Policies do not use it: they weigh the underlying figures.
type Health struct {
	Slow    bool
	Failing bool
	Ejected bool
}

// Thresholds of Health. A condition that holds already ends only below half its
// threshold, so that a figure that wavers around the threshold is not logged
// each time.
const (
	// slownessThreshold is a multiple of the mean slowness. Above it, requests
	// are better off at other targets even if those are half full.
	slownessThreshold = 2
	// failureThreshold is a share of the recent responses.
	failureThreshold = 0.5
	// smoothingHalfLife is the time in which the smoothed slowness follows the
	// reports half way. Only a slowness that lasts for seconds is worth a log
	// line.
	smoothingHalfLife = 2 * time.Second
	// slownessReportLifetime is how long a report of slowness counts: a target
	// that gets no requests sends no reports.
	slownessReportLifetime = 5 * time.Second
)

// AssessHealth returns the health of each target that is not healthy. The
// callback returns a target's health at the previous assessment.
func (tracker *Tracker) AssessHealth(at time.Time, previous func(id string) Health) map[string]Health {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	unhealthy := map[string]Health{}
	for id, target := range tracker.targets {
		if health := tracker.assess(at, target, previous(id)); health != (Health{}) {
			unhealthy[id] = health
		}
	}
	return unhealthy
}

func (tracker *Tracker) assess(at time.Time, target *targetStats, previous Health) Health {
	slowness := 0.0
	if at.Sub(target.reportedAt) <= slownessReportLifetime {
		slowness = target.load.Slowness / max(1, tracker.meanSlowness)
	}
	weight := math.Exp2(-float64(at.Sub(target.smoothedAt)) / float64(smoothingHalfLife))
	target.smoothedSlowness = target.smoothedSlowness*weight + slowness*(1-weight)
	target.smoothedAt = at
	return Health{
		Slow:    exceeds(target.smoothedSlowness, slownessThreshold, previous.Slow),
		Failing: exceeds(decayFailureRate(target.failureRate, at.Sub(target.failureRateAt)), failureThreshold, previous.Failing),
		Ejected: at.Before(target.ejectedUntil),
	}
}

// exceeds reports whether a value reaches its threshold, or half the threshold
// if it exceeded it at the previous assessment.
func exceeds(value, threshold float64, previously bool) bool {
	if previously {
		threshold /= 2
	}
	return value >= threshold
}

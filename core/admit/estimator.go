package admit

import (
	"cmp"
	"math"
	"time"
)

// Parameters of the estimates of service time and slowness.
const (
	// serviceTimeWeight is the weight of one request in a moving average.
	serviceTimeWeight = 0.1
	// slownessLifetime is the time in which a reported slowness loses its
	// weight: other workloads on the upstream's machine start and stop within a
	// few hundred milliseconds.
	slownessLifetime = 300 * time.Millisecond
	// slownessWeight is the weight of one report in the mean slowness.
	slownessWeight = 0.05
)

// estimator estimates the service time of requests: how long they run on the
// upstream, from their service time at normal speed and the current slowness.
type estimator struct {
	// meanOfClass holds the mean service time at normal speed for each class of
	// requests, mean that of all requests.
	meanOfClass map[string]time.Duration
	mean        time.Duration
	// assumed is the service time that is assumed until a request has finished.
	assumed time.Duration
	// slowness is the last reported slowness, slownessMean the moving average
	// of all reports.
	slowness           float64
	slownessMean       float64
	slownessReportedAt time.Time
}

// SlownessReported carries the slowness that the upstream reports: the current run
// time of requests as a multiple of their normal service time.
type SlownessReported struct {
	At       time.Time
	Slowness float64
}

func (SlownessReported) event() {}

func (estimator *estimator) recordSlowness(reported SlownessReported) {
	if reported.Slowness <= 0 {
		return
	}
	if estimator.slownessMean == 0 {
		estimator.slownessMean = reported.Slowness
	}
	estimator.slownessMean += (reported.Slowness - estimator.slownessMean) * slownessWeight
	estimator.slowness = reported.Slowness
	estimator.slownessReportedAt = reported.At
}

// slownessAt estimates the slowness at a time. It starts at the last report and
// moves to the mean over slownessLifetime.
func (estimator *estimator) slownessAt(at time.Time) float64 {
	if estimator.slowness == 0 {
		return 1
	}
	freshness := max(0, 1-float64(at.Sub(estimator.slownessReportedAt))/float64(slownessLifetime))
	return estimator.slowness*freshness + estimator.slownessMean*(1-freshness)
}

// assumedObjectiveDivisor divides the latency objective of a request; the result is
// assumed for its service time. Ingresses assume the same of a class that they do not
// know.
const assumedObjectiveDivisor = 4

// assumeServiceTime derives a service time from the objective of a request while none
// has finished. A gate that has just started would otherwise expect no wait at all, and
// queue all that arrives after an outage until it is late.
func (estimator *estimator) assumeServiceTime(arrived Arrived) {
	if estimator.mean > 0 || arrived.Objective.IsZero() || !arrived.Objective.Before(arrived.Deadline) {
		return
	}
	if left := arrived.Objective.Sub(arrived.At); left > 0 {
		estimator.assumed = movingAverage(estimator.assumed, left/assumedObjectiveDivisor)
	}
}

// expectedServiceTime estimates the service time of a request of a class that
// starts at a time. An unknown class gets the mean of all requests or, while there is
// none, the assumed service time.
func (estimator *estimator) expectedServiceTime(at time.Time, class string) time.Duration {
	mean, known := estimator.meanOfClass[class]
	if !known {
		mean = cmp.Or(estimator.mean, estimator.assumed)
	}
	return time.Duration(float64(mean) * estimator.slownessAt(at))
}

// optimisticServiceTime is like expectedServiceTime for a request that may start
// later. It limits the slowness to the mean, because a slowdown may be over by then.
func (estimator *estimator) optimisticServiceTime(at time.Time, class string) time.Duration {
	serviceTime := estimator.expectedServiceTime(at, class)
	if now := estimator.slownessAt(at); estimator.slownessMean > 0 && now > estimator.slownessMean {
		return time.Duration(float64(serviceTime) * estimator.slownessMean / now)
	}
	return serviceTime
}

// recordServiceTime updates the means with a request that took the given time while
// the upstream had the given slowness. The means hold the time at normal speed.
func (estimator *estimator) recordServiceTime(class string, took time.Duration, slowness float64) {
	normalTime := time.Duration(float64(took) / max(1, slowness))
	estimator.mean = movingAverage(estimator.mean, normalTime)
	if estimator.meanOfClass == nil {
		estimator.meanOfClass = map[string]time.Duration{}
	}
	if class != "" && (len(estimator.meanOfClass) < maxClasses || estimator.meanOfClass[class] > 0) {
		estimator.meanOfClass[class] = movingAverage(estimator.meanOfClass[class], normalTime)
	}
}

// maxClasses limits how many classes have a mean of their own.
const maxClasses = 256

func movingAverage(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return time.Duration(math.Round(float64(mean)*(1-serviceTimeWeight) + float64(sample)*serviceTimeWeight))
}

package route

import (
	"math"
	"slices"
	"sync"
	"time"

	"ibislift/core/admit"
	"ibislift/core/kernel"
	"ibislift/core/profile"
)

// Link describes the network link to a daemon.
type Link struct {
	// Latency is one-way. Cost is the price of the link as a fraction of the
	// most expensive one.
	Latency time.Duration
	Cost    float64
	// BytePrice is the price of sending one byte over the link, as a fraction of
	// what a response in time is worth.
	BytePrice float64
	// CrossesRegion is set if the daemon is in another region.
	CrossesRegion bool
}

// Tracker records what one daemon knows about the targets of one service. It
// is safe for concurrent use.
type Tracker struct {
	mutex   sync.Mutex
	targets map[string]*targetStats
	classes map[string]Class
	// meanUtilization and meanSlowness are running means over the reports of
	// all targets: the running and queued requests per slot, and the slowness.
	meanUtilization float64
	meanSlowness    float64
	// meanLatency and latencyDeviation are running means over all responses,
	// in seconds: the latency and its absolute deviation from the mean. The
	// hedge delay is computed from them.
	meanLatency      float64
	latencyDeviation float64
}

// targetStats holds the statistics of one target.
type targetStats struct {
	// inFlight holds the start times of this daemon's requests in flight.
	inFlight            []time.Time
	load                admit.Load
	reportedAt          time.Time
	latency             float64
	latencyAt           time.Time
	failureRate         float64
	failureRateAt       time.Time
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	// smoothedSlowness is the slowness that AssessHealth uses, as of
	// smoothedAt.
	smoothedSlowness float64
	smoothedAt       time.Time
	// leaving is set if the upstream that started at leavingStartedAt has said that it
	// is leaving.
	leaving          bool
	leavingStartedAt int64
}

// Weights and lifetimes of the running means.
const (
	latencyWeight   = 0.2
	failureWeight   = 0.3
	failureHalfLife = time.Second
	// latencyHalfLife is the time in which a target's latency loses half its
	// weight against the service's mean, so that the target is tried again
	// soon after a short fault.
	latencyHalfLife = 300 * time.Millisecond
	// drainingReportLifetime is how long a report that the gate is draining
	// counts. The gate may have a new upstream since then, and a real drain is
	// also announced in the member's record.
	drainingReportLifetime = time.Second
	// maxEjectionDoublings limits the growth of the ejection time.
	maxEjectionDoublings = 5
	// hedgeDeviations is how many mean deviations above the mean latency a
	// hedge is sent.
	hedgeDeviations = 3
	minHedgeDelay   = 2 * time.Millisecond
)

// RecordStart records a request sent to a target.
func (tracker *Tracker) RecordStart(id string, at time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	target := tracker.statsFor(id)
	target.inFlight = append(target.inFlight, at)
}

// RecordEnd records that a request which was sent to a target at the given
// time has ended, with whatever result.
func (tracker *Tracker) RecordEnd(id string, started time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	target := tracker.statsFor(id)
	index := slices.IndexFunc(target.inFlight, started.Equal)
	if index >= 0 {
		target.inFlight = slices.Delete(target.inFlight, index, index+1)
	}
}

// RecordReport records a load report from a target's gate.
func (tracker *Tracker) RecordReport(id string, at time.Time, load admit.Load) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	target := tracker.statsFor(id)
	if load.RateLimit == (admit.RateLimit{}) {
		// The gate may have been restarted since the limit was named.
		load.RateLimit = target.load.RateLimit
	}
	target.load = load
	target.reportedAt = at
	if load.Slowness > 0 {
		tracker.meanSlowness = runningMean(tracker.meanSlowness, load.Slowness)
	}
	if load.Slots > 0 {
		tracker.meanUtilization = runningMean(tracker.meanUtilization, float64(load.Running+load.Queued)/float64(load.Slots))
	}
}

// RateLimit returns the rate limit that a target is known to have, or the zero value if
// none is in force.
func (tracker *Tracker) RateLimit(id string) admit.RateLimit {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	limit := tracker.statsFor(id).load.RateLimit
	if !limit.InForce {
		return admit.RateLimit{}
	}
	return limit
}

// RecordLeaving records that an upstream has said in a response that it is leaving, and
// reports whether that was not known. startedAt is when it started, in Unix milliseconds.
// Without it nothing is recorded, since the next upstream could not be told from this one.
func (tracker *Tracker) RecordLeaving(id string, startedAt int64) bool {
	if startedAt == 0 {
		return false
	}
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	target := tracker.statsFor(id)
	known := target.leaving && target.leavingStartedAt == startedAt
	target.leaving, target.leavingStartedAt = true, startedAt
	return !known
}

// IsLeaving reports whether the upstream that started at the given time has said that it
// is leaving. It stays so if the gate beside it is restarted and does not know it.
func (tracker *Tracker) IsLeaving(id string, startedAt int64) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	target, known := tracker.targets[id]
	return known && target.leaving && target.leavingStartedAt == startedAt
}

// reportWeight is the weight of one report in the running means.
const reportWeight = 0.02

func runningMean(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)*reportWeight
}

// Means returns the running means over the reports of all targets: the running
// and queued requests per slot, and the slowness, which is at least 1.
func (tracker *Tracker) Means() (utilization, slowness float64) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.meanUtilization, max(1, tracker.meanSlowness)
}

// RecordResponse records a response from a target and the time to its start,
// without the link latency.
func (tracker *Tracker) RecordResponse(id string, at time.Time, took time.Duration) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	target := tracker.statsFor(id)
	seconds := max(0, took.Seconds())
	if target.latency == 0 {
		target.latency = seconds
	}
	target.latency += (seconds - target.latency) * latencyWeight
	target.latencyAt = at
	target.failureRate = decayFailureRate(target.failureRate, at.Sub(target.failureRateAt)) * (1 - failureWeight)
	target.failureRateAt = at
	target.consecutiveFailures = 0
	target.ejections = 0
	tracker.updateLatency(seconds)
}

// RecordWait records that a target has not responded within the given time. It
// affects only the target's own latency, and only if the wait exceeds it.
func (tracker *Tracker) RecordWait(id string, at time.Time, took time.Duration) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	target := tracker.statsFor(id)
	if seconds := took.Seconds(); seconds > target.latency {
		target.latency += (seconds - target.latency) * latencyWeight
		target.latencyAt = at
	}
}

// updateLatency adds a response to the running means of the service, with a weight
// of 1/16.
func (tracker *Tracker) updateLatency(seconds float64) {
	if tracker.meanLatency == 0 {
		tracker.meanLatency = seconds
	}
	deviation := math.Abs(seconds - tracker.meanLatency)
	tracker.meanLatency += (seconds - tracker.meanLatency) / 16
	tracker.latencyDeviation += (deviation - tracker.latencyDeviation) / 16
}

// RecordFailure records a failure of a target: a lost connection, a crash, or
// a response that reports a server error. Enough consecutive failures eject
// the target.
func (tracker *Tracker) RecordFailure(id string, at time.Time, ejection profile.Ejection) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	target := tracker.statsFor(id)
	target.raiseFailureRate(at)
	target.consecutiveFailures++
	if target.consecutiveFailures < ejection.ConsecutiveFailures || at.Before(target.ejectedUntil) {
		return
	}
	target.ejectedUntil = at.Add(time.Duration(ejection.BaseTime) << min(target.ejections, maxEjectionDoublings))
	target.ejections++
}

// RecordRefusal records that a target itself has refused a request. That raises its
// failure rate, but does not eject it, since it may refuse only because it is full.
func (tracker *Tracker) RecordRefusal(id string, at time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.statsFor(id).raiseFailureRate(at)
}

// raiseFailureRate adds a failure to the failure rate.
func (target *targetStats) raiseFailureRate(at time.Time) {
	target.failureRate = decayFailureRate(target.failureRate, at.Sub(target.failureRateAt))*(1-failureWeight) + failureWeight
	target.failureRateAt = at
}

// statsFor returns the statistics of a target and creates them if needed.
func (tracker *Tracker) statsFor(id string) *targetStats {
	if tracker.targets == nil {
		tracker.targets = map[string]*targetStats{}
	}
	target, known := tracker.targets[id]
	if !known {
		target = &targetStats{}
		tracker.targets[id] = target
	}
	return target
}

func decayFailureRate(rate float64, age time.Duration) float64 {
	return rate * math.Exp2(-float64(age)/float64(failureHalfLife))
}

// HedgeDelay returns how long to wait for a response before the request is
// also sent to a second target.
func (tracker *Tracker) HedgeDelay() time.Duration {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	delay := time.Duration((tracker.meanLatency + hedgeDeviations*tracker.latencyDeviation) * float64(time.Second))
	return max(delay, minHedgeDelay)
}

// Candidates returns the state of each member at the given time, for a policy
// to choose from.
func (tracker *Tracker) Candidates(at time.Time, settings profile.Profile, members []kernel.Member, linkTo func(kernel.Member) Link) []Candidate {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	candidates := make([]Candidate, 0, len(members))
	ejected := 0
	for _, member := range members {
		link := linkTo(member)
		candidate := tracker.candidate(at, member.ID)
		candidate.LinkLatency = link.Latency
		candidate.LinkCost = link.Cost
		candidate.BytePrice = link.BytePrice
		candidate.CrossesRegion = link.CrossesRegion
		candidate.Warmth = warmth(at, member.Target.StartedAt, time.Duration(settings.SlowStart))
		if candidate.Load.Slots == 0 {
			candidate.Load.Slots = member.Target.Slots
		}
		if candidate.Ejected {
			ejected++
		}
		candidates = append(candidates, candidate)
	}
	if float64(ejected) > settings.Ejection.MaxFraction*float64(len(candidates)) {
		clearEjections(candidates)
	}
	return candidates
}

// clearEjections makes all candidates usable again when too many are ejected:
// the fault is then more likely to be elsewhere, and a service must not be
// left without targets.
func clearEjections(candidates []Candidate) {
	for index := range candidates {
		candidates[index].Ejected = false
	}
}

func (tracker *Tracker) candidate(at time.Time, id string) Candidate {
	target := tracker.statsFor(id)
	candidate := Candidate{
		ID:          id,
		InFlight:    len(target.inFlight),
		Load:        target.load,
		ReportAge:   at.Sub(target.reportedAt),
		HasReport:   !target.reportedAt.IsZero(),
		FailureRate: decayFailureRate(target.failureRate, at.Sub(target.failureRateAt)),
		Ejected:     at.Before(target.ejectedUntil),
	}
	if candidate.ReportAge > drainingReportLifetime {
		candidate.Load.Draining = false
	}
	weight := math.Exp2(-float64(at.Sub(target.latencyAt)) / float64(latencyHalfLife))
	seconds := target.latency*weight + tracker.meanLatency*(1-weight)
	candidate.Latency = time.Duration(seconds * float64(time.Second))
	if len(target.inFlight) > 0 {
		candidate.OldestWait = at.Sub(target.inFlight[0])
	}
	return candidate
}

// warmth returns how far the slow start of a target has progressed, from 0 to
// 1. since is when the target started, in Unix milliseconds.
func warmth(at time.Time, since int64, slowStart time.Duration) float64 {
	if since == 0 || slowStart == 0 {
		return 1
	}
	age := at.Sub(time.UnixMilli(since))
	return min(1, max(0, float64(age)/float64(slowStart)))
}

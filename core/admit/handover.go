package admit

import (
	"slices"
	"time"
)

// LoadReported carries how many requests the upstream reports as running and queued. The
// report was made between From and At. ID is the request whose response carries the report,
// or 0 if it is the response to a probe: whether the upstream counts the request that it
// responds to is not known.
type LoadReported struct {
	At      time.Time
	From    time.Time
	ID      uint64
	Running int
	Queued  int
}

func (LoadReported) event() {}

// CheckAfter asks for a CheckDue event after a time, whatever other events are due.
type CheckAfter struct{ After time.Duration }

// CheckDue lets the gate find out whether cancelled runs go on.
type CheckDue struct{ At time.Time }

// MeasureLoad asks the upstream how many requests it runs. The result comes back as
// LoadReported.
type MeasureLoad struct{}

func (CheckAfter) effect()  {}
func (CheckDue) event()     {}
func (MeasureLoad) effect() {}

// Parameters of the slots that are held for cancelled runs.
const (
	// transitTime is how long a request, a cancellation or the head of a response may be
	// under way between the gate and the upstream, which run on the same machine.
	transitTime = 10 * time.Millisecond
	// maxReportAge is how long before its arrival a report may have been made. All requests
	// that ended meanwhile may be in it, so an older one says little.
	maxReportAge = 250 * time.Millisecond
	// recheckInterval is the time between two probes while it is open whether a cancelled run
	// goes on, or requests wait for its slot.
	recheckInterval = 50 * time.Millisecond
	// minDropped is how many cancelled runs must have ended long before the expected time until
	// the upstream is taken for one that drops cancelled requests. One run may be shorter than
	// expected. Each counts for the part of its expected remaining time that was left.
	minDropped = 2
	// provenWeight is how many such runs count as much as a proof that a run went on. A target
	// that runs cancelled requests on was mistaken for the other kind when three runs in a row
	// were shorter than expected.
	provenWeight = 4
	// maxRunTimes limits how long a cancelled run can hold a slot, whatever the upstream
	// reports, since something else than the run may use its slots: to as many times the
	// expected service time or the time that the run had taken before. Targets that are four
	// times slower for 300 ms run requests for up to nine times the mean in the load player.
	maxRunTimes = 10
	// maxCancelledRuns bounds how many cancelled runs are remembered.
	maxCancelledRuns = 64
	// reportLifetime is for how long an upstream is taken for one that reports its load after
	// its last report.
	reportLifetime = time.Minute
)

// cancelledRun is a request that was cancelled after it was handed over, and that the
// upstream may still run.
type cancelledRun struct {
	cancelledAt time.Time
	// expectedEnd is when the run is expected to have ended, lastEnd when it has ended at the
	// latest.
	expectedEnd time.Time
	lastEnd     time.Time
	serviceTime time.Duration
	// isProven is set if a report has shown that the run went on, isProbed if a probe was
	// answered that was sent after the upstream knew of the cancellation.
	isProven bool
	isProbed bool
}

// handover determines how many slots of the upstream are in use by requests that were
// cancelled. Some upstreams run a cancelled request to its end; most drop it.
//
// A report of the upstream is compared with the requests that the gate has handed over. Any
// request that was handed over, ended or cancelled while the report was under way may be in
// the report or not, so the comparison yields a lower and an upper bound. Only a lower bound
// above 0 proves that cancelled runs go on, and only an upper bound below their number
// proves that one has ended. An upstream is taken for one that drops cancelled requests until
// a report proves the opposite, so that slots are held at those that run them on only.
type handover struct {
	// reportedAt is when an upstream has last reported its load.
	reportedAt time.Time
	// startedAt and instance identify the upstream.
	startedAt int64
	instance  string
	cancelled []cancelledRun
	// dropped counts the cancelled runs that have ended early since the last proof that one
	// went on. runsOn is set by such a proof until dropped reaches minDropped.
	dropped float64
	runsOn  bool
	// checkedAt is when the gate last emitted MeasureLoad.
	checkedAt time.Time
	// countsProbes is set while the upstream counts a probe in its response to it, as probes
	// show while nothing runs.
	countsProbes bool
	// finished holds when requests finished within the last maxReportAge.
	finished []time.Time
}

// start forgets the cancelled runs of the previous upstream.
func (handover *handover) start(started UpstreamStarted) {
	if handover.startedAt != started.StartedAt || handover.instance != started.Instance {
		handover.startedAt, handover.instance = started.StartedAt, started.Instance
		handover.dropped, handover.runsOn = 0, false
		handover.cancelled, handover.finished = nil, nil
	}
}

// isReported reports whether the upstream reports its load. Its version may change with its
// start, so one that has reported before is believed to for a while.
func (handover *handover) isReported(at time.Time) bool {
	return !handover.reportedAt.IsZero() && at.Sub(handover.reportedAt) < reportLifetime
}

// finish records that a request has ended at the upstream.
func (handover *handover) finish(at time.Time) {
	if handover.isReported(at) {
		handover.finished = slices.DeleteFunc(handover.finished, func(finished time.Time) bool { return at.Sub(finished) > maxReportAge })
		handover.finished = append(handover.finished, at)
	}
}

// cancel records that a running request was cancelled, with its expected service time. A run
// that is older than expected is assumed to take half of that time more. One that ends
// within transitTime is left out, because no report can show whether it goes on. It returns the
// expected remaining time, or 0 if there is nothing to find out.
func (handover *handover) cancel(at, startedAt time.Time, serviceTime time.Duration) time.Duration {
	handover.forget(at)
	left := max(startedAt.Add(serviceTime).Sub(at), serviceTime/2)
	if !handover.isReported(at) || left <= transitTime || len(handover.cancelled) >= maxCancelledRuns {
		return 0
	}
	longest := maxRunTimes * max(serviceTime, at.Sub(startedAt))
	handover.cancelled = append(handover.cancelled, cancelledRun{cancelledAt: at, expectedEnd: at.Add(left), lastEnd: at.Add(longest), serviceTime: serviceTime})
	if handover.dropped >= minDropped {
		return 0
	}
	return left
}

// forget removes the cancelled runs that have certainly ended.
func (handover *handover) forget(at time.Time) {
	handover.cancelled = slices.DeleteFunc(handover.cancelled, func(run cancelledRun) bool { return !at.Before(run.lastEnd) })
}

// isSettled reports whether the upstream certainly knew of the cancellation at a time.
func (run cancelledRun) isSettled(at time.Time) bool {
	return !at.Before(run.cancelledAt.Add(transitTime))
}

// heldUntil returns until when a slot is held for the run: until its expected end or, where the
// upstream answers probes, until a report shows its end. Without a report it is held for no
// longer than an expected service time, because an upstream that gets nothing reports nothing.
func (handover *handover) heldUntil(run cancelledRun) time.Time {
	until := run.expectedEnd
	if unreported := handover.reportedAt.Add(run.serviceTime); (run.isProven || run.isProbed) && unreported.After(until) {
		until = unreported
	}
	if run.lastEnd.Before(until) {
		return run.lastEnd
	}
	return until
}

// held returns how many slots are held for cancelled runs.
func (handover *handover) held(at time.Time) int {
	if !handover.runsOn {
		return 0
	}
	count := 0
	for _, run := range handover.cancelled {
		if at.Before(handover.heldUntil(run)) {
			count++
		}
	}
	return count
}

// bound applies the bounds on the number of cancelled runs that a report sets, for the runs
// that were cancelled long enough before it was made.
func (handover *handover) bound(at, from time.Time, atLeast, atMost int) {
	slices.SortStableFunc(handover.cancelled, func(one, other cancelledRun) int { return one.expectedEnd.Compare(other.expectedEnd) })
	settled := 0
	for _, run := range handover.cancelled {
		if run.isSettled(from) {
			settled++
		}
	}
	ended := max(0, settled-atMost)
	handover.cancelled = slices.DeleteFunc(handover.cancelled, func(run cancelledRun) bool {
		if ended == 0 || !run.isSettled(from) {
			return false
		}
		ended--
		if left := run.expectedEnd.Sub(at); !run.isProven && left > 0 {
			handover.dropped += float64(left) / float64(run.expectedEnd.Sub(run.cancelledAt))
			handover.runsOn = handover.runsOn && handover.dropped < minDropped
		}
		return true
	})
	for index := len(handover.cancelled) - 1; index >= 0 && atLeast > 0; index-- {
		if run := &handover.cancelled[index]; run.isSettled(from) {
			run.isProven = true
			handover.dropped, handover.runsOn = -provenWeight, true
			atLeast--
		}
	}
}

// occupied returns how many slots of the upstream are in use: by requests that the gate has
// given a slot and by cancelled runs.
func (gate *Gate) occupied(at time.Time) int { return gate.slotsInUse + gate.handover.held(at) }

// recordLoad derives from a report how many cancelled runs go on.
func (gate *Gate) recordLoad(reported LoadReported) []Effect {
	if !gate.HoldCancelledRuns {
		return nil
	}
	handover := &gate.handover
	handover.reportedAt = reported.At
	if len(handover.cancelled) == 0 {
		if reported.ID == 0 && gate.slotsInUse == 0 && !slices.ContainsFunc(handover.finished, func(at time.Time) bool { return !at.Before(reported.From) }) {
			handover.countsProbes = reported.Running+reported.Queued > 0
		}
		return nil
	}
	handover.forget(reported.At)
	heldBefore := handover.held(reported.At)
	from := reported.From
	if sent := reported.At.Add(-transitTime); reported.ID != 0 && from.Before(sent) {
		from = sent
	}
	if reported.At.Sub(from) <= maxReportAge {
		atLeast, atMost := gate.cancelledRuns(reported, from)
		handover.bound(reported.At, from, atLeast, atMost)
		for index := range handover.cancelled {
			run := &handover.cancelled[index]
			run.isProbed = run.isProbed || reported.ID == 0 && run.isSettled(from)
		}
	}
	if handover.held(reported.At) == heldBefore {
		return nil
	}
	return gate.fillSlots(reported.At)
}

// cancelledRuns returns the lower bound on the number of cancelled runs that goes on according to
// a report that was made after from, among those cancelled long enough before, and the upper
// bound among all.
func (gate *Gate) cancelledRuns(reported LoadReported, from time.Time) (atLeast, atMost int) {
	// Those in maybe may be in the report, those in certain are.
	maybe, certain := 0, 0
	if reported.ID == 0 && gate.handover.countsProbes {
		maybe++
	}
	for id, request := range gate.requests {
		if request.stage != stageRunning {
			continue
		}
		maybe++
		if id != reported.ID && !request.started.After(from.Add(-transitTime)) {
			certain++
		}
	}
	for _, finished := range gate.handover.finished {
		if !finished.Before(from) {
			maybe++
		}
	}
	for _, run := range gate.handover.cancelled {
		if !run.isSettled(from) {
			maybe++
		}
	}
	total := reported.Running + reported.Queued
	return max(0, total-maybe), max(0, total-certain)
}

// checkDue emits MeasureLoad if a report is to show whether a cancelled run goes on, or if
// requests wait for its slot. It hands requests over to slots that are not held any more.
func (gate *Gate) checkDue(due CheckDue) []Effect {
	handover := &gate.handover
	var effects []Effect
	if handover.runsOn {
		effects = gate.fillSlots(due.At)
	}
	handover.forget(due.At)
	isOpen := func(run cancelledRun) bool { return run.isSettled(due.At) && (!run.isProven || len(gate.queue) > 0) }
	isNew := func(run cancelledRun) bool { return run.isSettled(due.At) && !run.isSettled(handover.checkedAt) }
	isOld := due.At.Sub(handover.checkedAt) >= recheckInterval
	switch {
	case handover.dropped >= minDropped || !slices.ContainsFunc(handover.cancelled, isOpen):
		return effects
	case !isOld && !slices.ContainsFunc(handover.cancelled, isNew):
		return effects
	case gate.Slots == 0 || gate.draining || gate.evacuated || gate.MaxSlownessAge <= 0 || gate.measurementCredit < 1 || gate.warmupLimiter.isLimited(due.At):
		return effects
	}
	handover.checkedAt = due.At
	if handover.runsOn {
		gate.measurementCredit--
	}
	return append(effects, MeasureLoad{}, CheckAfter{recheckInterval})
}

// finishCancelled ends a running request that was cancelled. Its slot stays in use if the
// upstream runs cancelled requests on. The gate asks for CheckDue when a probe can show
// whether it does, and at the expected end. A cold upstream gets too little to use all of its
// slots, and few probes, so no slot is held for its cancelled runs.
func (gate *Gate) finishCancelled(request *request, at time.Time) []Effect {
	if !gate.HoldCancelledRuns || gate.warmupLimiter.isLimited(at) {
		return gate.fillSlots(at)
	}
	left := gate.handover.cancel(at, request.started, request.charged)
	effects := gate.fillSlots(at)
	if left > 0 {
		effects = append(effects, CheckAfter{transitTime}, CheckAfter{left})
	}
	return effects
}

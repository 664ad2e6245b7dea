package play

import (
	"math/rand/v2"
	"slices"
	"time"
)

// outcome is how a run ended.
type outcome uint8

const (
	outcomeSucceeded outcome = iota
	// outcomeFailed is an error response, outcomeRefused one that proves that the
	// request has not run.
	outcomeFailed
	outcomeRefused
	// outcomeLost is a broken connection, outcomeCrashed one to a target that is
	// down.
	outcomeLost
	outcomeCrashed
)

// run is a request at an upstream.
type run struct {
	class *Class
	// serviceTime is the time on an idle target, duration the time at the speed
	// that the target had when the run started.
	serviceTime time.Duration
	duration    time.Duration
	// startCalls is called when half of the run is done. The run then waits for
	// resume.
	startCalls func()
	arrivedAt  time.Time
	startedAt  time.Time
	started    bool
	ended      bool
	// cancelled is set if the target runs on although the request was cancelled.
	cancelled bool
	onEnd     func(outcome)
}

// upstreamModel models a target with slots, its own queue, and a speed that
// changes within milliseconds. A run keeps the speed at which it started.
type upstreamModel struct {
	clock   *clock
	random  *rand.Rand
	service *Service
	// headroom is the fraction of the slots that gates keep free.
	headroom    float64
	running     []*run
	waiting     []*run
	startedAt   time.Time
	noiseFactor float64
	// The effects of the current faults.
	slowFactor     float64
	failureRate    float64
	refusalRate    float64
	hangRate       float64
	lossRate       float64
	falselyHealthy bool
	down           bool
	// rateLimit is what responses name as the limit of requests a second, or nil.
	rateLimit *float64
	limitedAt time.Time
	// arrivals holds the times of requests that came while the limit was named, for as
	// long as a limit is judged.
	arrivals []time.Time
	// overLimit counts the requests that came above the limit.
	overLimit int
	cold      coldCounter
	// use records how many of the slots were in use.
	use useRecord
	// slotTime is the total time for which runs held slots.
	slotTime time.Duration
}

// start sets the normal speed and starts the noise.
func (upstream *upstreamModel) start() {
	upstream.noiseFactor = 1
	upstream.slowFactor = 1
	if upstream.service.NoiseShare > 0 {
		upstream.clock.runAfter(time.Duration(upstream.random.Float64()*upstream.service.NoiseInterval*float64(time.Millisecond)), upstream.drawNoise)
	}
}

// drawNoise changes the speed, as other programs on the machine do.
func (upstream *upstreamModel) drawNoise() {
	upstream.noiseFactor = 1
	if upstream.random.Float64() < upstream.service.NoiseShare {
		upstream.noiseFactor = upstream.service.NoiseFactor
	}
	upstream.clock.runAfter(milliseconds(upstream.service.NoiseInterval), upstream.drawNoise)
}

// slowness returns the current service time as a multiple of the usual one, as the
// target reports it: without the slowdown of a nearly full target.
func (upstream *upstreamModel) slowness() float64 {
	slowness := upstream.noiseFactor * upstream.slowFactor
	if upstream.clock.now.Sub(upstream.startedAt) < seconds(upstream.service.ColdSeconds) {
		slowness *= upstream.service.ColdFactor
	}
	return slowness
}

// effectiveSlowness returns the slowness including the slowdown of a nearly full
// target.
func (upstream *upstreamModel) effectiveSlowness() float64 {
	slowness := upstream.slowness()
	load := float64(len(upstream.running)) / float64(upstream.service.Slots)
	if knee := upstream.service.Knee; knee > 0 && knee < 1 && load > knee {
		slowness *= 1 + (upstream.service.KneeFactor-1)*min(1, (load-knee)/(1-knee))
	}
	return slowness
}

// startWaiting starts waiting requests on free slots.
func (upstream *upstreamModel) startWaiting() {
	for len(upstream.running) < upstream.service.Slots && len(upstream.waiting) > 0 {
		next := upstream.waiting[0]
		upstream.waiting = upstream.waiting[1:]
		upstream.running = append(upstream.running, next)
		upstream.startRun(next)
	}
}

// startRun starts a run. A run with calls waits for resume when half of it is done.
func (upstream *upstreamModel) startRun(run *run) {
	run.started = true
	run.startedAt = upstream.clock.now
	run.duration = time.Duration(float64(run.serviceTime) * upstream.effectiveSlowness())
	if run.startCalls != nil {
		upstream.clock.runAfter(run.duration/2, func() {
			if !run.ended {
				run.startCalls()
			}
		})
		return
	}
	upstream.clock.runAfter(run.duration, func() { upstream.complete(run) })
}

// resume continues a run after its calls, or fails it if a call has failed.
func (upstream *upstreamModel) resume(run *run, failed bool) {
	if run.ended {
		return
	}
	if failed {
		upstream.endRun(run, outcomeFailed)
		return
	}
	upstream.clock.runAfter(run.duration/2, func() { upstream.complete(run) })
}

// complete ends a run that has finished its work.
func (upstream *upstreamModel) complete(run *run) {
	if run.ended {
		return
	}
	if upstream.random.Float64() < upstream.lossRate {
		upstream.endRun(run, outcomeLost)
		return
	}
	upstream.endRun(run, outcomeSucceeded)
}

// endRun removes a run, starts the next one and reports the outcome.
func (upstream *upstreamModel) endRun(run *run, outcome outcome) {
	if run.ended {
		return
	}
	upstream.release(run)
	run.onEnd(outcome)
}

// release removes a run without reporting an outcome and starts the next one.
func (upstream *upstreamModel) release(run *run) {
	if run.ended {
		return
	}
	run.ended = true
	if run.started {
		upstream.slotTime += upstream.clock.now.Sub(run.startedAt)
	}
	upstream.running = removeRun(upstream.running, run)
	upstream.waiting = removeRun(upstream.waiting, run)
	upstream.startWaiting()
}

// accept queues a request, or ends it at once. A request that hangs is neither
// queued nor ended.
func (upstream *upstreamModel) accept(run *run) {
	run.arrivedAt = upstream.clock.now
	upstream.countLimited()
	upstream.countCold()
	drawn := upstream.random.Float64()
	switch {
	case upstream.down:
		upstream.endRun(run, outcomeCrashed)
	case upstream.falselyHealthy || drawn < upstream.failureRate:
		upstream.endRun(run, outcomeFailed)
	case drawn < upstream.failureRate+upstream.refusalRate:
		upstream.endRun(run, outcomeRefused)
	case drawn < upstream.failureRate+upstream.refusalRate+upstream.hangRate:
	case len(upstream.running)+len(upstream.waiting) >= upstream.service.Slots+upstream.service.QueueBound:
		upstream.handleOverflow(run)
	default:
		upstream.waiting = append(upstream.waiting, run)
		upstream.startWaiting()
		upstream.recordUse()
	}
}

// handleOverflow ends a request to a full target, unless the target hangs.
func (upstream *upstreamModel) handleOverflow(run *run) {
	switch upstream.service.WhenFull {
	case "refuse":
		upstream.endRun(run, outcomeRefused)
	case "reset":
		upstream.endRun(run, outcomeLost)
	}
}

// What a rate limit allows in how much time, and how long after it is first named the
// requests do not count.
const (
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
	limitNoticeTime = 500 * time.Millisecond
)

// countLimited counts an arrival against the limit.
func (upstream *upstreamModel) countLimited() {
	now := upstream.clock.now
	if upstream.rateLimit == nil || now.Sub(upstream.limitedAt) < limitNoticeTime {
		return
	}
	for len(upstream.arrivals) > 0 && now.Sub(upstream.arrivals[0]) > limitWindow {
		upstream.arrivals = upstream.arrivals[1:]
	}
	upstream.arrivals = append(upstream.arrivals, now)
	if float64(len(upstream.arrivals)) > limitFactor**upstream.rateLimit*limitWindow.Seconds()+limitSlack {
		upstream.overLimit++
	}
}

// nameLimit starts to name a limit, or none if it is nil.
func (upstream *upstreamModel) nameLimit(limit *float64) {
	upstream.rateLimit, upstream.limitedAt, upstream.arrivals = limit, upstream.clock.now, nil
}

func removeRun(runs []*run, removed *run) []*run {
	for index, run := range runs {
		if run == removed {
			return append(runs[:index:index], runs[index+1:]...)
		}
	}
	return runs
}

// crash ends all running and waiting requests.
func (upstream *upstreamModel) crash() {
	upstream.down = true
	runs := slices.Concat(upstream.waiting, upstream.running)
	upstream.waiting = nil
	for _, run := range runs {
		upstream.endRun(run, outcomeCrashed)
	}
}

// restart makes the target available again. It is cold at first.
func (upstream *upstreamModel) restart() {
	upstream.down = false
	upstream.startedAt = upstream.clock.now
}

package play

import (
	"math/rand/v2"
	"slices"
	"time"
)

// ending is how a run ended.
type ending uint8

const (
	endAnswered ending = iota
	// endFailed is an answer that tells of a failure, endShed one that proves
	// that the request has not run.
	endFailed
	endShed
	// endLost is a connection that broke, endCrashed one whose target is down.
	endLost
	endCrashed
)

// run is a request at an upstream.
type run struct {
	class *Class
	// work is the time on an idle target, length that at the pace at which the
	// run began.
	work   time.Duration
	length time.Duration
	// calls are made once half of the run is done; it goes on when it is
	// resumed.
	calls   func()
	started time.Time
	begun   bool
	over    bool
	done    func(ending)
}

// upstreamModel is a target: slots, a queue of its own, and a speed that
// changes within milliseconds. A run keeps the pace at which it began.
type upstreamModel struct {
	clock   *clock
	random  *rand.Rand
	service *Service
	running []*run
	waiting []*run
	since   time.Time
	noise   float64
	// What troubles do to it.
	slow     float64
	failing  float64
	shedding float64
	hanging  float64
	losing   float64
	lying    bool
	down     bool
	// busy is the time that runs have held slots.
	busy time.Duration
}

// start begins what goes on without requests.
func (upstream *upstreamModel) start() {
	upstream.noise = 1
	upstream.slow = 1
	if upstream.service.NoiseShare > 0 {
		upstream.clock.after(time.Duration(upstream.random.Float64()*upstream.service.NoiseEvery*float64(time.Millisecond)), upstream.drawNoise)
	}
}

// drawNoise changes the speed: neighbours on the machine come and go.
func (upstream *upstreamModel) drawNoise() {
	upstream.noise = 1
	if upstream.random.Float64() < upstream.service.NoiseShare {
		upstream.noise = upstream.service.NoiseFactor
	}
	upstream.clock.after(milliseconds(upstream.service.NoiseEvery), upstream.drawNoise)
}

// slowness is how long work takes now as a multiple of the usual time, as the
// target tells it: without what it does to itself when it is nearly full.
func (upstream *upstreamModel) slowness() float64 {
	slowness := upstream.noise * upstream.slow
	if upstream.clock.now.Sub(upstream.since) < seconds(upstream.service.ColdSeconds) {
		slowness *= upstream.service.ColdFactor
	}
	return slowness
}

// pace is the real one.
func (upstream *upstreamModel) pace() float64 {
	pace := upstream.slowness()
	load := float64(len(upstream.running)) / float64(upstream.service.Slots)
	if knee := upstream.service.Knee; knee > 0 && knee < 1 && load > knee {
		pace *= 1 + (upstream.service.KneeFactor-1)*min(1, (load-knee)/(1-knee))
	}
	return pace
}

// fill lets waiting requests run.
func (upstream *upstreamModel) fill() {
	for len(upstream.running) < upstream.service.Slots && len(upstream.waiting) > 0 {
		next := upstream.waiting[0]
		upstream.waiting = upstream.waiting[1:]
		upstream.running = append(upstream.running, next)
		upstream.begin(next)
	}
}

// begin runs a request, to its half first if it makes calls.
func (upstream *upstreamModel) begin(run *run) {
	run.begun = true
	run.started = upstream.clock.now
	run.length = time.Duration(float64(run.work) * upstream.pace())
	if run.calls != nil {
		upstream.clock.after(run.length/2, func() {
			if !run.over {
				run.calls()
			}
		})
		return
	}
	upstream.clock.after(run.length, func() { upstream.complete(run) })
}

// resume lets a run go on after its calls, or ends it with a failure.
func (upstream *upstreamModel) resume(run *run, failed bool) {
	if run.over {
		return
	}
	if failed {
		upstream.end(run, endFailed)
		return
	}
	upstream.clock.after(run.length/2, func() { upstream.complete(run) })
}

// complete ends a run that has done its work.
func (upstream *upstreamModel) complete(run *run) {
	if run.over {
		return
	}
	if upstream.random.Float64() < upstream.losing {
		upstream.end(run, endLost)
		return
	}
	upstream.end(run, endAnswered)
}

// end takes a run out, lets the next one in, and tells of the end.
func (upstream *upstreamModel) end(run *run, end ending) {
	if run.over {
		return
	}
	upstream.leave(run)
	run.done(end)
}

// leave takes out a run that nobody waits for any more.
func (upstream *upstreamModel) leave(run *run) {
	if run.over {
		return
	}
	run.over = true
	if run.begun {
		upstream.busy += upstream.clock.now.Sub(run.started)
	}
	upstream.running = without(upstream.running, run)
	upstream.waiting = without(upstream.waiting, run)
	upstream.fill()
}

// take takes a request in, or ends it at once.
func (upstream *upstreamModel) take(run *run) {
	chance := upstream.random.Float64()
	switch {
	case upstream.down:
		upstream.end(run, endCrashed)
	case upstream.lying || chance < upstream.failing:
		upstream.end(run, endFailed)
	case chance < upstream.failing+upstream.shedding:
		upstream.end(run, endShed)
	case chance < upstream.failing+upstream.shedding+upstream.hanging:
	case len(upstream.running)+len(upstream.waiting) >= upstream.service.Slots+upstream.service.Queue:
		upstream.refuse(run)
	default:
		upstream.waiting = append(upstream.waiting, run)
		upstream.fill()
	}
}

// refuse is what a full target does; one that hangs never answers.
func (upstream *upstreamModel) refuse(run *run) {
	switch upstream.service.WhenFull {
	case "refuse":
		upstream.end(run, endShed)
	case "reset":
		upstream.end(run, endLost)
	}
}

func without(runs []*run, gone *run) []*run {
	for index, run := range runs {
		if run == gone {
			return append(runs[:index:index], runs[index+1:]...)
		}
	}
	return runs
}

// crash ends all that runs and waits.
func (upstream *upstreamModel) crash() {
	upstream.down = true
	runs := slices.Concat(upstream.waiting, upstream.running)
	upstream.waiting = nil
	for _, run := range runs {
		upstream.end(run, endCrashed)
	}
}

// restart brings a target back, cold.
func (upstream *upstreamModel) restart() {
	upstream.down = false
	upstream.since = upstream.clock.now
}

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"ibislift/standin/deployment"
	"ibislift/standin/load"
	"ibislift/standin/upstream"
)

// Times of the series of planned stops.
const (
	// lingerTime is how long the daemons of half of the seeds linger.
	lingerTime = 700 * time.Millisecond
	// callTime is how long callers use a daemon before it gets SIGTERM.
	callTime = 300 * time.Millisecond
	// minStopPause and stopPauseRange are the time between two stops of daemons that
	// don't linger. It is shorter than a stop takes, so that stops overlap.
	minStopPause   = 50 * time.Millisecond
	stopPauseRange = 100 * time.Millisecond
	// stopTimeout limits how long a daemon takes to stop. It exceeds the default
	// drain timeout of the daemon.
	stopTimeout = 35 * time.Second
	// stopSlowFactor lets some requests run for longer than a daemon takes to end
	// after it has drained, in half of the seeds.
	stopSlowFactor = 20
)

// stopFlags returns the flags of daemons that concern stops. Each two seeds, one
// with links and one without, linger in turn.
func (trial *trial) stopFlags() []string {
	return []string{"--linger-time", trial.lingerTime().String()}
}

func (trial *trial) lingerTime() time.Duration {
	if trial.seed/2%2 == 0 {
		return lingerTime
	}
	return 0
}

// stopSeries stops daemons gracefully, one after another, while callers use them.
type stopSeries struct {
	trial *trial

	mutex    sync.Mutex
	requests int
	attempts []*attempt
}

// checkStopSeries stops a third of the daemons in a series whose stops overlap.
// The first one is stopped again while it starts, and the configuration is changed
// in the middle. Then it checks what became of each request to these daemons.
func (trial *trial) checkStopSeries() {
	series := &stopSeries{trial: trial}
	random := rand.New(rand.NewPCG(uint64(trial.seed), 7))
	instances := trial.running.Instances
	order := random.Perm(len(instances))
	stopped := len(instances)/3 + 1
	if random.IntN(2) == 0 {
		trial.slowUpstreams(instances, stopSlowFactor)
		defer trial.slowUpstreams(instances, 1)
	}
	var waitGroup sync.WaitGroup
	for number, index := range order[:stopped] {
		time.Sleep(trial.drawStopPause(random))
		if number == stopped/2 {
			series.changeConfiguration(instances[order[stopped]])
		}
		draws, again := rand.New(rand.NewPCG(uint64(trial.seed), random.Uint64())), trial.drawStopPause(random)
		waitGroup.Go(func() {
			if series.stop(instances[index], draws, callTime) && number == 0 {
				series.stop(instances[index], draws, again)
			}
		})
	}
	waitGroup.Wait()
	trial.awaitRecovery("planned stops")
	series.check()
}

// slowUpstreams multiplies the service time of the upstreams of the instances.
func (trial *trial) slowUpstreams(instances []*deployment.Instance, factor float64) {
	trial.recordEvent("%d upstreams take %.0f times their service time", len(instances), factor)
	for _, instance := range instances {
		if err := trial.running.SetUpstreamSwitches(instance, upstream.Switches{SlowFactor: factor}); err != nil {
			trial.recordViolation("the service time of %s was not set: %v", instance.Name, err)
		}
	}
}

// drawStopPause returns a time between two stops, which is longer if daemons linger.
func (trial *trial) drawStopPause(random *rand.Rand) time.Duration {
	return minStopPause + time.Duration(random.Int64N(int64(stopPauseRange+trial.lingerTime()/3)))
}

// changeConfiguration chooses the profile of a service.
func (series *stopSeries) changeConfiguration(instance *deployment.Instance) {
	service := series.trial.running.Plan.Services[0].Name
	status, _, err := series.trial.running.Apply(instance, "/services/"+service, 0, `{"profile": "soak"}`)
	series.trial.recordEvent("profile of %s chosen", service)
	if err := deployment.ApplyError(status, err); err != nil && !series.trial.soak.safety {
		series.trial.recordViolation("the profile of %s was not chosen: %v", service, err)
	}
}

// stop lets callers use a daemon, sends it SIGTERM after the given time, and starts
// it again when it has ended. It reports whether the daemon was started.
func (series *stopSeries) stop(instance *deployment.Instance, random *rand.Rand, after time.Duration) bool {
	trial := series.trial
	if instance.Daemon == nil {
		return false // a start that failed is a violation already
	}
	trial.reserve("daemon " + instance.Name)
	defer trial.release("daemon " + instance.Name)
	var waitGroup sync.WaitGroup
	signalAt := time.Now().Add(after)
	for _, group := range callerGroups {
		for range group.size {
			caller := &caller{
				manner: group.manner, address: instance.CallerAddress(), nextRequest: series.nextRequestThrough(instance),
				random: rand.New(rand.NewPCG(uint64(trial.seed), random.Uint64())), gone: instance.Daemon.Ended(),
				signalAt: signalAt, windowAt: signalAt.Add(trial.lingerTime() - windowLead),
			}
			waitGroup.Go(func() {
				caller.run()
				series.record(caller.attempts)
			})
		}
	}
	time.Sleep(time.Until(signalAt))
	trial.stopGracefully(instance)
	waitGroup.Wait()
	return trial.startAgain(instance)
}

// nextRequestThrough returns a function that generates requests to a daemon, each
// with an attempt ID of its own.
func (series *stopSeries) nextRequestThrough(instance *deployment.Instance) func(*rand.Rand) (load.Request, string) {
	next := series.trial.nextRequestThrough(instance)
	return func(random *rand.Rand) (load.Request, string) {
		series.mutex.Lock()
		defer series.mutex.Unlock()
		series.requests++
		request, id := next(random, series.requests), fmt.Sprintf("u%d-%d", series.trial.seed, series.requests)
		request.Deadline = stopDeadline
		if request.Class == "change" {
			request.IdempotencyKey = id
		}
		return request, id
	}
}

func (series *stopSeries) record(attempts []*attempt) {
	series.mutex.Lock()
	defer series.mutex.Unlock()
	series.attempts = append(series.attempts, attempts...)
}

// check compares what the callers saw with what has run. No request at all, or none
// around the end of the processes, would show nothing.
func (series *stopSeries) check() {
	runs, err := series.trial.running.RunCounts()
	if err != nil {
		series.trial.recordViolation("the ledger cannot be read: %v", err)
		return
	}
	answered, cut, expired := 0, 0, 0
	for _, attempt := range series.attempts {
		switch {
		case attempt.isExpired():
			expired++
		case attempt.result.Broken:
			cut++
		default:
			answered++
		}
		if breach := attempt.breach(runs[attempt.id]); breach != "" {
			series.trial.recordViolation("planned stop: %s %s", attempt, breach)
		}
	}
	if answered == 0 || cut == 0 {
		series.trial.recordViolation("planned stops met %d answered requests and %d at a connection's end", answered, cut)
	}
	series.trial.recordFigure("planned stops: %d answered, %d cut, %d expired", answered, cut, expired)
}

// stopGracefully sends SIGTERM to a daemon and waits until it has ended.
func (trial *trial) stopGracefully(instance *deployment.Instance) {
	trial.recordEvent("daemon %s gets SIGTERM", instance.Name)
	instance.Daemon.Signal(syscall.SIGTERM)
	trial.awaitEnd(instance)
}

// awaitEnd waits until a daemon that got SIGTERM has ended, and kills it if it does
// not end.
func (trial *trial) awaitEnd(instance *deployment.Instance) {
	select {
	case <-instance.Daemon.Ended():
	case <-time.After(stopTimeout):
		trial.recordViolation("%s still ran %s after SIGTERM", instance.Name, stopTimeout)
		instance.Daemon.Kill()
	}
	trial.recordEvent("daemon %s has ended", instance.Name)
}

func (trial *trial) startAgain(instance *deployment.Instance) bool {
	if err := trial.running.StartDaemon(instance); err != nil {
		trial.recordViolation("daemon %s did not start again: %v", instance.Name, err)
		return false
	}
	return true
}

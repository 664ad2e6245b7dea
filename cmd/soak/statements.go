package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"ibislift/standin/deployment"
	"ibislift/standin/upstream"
)

// Times of the statements of upstreams.
const (
	// statingUpstreams is how many upstreams make statements at a time.
	statingUpstreams   = 2
	minStatementTime   = 2500 * time.Millisecond
	statementTimeRange = 4 * time.Second
	statementPause     = 100 * time.Millisecond
)

// rateLimits are the limits that upstreams name, in requests a second.
var rateLimits = []float64{0, 0.7, 4, 15}

// runStatements lets upstreams name rate limits and say that they are leaving, beside the
// other faults, until the load ends. It checks what reaches them meanwhile.
func (trial *trial) runStatements() {
	var waitGroup sync.WaitGroup
	end := time.Now().Add(trial.soak.length + finalLoadTime)
	for number := range statingUpstreams {
		random := rand.New(rand.NewPCG(uint64(trial.seed), uint64(11+number)))
		waitGroup.Go(func() {
			for time.Until(end) > minStatementTime {
				trial.runStatement(random, end)
				time.Sleep(statementPause)
			}
		})
	}
	waitGroup.Wait()
}

// runStatement lets a random upstream without a fault make one statement.
func (trial *trial) runStatement(random *rand.Rand, end time.Time) {
	instances := trial.running.Instances
	instance := instances[random.IntN(len(instances))]
	leaving, limit := random.IntN(4) == 0, rateLimits[random.IntN(len(rateLimits))]
	length := min(time.Until(end), minStatementTime+time.Duration(random.Int64N(int64(statementTimeRange))))
	if !trial.reserve("upstream " + instance.Name) {
		return
	}
	defer trial.release("upstream " + instance.Name)
	if !leaving {
		trial.nameLimit(instance, limit, length)
		return
	}
	// A restarted daemon does not know that its upstream is leaving until a request or a
	// probe has been answered.
	if trial.reserve("daemon " + instance.Name) {
		defer trial.release("daemon " + instance.Name)
		trial.leave(instance, length)
	}
}

// nameLimit lets an upstream name a limit.
func (trial *trial) nameLimit(instance *deployment.Instance, limit float64, length time.Duration) {
	trial.recordEvent("upstream %s names a limit of %g a second", instance.Name, limit)
	if err := trial.running.SetUpstreamSwitches(instance, upstream.Switches{RateLimit: &limit}); err != nil {
		return // a fault of the upstream has just ended
	}
	time.Sleep(length)
	load, err := trial.running.UpstreamLoad(instance)
	if err != nil {
		trial.recordViolation("upstream %s is not found: %v", instance.Name, err)
		return
	}
	if load.Excess > 0 {
		trial.recordViolation("upstream %s named a limit of %g a second and got %d requests above it", instance.Name, limit, load.Excess)
	}
	trial.endStatement(instance)
	trial.recordEvent("upstream %s names no limit", instance.Name)
}

// endStatement makes an upstream say nothing more of its state.
func (trial *trial) endStatement(instance *deployment.Instance) {
	if err := trial.running.SetUpstreamSwitches(instance, upstream.Switches{}); err != nil {
		trial.recordViolation("the switches of upstream %s were not set: %v", instance.Name, err)
	}
}

// leave lets an upstream say that it is leaving while it serves on, and replaces it.
func (trial *trial) leave(instance *deployment.Instance, length time.Duration) {
	trial.recordEvent("upstream %s says that it is leaving", instance.Name)
	if err := trial.running.SetUpstreamSwitches(instance, upstream.Switches{Leaving: true}); err != nil {
		return // a fault of the upstream has just ended
	}
	time.Sleep(length)
	load, err := trial.running.UpstreamLoad(instance)
	if err != nil {
		trial.recordViolation("upstream %s is not found: %v", instance.Name, err)
		return
	}
	if load.Late > 0 {
		trial.recordViolation("upstream %s said that it was leaving and got %d requests long after that", instance.Name, load.Late)
	}
	trial.replaceUpstream(instance)
}

// replaceUpstream ends an upstream and starts the next one in its place.
func (trial *trial) replaceUpstream(instance *deployment.Instance) {
	defer trial.beginTrouble("upstream " + instance.Name)()
	instance.Upstream.Signal(syscall.SIGKILL)
	<-instance.Upstream.Ended()
	trial.recordEvent("upstream %s is replaced", instance.Name)
	if err := trial.running.StartUpstream(instance); err != nil {
		trial.recordViolation("upstream %s did not start again: %v", instance.Name, err)
	}
}

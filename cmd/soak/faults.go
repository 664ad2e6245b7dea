package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"ibislift/standin/deployment"
	"ibislift/standin/link"
	"ibislift/standin/platform"
	"ibislift/standin/proxy"
	"ibislift/standin/upstream"
)

// The pauses between faults and the durations of faults are drawn from these
// ranges.
const (
	minPause           = 100 * time.Millisecond
	pauseRange         = 900 * time.Millisecond
	minFaultDuration   = 200 * time.Millisecond
	faultDurationRange = 3 * time.Second
)

// fault is a temporary failure of a component. A component has at most one fault at
// a time.
type fault struct {
	name      string
	component string
	begin     func()
	end       func()
}

// injectFaults begins faults at random, several at a time, until the length of
// the trial is over. It then waits until all faults have ended.
func (trial *trial) injectFaults() {
	var waitGroup sync.WaitGroup
	for time.Since(trial.startedAt) < trial.soak.length {
		time.Sleep(minPause + time.Duration(trial.random.Int64N(int64(pauseRange))))
		fault := trial.drawFault()
		duration := minFaultDuration + time.Duration(trial.random.Int64N(int64(faultDurationRange)))
		if !trial.reserve(fault.component) {
			continue
		}
		trial.faults++
		trial.recordEvent("%s begins", fault.name)
		endTrouble := trial.beginTrouble(fault.component)
		fault.begin()
		waitGroup.Go(func() {
			time.Sleep(duration)
			fault.end()
			endTrouble()
			trial.recordEvent("%s ends", fault.name)
			trial.release(fault.component)
		})
	}
	waitGroup.Wait()
}

// reserve marks a component as faulty. It returns false if the component has a
// fault already.
func (trial *trial) reserve(component string) bool {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	if trial.faulty[component] {
		return false
	}
	trial.faulty[component] = true
	return true
}

func (trial *trial) release(component string) {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	delete(trial.faulty, component)
}

// drawFault returns a random fault. The kind selects the affected component, and
// the variant what happens to it. It draws the same numbers whatever the state of
// the deployment, so that the faults depend on the seed alone.
func (trial *trial) drawFault() fault {
	instance := trial.running.Instances[trial.random.IntN(len(trial.running.Instances))]
	kind, variant := trial.random.IntN(9), trial.random.IntN(1<<16)
	switch kind {
	case 0, 1:
		return trial.daemonFault(instance, variant)
	case 2, 3:
		return trial.upstreamFault(instance, variant)
	case 4:
		return trial.platformFault(variant)
	case 5:
		return trial.proxyFault("the platform's proxy", trial.platformProxy, variant)
	case 6:
		number := variant % proxiedDaemons
		return trial.proxyFault(fmt.Sprintf("callers' proxy %d", number), trial.callerProxies[number], variant/proxiedDaemons)
	case 7:
		return trial.upstreamSwitchFault(instance, variant)
	default:
		if trial.withoutLinks() {
			return trial.daemonFault(instance, variant)
		}
		return trial.regionFault(variant)
	}
}

// freezeFault returns a fault that suspends a process with SIGSTOP and resumes it
// with SIGCONT.
func freezeFault(name, component string, process *deployment.Process) fault {
	return fault{name + " frozen", component, func() { process.Signal(syscall.SIGSTOP) }, func() { process.Signal(syscall.SIGCONT) }}
}

func (trial *trial) daemonFault(instance *deployment.Instance, variant int) fault {
	name, component := "daemon "+instance.Name, "daemon "+instance.Name
	restart := func() {
		<-instance.Daemon.Ended()
		if err := trial.running.StartDaemon(instance); err != nil {
			trial.recordViolation("%s did not start again: %v", name, err)
		}
	}
	switch variant % 3 {
	case 0:
		return freezeFault(name, component, instance.Daemon)
	case 1:
		return fault{name + " killed", component, func() { instance.Daemon.Signal(syscall.SIGKILL) }, restart}
	default:
		return fault{name + " stopped gracefully", component, func() { instance.Daemon.Signal(syscall.SIGTERM) }, restart}
	}
}

func (trial *trial) upstreamFault(instance *deployment.Instance, variant int) fault {
	name, component := "upstream "+instance.Name, "upstream "+instance.Name
	restart := func() {
		<-instance.Upstream.Ended()
		if err := trial.running.StartUpstream(instance); err != nil {
			trial.recordViolation("%s did not start again: %v", name, err)
		}
	}
	switch variant % 3 {
	case 0:
		return freezeFault(name, component, instance.Upstream)
	case 1:
		return fault{name + " killed", component, func() { instance.Upstream.Signal(syscall.SIGKILL) }, restart}
	default:
		return fault{name + " drained", component, func() { instance.Upstream.Signal(syscall.SIGTERM) }, restart}
	}
}

func (trial *trial) platformFault(variant int) fault {
	if variant%6 == 5 {
		return freezeFault("platform", "platform", trial.running.Platform)
	}
	name, switches := "platform down", platform.Switches{Down: true}
	switch variant % 6 {
	case 1:
		name, switches = "platform slow", platform.Switches{DelayMilliseconds: 300}
	case 2:
		name, switches = "platform loses answers", platform.Switches{DropWriteResponses: true}
	case 3:
		// Writes get no response and take effect only when the fault ends.
		name, switches = "platform holds writes", platform.Switches{HoldWrites: true}
	case 4:
		name, switches = "platform down after a write", platform.Switches{DownAfterWrite: true}
	}
	setSwitches := func(switches platform.Switches) func() {
		return func() { _ = trial.running.SetPlatformSwitches(switches) }
	}
	return fault{name, "platform", setSwitches(switches), setSwitches(platform.Switches{})}
}

func (trial *trial) proxyFault(name string, faultyProxy *proxy.Proxy, variant int) fault {
	mode := proxy.FaultModes[variant%len(proxy.FaultModes)]
	return fault{name + " " + string(mode), name, func() { faultyProxy.SetMode(mode) }, func() { faultyProxy.SetMode(proxy.Pass) }}
}

func (trial *trial) upstreamSwitchFault(instance *deployment.Instance, variant int) fault {
	type kind struct {
		name     string
		switches upstream.Switches
	}
	// The other faults of a seed stay as they were without the invalid statuses.
	brokenKinds := []kind{
		{"truncates", upstream.Switches{Truncate: true}},
		{"responds with the status 000", upstream.Switches{InvalidStatus: "000"}},
		{"responds with the status 600", upstream.Switches{InvalidStatus: "600"}},
	}
	kinds := []kind{
		{"slow", upstream.Switches{SlowFactor: 10}},
		{"fails", upstream.Switches{FailFast: true}},
		{"sheds", upstream.Switches{Shed: true}},
		{"fails health probes", upstream.Switches{FailHealthProbes: true}},
		{"truncates", upstream.Switches{Truncate: true}},
		{"responds twice", upstream.Switches{DuplicateResponses: true}},
		{"hangs", upstream.Switches{Hang: true}},
	}
	chosen := kinds[variant%len(kinds)]
	if chosen.switches.Truncate {
		chosen = brokenKinds[variant/len(kinds)%len(brokenKinds)]
	}
	setSwitches := func(switches upstream.Switches) func() {
		return func() { _ = trial.running.SetUpstreamSwitches(instance, switches) }
	}
	return fault{"upstream " + instance.Name + " " + chosen.name, "upstream " + instance.Name, setSwitches(chosen.switches), setSwitches(upstream.Switches{})}
}

func (trial *trial) regionFault(variant int) fault {
	directions := []link.Direction{link.Both, link.In, link.Out}
	direction := directions[variant%len(directions)]
	region := variant / len(directions) % len(trial.running.Plan.Regions)
	regionNumber := fmt.Sprint(trial.firstRegionNumber + region)
	setDirection := func(direction link.Direction) func() {
		return func() { _ = trial.running.CutRegion(regionNumber, direction) }
	}
	return fault{fmt.Sprintf("region %d cut %s", region, direction), "links", setDirection(direction), setDirection(link.None)}
}

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

// Times between harms, and how long each lasts.
const (
	leastPause  = 100 * time.Millisecond
	pauseSpread = 900 * time.Millisecond
	leastHarm   = 200 * time.Millisecond
	harmSpread  = 3 * time.Second
)

// harm is something that begins and ends. What is harmed has one harm at a time.
type harm struct {
	name  string
	part  string
	begin func()
	end   func()
}

// harms begins harms at random until the time is over, several at once, and
// waits until all have ended.
func (trial *trial) harms() {
	var ending sync.WaitGroup
	for time.Since(trial.began) < trial.soak.length {
		time.Sleep(leastPause + time.Duration(trial.random.Int64N(int64(pauseSpread))))
		harm := trial.draw()
		lasting := leastHarm + time.Duration(trial.random.Int64N(int64(harmSpread)))
		if !trial.occupy(harm.part) {
			continue
		}
		trial.note("%s begins", harm.name)
		harm.begin()
		ending.Go(func() {
			time.Sleep(lasting)
			harm.end()
			trial.note("%s ends", harm.name)
			trial.release(harm.part)
		})
	}
	ending.Wait()
}

func (trial *trial) occupy(part string) bool {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	if trial.harmed[part] {
		return false
	}
	trial.harmed[part] = true
	return true
}

func (trial *trial) release(part string) {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	delete(trial.harmed, part)
}

// draw draws a harm. All draws are made from the seed, whatever has happened.
func (trial *trial) draw() harm {
	instance := trial.running.Instances[trial.random.IntN(len(trial.running.Instances))]
	kind, detail := trial.random.IntN(9), trial.random.IntN(1<<16)
	switch kind {
	case 0, 1:
		return trial.harmDaemon(instance, detail)
	case 2, 3:
		return trial.harmUpstream(instance, detail)
	case 4:
		return trial.harmPlatform(detail)
	case 5:
		return trial.harmProxy("the platform's proxy", trial.store, detail)
	case 6:
		number := detail % proxied
		return trial.harmProxy(fmt.Sprintf("callers' proxy %d", number), trial.proxies[number], detail/proxied)
	case 7:
		return trial.turnUpstream(instance, detail)
	default:
		if trial.plain() {
			return trial.harmDaemon(instance, detail)
		}
		return trial.cut(detail)
	}
}

// freeze stops a process and lets it go on.
func freeze(name, part string, process *deployment.Process) harm {
	return harm{name + " frozen", part, func() { process.Signal(syscall.SIGSTOP) }, func() { process.Signal(syscall.SIGCONT) }}
}

func (trial *trial) harmDaemon(instance *deployment.Instance, detail int) harm {
	name, part := "daemon "+instance.Name, "daemon "+instance.Name
	again := func() {
		<-instance.Daemon.Ended()
		if err := trial.running.StartDaemon(instance); err != nil {
			trial.violate("%s did not start again: %v", name, err)
		}
	}
	switch detail % 3 {
	case 0:
		return freeze(name, part, instance.Daemon)
	case 1:
		return harm{name + " killed", part, func() { instance.Daemon.Signal(syscall.SIGKILL) }, again}
	default:
		return harm{name + " stopped gracefully", part, func() { instance.Daemon.Signal(syscall.SIGTERM) }, again}
	}
}

func (trial *trial) harmUpstream(instance *deployment.Instance, detail int) harm {
	name, part := "upstream "+instance.Name, "upstream "+instance.Name
	again := func() {
		<-instance.Upstream.Ended()
		if err := trial.running.StartUpstream(instance); err != nil {
			trial.violate("%s did not start again: %v", name, err)
		}
	}
	switch detail % 3 {
	case 0:
		return freeze(name, part, instance.Upstream)
	case 1:
		return harm{name + " killed", part, func() { instance.Upstream.Signal(syscall.SIGKILL) }, again}
	default:
		return harm{name + " drained", part, func() { instance.Upstream.Signal(syscall.SIGTERM) }, again}
	}
}

func (trial *trial) harmPlatform(detail int) harm {
	if detail%6 == 5 {
		return freeze("platform", "platform", trial.running.Platform)
	}
	name, switches := "platform down", platform.Switches{Down: true}
	switch detail % 6 {
	case 1:
		name, switches = "platform slow", platform.Switches{DelayMilliseconds: 300}
	case 2:
		name, switches = "platform loses answers", platform.Switches{DropWriteResponses: true}
	case 3:
		name, switches = "platform holds writes", platform.Switches{HoldWrites: true}
	case 4:
		name, switches = "platform down after a write", platform.Switches{DownAfterWrite: true}
	}
	turn := func(switches platform.Switches) func() {
		return func() { _ = trial.running.SetPlatformSwitches(switches) }
	}
	return harm{name, "platform", turn(switches), turn(platform.Switches{})}
}

func (trial *trial) harmProxy(name string, harmed *proxy.Proxy, detail int) harm {
	mode := proxy.FaultModes[detail%len(proxy.FaultModes)]
	return harm{name + " " + string(mode), name, func() { harmed.SetMode(mode) }, func() { harmed.SetMode(proxy.Pass) }}
}

func (trial *trial) turnUpstream(instance *deployment.Instance, detail int) harm {
	all := []struct {
		name     string
		switches upstream.Switches
	}{
		{"slow", upstream.Switches{SlowFactor: 10}},
		{"fails", upstream.Switches{FailFast: true}},
		{"sheds", upstream.Switches{Shed: true}},
		{"is sick", upstream.Switches{FailHealthProbes: true}},
		{"truncates", upstream.Switches{Truncate: true}},
		{"answers twice", upstream.Switches{DuplicateResponses: true}},
		{"hangs", upstream.Switches{Hang: true}},
	}
	chosen := all[detail%len(all)]
	turn := func(switches upstream.Switches) func() {
		return func() { _ = trial.running.SetUpstreamSwitches(instance, switches) }
	}
	return harm{"upstream " + instance.Name + " " + chosen.name, "upstream " + instance.Name, turn(chosen.switches), turn(upstream.Switches{})}
}

func (trial *trial) cut(detail int) harm {
	directions := []link.Direction{link.Both, link.In, link.Out}
	direction := directions[detail%len(directions)]
	region := detail / len(directions) % len(trial.running.Plan.Regions)
	place := fmt.Sprint(trial.block + region)
	turn := func(direction link.Direction) func() {
		return func() { _ = trial.running.CutRegion(place, direction) }
	}
	return harm{fmt.Sprintf("region %d cut %s", region, direction), "links", turn(direction), turn(link.None)}
}

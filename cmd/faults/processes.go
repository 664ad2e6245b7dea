package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"text/tabwriter"
	"time"

	"ibislift/standin/deployment"
	"ibislift/standin/link"
	"ibislift/standin/load"
	"ibislift/standin/platform"
)

// Times, rates and counts of the runs with processes.
const (
	readyTimeout = 40 * time.Second
	runTime      = 5 * time.Second
	faultStart   = time.Second
	faultEnd     = 3500 * time.Millisecond
	requestRate  = 150
	resends      = 3
)

// processFault is a fault of real processes, with functions that begin and end it.
type processFault struct {
	name  string
	begin func(running *deployment.Running)
	end   func(running *deployment.Running)
}

// processFaults returns the faults, which run one after another on the same
// deployment. In their names, clerk stands for the claim coordinator.
func processFaults() []processFault {
	sendSignal := func(processOf func(*deployment.Running) *deployment.Process, signal syscall.Signal) func(*deployment.Running) {
		return func(running *deployment.Running) { processOf(running).Signal(signal) }
	}
	daemonProcess := func(running *deployment.Running) *deployment.Process { return running.Instances[3].Daemon }
	upstreamProcess := func(running *deployment.Running) *deployment.Process { return running.Instances[8].Upstream }
	platformProcess := func(running *deployment.Running) *deployment.Process { return running.Platform }
	setSwitches := func(switches platform.Switches) func(*deployment.Running) {
		return func(running *deployment.Running) { _ = running.SetPlatformSwitches(switches) }
	}
	cutRegion := func(direction link.Direction) func(*deployment.Running) {
		return func(running *deployment.Running) { _ = running.CutRegion(running.Instances[1].RegionNumber, direction) }
	}
	return []processFault{
		{"daemon frozen", sendSignal(daemonProcess, syscall.SIGSTOP), sendSignal(daemonProcess, syscall.SIGCONT)},
		{"clerk frozen", signalCoordinator(syscall.SIGSTOP), signalCoordinator(syscall.SIGCONT)},
		{"upstream frozen", sendSignal(upstreamProcess, syscall.SIGSTOP), sendSignal(upstreamProcess, syscall.SIGCONT)},
		{"platform frozen", sendSignal(platformProcess, syscall.SIGSTOP), sendSignal(platformProcess, syscall.SIGCONT)},
		{"platform down", setSwitches(platform.Switches{Down: true}), setSwitches(platform.Switches{})},
		{"platform loses answers", setSwitches(platform.Switches{DropWriteResponses: true}), setSwitches(platform.Switches{})},
		// Writes get no response and take effect only when the fault ends.
		{"platform holds writes", setSwitches(platform.Switches{HoldWrites: true}), setSwitches(platform.Switches{})},
		{"region cut both ways", cutRegion(link.Both), cutRegion(link.None)},
		{"region cut one way", cutRegion(link.Out), cutRegion(link.None)},
		{"daemon killed", sendSignal(daemonProcess, syscall.SIGKILL), func(running *deployment.Running) {
			_ = running.StartDaemon(running.Instances[3])
		}},
		{"upstream killed", sendSignal(upstreamProcess, syscall.SIGKILL), func(running *deployment.Running) {
			_ = running.StartUpstream(running.Instances[8])
		}},
		{"upstream drained", sendSignal(upstreamProcess, syscall.SIGTERM), func(running *deployment.Running) {
			<-upstreamProcess(running).Ended()
			_ = running.StartUpstream(running.Instances[8])
		}},
	}
}

// frozenCoordinator is the instance whose daemon was frozen as a claim coordinator.
// Another daemon may be the coordinator by the time it is resumed.
var frozenCoordinator *deployment.Instance

func signalCoordinator(signal syscall.Signal) func(*deployment.Running) {
	return func(running *deployment.Running) {
		if signal == syscall.SIGSTOP {
			frozenCoordinator = coordinatorOf(running)
		}
		frozenCoordinator.Daemon.Signal(signal)
	}
}

// coordinatorOf returns the instance that coordinates the claims of the first
// partition, or the first instance if that is not known.
func coordinatorOf(running *deployment.Running) *deployment.Instance {
	status, err := running.Status(running.Instances[0])
	for _, instance := range running.Instances {
		if err == nil && len(status.ClaimCoordinators) > 0 && instance.Name == status.ClaimCoordinators[0][0] {
			return instance
		}
	}
	return running.Instances[0]
}

// runProcessFaults runs the faults of real processes under load. It checks that no
// change ran twice, that no response or outcome was wrong, and that the deployment
// is ready again after each fault.
func (runner *runner) runProcessFaults(programs string) error {
	plan, err := deployment.PlanByName("bureau")
	if err != nil {
		return err
	}
	plan.FirstRegionNumber += 30
	running, stop, err := plan.Launch(programs)
	if err != nil {
		return err
	}
	defer stop()
	if runner.only == "" || runner.only == "configuration" {
		runner.runConfigurationFaults(running)
	}
	fmt.Println("faults of processes, under load with resends of the same key through other daemons:")
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "fault\trequests\twhole\tnotRun\tunknown\tdoubled\twrong\tverdict")
	for number, fault := range processFaults() {
		if runner.only != "" && runner.only != fault.name {
			continue
		}
		if err := running.AwaitReady(readyTimeout); err != nil {
			return fmt.Errorf("before %q: %w", fault.name, err)
		}
		if err := runner.runProcessFault(writer, running, number, fault); err != nil {
			return err
		}
		_ = writer.Flush()
	}
	fmt.Println()
	return running.AwaitReady(readyTimeout)
}

func (runner *runner) runProcessFault(writer *tabwriter.Writer, running *deployment.Running, number int, fault processFault) error {
	generator := &load.Generator{
		Rate: requestRate, Seed: uint64(number), IDPrefix: fmt.Sprintf("f%d-", number), NextRequest: requestGenerator(running, number), Resends: resends,
		Actions: []load.Action{
			{After: faultStart, Do: func() { fault.begin(running) }},
			{After: faultEnd, Do: func() { fault.end(running) }},
		},
	}
	report := generator.Run(runTime)
	runs, err := running.RunCounts()
	if err != nil {
		return err
	}
	doubled, wrong := report.Audit(runs)
	total := report.Total("")
	verdict := runner.check(fault.name, func() string {
		if doubled+wrong > 0 {
			return fmt.Sprintf("%d doubled, %d wrong", doubled, wrong)
		}
		return ""
	})
	fmt.Fprintf(writer, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", fault.name, total.Requests, total.Complete,
		total.NotRun, total.Unknown, doubled, wrong, verdict)
	return nil
}

// requestGenerator returns a function that generates lookups and changes with an
// idempotency key. Each request can be resent through other daemons.
func requestGenerator(running *deployment.Running, round int) func(*rand.Rand, int) load.Request {
	return func(random *rand.Rand, number int) load.Request {
		service := running.Plan.Services[random.IntN(len(running.Plan.Services))]
		ingress := random.IntN(len(running.Instances))
		request := load.Request{
			Address: running.Instances[ingress].CallerAddress(), Service: service.Name, Class: "lookup",
			Method: "GET", Path: service.LookupPath, Deadline: time.Second,
		}
		for other := 1; other <= resends; other++ {
			next := running.Instances[(ingress+5*other)%len(running.Instances)]
			request.ResendAddresses = append(request.ResendAddresses, next.CallerAddress())
		}
		if random.IntN(2) == 0 {
			request.Class, request.Method, request.Path = "change", "POST", service.ChangePath
			request.IdempotencyKey = fmt.Sprintf("f%d-%d", round, number)
			request.Deadline = 2 * time.Second
		}
		return request
	}
}

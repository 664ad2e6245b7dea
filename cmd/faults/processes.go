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

// Times and sizes of the runs with processes.
const (
	readyTimeout = 40 * time.Second
	runTime      = 5 * time.Second
	faultStart   = time.Second
	faultEnd     = 3500 * time.Millisecond
	runRate      = 150
	resends      = 3
)

// incident is a fault of real processes, and how it ends.
type incident struct {
	name  string
	begin func(running *deployment.Running)
	end   func(running *deployment.Running)
}

// incidents are run one after another on one deployment.
func incidents() []incident {
	signal := func(processOf func(*deployment.Running) *deployment.Process, signal syscall.Signal) func(*deployment.Running) {
		return func(running *deployment.Running) { processOf(running).Signal(signal) }
	}
	daemon := func(running *deployment.Running) *deployment.Process { return running.Instances[3].Daemon }
	server := func(running *deployment.Running) *deployment.Process { return running.Instances[8].Upstream }
	store := func(running *deployment.Running) *deployment.Process { return running.Platform }
	turn := func(switches platform.Switches) func(*deployment.Running) {
		return func(running *deployment.Running) { _ = running.SetPlatformSwitches(switches) }
	}
	cut := func(direction link.Direction) func(*deployment.Running) {
		return func(running *deployment.Running) { _ = running.CutRegion(running.Instances[1].RegionNumber, direction) }
	}
	return []incident{
		{"daemon frozen", signal(daemon, syscall.SIGSTOP), signal(daemon, syscall.SIGCONT)},
		{"clerk frozen", signalClerk(syscall.SIGSTOP), signalClerk(syscall.SIGCONT)},
		{"upstream frozen", signal(server, syscall.SIGSTOP), signal(server, syscall.SIGCONT)},
		{"platform frozen", signal(store, syscall.SIGSTOP), signal(store, syscall.SIGCONT)},
		{"platform down", turn(platform.Switches{Down: true}), turn(platform.Switches{})},
		{"platform loses answers", turn(platform.Switches{DropWriteResponses: true}), turn(platform.Switches{})},
		{"platform holds writes", turn(platform.Switches{HoldWrites: true}), turn(platform.Switches{})},
		{"region cut both ways", cut(link.Both), cut(link.None)},
		{"region cut one way", cut(link.Out), cut(link.None)},
		{"daemon killed", signal(daemon, syscall.SIGKILL), func(running *deployment.Running) {
			_ = running.StartDaemon(running.Instances[3])
		}},
		{"upstream killed", signal(server, syscall.SIGKILL), func(running *deployment.Running) {
			_ = running.StartUpstream(running.Instances[8])
		}},
		{"upstream drained", signal(server, syscall.SIGTERM), func(running *deployment.Running) {
			<-server(running).Ended()
			_ = running.StartUpstream(running.Instances[8])
		}},
	}
}

// frozenClerk remembers which daemon was frozen as the clerk.
var frozenClerk *deployment.Instance

func signalClerk(signal syscall.Signal) func(*deployment.Running) {
	return func(running *deployment.Running) {
		if signal == syscall.SIGSTOP {
			frozenClerk = clerkOf(running)
		}
		frozenClerk.Daemon.Signal(signal)
	}
}

func clerkOf(running *deployment.Running) *deployment.Instance {
	status, err := running.Status(running.Instances[0])
	for _, instance := range running.Instances {
		if err == nil && len(status.ClaimCoordinators) > 0 && instance.Name == status.ClaimCoordinators[0][0] {
			return instance
		}
	}
	return running.Instances[0]
}

// processes runs the incidents under load, and checks that nothing was doubled
// or told wrongly, and that all is served again afterwards.
func (score *score) processes(programs string) error {
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
	if score.only == "" || score.only == "configuration" {
		score.configuration(running)
	}
	fmt.Println("faults of processes, under load with resends of the same key through other daemons:")
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "fault\trequests\twhole\tnotRun\tunknown\tdoubled\twrong\tverdict")
	for number, incident := range incidents() {
		if score.only != "" && score.only != incident.name {
			continue
		}
		if err := running.AwaitReady(readyTimeout); err != nil {
			return fmt.Errorf("before %q: %w", incident.name, err)
		}
		if err := score.incident(writer, running, number, incident); err != nil {
			return err
		}
		_ = writer.Flush()
	}
	fmt.Println()
	return running.AwaitReady(readyTimeout)
}

func (score *score) incident(writer *tabwriter.Writer, running *deployment.Running, number int, incident incident) error {
	generator := &load.Generator{
		Rate: runRate, Seed: uint64(number), IDPrefix: fmt.Sprintf("f%d-", number), NextRequest: changes(running, number), Resends: resends,
		Actions: []load.Action{
			{After: faultStart, Do: func() { incident.begin(running) }},
			{After: faultEnd, Do: func() { incident.end(running) }},
		},
	}
	report := generator.Run(runTime)
	runs, err := running.RunCounts()
	if err != nil {
		return err
	}
	doubled, wrong := report.Audit(runs)
	total := report.Total("")
	verdict := score.play(incident.name, func() string {
		if doubled+wrong > 0 {
			return fmt.Sprintf("%d doubled, %d wrong", doubled, wrong)
		}
		return ""
	})
	fmt.Fprintf(writer, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", incident.name, total.Requests, total.Complete,
		total.NotRun, total.Unknown, doubled, wrong, verdict)
	return nil
}

// changes makes lookups and keyed changes, each resent through other daemons.
func changes(running *deployment.Running, round int) func(*rand.Rand, int) load.Request {
	return func(random *rand.Rand, number int) load.Request {
		service := running.Plan.Services[random.IntN(len(running.Plan.Services))]
		entry := random.IntN(len(running.Instances))
		request := load.Request{
			Address: running.Instances[entry].CallerAddress(), Service: service.Name, Class: "lookup",
			Method: "GET", Path: service.LookupPath, Deadline: time.Second,
		}
		for other := 1; other <= resends; other++ {
			next := running.Instances[(entry+5*other)%len(running.Instances)]
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

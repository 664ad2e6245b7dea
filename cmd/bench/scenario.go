package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"ibislift/standin/deployment"
	"ibislift/standin/link"
	"ibislift/standin/load"
	"ibislift/standin/platform"
	"ibislift/standin/upstream"
)

// Parameters of the scenarios' traffic.
const (
	serviceTime    = 100 * time.Millisecond
	serviceShape   = 4
	lookupDeadline = 1500 * time.Millisecond
	changeDeadline = 3 * time.Second
	changePercent  = 10
	settleTime     = 300 * time.Millisecond
)

// bench measures a running deployment. profileVersion is the version of the
// profile in force, and runCount the number of runs so far.
type bench struct {
	running        *deployment.Running
	profileVersion uint64
	runCount       int
}

// scenario describes the load of a run and the fault that goes with it.
type scenario struct {
	name string
	// load is the offered load as a fraction of all slots.
	load float64
	// startFault starts the fault and returns the function that ends it.
	startFault func(ctx context.Context, bench *bench) func()
	// skew is the load that enters through the first region, as a multiple of
	// its equal share; zero stands for one.
	skew float64
}

// scenarios returns the scenarios in the order in which they run. The last ones
// restart upstreams, which are in slow start afterwards.
func scenarios() []scenario {
	noFault := func(context.Context, *bench) func() { return func() {} }
	return []scenario{
		{name: "steady50", load: 0.5, startFault: noFault},
		{name: "steady70", load: 0.7, startFault: noFault},
		{name: "steady90", load: 0.9, startFault: noFault},
		{name: "noisy70", load: 0.7, startFault: noisyNeighbours},
		{name: "failFast", load: 0.5, startFault: switchFirstTargets(upstream.Switches{FailFast: true})},
		{name: "tenthSpeed", load: 0.5, startFault: switchFirstTargets(upstream.Switches{SlowFactor: 10})},
		{name: "skew2", load: 0.5, startFault: noFault, skew: 2},
		{name: "regionCut", load: 0.5, startFault: regionCut},
		{name: "platformDown", load: 0.5, startFault: platformDown},
		{name: "overload150", load: 1.5, startFault: noFault},
		{name: "drainAndColdStart", load: 0.5, startFault: drainAndColdStart},
		{name: "crash", load: 0.5, startFault: restartCrashed},
	}
}

// noisyNeighbours makes one random target after another ten times slower, each
// for 50 to 500 ms.
func noisyNeighbours(ctx context.Context, bench *bench) func() {
	random := rand.New(rand.NewPCG(1, 4))
	instances := bench.running.Instances
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			noisy := instances[random.IntN(len(instances))]
			_ = bench.running.SetUpstreamSwitches(noisy, upstream.Switches{SlowFactor: 10})
			sleep(ctx, 50*time.Millisecond+time.Duration(random.Int64N(int64(450*time.Millisecond))))
			_ = bench.running.SetUpstreamSwitches(noisy, upstream.Switches{})
		}
	}()
	return func() { <-done }
}

// sleep waits for a time or until the context is done.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// switchFirstTargets returns a fault that sets switches of the first target of
// each service.
func switchFirstTargets(switches upstream.Switches) func(context.Context, *bench) func() {
	setSwitches := func(bench *bench, switches upstream.Switches) {
		for index := 0; index < len(bench.running.Instances); index += bench.running.Plan.TargetsPerService {
			_ = bench.running.SetUpstreamSwitches(bench.running.Instances[index], switches)
		}
	}
	return func(_ context.Context, bench *bench) func() {
		setSwitches(bench, switches)
		return func() { setSwitches(bench, upstream.Switches{}) }
	}
}

// regionCut cuts the links between one region and all others.
func regionCut(_ context.Context, bench *bench) func() {
	regionNumber := bench.running.Instances[2].RegionNumber
	_ = bench.running.CutRegion(regionNumber, link.Both)
	return func() { _ = bench.running.CutRegion(regionNumber, link.None) }
}

// platformDown takes the platform down.
func platformDown(_ context.Context, bench *bench) func() {
	_ = bench.running.SetPlatformSwitches(platform.Switches{Down: true})
	return func() { _ = bench.running.SetPlatformSwitches(platform.Switches{}) }
}

// drainAndColdStart drains one upstream and starts it again.
func drainAndColdStart(ctx context.Context, bench *bench) func() {
	drained := bench.running.Instances[4]
	done := make(chan struct{})
	go func() {
		defer close(done)
		sleep(ctx, 500*time.Millisecond)
		drained.Upstream.Signal(syscall.SIGTERM)
		<-drained.Upstream.Ended()
		_ = bench.running.StartUpstream(drained)
	}()
	return func() { <-done }
}

// restartCrashed restarts the crashed upstreams at the end of the run. The
// crash itself is caused by a request; see requestMix.
func restartCrashed(_ context.Context, bench *bench) func() {
	return func() {
		for _, instance := range bench.running.Instances {
			select {
			case <-instance.Upstream.Ended():
				_ = bench.running.StartUpstream(instance)
			default:
			}
		}
		_ = bench.running.AwaitReady(readyTimeout)
	}
}

// runScenarios runs each scenario with each policy and prints a row for each
// run.
func runScenarios(programs, name string, policies, only []string, duration time.Duration) error {
	plan, err := deployment.PlanByName(name)
	if err != nil {
		return err
	}
	plan.ServiceTime = serviceTime
	plan.ServiceShape = serviceShape
	plan.FirstRegionNumber += 20
	running, stop, err := plan.Launch(programs)
	if err != nil {
		return err
	}
	defer stop()
	bench := &bench{running: running}
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(writer, "scenario\tpolicy\trequests\tin time\tfailed\tnotRun\tunknown\tp50\tp99\tp99.9\textra/1000\tprobes/s\tdoubled\t")
	for _, scenario := range scenarios() {
		if len(only) > 0 && !slices.Contains(only, scenario.name) {
			continue
		}
		for _, policy := range policies {
			if err := bench.run(writer, scenario, policy, duration); err != nil {
				return err
			}
		}
		_ = writer.Flush()
	}
	return nil
}

// applyPolicy writes a profile with the policy, sets it for all services and
// waits until it is in force.
func (bench *bench) applyPolicy(policy string) error {
	spec := fmt.Sprintf(`{"policy": %q, "defaultDeadline": "2s", "important": [{"method": "POST", "path": "/"}], "slowStart": "2s"}`, policy)
	status, object, err := bench.running.Apply(bench.running.Instances[0], "/profiles/bench", bench.profileVersion, spec)
	if err := deployment.ApplyError(status, err); err != nil {
		return fmt.Errorf("profile: %w", err)
	}
	if bench.profileVersion == 0 {
		for _, service := range bench.running.Plan.Services {
			status, _, err := bench.running.Apply(bench.running.Instances[0], "/services/"+service.Name, 0, `{"profile": "bench"}`)
			if err := deployment.ApplyError(status, err); err != nil {
				return fmt.Errorf("service %s: %w", service.Name, err)
			}
		}
	}
	bench.profileVersion = object.Version
	return deployment.Await(readyTimeout, "policy in force", func() bool {
		return bench.running.AllHaveVersion("/profiles/bench", object.Version)
	})
}

// run measures a scenario with a policy and writes a row of the table.
func (bench *bench) run(writer *tabwriter.Writer, scenario scenario, policy string, duration time.Duration) error {
	if err := bench.applyPolicy(policy); err != nil {
		return err
	}
	bench.runCount++
	plan := bench.running.Plan
	slots := float64(len(bench.running.Instances) * plan.Slots)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	endFault := scenario.startFault(ctx, bench)
	extraBefore, probesBefore := bench.sumMetrics()
	generator := &load.Generator{
		Rate: scenario.load * slots / serviceTime.Seconds(), Seed: 7, IDPrefix: fmt.Sprintf("b%d-", bench.runCount),
		NextRequest: bench.requestMix(scenario),
	}
	report := generator.Run(duration)
	extraAfter, probesAfter := bench.sumMetrics()
	cancel()
	endFault()
	total := report.Total("")
	runs, err := bench.running.RunCounts()
	if err != nil {
		return err
	}
	doubled, wrong := report.Audit(runs)
	_, _ = fmt.Fprintf(writer, "%s\t%s\t%d\t%.2f%%\t%d\t%d\t%d\t%s\t%s\t%s\t%.1f\t%.1f\t%d\t\n", scenario.name, policy, total.Requests,
		100*float64(total.InTime)/float64(max(1, total.Requests)), total.Failed, total.NotRun, total.Unknown+total.Dropped,
		total.Percentile(50).Round(time.Millisecond), total.Percentile(99).Round(time.Millisecond), total.Percentile(99.9).Round(time.Millisecond),
		1000*(extraAfter-extraBefore)/float64(max(1, total.Requests)), (probesAfter-probesBefore)/report.Elapsed.Seconds(), doubled+wrong)
	time.Sleep(settleTime)
	return nil
}

// sumMetrics returns the extra attempts and the probes of all daemons so far.
func (bench *bench) sumMetrics() (extra, probes float64) {
	for _, instance := range bench.running.Instances {
		attempts, _ := instance.Metric(`ibislift_attempts_total{kind="extra"`)
		daemonProbes, _ := instance.Metric("ibislift_probes_total")
		extra += attempts
		probes += daemonProbes
	}
	return extra, probes
}

// requestMix returns a function that generates lookups and changes for the
// daemons of all regions. With a skew, more of them enter through the first
// region. In the crash scenario, request 200 crashes the upstreams that run it.
func (bench *bench) requestMix(scenario scenario) func(*rand.Rand, int) load.Request {
	instances := bench.running.Instances
	services := bench.running.Plan.Services
	var firstRegion []*deployment.Instance
	for _, instance := range instances {
		if instance.RegionNumber == instances[0].RegionNumber {
			firstRegion = append(firstRegion, instance)
		}
	}
	return func(random *rand.Rand, number int) load.Request {
		ingresses := instances
		if scenario.skew > 1 && random.Float64() < (scenario.skew-1)/float64(len(bench.running.Plan.Regions)-1) {
			ingresses = firstRegion
		}
		service := services[random.IntN(len(services))]
		request := load.Request{
			Address: ingresses[random.IntN(len(ingresses))].CallerAddress(), Service: service.Name, Class: "lookup",
			Method: "GET", Path: service.LookupPath, Deadline: lookupDeadline,
		}
		if scenario.name == "crash" && number == 200 {
			request.Path += "/poison"
			request.Header = map[string]string{upstream.CrashHeader: "1"}
		}
		if random.IntN(100) < changePercent {
			request.Class, request.Method, request.Path, request.Deadline = "change", "POST", service.ChangePath, changeDeadline
		}
		return request
	}
}

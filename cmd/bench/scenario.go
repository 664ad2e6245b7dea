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

// Shape of the scenarios' traffic.
const (
	serviceTime   = 100 * time.Millisecond
	serviceShape  = 4
	lookupTime    = 1500 * time.Millisecond
	changeTime    = 3 * time.Second
	changePercent = 10
	settleTime    = 300 * time.Millisecond
)

// bench is a deployment under measurement.
type bench struct {
	running *deployment.Running
	version uint64
	round   int
}

// scenario is something that goes on while load comes in.
type scenario struct {
	name string
	// load is the share of all slots that is asked for.
	load float64
	// disturb starts what goes wrong, and returns the function that ends it.
	disturb func(ctx context.Context, bench *bench) func()
	// skew is how many times its share of load the first region gets.
	skew float64
}

// scenarios are run in this order; the last ones leave the fleet smaller.
func scenarios() []scenario {
	quiet := func(context.Context, *bench) func() { return func() {} }
	return []scenario{
		{name: "steady50", load: 0.5, disturb: quiet},
		{name: "steady70", load: 0.7, disturb: quiet},
		{name: "steady90", load: 0.9, disturb: quiet},
		{name: "noisy70", load: 0.7, disturb: noisyNeighbours},
		{name: "failFast", load: 0.5, disturb: onFirst(upstream.Switches{FailFast: true})},
		{name: "tenthSpeed", load: 0.5, disturb: onFirst(upstream.Switches{SlowFactor: 10})},
		{name: "skew2", load: 0.5, disturb: quiet, skew: 2},
		{name: "regionCut", load: 0.5, disturb: regionCut},
		{name: "platformDown", load: 0.5, disturb: platformDown},
		{name: "overload150", load: 1.5, disturb: quiet},
		{name: "drainAndColdStart", load: 0.5, disturb: drainAndColdStart},
		{name: "crash", load: 0.5, disturb: restartCrashed},
	}
}

// noisyNeighbours slows random targets down tenfold for 50 to 500 ms.
func noisyNeighbours(ctx context.Context, bench *bench) func() {
	random := rand.New(rand.NewPCG(1, 4))
	instances := bench.running.Instances
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			noisy := instances[random.IntN(len(instances))]
			_ = bench.running.SetUpstreamSwitches(noisy, upstream.Switches{SlowFactor: 10})
			pause(ctx, 50*time.Millisecond+time.Duration(random.Int64N(int64(450*time.Millisecond))))
			_ = bench.running.SetUpstreamSwitches(noisy, upstream.Switches{})
		}
	}()
	return func() { <-done }
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// onFirst turns switches on the first target of each service.
func onFirst(switches upstream.Switches) func(context.Context, *bench) func() {
	turn := func(bench *bench, switches upstream.Switches) {
		for index := 0; index < len(bench.running.Instances); index += bench.running.Plan.TargetsPerService {
			_ = bench.running.SetUpstreamSwitches(bench.running.Instances[index], switches)
		}
	}
	return func(_ context.Context, bench *bench) func() {
		turn(bench, switches)
		return func() { turn(bench, upstream.Switches{}) }
	}
}

func regionCut(_ context.Context, bench *bench) func() {
	place := bench.running.Instances[2].RegionNumber
	_ = bench.running.CutRegion(place, link.Both)
	return func() { _ = bench.running.CutRegion(place, link.None) }
}

func platformDown(_ context.Context, bench *bench) func() {
	_ = bench.running.SetPlatformSwitches(platform.Switches{Down: true})
	return func() { _ = bench.running.SetPlatformSwitches(platform.Switches{}) }
}

// drainAndColdStart drains one upstream, and starts it again.
func drainAndColdStart(ctx context.Context, bench *bench) func() {
	leaving := bench.running.Instances[4]
	done := make(chan struct{})
	go func() {
		defer close(done)
		pause(ctx, 500*time.Millisecond)
		leaving.Upstream.Signal(syscall.SIGTERM)
		<-leaving.Upstream.Ended()
		_ = bench.running.StartUpstream(leaving)
	}()
	return func() { <-done }
}

// restartCrashed starts the upstreams that have crashed again, at the end.
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

// runScenarios prints a row for each scenario and policy.
func runScenarios(programs, name string, policies, only []string, length time.Duration) error {
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
			if err := bench.run(writer, scenario, policy, length); err != nil {
				return err
			}
		}
		_ = writer.Flush()
	}
	return nil
}

// pick puts a policy in force for all services.
func (bench *bench) pick(policy string) error {
	spec := fmt.Sprintf(`{"policy": %q, "defaultDeadline": "2s", "important": [{"method": "POST", "path": "/"}], "slowStart": "2s"}`, policy)
	status, object, err := bench.running.Apply(bench.running.Instances[0], "/profiles/bench", bench.version, spec)
	if err != nil || status >= 300 {
		return fmt.Errorf("profile: status %d: %w", status, err)
	}
	if bench.version == 0 {
		for _, service := range bench.running.Plan.Services {
			if status, _, err := bench.running.Apply(bench.running.Instances[0], "/services/"+service.Name, 0, `{"profile": "bench"}`); err != nil || status >= 300 {
				return fmt.Errorf("service: status %d: %w", status, err)
			}
		}
	}
	bench.version = object.Version
	return deployment.Await(readyTimeout, "policy in force", func() bool {
		return bench.running.AllHaveVersion("/profiles/bench", object.Version)
	})
}

func (bench *bench) run(writer *tabwriter.Writer, scenario scenario, policy string, length time.Duration) error {
	if err := bench.pick(policy); err != nil {
		return err
	}
	bench.round++
	plan := bench.running.Plan
	slots := float64(len(bench.running.Instances) * plan.Slots)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	end := scenario.disturb(ctx, bench)
	extraBefore, probesBefore := bench.sums()
	generator := &load.Generator{
		Rate: scenario.load * slots / serviceTime.Seconds(), Seed: 7, IDPrefix: fmt.Sprintf("b%d-", bench.round),
		NextRequest: bench.traffic(scenario),
	}
	report := generator.Run(length)
	extraAfter, probesAfter := bench.sums()
	cancel()
	end()
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

// sums adds up the extra attempts and the probes of all daemons.
func (bench *bench) sums() (extra, probes float64) {
	for _, instance := range bench.running.Instances {
		attempts, _ := instance.Metric(`ibislift_attempts_total{kind="extra"`)
		made, _ := instance.Metric("ibislift_probes_total")
		extra += attempts
		probes += made
	}
	return extra, probes
}

// traffic makes lookups and changes from all regions, a share of them skewed
// to the first.
func (bench *bench) traffic(scenario scenario) func(*rand.Rand, int) load.Request {
	instances := bench.running.Instances
	services := bench.running.Plan.Services
	var first []*deployment.Instance
	for _, instance := range instances {
		if instance.RegionNumber == instances[0].RegionNumber {
			first = append(first, instance)
		}
	}
	return func(random *rand.Rand, number int) load.Request {
		entries := instances
		if scenario.skew > 1 && random.Float64() < (scenario.skew-1)/float64(len(bench.running.Plan.Regions)-1) {
			entries = first
		}
		service := services[random.IntN(len(services))]
		request := load.Request{
			Address: entries[random.IntN(len(entries))].CallerAddress(), Service: service.Name, Class: "lookup",
			Method: "GET", Path: service.LookupPath, Deadline: lookupTime,
		}
		if scenario.name == "crash" && number == 200 {
			request.Path += "/poison"
			request.Header = map[string]string{upstream.CrashHeader: "1"}
		}
		if random.IntN(100) < changePercent {
			request.Class, request.Method, request.Path, request.Deadline = "change", "POST", service.ChangePath, changeTime
		}
		return request
	}
}

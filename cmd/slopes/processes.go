package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ibislift/standin/deployment"
	"ibislift/standin/load"
)

// Times and sizes of the runs with processes.
const (
	restTime  = 10 * time.Second
	watchTime = 15 * time.Second
	claimTime = 6 * time.Second
)

// targetsPerService are the sizes that are run, with four services.
var targetsPerService = []int{3, 6, 12, 24}

// start starts the Bureau's deployment with a number of targets a service.
func start(programs string, targets int) (*deployment.Running, func(), error) {
	plan, err := deployment.PlanByName("bureau")
	if err != nil {
		return nil, nil, err
	}
	plan.TargetsPerService = targets
	return plan.Launch(programs)
}

// measureProcesses prints what an idle daemon uses in fleets of several sizes.
func measureProcesses(programs string) error {
	fmt.Println("| daemons | % of a core | MB resident | MB live heap | bytes/s in and out, TCP payload | platform calls/s, fleet |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, targets := range targetsPerService {
		if err := measureIdle(programs, targets); err != nil {
			return err
		}
	}
	return nil
}

// use is what all daemons together have used so far.
type use struct {
	processor time.Duration
	resident  int64
	heap      float64
	traffic   int64
	calls     uint64
}

func useOf(running *deployment.Running) (use, error) {
	var total use
	for _, instance := range running.Instances {
		usage, err := instance.Daemon.Usage()
		if err != nil {
			return use{}, err
		}
		traffic, err := running.Traffic(instance)
		if err != nil {
			return use{}, err
		}
		total.processor += usage.CPUTime
		heap, err := instance.LiveHeap()
		if err != nil {
			return use{}, err
		}
		total.heap += heap
		total.resident += usage.ResidentBytes
		// What one daemon's connections carry is paid at both ends.
		total.traffic += 2 * (traffic.Out + traffic.In)
	}
	counts, err := running.PlatformCounts()
	total.calls = counts.Reads + counts.Writes
	return total, err
}

func measureIdle(programs string, targets int) error {
	running, stop, err := start(programs, targets)
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(restTime)
	before, err := useOf(running)
	if err != nil {
		return err
	}
	time.Sleep(watchTime)
	after, err := useOf(running)
	if err != nil {
		return err
	}
	count := float64(len(running.Instances))
	seconds := watchTime.Seconds()
	fmt.Printf("| %d | %.2f | %.1f | %.1f | %.0f | %.2f |\n", len(running.Instances),
		100*(after.processor-before.processor).Seconds()/seconds/count,
		float64(after.resident)/count/(1<<20), after.heap/count/(1<<20), float64(after.traffic-before.traffic)/seconds/count,
		float64(after.calls-before.calls)/seconds)
	return nil
}

// measureClaims prints the platform's writes against the rate of requests that
// need a claim.
func measureClaims(programs string) error {
	running, stop, err := start(programs, 6)
	if err != nil {
		return err
	}
	defer stop()
	fmt.Println("| claims/s | platform writes/s | writes per thousand claims | p50 | p99 |")
	fmt.Println("|---|---|---|---|---|")
	for round, rate := range []float64{50, 100, 200, 400, 800} {
		if err := measureRate(running, round, rate); err != nil {
			return err
		}
	}
	return nil
}

func measureRate(running *deployment.Running, round int, rate float64) error {
	before, err := running.PlatformCounts()
	if err != nil {
		return err
	}
	generator := &load.Generator{Rate: rate, Seed: uint64(round), IDPrefix: fmt.Sprintf("claims%d-", round), NextRequest: func(random *rand.Rand, number int) load.Request {
		service := running.Plan.Services[random.IntN(len(running.Plan.Services))]
		entry := running.Instances[random.IntN(len(running.Instances))]
		return load.Request{
			Address: entry.CallerAddress(), Service: service.Name, Class: "change", Method: "POST", Path: service.ChangePath,
			IdempotencyKey: fmt.Sprintf("%d-%d", round, number), Deadline: 2 * time.Second,
		}
	}}
	report := generator.Run(claimTime)
	after, err := running.PlatformCounts()
	if err != nil {
		return err
	}
	total := report.Total("")
	writes := float64(after.Writes-before.Writes) / report.Elapsed.Seconds()
	fmt.Printf("| %.0f | %.0f | %.0f | %s | %s |\n", rate, writes,
		1000*float64(after.Writes-before.Writes)/float64(max(1, total.Complete)), total.Percentile(50), total.Percentile(99))
	return nil
}

package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ibislift/standin/deployment"
	"ibislift/standin/load"
)

// Phases of the runs with processes.
const (
	settleTime   = 10 * time.Second
	measureTime  = 15 * time.Second
	claimRunTime = 6 * time.Second
)

// targetsPerService are the measured sizes of a deployment with four services.
var targetsPerService = []int{3, 6, 12, 24}

// startDeployment starts the bureau deployment with the given number of targets per
// service.
func startDeployment(programs string, targets int) (*deployment.Running, func(), error) {
	plan, err := deployment.PlanByName("bureau")
	if err != nil {
		return nil, nil, err
	}
	plan.TargetsPerService = targets
	return plan.Launch(programs)
}

// measureProcesses prints the resources that a daemon uses in idle fleets of
// several sizes.
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

// daemonUsage is the total of what all daemons use now (memory) and have used so
// far (CPU time, TCP payload, platform calls).
type daemonUsage struct {
	cpuTime       time.Duration
	residentBytes int64
	liveHeap      float64
	traffic       int64
	platformCalls uint64
}

func readDaemonUsage(running *deployment.Running) (daemonUsage, error) {
	var total daemonUsage
	for _, instance := range running.Instances {
		usage, err := instance.Daemon.Usage()
		if err != nil {
			return daemonUsage{}, err
		}
		traffic, err := running.Traffic(instance)
		if err != nil {
			return daemonUsage{}, err
		}
		total.cpuTime += usage.CPUTime
		heap, err := instance.LiveHeap()
		if err != nil {
			return daemonUsage{}, err
		}
		total.liveHeap += heap
		total.residentBytes += usage.ResidentBytes
		// Traffic covers only the connections that the daemon has opened. Each byte
		// counts twice, for the daemon that sends it and the one that receives it.
		total.traffic += 2 * (traffic.Out + traffic.In)
	}
	counts, err := running.PlatformCounts()
	total.platformCalls = counts.Reads + counts.Writes
	return total, err
}

func measureIdle(programs string, targets int) error {
	running, stop, err := startDeployment(programs, targets)
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(settleTime)
	before, err := readDaemonUsage(running)
	if err != nil {
		return err
	}
	time.Sleep(measureTime)
	after, err := readDaemonUsage(running)
	if err != nil {
		return err
	}
	count := float64(len(running.Instances))
	seconds := measureTime.Seconds()
	fmt.Printf("| %d | %.2f | %.1f | %.1f | %.0f | %.2f |\n", len(running.Instances),
		100*(after.cpuTime-before.cpuTime).Seconds()/seconds/count,
		float64(after.residentBytes)/count/(1<<20), after.liveHeap/count/(1<<20), float64(after.traffic-before.traffic)/seconds/count,
		float64(after.platformCalls-before.platformCalls)/seconds)
	return nil
}

// measureClaims prints the rate of platform writes and the latencies at several
// rates of requests that need a claim.
func measureClaims(programs string) error {
	running, stop, err := startDeployment(programs, 6)
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
		ingress := running.Instances[random.IntN(len(running.Instances))]
		return load.Request{
			Address: ingress.CallerAddress(), Service: service.Name, Class: "change", Method: "POST", Path: service.ChangePath,
			IdempotencyKey: fmt.Sprintf("%d-%d", round, number), Deadline: 2 * time.Second,
		}
	}}
	report := generator.Run(claimRunTime)
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

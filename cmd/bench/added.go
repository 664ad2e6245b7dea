package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"time"

	"ibislift/standin/deployment"
	"ibislift/standin/load"
)

// Parameters of the measurement of the added latency. addedObjective is the
// objective for the 99th percentile.
const (
	addedRounds    = 3
	addedDuration  = 4 * time.Second
	addedObjective = 330 * time.Microsecond
	addedSlots     = 200
)

// addedRates are the request rates in calls per second.
var addedRates = []float64{1000, 5000}

// runAdded measures the same upstream alternately directly and through the
// ingress and the gate.
func runAdded(programs, profile string) error {
	running, stop, err := deployment.Plan{
		Name: "added", Regions: []string{"east"}, Services: []deployment.Service{{Name: "echo", LookupPath: "/", ChangePath: "/"}},
		TargetsPerService: 2, Slots: addedSlots, FirstRegionNumber: 31, WritesPerSecond: 300, WithoutLinks: true,
	}.Launch(programs)
	if err != nil {
		return err
	}
	defer stop()
	ingress, gate := running.Instances[0], running.Instances[1]
	idle, err := ingress.Daemon.Usage()
	if err != nil {
		return err
	}
	// Without an upstream beside the ingress, every call takes both hops.
	ingress.Upstream.Kill()
	if err := deployment.Await(readyTimeout, "one target", func() bool { return running.CountTargets(ingress) == 1 }); err != nil {
		return err
	}
	if profile != "" {
		go saveProfile(ingress, profile)
	}
	worst := time.Duration(0)
	fmt.Println("| calls/s | direct p50 | through p50 | added p50 | direct p99 | through p99 | added p99 |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, rate := range addedRates {
		added, err := measureAdded(ingress, gate, rate)
		if err != nil {
			return err
		}
		worst = max(worst, added)
	}
	allocated, err := allocatedPerCall(ingress)
	if err != nil {
		return err
	}
	fmt.Printf("allocated by the ingress per call: %.1f KB; resident memory of an idle daemon: %.1f MB\n", allocated/1024, float64(idle.ResidentBytes)/(1<<20))
	fmt.Printf("added p99: %.2f ms (target %.2f)\n", float64(worst.Microseconds())/1000, float64(addedObjective.Microseconds())/1000)
	return nil
}

// saveProfile saves a CPU profile of the ingress under load.
func saveProfile(ingress *deployment.Instance, file string) {
	response, err := http.Get("http://" + ingress.OperatorAddress() + "/debug/pprof/profile?seconds=10")
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if text, err := io.ReadAll(response.Body); err == nil {
		_ = os.WriteFile(file, text, 0o600)
	}
}

// measureAdded prints a row with the medians over the rounds, and returns the
// latency that is added at the 99th percentile.
func measureAdded(ingress, gate *deployment.Instance, rate float64) (time.Duration, error) {
	var direct50, through50, direct99, through99 []time.Duration
	for round := range addedRounds {
		direct := runEcho(gate.UpstreamAddress(), rate, uint64(round))
		through := runEcho(ingress.CallerAddress(), rate, uint64(round))
		if direct.Complete == 0 || through.Complete == 0 {
			return 0, fmt.Errorf("no complete responses: direct %d, through the daemons %d", direct.Complete, through.Complete)
		}
		direct50 = append(direct50, direct.Percentile(50))
		through50 = append(through50, through.Percentile(50))
		direct99 = append(direct99, direct.Percentile(99))
		through99 = append(through99, through.Percentile(99))
	}
	added99 := median(through99) - median(direct99)
	fmt.Printf("| %.0f | %s | %s | %s | %s | %s | %s |\n", rate, median(direct50), median(through50),
		median(through50)-median(direct50), median(direct99), median(through99), added99)
	return added99, nil
}

func median(values []time.Duration) time.Duration {
	slices.Sort(values)
	return values[len(values)/2]
}

// runEcho sends echo requests to an address and returns the totals of the run.
func runEcho(address string, rate float64, seed uint64) *load.Row {
	generator := &load.Generator{Rate: rate, Seed: seed, NextRequest: func(*rand.Rand, int) load.Request {
		return load.Request{Address: address, Service: "echo", Class: "echo", Method: "GET", Path: "/", Deadline: time.Second}
	}}
	return generator.Run(addedDuration).Total("")
}

// allocatedPerCall returns the bytes of memory that the ingress allocates for
// one call.
func allocatedPerCall(ingress *deployment.Instance) (float64, error) {
	before, err := ingress.Metric("go_memstats_alloc_bytes_total")
	if err != nil {
		return 0, err
	}
	row := runEcho(ingress.CallerAddress(), addedRates[0], 9)
	after, err := ingress.Metric("go_memstats_alloc_bytes_total")
	return (after - before) / float64(max(1, row.Requests)), err
}

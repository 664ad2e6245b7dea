package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ibislift/core/profile"
	"ibislift/standin/deployment"
	"ibislift/standin/load"
)

// Bounds of the checks.
const (
	changeInterval = 1500 * time.Millisecond
	lookInterval   = 200 * time.Millisecond
	// inForceTime is the users' target for a change of the configuration.
	inForceTime = 4 * time.Second
	profilePath = "/profiles/soak"
)

// audit compares what callers were told with what upstreams ran.
func (trial *trial) audit(report *load.Report) {
	runs, err := trial.running.RunCounts()
	if err != nil {
		trial.violate("the ledger cannot be read: %v", err)
		return
	}
	for _, finding := range report.Findings(runs) {
		trial.violate("%s", finding)
	}
}

// seen is the highest version that an incarnation of a daemon has shown.
type seen struct {
	started time.Time
	version uint64
}

// watch changes a profile again and again and looks at what daemons have in
// force, until the returned function is called.
func (trial *trial) watch() (stop func()) {
	var ending sync.WaitGroup
	var over atomic.Bool
	var accepted atomic.Uint64
	ending.Go(func() {
		for version := uint64(0); !over.Load(); time.Sleep(changeInterval) {
			version = trial.change(version)
			accepted.Store(max(accepted.Load(), version))
		}
	})
	ending.Go(func() {
		known := map[string]seen{}
		for !over.Load() {
			for _, instance := range trial.running.Instances {
				trial.look(instance, known)
			}
			time.Sleep(lookInterval)
		}
	})
	return func() {
		over.Store(true)
		ending.Wait()
		if err := trial.running.AwaitReady(recoveryTime); err != nil {
			return // the recovery says so
		}
		wanted := accepted.Load()
		err := deployment.Await(inForceTime, "the last accepted change in force everywhere", func() bool {
			return trial.running.AllHaveVersion(profilePath, wanted)
		})
		if err != nil && !trial.soak.safety {
			trial.violate("%v (version %d)", err, wanted)
		}
	}
}

// change writes the profile through a daemon that is not harmed, and returns
// the version that was accepted last.
func (trial *trial) change(version uint64) uint64 {
	for number, instance := range trial.running.Instances {
		if !trial.isWell(instance) {
			continue
		}
		spec := fmt.Sprintf(`{"queueBound": %d}`, 32+version%32)
		status, object, err := trial.running.Apply(instance, profilePath, version, spec)
		switch {
		case err != nil || number > 3:
			return version
		case status == http.StatusOK || status == http.StatusCreated:
			return object.Version
		case status == http.StatusPreconditionFailed || status == http.StatusConflict:
			// A change in doubt has been made after all.
			return max(version, object.Version)
		}
	}
	return version
}

func (trial *trial) isWell(instance *deployment.Instance) bool {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	return !trial.harmed["daemon "+instance.Name]
}

// look checks that a daemon's version of the profile never goes back within
// one incarnation.
func (trial *trial) look(instance *deployment.Instance, known map[string]seen) {
	if !trial.isWell(instance) {
		return
	}
	status, err := trial.running.Status(instance)
	if err != nil || !status.Ready {
		return
	}
	version := uint64(0)
	for _, object := range status.Versions {
		if object.Name == "soak" {
			version = object.Version
		}
	}
	before := known[instance.Name]
	if before.started.Equal(status.StartedAt) && version < before.version {
		trial.violate("%s went back from version %d to %d", instance.Name, before.version, version)
	}
	known[instance.Name] = seen{started: status.StartedAt, version: version}
}

// stopCutsNothing stops a daemon gracefully under load, with connections that
// callers keep until they are closed, and checks that no answer is cut.
func (trial *trial) stopCutsNothing() {
	number := len(trial.running.Instances) - 1
	leaving := trial.running.Instances[number]
	generator := &load.Generator{
		Rate: callRate, Seed: uint64(trial.seed) + 1, IDPrefix: fmt.Sprintf("t%d-", trial.seed),
		NextRequest: trial.pickFor(leaving), NeverResend: func(load.Request) bool { return true },
		Actions: []load.Action{{After: calmTime / 4, Do: func() {
			trial.note("daemon %s stopped gracefully, nothing else", leaving.Name)
			leaving.Daemon.Signal(syscall.SIGTERM)
		}}},
	}
	report := generator.Run(calmTime)
	runs, err := trial.running.RunCounts()
	if err != nil {
		trial.violate("the ledger cannot be read: %v", err)
		return
	}
	for _, name := range report.RunButBroken(runs) {
		trial.violate("the answer to %s was cut by a graceful stop of %s", name, leaving.Name)
	}
	for _, finding := range report.Findings(runs) {
		trial.violate("%s", finding)
	}
}

// pickFor draws requests that all go through one daemon.
func (trial *trial) pickFor(entry *deployment.Instance) func(*rand.Rand, int) load.Request {
	return func(random *rand.Rand, number int) load.Request {
		request := trial.pick(random, number)
		request.Address, request.IdempotencyKey, request.ResendAddresses = entry.CallerAddress(), "", nil
		return request
	}
}

// budgets checks what daemons say of their extra attempts and probes.
func (trial *trial) budgets() {
	rules := profile.Default()
	for _, instance := range trial.running.Instances {
		metrics, err := scrape("http://" + instance.OperatorAddress() + "/metrics")
		if err != nil {
			continue // the one that was stopped
		}
		for _, service := range trial.running.Plan.Services {
			requests := metrics.sum("ibislift_answers_total", `service="`+service.Name+`"`)
			extra := metrics.sum("ibislift_budget_attempts_total", `service="`+service.Name+`"`, `kind="retry"`, `result="taken"`)
			if most := rules.RetryBudget.Ratio*requests + float64(rules.RetryBudget.Burst); extra > most {
				trial.violate("%s made %.0f retries for %.0f requests of %s, at most %.1f are allowed", instance.Name, extra, requests, service.Name, most)
			}
		}
	}
}

// scraped are lines of metrics.
type scraped []string

func scrape(url string) (scraped, error) {
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Get(url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var lines scraped
	for scanner := bufio.NewScanner(response.Body); scanner.Scan(); {
		lines = append(lines, scanner.Text())
	}
	return lines, nil
}

// sum adds up the values of a metric whose lines have all the labels.
func (lines scraped) sum(name string, labels ...string) float64 {
	total := 0.0
next:
	for _, line := range lines {
		if !strings.HasPrefix(line, name+"{") {
			continue
		}
		for _, label := range labels {
			if !strings.Contains(line, label) {
				continue next
			}
		}
		value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		if err == nil {
			total += value
		}
	}
	return total
}

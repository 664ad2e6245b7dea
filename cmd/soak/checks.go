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

// Intervals and limits of the checks.
const (
	changeInterval = 1500 * time.Millisecond
	pollInterval   = 200 * time.Millisecond
	// inForceTimeout is the users' target for how soon an accepted change of the
	// configuration is in force on all daemons.
	inForceTimeout = 4 * time.Second
	profilePath    = "/profiles/soak"
)

// audit compares the responses that callers received with the requests that the
// upstreams have run.
func (trial *trial) audit(reports ...*load.Report) {
	runs, err := trial.running.RunCounts()
	if err != nil {
		trial.recordViolation("the ledger cannot be read: %v", err)
		return
	}
	for _, report := range reports {
		for _, finding := range report.Findings(runs) {
			trial.recordViolation("%s", finding)
		}
	}
}

// observation is the version of the profile that a daemon last had in force. The
// start time tells the incarnations of the daemon apart.
type observation struct {
	startedAt time.Time
	version   uint64
}

// watchConfiguration starts to change a profile at intervals and to check which
// version each daemon has in force. The returned function stops both, and then
// checks that all daemons have the last accepted version in force in time.
func (trial *trial) watchConfiguration() (stop func()) {
	var waitGroup sync.WaitGroup
	var stopped atomic.Bool
	var accepted atomic.Uint64
	waitGroup.Go(func() {
		for version := uint64(0); !stopped.Load(); time.Sleep(changeInterval) {
			version = trial.changeProfile(version)
			accepted.Store(max(accepted.Load(), version))
		}
	})
	waitGroup.Go(func() {
		observed := map[string]observation{}
		for !stopped.Load() {
			for _, instance := range trial.running.Instances {
				trial.checkVersion(instance, observed)
			}
			time.Sleep(pollInterval)
		}
	})
	return func() {
		stopped.Store(true)
		waitGroup.Wait()
		if err := trial.running.AwaitReady(recoveryTimeout); err != nil {
			return // run reports a missing recovery itself
		}
		lastAccepted := accepted.Load()
		err := deployment.Await(inForceTimeout, "the last accepted change in force everywhere", func() bool {
			return trial.running.AllHaveVersion(profilePath, lastAccepted)
		})
		if err != nil && !trial.soak.safety {
			trial.recordViolation("%v (version %d)", err, lastAccepted)
		}
	}
}

// changeProfile writes the profile through the first daemon without a fault. It
// returns the version accepted last, which stays the given one if the write is not
// accepted. After a conflict it is the current version, so that the next write can
// be accepted.
func (trial *trial) changeProfile(version uint64) uint64 {
	for _, instance := range trial.running.Instances {
		if !trial.isFaultFree(instance) {
			continue
		}
		spec := fmt.Sprintf(`{"queueBound": %d}`, 32+version%32)
		status, object, err := trial.running.Apply(instance, profilePath, version, spec)
		switch {
		case err != nil:
			return version
		case status == http.StatusOK || status == http.StatusCreated:
			return object.Version
		case status == http.StatusConflict:
			// An earlier write whose outcome was unknown has taken effect.
			return max(version, object.Version)
		}
	}
	return version
}

func (trial *trial) isFaultFree(instance *deployment.Instance) bool {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	return !trial.faulty["daemon "+instance.Name]
}

// checkVersion checks that a daemon's version of the profile never goes back
// within one incarnation.
func (trial *trial) checkVersion(instance *deployment.Instance, observed map[string]observation) {
	if !trial.isFaultFree(instance) {
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
	previous := observed[instance.Name]
	if previous.startedAt.Equal(status.StartedAt) && version < previous.version {
		trial.recordViolation("%s went back from version %d to %d", instance.Name, previous.version, version)
	}
	observed[instance.Name] = observation{startedAt: status.StartedAt, version: version}
}

// checkGracefulStop stops a daemon gracefully under load and checks that no
// response is cut. Callers keep their connections open until the daemon closes
// them. Then it starts the daemon again.
func (trial *trial) checkGracefulStop() {
	number := len(trial.running.Instances) - 1
	stopping := trial.running.Instances[number]
	generator := &load.Generator{
		Rate: requestRate, Seed: uint64(trial.seed) + 1, IDPrefix: fmt.Sprintf("t%d-", trial.seed),
		NextRequest: trial.nextRequestThrough(stopping), NeverResend: func(load.Request) bool { return true },
		Actions: []load.Action{{After: finalLoadTime / 4, Do: func() {
			trial.recordEvent("daemon %s stopped gracefully, nothing else", stopping.Name)
			stopping.Daemon.Signal(syscall.SIGTERM)
		}}},
	}
	defer func() {
		trial.awaitEnd(stopping)
		trial.startAgain(stopping)
		trial.awaitRecovery("a graceful stop")
	}()
	report := generator.Run(finalLoadTime)
	runs, err := trial.running.RunCounts()
	if err != nil {
		trial.recordViolation("the ledger cannot be read: %v", err)
		return
	}
	for _, name := range report.RunButBroken(runs) {
		trial.recordViolation("the response to %s was cut by a graceful stop of %s", name, stopping.Name)
	}
	for _, finding := range report.Findings(runs) {
		trial.recordViolation("%s", finding)
	}
}

// nextRequestThrough returns a function that generates requests to one daemon,
// without idempotency keys and resends.
func (trial *trial) nextRequestThrough(ingress *deployment.Instance) func(*rand.Rand, int) load.Request {
	return func(random *rand.Rand, number int) load.Request {
		request := trial.nextRequest(random, number)
		request.Address, request.IdempotencyKey, request.ResendAddresses = ingress.CallerAddress(), "", nil
		return request
	}
}

// checkRetryBudgets checks, from the metrics of each daemon, that its retries stay
// within the retry budget of each service.
func (trial *trial) checkRetryBudgets() {
	defaults := profile.Default()
	for _, instance := range trial.running.Instances {
		metrics, err := scrapeMetrics("http://" + instance.OperatorAddress() + "/metrics")
		if err != nil {
			if !trial.soak.safety {
				trial.recordViolation("the metrics of %s cannot be read: %v", instance.Name, err)
			}
			continue
		}
		for _, service := range trial.running.Plan.Services {
			requests := metrics.sum("ibislift_answers_total", `service="`+service.Name+`"`)
			retries := metrics.sum("ibislift_budget_attempts_total", `service="`+service.Name+`"`, `kind="retry"`, `result="taken"`)
			if allowed := defaults.RetryBudget.Ratio*requests + float64(defaults.RetryBudget.Burst); retries > allowed {
				trial.recordViolation("%s made %.0f retries for %.0f requests of %s, at most %.1f are allowed", instance.Name, retries, requests, service.Name, allowed)
			}
		}
	}
}

// metricLines holds the lines of a daemon's metrics in the Prometheus text format.
type metricLines []string

func scrapeMetrics(url string) (metricLines, error) {
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Get(url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var lines metricLines
	for scanner := bufio.NewScanner(response.Body); scanner.Scan(); {
		lines = append(lines, scanner.Text())
	}
	return lines, nil
}

// sum returns the sum of a metric over all lines that have the given labels.
func (lines metricLines) sum(name string, labels ...string) float64 {
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

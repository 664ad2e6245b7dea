package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"ibislift/standin/deployment"
	"ibislift/standin/load"
)

// The quota of a workspace in the trials whose callers have API keys.
const (
	quotaKey   = "limited-key"
	quotaRate  = 20.0
	quotaBurst = 10.0
	// quotaDemand is what the callers of the workspace send in a second, through all
	// daemons. Two owners that grant the whole rate for as long as a fault lasts exceed
	// the bound.
	quotaDemand    = 60
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20.0
	// quotaPrefix begins the IDs of the requests of the workspace.
	quotaPrefix = "q"
	// quotaSettleTime is how long there have been no faults before the workspace must be
	// served: owners of quotas that have ended are replaced within 1.2 s, and restarted
	// daemons lend no vote for as long.
	quotaSettleTime = 3 * time.Second
	quotaServedTime = 4 * time.Second
	// minQuotaServed is the part of its rate that the workspace must get without faults.
	minQuotaServed = 0.5
)

// quotaFlags returns the flags of daemons that concern quotas.
func quotaFlags() []string {
	return []string{"--quota-window", quotaWindow.String(), "--quota-overshoot", fmt.Sprint(quotaOvershoot), "--quota-slack", fmt.Sprint(quotaSlack)}
}

// quotaBound returns how many requests of the workspace may run in a window.
func quotaBound() float64 {
	return (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOvershoot) + quotaSlack
}

// sendOverQuota sends more requests of the workspace than its quota allows, and returns
// how many were answered. The name tells the loads of a trial apart.
func (trial *trial) sendOverQuota(name string, length time.Duration) int {
	if !trial.usesKeys() {
		return 0
	}
	generator := &load.Generator{
		Rate: quotaDemand, Seed: uint64(trial.seed) + 2, IDPrefix: fmt.Sprintf("%s%s%d-", quotaPrefix, name, trial.seed),
		NextRequest: trial.nextLimitedRequest,
	}
	report := generator.Run(length)
	trial.reports = append(trial.reports, report)
	return report.Total("").Complete
}

// nextLimitedRequest generates a request of the workspace that has a quota. It has no
// idempotency key, so that the load costs the platform no claims.
func (trial *trial) nextLimitedRequest(random *rand.Rand, number int) load.Request {
	request := trial.nextRequest(random, number)
	request.IdempotencyKey, request.ResendAddresses, request.Header = "", nil, authorization(quotaKey)
	return request
}

// checkQuotaServed checks that the workspace is served again some seconds after the faults.
func (trial *trial) checkQuotaServed() {
	if !trial.usesKeys() || trial.soak.safety {
		return
	}
	trial.sendOverQuota("s", quotaSettleTime)
	served := trial.sendOverQuota("c", quotaServedTime)
	trial.recordFigure("quota: %d served in %s", served, quotaServedTime)
	if breach := servedBreach(served, quotaServedTime); breach != "" {
		trial.recordViolation("%s", breach)
	}
}

// servedBreach returns how the workspace got too little in a time without faults, or an
// empty string.
func servedBreach(served int, length time.Duration) string {
	if wanted := minQuotaServed * quotaRate * length.Seconds(); float64(served) < wanted {
		return fmt.Sprintf("the limited workspace was served %d requests in %s without faults, at least %.0f are required", served, length, wanted)
	}
	return ""
}

// checkQuota checks that the upstreams have together not run more requests of the
// workspace than its quota allows.
func (trial *trial) checkQuota() {
	if !trial.usesKeys() {
		return
	}
	ledger, err := trial.running.ReadLedger()
	if err != nil {
		trial.recordViolation("the ledger cannot be read: %v", err)
		return
	}
	most, breach := quotaBreach(ledger)
	trial.recordFigure("quota: at most %d in %s, %.0f allowed", most, quotaWindow, quotaBound())
	if breach != "" {
		trial.recordViolation("%s", breach)
	}
}

// quotaBreach returns the largest number of the workspace's requests that the upstreams
// have run in a window, and how that exceeds the quota, or an empty string.
func quotaBreach(ledger deployment.Ledger) (int, string) {
	var times []time.Time
	for _, run := range ledger.Runs {
		if strings.HasPrefix(run.AttemptID, quotaPrefix) {
			times = append(times, run.At)
		}
	}
	most, from := mostWithin(times, quotaWindow)
	if float64(most) <= quotaBound() {
		return most, ""
	}
	return most, fmt.Sprintf("upstreams ran %d requests of the limited workspace in the %s from %s on, %.0f are allowed",
		most, quotaWindow, from.Format("15:04:05.000"), quotaBound())
}

// mostWithin returns the largest number of times in any window of a length, and when that
// window begins. The end of a window is not part of it.
func mostWithin(times []time.Time, window time.Duration) (most int, from time.Time) {
	times = slices.SortedFunc(slices.Values(times), time.Time.Compare)
	begin := 0
	for end, at := range times {
		for at.Sub(times[begin]) >= window {
			begin++
		}
		if count := end - begin + 1; count > most {
			most, from = count, times[begin]
		}
	}
	return most, from
}

package main

import (
	"fmt"
	"slices"
	"time"

	"ibislift/core/routes"
	"ibislift/standin/deployment"
)

// The warm-up of a service in the trials whose route table has workspaces.
const (
	// coldRate is well below what each target of the service gets while it is warm.
	coldRate      = 4.0
	coldOvershoot = 1.5
	coldSlack     = 8.0
	coldTime      = 3 * time.Second
	// coldBound is how many requests and health probes a cold target may get in a second.
	coldBound = coldRate*coldOvershoot + coldSlack
	// All targets of the service are restarted together, since a cold target gets hardly
	// any request while others are warm.
	coldStart = 1500 * time.Millisecond
	coldPause = 4500 * time.Millisecond
)

// coldFlags returns the flags of daemons that concern cold targets.
func coldFlags() []string {
	return []string{"--warmup-overshoot", fmt.Sprint(coldOvershoot), "--warmup-slack", fmt.Sprint(coldSlack)}
}

// coldTime returns how long upstreams say that they are cold after they were started again.
func (trial *trial) coldTime() time.Duration {
	if trial.usesKeys() {
		return coldTime
	}
	return 0
}

// coldService returns the name of the service whose cold targets take only the warm-up rate.
func (trial *trial) coldService() string { return trial.running.Plan.Services[1].Name }

func (trial *trial) coldServices() map[string]routes.Service {
	return map[string]routes.Service{trial.coldService(): {WarmupRate: coldRate, WarmupTime: coldTime}}
}

// restartService restarts all upstreams of the service that have no fault, again and again
// until the load ends. Further faults may follow while they are cold.
func (trial *trial) restartService() {
	if !trial.usesKeys() {
		return
	}
	end := time.Now().Add(trial.soak.length + finalLoadTime)
	for wait := coldStart; time.Until(end) > wait+coldTime; wait = coldPause {
		time.Sleep(wait)
		for _, instance := range trial.running.Instances {
			if instance.Service == trial.coldService() && trial.reserve("upstream "+instance.Name) {
				trial.replaceUpstream(instance)
				trial.release("upstream " + instance.Name)
			}
		}
	}
}

// checkColdTargets checks what cold targets got, as they have recorded it themselves.
func (trial *trial) checkColdTargets() {
	if !trial.usesKeys() {
		return
	}
	ledger, err := trial.running.ReadLedger()
	if err != nil {
		trial.recordViolation("the ledger cannot be read: %v", err)
		return
	}
	var names []string
	most := 0
	for _, instance := range trial.running.Instances {
		if instance.Service == trial.coldService() {
			names = append(names, instance.Name)
			most = max(most, ledger.MostInASecond[instance.Name])
		}
	}
	trial.recordFigure("cold: at most %d in 1s, %.0f allowed", most, coldBound)
	for _, breach := range coldBreaches(ledger, names) {
		trial.recordViolation("%s", breach)
	}
}

// coldBreaches returns which of the named targets got more in a second than they may while
// they were cold.
func coldBreaches(ledger deployment.Ledger, names []string) []string {
	var breaches []string
	for name, most := range ledger.MostInASecond {
		if slices.Contains(names, name) && float64(most) > coldBound {
			breaches = append(breaches, fmt.Sprintf("upstream %s was cold and got %d requests in a second, %.0f are allowed", name, most, coldBound))
		}
	}
	slices.Sort(breaches)
	return breaches
}

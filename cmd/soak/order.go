package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"ibislift/core/routes"
	"ibislift/standin/deployment"
	"ibislift/standin/load"
)

// The time in which the upstreams of a service are slow and two workspaces of different
// rank ask for more than their capacity.
const (
	urgentName  = "urgent"
	patientName = "patient"
	// orderSlowFactor leaves 6 upstreams of 8 slots 64 requests a second at 5 ms.
	orderSlowFactor = 150
	// The urgent workspace alone asks for more than that, so that a strict order by rank
	// starves the patient one.
	urgentDemand  = 120
	patientDemand = 40
	orderDeadline = 3 * time.Second
	orderTime     = 6 * time.Second
	// maxRankLoss is how much less often the more urgent workspace may be served, and
	// minServedShare how often, as a part of how often all are, each must be.
	maxRankLoss    = 0.05
	minServedShare = 0.25
	// maxScarceServed is the part of all requests above which capacity was not scarce.
	maxScarceServed = 0.95
)

// rankedWorkspaces returns the two workspaces of different rank. Their keys are their names.
func rankedWorkspaces() []routes.Workspace {
	var workspaces []routes.Workspace
	for number, name := range []string{urgentName, patientName} {
		rank := number + 1
		workspaces = append(workspaces, routes.Workspace{Name: name, Keys: []routes.KeyDigest{routes.DigestKey(name)}, Rank: &rank})
	}
	return workspaces
}

// checkOrder checks whom a service serves while its capacity is scarce and nothing else is
// wrong.
func (trial *trial) checkOrder() {
	if !trial.usesKeys() || trial.soak.safety {
		return
	}
	service := trial.running.Plan.Services[0]
	instances := slices.DeleteFunc(slices.Clone(trial.running.Instances), func(instance *deployment.Instance) bool { return instance.Service != service.Name })
	trial.slowUpstreams(instances, orderSlowFactor)
	generator := &load.Generator{
		Rate: urgentDemand + patientDemand, Seed: uint64(trial.seed) + 3, IDPrefix: fmt.Sprintf("o%d-", trial.seed),
		NextRequest: func(random *rand.Rand, _ int) load.Request {
			name := urgentName
			if random.IntN(urgentDemand+patientDemand) < patientDemand {
				name = patientName
			}
			ingress := trial.running.Instances[random.IntN(len(trial.running.Instances))]
			return load.Request{
				Address: ingress.CallerAddress(), Service: service.Name, Class: name, Method: http.MethodGet, Path: service.LookupPath,
				Deadline: orderDeadline, Header: authorization(name),
			}
		},
	}
	report := generator.Run(orderTime)
	trial.slowUpstreams(instances, 1)
	trial.reports = append(trial.reports, report)
	urgent, patient := servedOf(report, urgentName), servedOf(report, patientName)
	trial.recordFigure("scarce: served %s urgent, %s patient", urgent, patient)
	for _, breach := range orderBreaches(urgent, patient) {
		trial.recordViolation("%s", breach)
	}
}

// served is how many requests of a workspace were sent and answered.
type served struct {
	requests int
	complete int
}

func servedOf(report *load.Report, workspace string) served {
	row := report.Total(workspace)
	return served{requests: row.Requests, complete: row.Complete}
}

func (served served) fraction() float64 {
	return float64(served.complete) / float64(max(1, served.requests))
}

func (served served) String() string {
	return fmt.Sprintf("%d/%d (%.2f)", served.complete, served.requests, served.fraction())
}

// orderBreaches returns which promises of the order of queues were broken. A time in which
// all or none are served would show nothing.
func orderBreaches(urgent, patient served) []string {
	all := served{requests: urgent.requests + patient.requests, complete: urgent.complete + patient.complete}
	var breaches []string
	if all.complete == 0 || all.fraction() > maxScarceServed {
		breaches = append(breaches, fmt.Sprintf("capacity was not scarce, or there was none: %s of all were served", all))
	}
	if urgent.fraction() < patient.fraction()-maxRankLoss {
		breaches = append(breaches, fmt.Sprintf("the urgent workspace was served %s and the patient one %s", urgent, patient))
	}
	for name, served := range map[string]served{urgentName: urgent, patientName: patient} {
		if served.fraction() < minServedShare*all.fraction() {
			breaches = append(breaches, fmt.Sprintf("the %s workspace was served %s and all %s", name, served, all))
		}
	}
	slices.Sort(breaches)
	return breaches
}

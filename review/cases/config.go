package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"ibislift/review/kit"
)

// The bounds of the rule and the limits of the disruption.
const (
	applyTime   = 2500 * time.Millisecond // config-apply-s
	stableTime  = 4 * time.Second         // stable-s
	silentTime  = 9 * time.Second
	silentShare = 0.35
	machines    = 18
	// observedTime is how long requests are sent after the change.
	observedTime    = 35 * time.Second
	requestInterval = 250 * time.Millisecond
)

var errTooManyWatchers = errors.New("the machines that watch are more than the share that may be turned away")

// configTable returns a version in which the route leads to a service.
func configTable(version int, service string) kit.Config {
	return kit.Config{
		Version: version, Services: []string{"old", "new"},
		Routes: []kit.Route{{Name: "r-desk", Host: "desk.example", Prefix: "/desk/", Type: "idempotent", Service: service, Timeout: 1.5, Objective: 0.4}},
	}
}

func init() { cases["config"] = playConfig }

// playConfig lets the store be silent to the machines that watch it, and moves a route
// to another service meanwhile.
func playConfig(environment *environment) ([]string, error) {
	environment.configure(configTable(1, "old"))
	for index := range machines {
		zone := kit.Zones()[index%len(kit.Zones())]
		service := []string{"old", "new"}[index/len(kit.Zones())%2]
		node := fmt.Sprintf("%s-%d", zone, index/len(kit.Zones())+1)
		if _, err := environment.addTarget(node, zone, service, &kit.Target{Slots: 13, Work: 10 * time.Millisecond}); err != nil {
			return nil, err
		}
	}
	if err := environment.fleet.AwaitReady(environment.fleet.Machines, readyTimeout); err != nil {
		return nil, err
	}
	time.Sleep(12 * time.Second)
	environment.configure(configTable(2, "old"))
	time.Sleep(time.Second)
	watching := environment.store.Watching()
	environment.record.Line("%d of %d machines watch the store: %s", len(watching), machines, strings.Join(watching, " "))
	if float64(len(watching)) > silentShare*machines {
		return nil, errTooManyWatchers
	}
	silentUntil := environment.record.Seconds()
	if environment.trouble {
		environment.silence(watching)
		silentUntil += silentTime.Seconds()
	}
	time.Sleep(time.Second)
	environment.configure(configTable(3, "new"))
	changedAt := environment.record.Seconds()
	answers := environment.sendToAll(watching, observedTime)
	boundFrom := max(changedAt+applyTime.Seconds(), silentUntil+stableTime.Seconds())
	return environment.checkService(answers, boundFrom), nil
}

// silence makes the store silent to machines for silentTime.
func (environment *environment) silence(nodes []string) {
	environment.record.Line("trouble: the store is silent to %s for %s", strings.Join(nodes, " "), silentTime)
	for _, node := range nodes {
		environment.store.Silence(node, true)
	}
	time.AfterFunc(silentTime, func() {
		for _, node := range nodes {
			environment.store.Silence(node, false)
		}
		environment.record.Line("trouble: the store answers all machines again")
	})
}

// sentAnswer is the answer to a request with the machine that took it.
type sentAnswer struct {
	kit.Answer
	node string
}

// sendToAll sends requests to all machines but the given ones for a time, and returns
// the answers.
func (environment *environment) sendToAll(except []string, duration time.Duration) []sentAnswer {
	var mutex sync.Mutex
	var answers []sentAnswer
	var group sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(requestInterval) {
		for _, machine := range environment.fleet.Machines {
			if slices.Contains(except, machine.Node) {
				continue
			}
			id := environment.consumer.NextID()
			group.Go(func() {
				answer := environment.consumer.Send(machine, id, kit.Request{Method: "GET", Host: "desk.example", Path: "/desk/" + id, Budget: 2 * time.Second})
				mutex.Lock()
				defer mutex.Unlock()
				answers = append(answers, sentAnswer{answer, machine.Node})
			})
		}
	}
	group.Wait()
	return answers
}

// checkService returns the requests that were sent after boundFrom and run by the service
// to which only the older versions lead.
func (environment *environment) checkService(answers []sentAnswer, boundFrom float64) []string {
	sentAt := map[string]float64{}
	for _, answer := range answers {
		sentAt[answer.ID] = answer.SentAt
	}
	environment.record.Line("check: requests sent later than %.3f may run at the service \"new\" only", boundFrom)
	var violations []string
	for _, run := range environment.recordedRuns() {
		if run.Service == "old" && sentAt[run.ID] > boundFrom {
			violations = append(violations, fmt.Sprintf("%s, sent at %.3f, was run by %s of the service \"old\"", run.ID, sentAt[run.ID], run.Target))
		}
	}
	return violations
}

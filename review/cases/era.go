package main

import (
	"fmt"
	"os"
	"time"

	"ibislift/review/kit"
)

// The figures of the drill: how old the copy is, and how long the store is away.
const (
	changesApart  = 2 * time.Second
	untilDrill    = 4 * time.Second
	awayTime      = time.Second
	untilRewrite  = 2 * time.Second
	untilEnd      = 8 * time.Second
	rollbackSlack = 0.25
)

func init() { cases["era"] = playEra }

// playEra lets the store come back from a copy that lacks the last two versions. The
// operator then writes both again, in their order.
func playEra(environment *environment) ([]string, error) {
	environment.configure(configTable(1, "old"))
	for index, zone := range kit.Zones() {
		service := []string{"old", "new"}[index%2]
		if _, err := environment.addTarget(zone+"-1", zone, service, &kit.Target{Slots: 13, Work: 10 * time.Millisecond}); err != nil {
			return nil, err
		}
	}
	if err := environment.fleet.AwaitReady(environment.fleet.Machines, readyTimeout); err != nil {
		return nil, err
	}
	time.Sleep(10 * time.Second)
	before := environment.store.Copy()
	go func() {
		environment.configure(configTable(5, "old"))
		time.Sleep(changesApart)
		environment.configure(configTable(9, "new"))
		time.Sleep(untilDrill)
		if environment.trouble {
			environment.drill(before)
		}
	}()
	answers := environment.sendToAll(nil, changesApart+untilDrill+awayTime+untilRewrite+changesApart+untilEnd)
	return environment.checkRegress(answers), nil
}

// drill takes the store away and brings it back from a copy. The operator writes again what
// is missing or, with TROUBLE=last, the last version only.
func (environment *environment) drill(from kit.Copy) {
	environment.record.Line("trouble: the store is away for %s", awayTime)
	environment.store.GoAway()
	time.Sleep(awayTime)
	environment.store.Return(from)
	environment.record.Line("trouble: the store is back from a copy with r1, in the next era")
	time.Sleep(untilRewrite)
	if os.Getenv("TROUBLE") != "last" {
		environment.configure(configTable(5, "old"))
		time.Sleep(changesApart)
	}
	environment.configure(configTable(9, "new"))
}

// checkRegress returns the requests that a machine has handled as only the older versions
// allow, after a target saw the effect of the newest through the same machine.
func (environment *environment) checkRegress(answers []sentAnswer) []string {
	requests := map[string]sentAnswer{}
	for _, answer := range answers {
		requests[answer.ID] = answer
	}
	seenAt := map[string]float64{}
	var violations []string
	for _, run := range environment.recordedRuns() {
		request := requests[run.ID]
		first, seen := seenAt[request.node]
		switch {
		case run.Service == "new" && !seen:
			seenAt[request.node] = run.At
		case run.Service == "old" && seen && request.SentAt > first+rollbackSlack:
			violations = append(violations, fmt.Sprintf("%s, sent at %.3f to %s, was run by %s of the service \"old\"; r9 was in force there at %.3f",
				run.ID, request.SentAt, request.node, run.Target, first))
		}
	}
	return violations
}

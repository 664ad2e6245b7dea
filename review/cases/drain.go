package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"ibislift/review/kit"
)

const (
	drainTime = 2500 * time.Millisecond // drain-s
	// serveOnTime is how long the target serves on after it has left.
	serveOnTime = 12 * time.Second
	// lateBy is how late the last check-in of the target arrives.
	lateBy       = 2500 * time.Millisecond
	restartAfter = 500 * time.Millisecond
)

var errNoAck = errors.New("the departure was not acknowledged")

// sentRequest is a request with the machine that took it.
type sentRequest struct {
	machine *kit.Machine
	at      float64
}

func init() { cases["drain"] = playDrain }

// playDrain lets a target leave, kills the daemon beside it after its acknowledgement, and
// delivers a check-in late that the target has sent before it left.
func playDrain(environment *environment) ([]string, error) {
	environment.configure(kit.Config{
		Version: 1, Services: []string{"desk"},
		Routes: []kit.Route{{Name: "r-desk", Host: "desk.example", Prefix: "/desk/", Type: kit.Name("nonIdempotent"), Service: "desk", Timeout: 1.5, Objective: 0.5}},
	})
	var targets []*kit.Target
	for index, zone := range []string{"north-a", "north-b", "south-a"} {
		target := &kit.Target{Slots: 13, Work: 20 * time.Millisecond}
		if _, err := environment.addTarget(fmt.Sprintf("desk-%d", index+1), zone, "desk", target); err != nil {
			return nil, err
		}
		targets = append(targets, target)
	}
	if err := environment.fleet.AwaitReady(environment.fleet.Machines, readyTimeout); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second)
	leaving := targets[0]
	leaving.StopCheckIns()
	late := leaving.Beat()
	if status := leaving.Leave(); status != http.StatusOK {
		return nil, errNoAck
	}
	ackedAt := environment.record.Seconds()
	environment.record.Line("target: %s has left, acknowledged; it serves on for %s", leaving.ID, serveOnTime)
	time.AfterFunc(lateBy, func() {
		environment.record.Line("target: the check-in of %s from before it left arrives: %d", leaving.ID, leaving.Send(late))
	})
	touchFrom := ackedAt
	var group sync.WaitGroup
	if environment.trouble {
		touchFrom += (restartAfter + restartAfter + stableTime).Seconds() + 0.1
		group.Go(func() {
			time.Sleep(restartAfter)
			environment.fleet.Kill(leaving.Machine)
			time.Sleep(restartAfter)
			leaving.Machine.InitialStart = false
			if err := environment.fleet.Start(leaving.Machine); err != nil {
				environment.record.Line("daemon: %v", err)
			}
		})
	}
	sent := environment.sendWhileServing(leaving.Machine, touchFrom)
	group.Wait()
	leaving.Exit()
	return environment.checkDrained(leaving, sent, ackedAt+drainTime.Seconds(), touchFrom), nil
}

// sendWhileServing sends requests to all machines for serveOnTime.
func (environment *environment) sendWhileServing(quiet *kit.Machine, quietUntil float64) map[string]sentRequest {
	sent := map[string]sentRequest{}
	var group sync.WaitGroup
	for end := time.Now().Add(serveOnTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, machine := range environment.fleet.Machines {
			if machine == quiet && environment.record.Seconds() < quietUntil {
				continue
			}
			id := environment.consumer.NextID()
			sent[id] = sentRequest{machine: machine, at: environment.record.Seconds()}
			group.Go(func() {
				environment.consumer.Send(machine, id, kit.Request{Method: "DELETE", Host: "desk.example", Path: "/desk/" + id, Budget: 2 * time.Second})
			})
		}
	}
	group.Wait()
	return sent
}

// checkDrained returns the requests that reached a target that has left, later than
// boundFrom. Those of its own machine count from touchFrom on, when the machine is in
// touch again.
func (environment *environment) checkDrained(target *kit.Target, sent map[string]sentRequest, boundFrom, touchFrom float64) []string {
	environment.record.Line("check: no request sent later than %.3f may reach %s; those of its own machine count from %.3f", boundFrom, target.ID, touchFrom)
	var violations []string
	for _, run := range environment.recordedRuns() {
		request := sent[run.ID]
		from := boundFrom
		if request.machine == target.Machine {
			from = max(boundFrom, touchFrom)
		}
		if run.Target == target.ID && request.machine != nil && request.at > from {
			violations = append(violations, fmt.Sprintf("%s, sent at %.3f to %s, reached %s", run.ID, request.at, request.machine.Node, target.ID))
		}
	}
	return violations
}

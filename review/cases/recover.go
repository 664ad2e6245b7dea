package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"ibislift/review/kit"
)

const (
	recoverTime  = 15 * time.Second // recover-s
	darkTime     = time.Second
	sampleTime   = 8 * time.Second
	minServed    = 0.25
	maxLostShare = 0.55
)

func init() { cases["recover"] = playRecover }

// recoverServices are the services of the case. Each has three targets.
var recoverServices = []string{"desk", "seal", "plans", "stock", "audit", "price"}

// playRecover kills all daemons at the same moment. The machines that have written to the
// store under a condition do not come back.
func playRecover(environment *environment) ([]string, error) {
	config := kit.Config{Version: 1, Services: recoverServices}
	for _, service := range recoverServices {
		config.Routes = append(config.Routes, kit.Route{Name: "r-" + service, Host: service + ".example", Prefix: "/" + service + "/", Type: "idempotent", Service: service, Timeout: 1.5, Objective: 0.4})
	}
	environment.configure(config)
	targets := map[string]*kit.Target{}
	for index := range machines {
		zone := kit.Zones()[index%len(kit.Zones())]
		node := fmt.Sprintf("%s-%d", zone, index/len(kit.Zones())+1)
		service := recoverServices[(index+index/len(kit.Zones()))%len(recoverServices)]
		target := &kit.Target{Slots: 13, Work: 10 * time.Millisecond}
		targets[node] = target
		if _, err := environment.addTarget(node, zone, service, target); err != nil {
			return nil, err
		}
	}
	if err := environment.fleet.AwaitReady(environment.fleet.Machines, readyTimeout); err != nil {
		return nil, err
	}
	time.Sleep(10 * time.Second)
	before := environment.servedShare(environment.fleet.Machines)
	back := environment.fleet.Machines
	if environment.trouble {
		lost := environment.machinesToLose()
		if float64(len(lost)) > maxLostShare*machines {
			return nil, errTooManyWatchers
		}
		back = environment.loseAll(lost, targets)
	}
	time.Sleep(recoverTime)
	if err := environment.fleet.AwaitReady(back, time.Second); err != nil {
		environment.record.Line("check: not all machines that are back are ready")
	}
	after := environment.servedShare(back)
	environment.record.Line("check: %.2f of the requests were served before, %.2f later than recover-s after it", before, after)
	if before >= minServed && after < minServed {
		return []string{fmt.Sprintf("%.2f of the requests are served, %.2f were before", after, before)}, nil
	}
	return nil, nil
}

// machinesToLose returns the machines that have written to the store under a condition, or
// with TROUBLE=others as many of the other machines.
func (environment *environment) machinesToLose() []*kit.Machine {
	beacons := strings.Join(environment.store.Specs("beacons"), " ")
	var wrote, others []*kit.Machine
	for _, machine := range environment.fleet.Machines {
		if strings.Contains(beacons, machine.IP+":") {
			wrote = append(wrote, machine)
			continue
		}
		others = append(others, machine)
	}
	if os.Getenv("TROUBLE") == "others" {
		return others[:min(len(wrote), len(others))]
	}
	return wrote
}

// loseAll kills all daemons, starts them again but on the lost machines, and returns the
// machines that are back.
func (environment *environment) loseAll(lost []*kit.Machine, targets map[string]*kit.Target) []*kit.Machine {
	environment.record.Line("trouble: all daemons are killed; %d of %d machines do not come back", len(lost), machines)
	var group sync.WaitGroup
	for _, machine := range environment.fleet.Machines {
		group.Go(func() { environment.fleet.Kill(machine) })
	}
	group.Wait()
	for _, machine := range lost {
		targets[machine.Node].Exit()
	}
	time.Sleep(darkTime)
	var back []*kit.Machine
	for _, machine := range environment.fleet.Machines {
		if slices.Contains(lost, machine) {
			continue
		}
		machine.InitialStart = false
		if err := environment.fleet.Start(machine); err != nil {
			environment.record.Line("daemon: %v", err)
		}
		back = append(back, machine)
	}
	return back
}

// servedShare sends requests for services of machines to these machines, and returns the
// share that is served.
func (environment *environment) servedShare(machines []*kit.Machine) float64 {
	var services []string
	for _, machine := range machines {
		services = append(services, machine.Service)
	}
	var mutex sync.Mutex
	var group sync.WaitGroup
	sent, served := 0, 0
	for end := time.Now().Add(sampleTime); time.Now().Before(end); time.Sleep(requestInterval) {
		for _, machine := range machines {
			service := services[rand.IntN(len(services))]
			id := environment.consumer.NextID()
			sent++
			group.Go(func() {
				answer := environment.consumer.Send(machine, id, kit.Request{Method: "GET", Host: service + ".example", Path: "/" + service + "/" + id, Budget: 2 * time.Second})
				mutex.Lock()
				defer mutex.Unlock()
				if answer.Status == http.StatusOK && answer.Sealed {
					served++
				}
			})
		}
	}
	group.Wait()
	return float64(served) / float64(sent)
}

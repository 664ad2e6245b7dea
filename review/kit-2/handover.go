package main

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// earlyMachines run from the beginning; lateMachines are added to them, which is three in
	// ten.
	earlyMachines = 10
	lateMachines  = 3
	// firstChange is the time from the start of the late machines to the first change of the
	// configuration, and changeInterval that to the second.
	firstChange    = 600 * time.Millisecond
	changeInterval = 330 * time.Millisecond
	// One target of each service leaves, one after the other.
	firstDeparture    = 2400 * time.Millisecond
	departureInterval = 800 * time.Millisecond
)

// watchOrder returns the machines in the order in which core/member lets them follow the
// configuration.
func (deployment *deployment) watchOrder() []*machine {
	ordered := slices.Clone(deployment.machines)
	slices.SortFunc(ordered, func(one, other *machine) int {
		return cmp.Compare(xxhash.Sum64String("watch\x00"+one.name), xxhash.Sum64String("watch\x00"+other.name))
	})
	return ordered
}

// playHandover adds machines, of which two come first in the order in which daemons follow
// the configuration, and changes the configuration twice shortly afterwards.
func playHandover(record *record) (int, error) {
	deployment, err := newDeployment(earlyMachines + lateMachines)
	if err != nil {
		return 2, err
	}
	defer deployment.close()
	work := answerWhole(5*time.Millisecond, 100)
	for index := range earlyMachines + lateMachines {
		deployment.add([]string{"alpha", "beta", "gamma"}[index%3], 18, work)
	}
	// With the order known, the case needs one run instead of about 26.
	ordered := deployment.watchOrder()
	late, early := ordered[:lateMachines], ordered[lateMachines:]
	var mutex sync.Mutex
	ranAt := map[string]string{}
	for _, machine := range deployment.machines {
		machine.target.onRun = func(run run) {
			mutex.Lock()
			defer mutex.Unlock()
			ranAt[run.id] = machine.target.service
		}
	}
	services := []string{"alpha", "beta", "gamma"}
	toAlpha := routeOf{prefix: "/a/", kind: "idempotent", service: "alpha", timeout: 2}
	toBeta := routeOf{prefix: "/a/", kind: "idempotent", service: "beta", timeout: 2}
	other := routeOf{prefix: "/g/", kind: "idempotent", service: "gamma", timeout: 2}
	deployment.configure(2, services, []routeOf{toAlpha, other})
	for _, machine := range early {
		if err := machine.target.start(); err != nil {
			return 2, err
		}
		if err := deployment.start(machine); err != nil {
			return 2, err
		}
	}
	all := deployment.machines
	deployment.machines = early
	err = deployment.awaitReady(20 * time.Second)
	deployment.machines = all
	if err != nil {
		return 2, err
	}
	time.Sleep(14 * time.Second)
	started := time.Now()
	if hasTrouble() {
		for _, machine := range late {
			if err := machine.target.start(); err != nil {
				return 2, err
			}
			if err := deployment.start(machine); err != nil {
				return 2, err
			}
			record.log("%s is added", machine.name)
		}
	}
	go func() {
		time.Sleep(firstDeparture)
		for _, service := range services {
			index := slices.IndexFunc(early, func(machine *machine) bool { return machine.target.service == service })
			record.log("%s leaves", early[index].target.instance)
			early[index].target.leave()
			time.Sleep(departureInterval)
		}
	}()
	time.Sleep(time.Until(started.Add(firstChange)))
	deployment.configure(3, services, []routeOf{toAlpha, {prefix: "/g/", kind: "idempotent", service: "gamma", timeout: 1.5}})
	record.log("version 3 changes the timeout of /g/; acknowledged")
	time.Sleep(changeInterval)
	deployment.configure(4, services, []routeOf{toBeta, {prefix: "/g/", kind: "idempotent", service: "gamma", timeout: 1.5}})
	acked := time.Now()
	record.log("version 4 moves /a/ from alpha to beta; acknowledged")
	sentLate, old := 0, 0
	for time.Since(acked) < 12*time.Second {
		for _, machine := range early[:4] {
			sent, id := time.Now(), nextID()
			status := get(machine.at(portOutbound), "/a/0", id)
			mutex.Lock()
			service := ranAt[id]
			mutex.Unlock()
			record.log("sent %s to %s %.3f s after the acknowledgement: %s, run by %q", id, machine.name, sent.Sub(acked).Seconds(), status, service)
			if sent.Sub(acked) > applyTime {
				sentLate++
				if service == "alpha" {
					old++
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return record.verdict(old > 0, "%d of %d requests that were sent over %s after the acknowledgement ran at the service of the older version",
		old, sentLate, applyTime), nil
}

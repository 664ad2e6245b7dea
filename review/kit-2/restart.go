package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// downTime is the time from the kill until the processes are started again, and changeDelay
	// that from the start to the change of the configuration.
	downTime    = 500 * time.Millisecond
	changeDelay = 800 * time.Millisecond
	// stableTime and applyTime are the bounds stable-s and config-apply-s.
	stableTime = 4 * time.Second
	applyTime  = 2500 * time.Millisecond
	// leaveInterval is the time between the targets that leave, from firstLeave on after the
	// start.
	firstLeave    = 2600 * time.Millisecond
	leaveInterval = 800 * time.Millisecond
)

// playRestart kills all daemons and starts them again, then moves a route to another service
// and lets one in four targets leave, one after the other.
func playRestart(record *record) (int, error) {
	deployment, err := newDeployment(16)
	if err != nil {
		return 2, err
	}
	defer deployment.close()
	for _, service := range []string{"alpha", "beta", "gamma", "delta"} {
		for range 4 {
			deployment.add(service, 18, answerWhole(5*time.Millisecond, 100))
		}
	}
	var mutex sync.Mutex
	ranAt := map[string]string{}
	for _, machine := range deployment.machines {
		machine.target.onRun = func(run run) {
			mutex.Lock()
			defer mutex.Unlock()
			ranAt[run.id] = machine.target.service
		}
	}
	services := []string{"alpha", "beta", "gamma", "delta"}
	third := routeOf{prefix: "/g/", kind: "idempotent", service: "gamma", timeout: 2}
	deployment.configure(2, services, []routeOf{{prefix: "/a/", kind: "idempotent", service: "alpha", timeout: 2}, third})
	if err := deployment.startAll(); err != nil {
		return 2, err
	}
	time.Sleep(9 * time.Second)
	if hasTrouble() {
		for _, machine := range deployment.machines {
			machine.kill()
		}
		record.log("all daemons killed")
	}
	time.Sleep(downTime)
	if hasTrouble() {
		for _, machine := range deployment.machines {
			if err := deployment.start(machine); err != nil {
				return 2, err
			}
		}
		record.log("all daemons started")
	}
	restarted := time.Now()
	var acked time.Time
	var ackedMutex sync.Mutex
	go func() {
		time.Sleep(changeDelay)
		deployment.configure(3, services, []routeOf{{prefix: "/a/", kind: "idempotent", service: "beta", timeout: 2}, third})
		ackedMutex.Lock()
		acked = time.Now()
		ackedMutex.Unlock()
		record.log("version 3 moves /a/ from alpha to beta; acknowledged")
	}()
	go func() {
		time.Sleep(firstLeave)
		for index := 0; index < len(deployment.machines); index += 4 {
			machine := deployment.machines[index]
			record.log("%s leaves", machine.target.instance)
			machine.target.leave()
			time.Sleep(leaveInterval)
		}
	}()
	late, old := 0, 0
	for time.Since(restarted) < 12*time.Second {
		for _, machine := range deployment.machines[1:4] {
			sent, id := time.Now(), nextID()
			status := get(machine.at(portOutbound), "/a/0", id)
			mutex.Lock()
			service := ranAt[id]
			mutex.Unlock()
			record.log("sent %s to %s %.3f s after the start: %s, run by %q", id, machine.name, sent.Sub(restarted).Seconds(), status, service)
			ackedMutex.Lock()
			isLate := !acked.IsZero() && sent.Sub(acked) > applyTime && sent.Sub(restarted) > stableTime
			ackedMutex.Unlock()
			if isLate {
				late++
				if service == "alpha" {
					old++
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return record.verdict(old > 0, "%d of %d requests that were sent over %s after the acknowledgement and over %s after the start ran at the service of the older version",
		old, late, applyTime, stableTime), nil
}

// get sends one request on a new connection and returns the status of the answer.
func get(address, target, id string) string {
	connection, err := dial(address)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.WriteString(connection, requestText(http.MethodGet, target, id, time.Second))
	response, err := connection.readHead(http.MethodGet)
	if err != nil {
		return err.Error()
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return fmt.Sprint(response.StatusCode)
}

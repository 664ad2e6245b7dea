package main

import (
	"os"
	"sync"
	"time"
)

const (
	// quickChange is the time between the two versions, copyAge how old the copy is from which
	// the store comes back and awayTime how long it is away.
	quickChange = 500 * time.Millisecond
	copyAge     = 7 * time.Second
	awayTime    = 300 * time.Millisecond
	// rewriteDelay is the time from the return to the first version that the operator writes
	// again, and rewriteInterval that to the second.
	rewriteDelay    = 2 * time.Second
	rewriteInterval = 2 * time.Second
	// rollbackSlack is the bound rollback-slack-s.
	rollbackSlack = 250 * time.Millisecond
)

// playDrill writes two versions and restarts one daemon that follows the configuration. Then
// the store comes back from a copy without the two versions, and the operator writes them
// again. With TROUBLE=drill no daemon is restarted.
func playDrill(record *record) (int, error) {
	deployment, err := newDeployment(9)
	if err != nil {
		return 2, err
	}
	defer deployment.close()
	services := []string{"alpha", "beta", "gamma"}
	for index := range 9 {
		deployment.add(services[index%3], 18, answerWhole(5*time.Millisecond, 100))
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
	configure := func(version int, service string) {
		deployment.configure(version, services, []routeOf{{prefix: "/a/", kind: "idempotent", service: service, timeout: 2}})
		record.log("version %d leads /a/ to %s; acknowledged", version, service)
	}
	configure(2, "alpha")
	if err := deployment.startAll(); err != nil {
		return 2, err
	}
	time.Sleep(12 * time.Second)
	copied, _, _ := deployment.store.state()
	copiedAt := time.Now()
	configure(5, "beta")
	time.Sleep(quickChange)
	configure(9, "gamma")
	time.Sleep(quickChange)
	ordered := deployment.watchOrder()
	if hasTrouble() && os.Getenv("TROUBLE") != "drill" {
		ordered[0].kill()
		record.log("%s is killed", ordered[0].name)
		time.Sleep(300 * time.Millisecond)
		if err := deployment.start(ordered[0]); err != nil {
			return 2, err
		}
		record.log("%s is started", ordered[0].name)
	}
	if hasTrouble() {
		go func() {
			time.Sleep(time.Until(copiedAt.Add(copyAge - awayTime)))
			deployment.store.leave()
			record.log("the store is away")
			time.Sleep(awayTime)
			deployment.store.comeBack(copied)
			record.log("the store is back, from a copy of version 2")
			time.Sleep(rewriteDelay)
			configure(5, "beta")
			time.Sleep(rewriteInterval)
			configure(9, "gamma")
		}()
	}
	var newest time.Time
	sent, old := 0, 0
	for time.Since(copiedAt) < copyAge+rewriteDelay+rewriteInterval+3*time.Second {
		// Only machines that run all the while.
		for _, machine := range ordered[5:] {
			at, id := time.Now(), nextID()
			status := get(machine.at(portOutbound), "/a/0", id)
			mutex.Lock()
			service := ranAt[id]
			mutex.Unlock()
			record.log("sent %s to %s: %s, run by %q", id, machine.name, status, service)
			if newest.IsZero() && service == "gamma" {
				newest = at
			}
			if !newest.IsZero() && at.Sub(newest) > rollbackSlack+applyTime {
				sent++
				if service == "alpha" || service == "beta" {
					old++
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return record.verdict(old > 0, "%d of %d requests that were sent over %s after version 9 was in force, to machines that were not restarted, ran at the service of an older version",
		old, sent, rollbackSlack+applyTime), nil
}

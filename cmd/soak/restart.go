package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"ibislift/standin/deployment"
)

// Times of the restart of all daemons.
const (
	restartDownTime = 500 * time.Millisecond
	// restartLimit is the time from the start of the daemons until a key that was written
	// meanwhile has to be in force. The request that shows it may take keyTimeout.
	restartLimit = 4 * time.Second
	// Upstreams leave one after the other while the daemons start.
	firstLeave    = 2600 * time.Millisecond
	leaveInterval = 600 * time.Millisecond
	leavers       = 6
)

// checkFleetRestart kills all daemons, starts them again, writes a key while upstreams leave,
// and checks that all daemons accept the key in time.
func (trial *trial) checkFleetRestart() {
	if !trial.usesKeys() {
		return
	}
	instances := trial.running.Instances
	trial.recordEvent("all daemons killed")
	for _, instance := range instances {
		instance.Daemon.Signal(syscall.SIGKILL)
	}
	for _, instance := range instances {
		<-instance.Daemon.Ended()
	}
	time.Sleep(restartDownTime)
	for _, instance := range instances {
		if !trial.startAgain(instance) {
			return
		}
	}
	started := time.Now()
	var leaving sync.WaitGroup
	defer leaving.Wait()
	for number := range min(leavers, len(instances)) {
		leaving.Go(func() {
			time.Sleep(firstLeave + time.Duration(number)*leaveInterval)
			fault := trial.upstreamFault(instances[number], 2)
			fault.begin()
			fault.end()
		})
	}
	time.Sleep(time.Duration(trial.random.Int64N(int64(restartLimit / 4))))
	const key = "key-after-restart"
	if err := deployment.Await(recoveryTimeout, "a route table with a new key", func() bool { return trial.putKey(key) }); err != nil {
		trial.recordViolation("after the restart of all daemons: %v", err)
		return
	}
	trial.recordEvent("key written after the restart")
	trial.awaitKey(key, started)
}

// awaitKey waits until all daemons accept a key. Without --safety it is a violation if that
// takes longer than restartLimit.
func (trial *trial) awaitKey(key string, started time.Time) {
	var accepting sync.WaitGroup
	for _, instance := range trial.running.Instances {
		accepting.Go(func() {
			err := deployment.Await(recoveryTimeout, "the key in force", func() bool {
				status, err := trial.tryKey(instance, key)
				return err == nil && status != http.StatusUnauthorized && status != http.StatusServiceUnavailable
			})
			took := time.Since(started)
			if err != nil || took > restartLimit+keyTimeout && !trial.soak.safety {
				trial.recordViolation("%s accepts a key %s after the restart of all daemons: %v", instance.Name, took, err)
			}
		})
	}
	accepting.Wait()
	trial.recordFigure("restart of all: a key in force after %s", time.Since(started).Round(time.Millisecond))
}

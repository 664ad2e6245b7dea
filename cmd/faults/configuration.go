package main

import (
	"fmt"
	"syscall"
	"time"

	"ibislift/standin/deployment"
	"ibislift/standin/link"
	"ibislift/standin/platform"
)

// inForceTimeout limits the time until an accepted change is in force on all
// daemons.
const inForceTimeout = 4 * time.Second

// profilePath is the path of the profile that is changed during the faults.
const profilePath = "/profiles/faults"

// runConfigurationFaults changes a profile in a deployment of real processes while
// parts of it fail, and checks that the change is in force on all daemons in time.
func (runner *runner) runConfigurationFaults(running *deployment.Running) {
	writer := running.Instances[5]
	version := uint64(0)
	changeProfile := func(bound int) error {
		status, object, err := running.Apply(writer, profilePath, version, fmt.Sprintf(`{"queueBound": %d}`, bound))
		if err := deployment.ApplyError(status, err); err != nil {
			return err
		}
		version = object.Version
		return nil
	}
	awaitInForce := func() error {
		return deployment.Await(inForceTimeout, "the change in force everywhere", func() bool {
			return running.AllHaveVersion(profilePath, version)
		})
	}
	fmt.Println("configuration on processes:")
	runner.runStep("the platform goes down right after the write", func() error {
		_ = running.SetPlatformSwitches(platform.Switches{DownAfterWrite: true})
		if err := changeProfile(1); err != nil {
			return err
		}
		return awaitInForce()
	})
	runner.runStep("a daemon is restarted during the outage", func() error {
		restarted := running.Instances[7]
		restarted.Daemon.Signal(syscall.SIGKILL)
		<-restarted.Daemon.Ended()
		if err := running.StartDaemon(restarted); err != nil {
			return err
		}
		return awaitInForce()
	})
	runner.runStep("a region is cut during the change and healed in an outage", func() error {
		_ = running.SetPlatformSwitches(platform.Switches{})
		regionNumber := running.Instances[1].RegionNumber
		_ = running.CutRegion(regionNumber, link.Both)
		if err := changeProfile(2); err != nil {
			return err
		}
		_ = running.SetPlatformSwitches(platform.Switches{Down: true})
		_ = running.CutRegion(regionNumber, link.None)
		return awaitInForce()
	})
	_ = running.SetPlatformSwitches(platform.Switches{})
	fmt.Println()
}

func (runner *runner) runStep(name string, run func() error) {
	started := time.Now()
	verdict := runner.check(name, func() string {
		if err := run(); err != nil {
			return err.Error()
		}
		return ""
	})
	fmt.Printf("%s: %s after %s\n", name, verdict, time.Since(started).Round(time.Millisecond))
}

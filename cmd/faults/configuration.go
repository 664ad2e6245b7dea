package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"ibislift/standin/deployment"
	"ibislift/standin/link"
	"ibislift/standin/platform"
)

// inForceTime is the time in which an accepted change is in force everywhere.
const inForceTime = 4 * time.Second

// profilePath is the object that the configuration's faults change.
const profilePath = "/profiles/faults"

// configuration changes a profile on real processes while things fail, and
// checks that it is in force on all daemons in time.
func (score *score) configuration(running *deployment.Running) {
	writer := running.Instances[5]
	version := uint64(0)
	change := func(bound int) error {
		status, object, err := running.Apply(writer, profilePath, version, fmt.Sprintf(`{"queueBound": %d}`, bound))
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("status %d: %w", status, err)
		}
		version = object.Version
		return nil
	}
	everywhere := func() error {
		return deployment.Await(inForceTime, "the change in force everywhere", func() bool {
			return running.AllHaveVersion(profilePath, version)
		})
	}
	fmt.Println("configuration on processes:")
	score.step("the platform goes down right after the write", func() error {
		_ = running.SetPlatformSwitches(platform.Switches{DownAfterWrite: true})
		if err := change(1); err != nil {
			return err
		}
		return everywhere()
	})
	score.step("a daemon is restarted during the outage", func() error {
		restarted := running.Instances[7]
		restarted.Daemon.Signal(syscall.SIGKILL)
		<-restarted.Daemon.Ended()
		if err := running.StartDaemon(restarted); err != nil {
			return err
		}
		return everywhere()
	})
	score.step("a region is cut during the change and healed in an outage", func() error {
		_ = running.SetPlatformSwitches(platform.Switches{})
		place := running.Instances[1].RegionNumber
		_ = running.CutRegion(place, link.Both)
		if err := change(2); err != nil {
			return err
		}
		_ = running.SetPlatformSwitches(platform.Switches{Down: true})
		_ = running.CutRegion(place, link.None)
		return everywhere()
	})
	_ = running.SetPlatformSwitches(platform.Switches{})
	fmt.Println()
}

func (score *score) step(name string, run func() error) {
	started := time.Now()
	verdict := score.play(name, func() string {
		if err := run(); err != nil {
			return err.Error()
		}
		return ""
	})
	fmt.Printf("%s: %s after %s\n", name, verdict, time.Since(started).Round(time.Millisecond))
}

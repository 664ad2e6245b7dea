package quotas

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the machine started. It also runs while the process is
// stopped or the machine is suspended, and steps of the wall clock do not change it.
func Clock() time.Duration {
	var at unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &at) != nil {
		return time.Since(processStart)
	}
	return time.Duration(at.Nano())
}

//go:build !linux

package quotas

import "time"

// Clock returns the time since the process started. Steps of the wall clock do not change
// it.
func Clock() time.Duration { return time.Since(processStart) }

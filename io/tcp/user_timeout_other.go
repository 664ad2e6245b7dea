//go:build !linux

package tcp

import (
	"net"
	"syscall"
	"time"
)

// setUserTimeout does nothing: the option TCP_USER_TIMEOUT is set on Linux only,
// and the system's own timeouts apply elsewhere.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }

// SetStallTimeout does nothing, for the same reason as setUserTimeout.
func SetStallTimeout(net.Conn, time.Duration) error { return nil }

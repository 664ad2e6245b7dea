package tcp

import (
	"syscall"
	"time"
)

// userTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const userTimeout = 18

// control bounds the time that sent bytes may stay unacknowledged.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, userTimeout, int(unacknowledgedTime/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}

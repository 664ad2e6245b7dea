package tcp

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall doesn't define.
const tcpUserTimeout = 18

// setUserTimeout limits the time that sent data may remain unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return optionErr
}

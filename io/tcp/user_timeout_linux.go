package tcp

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall doesn't define.
const tcpUserTimeout = 18

// setUserTimeout sets StallTimeout for a connection that is being opened.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return controlUserTimeout(raw, StallTimeout)
}

// SetStallTimeout changes the time limit of StallTimeout for an open connection. It
// does nothing if the connection is not a plain TCP connection.
func SetStallTimeout(conn net.Conn, timeout time.Duration) error {
	tcpConn, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return nil
	}
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return err
	}
	return controlUserTimeout(raw, timeout)
}

func controlUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return optionErr
}

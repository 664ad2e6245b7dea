package tcp

import (
	"errors"
	"net"
	"syscall"
)

// peek looks at the connection's receive buffer without waiting.
func peek(conn net.Conn) bool {
	connection, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return false
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

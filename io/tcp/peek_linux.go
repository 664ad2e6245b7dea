package tcp

import (
	"errors"
	"net"
	"syscall"
)

// isReceiveBufferEmpty reports whether a TCP connection is open and has nothing
// to read, without blocking. It returns false if it can't find out.
func isReceiveBufferEmpty(conn net.Conn) bool {
	tcpConn, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return false
	}
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

//go:build linux || darwin || freebsd || netbsd || openbsd

package tcp

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isReceiveBufferEmpty reports whether a TCP connection is open and has nothing
// to read, without blocking. It returns false if it can't find out. It uses
// Control, since RawConn.Read waits for a read that is in progress and fails after
// a read deadline.
func isReceiveBufferEmpty(conn net.Conn) bool {
	socket, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && empty
}

// hasWaiting reports whether a connection waits to be accepted, without blocking.
func hasWaiting(listener net.Listener) bool {
	socket, isSocket := listener.(syscall.Conn)
	if !isSocket {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	waiting := 0
	err = raw.Control(func(fd uintptr) {
		waiting, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && waiting > 0
}

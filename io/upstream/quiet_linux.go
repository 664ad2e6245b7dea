package upstream

import (
	"errors"
	"net"
	"syscall"
)

// isQuiet says whether nothing has arrived on an idle connection: neither
// bytes, which would be a late answer, nor its end.
func isQuiet(conn net.Conn) bool {
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return true
	}
	raw, err := tcp.SyscallConn()
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

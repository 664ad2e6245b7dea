package tcp

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// sinceReceived returns how long ago the operating system received the last data of a
// connection, or 0 if it can't find out.
func sinceReceived(conn net.Conn) time.Duration {
	tcpConn, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return 0
	}
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || infoErr != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

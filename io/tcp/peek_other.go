//go:build !linux && !darwin && !freebsd && !netbsd && !openbsd

package tcp

import "net"

// isReceiveBufferEmpty always returns false, because the receive buffer is only
// inspected on Linux, macOS and the BSDs. Connections are therefore not reused.
func isReceiveBufferEmpty(net.Conn) bool { return false }

// hasWaiting always returns false, because listeners are not inspected
// here.
func hasWaiting(net.Listener) bool { return false }

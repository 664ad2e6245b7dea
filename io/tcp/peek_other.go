//go:build !linux

package tcp

import "net"

// isReceiveBufferEmpty always returns false, because the receive buffer is only
// inspected on Linux. Connections are therefore not reused.
func isReceiveBufferEmpty(net.Conn) bool { return false }

// hasWaiting always returns false, because listeners are only inspected on Linux.
func hasWaiting(net.Listener) bool { return false }

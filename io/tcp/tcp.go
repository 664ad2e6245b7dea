// Package tcp opens TCP connections that fail soon after the peer becomes
// unreachable, and checks whether anything has arrived on an idle connection.
//
// # Usage
//
//	conn, err := tcp.Dial(ctx, "10.0.0.1:8000")
//	if !tcp.IsQuiet(conn) {
//		conn.Close() // Data or the end of the connection has arrived; don't reuse it.
//	}
package tcp

import (
	"context"
	"net"
	"time"
)

// How soon an unreachable peer is detected. A machine that has lost its power or
// its network sends nothing, not even a reset. A connection with unacknowledged
// data fails after StallTimeout, and an idle one is checked by keep-alive probes.
const (
	dialTimeout       = time.Second
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

// StallTimeout is how long sent data may remain unacknowledged, or wait because the
// peer does not read, before a connection that Dial opened fails.
const StallTimeout = 1500 * time.Millisecond

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	Control:         setUserTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
}

// Dial connects to the address.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", address)
}

// QuietChecker is implemented by connections that determine by themselves whether
// anything has arrived.
type QuietChecker interface{ IsQuiet() bool }

// IsQuiet reports whether nothing has arrived on an idle connection: neither
// data, which would be a late response, nor the end of the connection.
func IsQuiet(conn net.Conn) bool {
	if checker, implements := conn.(QuietChecker); implements {
		return checker.IsQuiet()
	}
	return isReceiveBufferEmpty(conn)
}

// HasWaiting reports whether a connection waits to be accepted. It returns false if it
// can't find out.
func HasWaiting(listener net.Listener) bool { return hasWaiting(listener) }

// SinceReceived returns how long ago the operating system received the last data of a
// connection, which may be long before the process has read it. It returns 0 if that
// is not known.
func SinceReceived(conn net.Conn) time.Duration { return sinceReceived(conn) }

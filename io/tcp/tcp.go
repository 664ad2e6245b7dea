// Package tcp sets up TCP connections that notice when the other end has gone
// silent, and looks into idle ones.
//
// # Usage
//
//	conn, err := tcp.Dial(ctx, "10.0.0.1:8000")
//	if !tcp.IsQuiet(conn) {
//		conn.Close() // bytes or the end have arrived: not to be used again
//	}
package tcp

import (
	"context"
	"net"
	"time"
)

// How soon a connection that has gone silent is noticed. A machine without
// power, or behind a cut, answers nothing: what was sent is given up after
// unacknowledgedTime, and a connection that waits is probed.
const (
	dialTimeout        = time.Second
	unacknowledgedTime = 1500 * time.Millisecond
	probeIdle          = time.Second
	probeInterval      = 500 * time.Millisecond
	probeCount         = 2
)

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	Control:         control,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
}

// Dial connects to an address.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", address)
}

// Quieter is a connection that knows by itself whether anything has arrived.
type Quieter interface{ IsQuiet() bool }

// IsQuiet says whether nothing has arrived on an idle connection: neither
// bytes, which would be a late answer, nor its end.
func IsQuiet(conn net.Conn) bool {
	if quieter, knows := conn.(Quieter); knows {
		return quieter.IsQuiet()
	}
	return peek(conn)
}

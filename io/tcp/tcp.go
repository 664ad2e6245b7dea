// Package tcp looks into idle TCP connections.
//
// # Usage
//
//	if !tcp.IsQuiet(conn) {
//		conn.Close() // bytes or the end have arrived: not to be used again
//	}
package tcp

import "net"

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

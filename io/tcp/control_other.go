//go:build !linux

package tcp

import "syscall"

// control leaves the system's own bounds where it has no such option.
func control(_, _ string, _ syscall.RawConn) error { return nil }

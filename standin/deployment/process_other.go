//go:build !linux

package deployment

import "syscall"

// killWithParent returns no attributes, because only Linux can kill a process
// when its parent ends.
func killWithParent() *syscall.SysProcAttr { return nil }

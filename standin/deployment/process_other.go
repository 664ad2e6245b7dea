//go:build !linux

package deployment

import "syscall"

func endWithParent() *syscall.SysProcAttr { return nil }

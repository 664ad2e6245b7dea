package deployment

import "syscall"

// endWithParent ends a process when its parent does.
func endWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}

package deployment

import "syscall"

// killWithParent returns attributes that make the operating system kill a process
// when its parent ends.
func killWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}

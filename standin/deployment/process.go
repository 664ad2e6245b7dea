package deployment

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// Process is a process that a deployment has started. A nil *Process stands for
// a process that was never started; Kill ignores it.
type Process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// launch starts a program and appends its output to the log file of that name.
func (running *Running) launch(name, program string, arguments ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(running.workDirectory, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(filepath.Join(running.programDirectory, program), arguments...)
	command.Stdout = log
	command.Stderr = log
	command.SysProcAttr = killWithParent()
	if err := command.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	process := &Process{command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(process.ended)
	}()
	return process, nil
}

// ID returns the process ID.
func (process *Process) ID() int { return process.command.Process.Pid }

// Ended returns a channel that is closed when the process has ended.
func (process *Process) Ended() <-chan struct{} { return process.ended }

// Signal sends a signal, such as SIGTERM, SIGSTOP or SIGCONT, to the process.
func (process *Process) Signal(signal syscall.Signal) { _ = process.command.Process.Signal(signal) }

// Kill kills the process and waits until it has ended.
func (process *Process) Kill() {
	if process == nil {
		return
	}
	_ = process.command.Process.Kill()
	<-process.ended
}

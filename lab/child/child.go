// Package child starts processes that end with this one.
package child

import (
	"os/exec"
	"runtime"
	"syscall"
)

// Process is a running process.
type Process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	err   error
}

// Start starts a process. It is killed when this process ends, also when this one is killed itself and runs no cleanup.
func Start(cmd *exec.Cmd) (*Process, error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &Process{cmd: cmd, ended: make(chan struct{})}
	started := make(chan error)
	go func() {
		// The signal is sent when the thread ends that started the process, so that thread must last as long.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := cmd.Start()
		started <- err
		if err == nil {
			p.err = cmd.Wait()
			close(p.ended)
		}
	}()
	if err := <-started; err != nil {
		return nil, err
	}
	return p, nil
}

// Cmd returns the command of the process.
func (p *Process) Cmd() *exec.Cmd { return p.cmd }

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Err returns how the process ended, once Ended is closed.
func (p *Process) Err() error { return p.err }

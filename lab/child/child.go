// Package child starts child processes that are killed when this process ends.
package child

import (
	"os/exec"
	"runtime"
	"syscall"
)

// Process is a child process that was started.
type Process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	err   error
}

// Start starts cmd as a child process and replaces its SysProcAttr. The kernel kills the child when this process ends, even
// if this process is killed and runs no cleanup.
func Start(cmd *exec.Cmd) (*Process, error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &Process{cmd: cmd, ended: make(chan struct{})}
	started := make(chan error)
	go func() {
		// The kernel sends Pdeathsig when the thread that started the child ends, so this thread must stay until the child
		// has ended.
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

// Cmd returns the command that Start was called with.
func (p *Process) Cmd() *exec.Cmd { return p.cmd }

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Err returns the error of exec.Cmd.Wait. It may be called only after the channel of Ended is closed.
func (p *Process) Err() error { return p.err }

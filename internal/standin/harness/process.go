package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a program that was started and may be started again. Restart must not run at the same time as
// another method.
type Process struct {
	Name    string
	command *exec.Cmd
	args    []string
	dir     string
	binary  string
	// exited is closed when the program has ended, after exitCode is set.
	exited   chan struct{}
	exitCode int
}

// StartProcess starts a program. Its output is appended to the file NAME.log in dir.
func StartProcess(dir, name, binary string, arguments ...string) (*Process, error) {
	p := &Process{Name: name, args: arguments, dir: dir, binary: binary}
	return p, p.Restart()
}

// Restart starts the program, which must have ended, with the same arguments as before.
func (p *Process) Restart() error {
	output, err := os.OpenFile(filepath.Join(p.dir, p.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	p.command = exec.Command(p.binary, p.args...)
	p.command.Stdout = output
	p.command.Stderr = output
	// The kernel kills the program if the harness dies, so that an aborted run leaves no processes.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.exited = make(chan struct{})
	if err := p.command.Start(); err != nil {
		p.exitCode = -1
		close(p.exited)
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	go p.run(p.command, p.exited)
	return nil
}

// run waits for the program to end.
func (p *Process) run(c *exec.Cmd, exited chan struct{}) {
	_ = c.Wait()
	p.exitCode = c.ProcessState.ExitCode()
	close(exited)
}

// Running reports whether the program is running; a frozen one is.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// ExitCode returns the exit code of a program that has ended, or -1 if a signal ended it.
func (p *Process) ExitCode() int { return p.exitCode }

// PID returns the id of the latest process.
func (p *Process) PID() int { return p.command.Process.Pid }

func (p *Process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// Kill ends the program with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// Dump makes a Go program write its goroutines to its output and exit.
func (p *Process) Dump() { p.signal(syscall.SIGQUIT) }

// Freeze suspends the program until Thaw.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw resumes a frozen program.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and waits for the program to end. It reports whether that happened within the timeout.
func (p *Process) Terminate(timeout time.Duration) bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a started program.
type Process struct {
	Name    string
	command *exec.Cmd
	args    []string
	dir     string
	binary  string
	exited  chan struct{}
	code    int
}

// start runs a program whose output goes to a file.
func start(dir, name, binary string, arguments ...string) (*Process, error) {
	p := &Process{Name: name, args: arguments, dir: dir, binary: binary}
	return p, p.Restart()
}

// Restart starts the program again with the same arguments.
func (p *Process) Restart() error {
	output, err := os.OpenFile(filepath.Join(p.dir, p.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	p.command = exec.Command(p.binary, p.args...)
	p.command.Stdout = output
	p.command.Stderr = output
	// A test run that dies must not leave its processes behind.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.exited = make(chan struct{})
	go p.run(p.command, p.exited)
	return nil
}

// run waits for the end of the program.
func (p *Process) run(c *exec.Cmd, exited chan struct{}) {
	_ = c.Wait()
	p.code = c.ProcessState.ExitCode()
	close(exited)
}

// Running tells whether the program runs.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// ExitCode returns the exit code of an ended program.
func (p *Process) ExitCode() int { return p.code }

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

func (p *Process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// Kill ends the program at once.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// Dump makes a Go program write its goroutines to its output and end.
func (p *Process) Dump() { p.signal(syscall.SIGQUIT) }

// Freeze stops the program without ending it; Thaw lets it go on.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen program go on.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Terminate asks the program to end and waits. It reports whether it ended in time.
func (p *Process) Terminate(timeout time.Duration) bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

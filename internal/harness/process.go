package harness

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// stopTimeout limits the time that a process may take to exit after SIGTERM, or
	// to stop after SIGSTOP.
	stopTimeout = 20 * time.Second
	killTimeout = 10 * time.Second
	// exitCodeSignaled is the exit code reported for a process that was ended by a
	// signal.
	exitCodeSignaled = -1
)

// Process is a program that the harness starts, such as an entry or agent. The
// methods that send signals fail the test if the process has exited.
type Process struct {
	// Name is the name of the process in logs and records, and VM the name of its
	// VM in the platform's list.
	Name string
	VM   string

	t      testing.TB
	binary string
	args   []string
	env    []string
	log    logBuffer

	mu sync.Mutex
	// run is the current or latest run; nil before the first start.
	run *run
}

// run is one execution of a process, from its start to its exit.
type run struct {
	cmd *exec.Cmd
	// exited is closed when the process has exited; code is set before.
	exited chan struct{}
	code   int
	// killed means that Kill was called, so that a nonzero exit code is expected.
	killed bool
}

func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout = &p.log
	cmd.Stderr = &p.log
	cmd.Env = append(append(os.Environ(), "GOTRACEBACK=all"), p.env...)
	cmd.SysProcAttr = childAttributes()
	if err := cmd.Start(); err != nil {
		return errorx.Decorate(err, "start %s", p.Name)
	}
	r := &run{cmd: cmd, exited: make(chan struct{})}
	p.run = r
	go func() {
		defer close(r.exited)
		r.code = exitCode(cmd.Wait())
	}()
	return nil
}

func exitCode(err error) int {
	if err == nil {
		return 0
	}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return exitCodeSignaled
}

func (p *Process) currentRun() *run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run
}

// PID returns the ID of the current or latest run.
func (p *Process) PID() int { return p.currentRun().cmd.Process.Pid }

func (p *Process) signal(s syscall.Signal) {
	p.t.Helper()
	r := p.currentRun()
	select {
	case <-r.exited:
		p.t.Fatalf("%s has exited with code %d", p.Name, r.code)
	default:
	}
	if err := r.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %v to %s: %v", s, p.Name, err)
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.t.Helper()
	p.signal(s)
}

// Stop freezes the process with SIGSTOP and waits until all its threads have
// stopped; Cont resumes it.
//
// The wait is needed because the threads stop one after the other, some
// milliseconds after the signal on a busy machine, and may accept requests until
// then. Such requests would be in flight in the frozen process, while tests assume
// that all its work waits in socket buffers.
func (p *Process) Stop() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	pid := p.currentRun().cmd.Process.Pid
	Wait(p.t, stopTimeout, func() error { return checkFrozen(pid) })
}

// Cont resumes a process frozen by Stop.
func (p *Process) Cont() {
	p.t.Helper()
	p.signal(syscall.SIGCONT)
}

// Kill ends the process with SIGKILL and waits until it has exited.
func (p *Process) Kill() {
	p.t.Helper()
	r := p.currentRun()
	p.mu.Lock()
	r.killed = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	p.WaitExit(killTimeout)
}

// Term asks the process to shut down gracefully with SIGTERM and does not wait.
func (p *Process) Term() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
}

// WaitExit waits until the process has exited and returns its exit code, which is
// -1 if a signal ended it. It fails the test after timeout.
func (p *Process) WaitExit(timeout time.Duration) int {
	p.t.Helper()
	r := p.currentRun()
	if !r.wait(timeout) {
		p.t.Fatalf("%s has not exited after %v", p.Name, timeout)
	}
	return r.code
}

// wait waits for the exit of the process. It returns false after timeout.
func (r *run) wait(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-r.exited:
		return true
	case <-timer.C:
		return false
	}
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.currentRun().exited:
		return false
	default:
		return true
	}
}

// Restart starts a new incarnation of an exited process with the same settings.
// It does not wait until the process is ready.
func (p *Process) Restart() {
	p.t.Helper()
	if p.Running() {
		p.t.Fatalf("%s is still running", p.Name)
	}
	if err := p.start(); err != nil {
		p.t.Fatal(err)
	}
}

// Log returns the kept end of the process's output over all its runs.
func (p *Process) Log() []byte { return p.log.text() }

// LogHas reports whether a line of the kept output contains all of the texts.
func (p *Process) LogHas(texts ...string) bool {
	for line := range bytes.Lines(p.log.text()) {
		if containsAll(line, texts) {
			return true
		}
	}
	return false
}

func containsAll(line []byte, texts []string) bool {
	for _, text := range texts {
		if !bytes.Contains(line, []byte(text)) {
			return false
		}
	}
	return true
}

// terminate asks the process to exit at the end of the test. SIGCONT comes first,
// because a frozen process would not handle SIGTERM.
func (p *Process) terminate() {
	r := p.currentRun()
	if r == nil {
		return
	}
	_ = r.cmd.Process.Signal(syscall.SIGCONT)
	_ = r.cmd.Process.Signal(syscall.SIGTERM)
}

// reap waits for the exit of a terminated process. It fails the test if the
// process exits late, with an unexpected code or after printing a failure text.
func (p *Process) reap() {
	r := p.currentRun()
	if r == nil {
		return
	}
	if !r.wait(stopTimeout) {
		p.t.Errorf("%s did not exit within %v of SIGTERM", p.Name, stopTimeout)
		_ = r.cmd.Process.Kill()
		r.wait(killTimeout)
		return
	}
	p.mu.Lock()
	killed := r.killed
	p.mu.Unlock()
	if r.code != 0 && !killed {
		p.t.Errorf("%s exited with code %d", p.Name, r.code)
	}
	if failure := p.log.failureOutput(); len(failure) > 0 {
		p.t.Errorf("%s printed:\n%s", p.Name, failure)
	}
}

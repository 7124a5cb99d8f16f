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
	// stopTimeout is what a process may take to end after SIGTERM.
	stopTimeout = 20 * time.Second
	killTimeout = 10 * time.Second
	// codeNone is the exit code of a process that was ended by a signal.
	codeNone = -1
)

// Process is an entry or agent that the harness started. Its methods that send
// signals fail the test if the process is not there.
type Process struct {
	// Name is the process's name in logs and records, VM its VM's in the list.
	Name string
	VM   string

	t      testing.TB
	binary string
	args   []string
	env    []string
	log    logBuffer

	mu  sync.Mutex
	run *run
}

// run is one life of a process.
type run struct {
	cmd *exec.Cmd
	// ended is closed when the process is gone; code is set before.
	ended chan struct{}
	code  int
	// killed tells that the harness ended it by SIGKILL.
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
	r := &run{cmd: cmd, ended: make(chan struct{})}
	p.run = r
	go func() {
		defer close(r.ended)
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
	return codeNone
}

func (p *Process) current() *run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run
}

func (p *Process) signal(s syscall.Signal) {
	p.t.Helper()
	r := p.current()
	select {
	case <-r.ended:
		p.t.Fatalf("%s has ended with code %d", p.Name, r.code)
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

// Stop freezes the process with SIGSTOP and waits until it stands still; Cont
// wakes it.
//
// It guards against a process that still takes requests after the signal was
// sent: its threads stop one after the other, some milliseconds later on a busy
// machine. That shows as calls in flight in the frozen process, where the test
// says that all of its work waits in socket buffers.
func (p *Process) Stop() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	pid := p.current().cmd.Process.Pid
	Wait(p.t, stopTimeout, func() error { return frozen(pid) })
}

// Cont wakes a frozen process.
func (p *Process) Cont() {
	p.t.Helper()
	p.signal(syscall.SIGCONT)
}

// Kill ends the process with SIGKILL and waits until it is gone.
func (p *Process) Kill() {
	p.t.Helper()
	r := p.current()
	p.mu.Lock()
	r.killed = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	p.WaitExit(killTimeout)
}

// Term asks the process to end in good order, and does not wait for it.
func (p *Process) Term() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
}

// WaitExit waits until the process is gone and returns its exit code, which is
// -1 if a signal ended it.
func (p *Process) WaitExit(timeout time.Duration) int {
	p.t.Helper()
	r := p.current()
	if !r.wait(timeout) {
		p.t.Fatalf("%s has not ended after %v", p.Name, timeout)
	}
	return r.code
}

func (r *run) wait(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-r.ended:
		return true
	case <-timer.C:
		return false
	}
}

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.current().ended:
		return false
	default:
		return true
	}
}

// Restart starts an ended process again with the same settings: a new
// incarnation. It does not wait until the process serves.
func (p *Process) Restart() {
	p.t.Helper()
	if p.Running() {
		p.t.Fatalf("%s is still running", p.Name)
	}
	if err := p.start(); err != nil {
		p.t.Fatal(err)
	}
}

// Log returns what is kept of the process's log, over all its runs.
func (p *Process) Log() []byte { return p.log.text() }

// LogHas tells whether the kept log has a line with all of the texts.
func (p *Process) LogHas(texts ...string) bool {
	for line := range bytes.Lines(p.log.text()) {
		if hasAll(line, texts) {
			return true
		}
	}
	return false
}

func hasAll(line []byte, texts []string) bool {
	for _, text := range texts {
		if !bytes.Contains(line, []byte(text)) {
			return false
		}
	}
	return true
}

// terminate begins to end a process at the end of the test.
func (p *Process) terminate() {
	r := p.current()
	if r == nil {
		return
	}
	_ = r.cmd.Process.Signal(syscall.SIGCONT)
	_ = r.cmd.Process.Signal(syscall.SIGTERM)
}

// reap waits for a terminated process and reports what it did wrong.
func (p *Process) reap() {
	r := p.current()
	if r == nil {
		return
	}
	if !r.wait(stopTimeout) {
		p.t.Errorf("%s did not end within %v of SIGTERM", p.Name, stopTimeout)
		_ = r.cmd.Process.Kill()
		r.wait(killTimeout)
		return
	}
	p.mu.Lock()
	killed := r.killed
	p.mu.Unlock()
	if r.code != 0 && !killed {
		p.t.Errorf("%s ended with code %d", p.Name, r.code)
	}
	if alarm := p.log.alarmText(); len(alarm) > 0 {
		p.t.Errorf("%s printed:\n%s", p.Name, alarm)
	}
}

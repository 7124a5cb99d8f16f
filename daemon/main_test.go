package daemon

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/finding"
)

const (
	// daemonVariable makes the test binary run a daemon that stops at once.
	daemonVariable = "MANGOSTAGE_TEST_DAEMON"
	// daemonRuns is the number of daemons that a test stops.
	daemonRuns = 20
)

func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		os.Args = os.Args[:1]
		os.Exit(Main("daemon", &struct{}{}, startIdleDaemon))
	}
	os.Exit(m.Run())
}

// idleDaemon is a daemon without work.
type idleDaemon struct{}

func (idleDaemon) Stop(context.Context) error { return nil }

// startIdleDaemon starts an idleDaemon and says so on stdout.
func startIdleDaemon(*finding.List) (Stopper, error) {
	_, err := os.Stdout.WriteString("started\n")
	return idleDaemon{}, err
}

// Guards against a process that has stopped cleanly and is killed by a later SIGTERM of a
// series, just before its exit.
func TestSignalsInSeriesEndCleanly(t *testing.T) {
	for range daemonRuns {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), daemonVariable+"=1")
		out, err := cmd.StdoutPipe()
		assert.NilError(t, err)
		assert.NilError(t, cmd.Start())
		_, err = bufio.NewReader(out).ReadString('\n')
		assert.NilError(t, err)
		exited := make(chan error, 1)
		go func() { exited <- cmd.Wait() }()
		assert.NilError(t, termUntil(cmd.Process, exited))
	}
}

// termUntil sends SIGTERM to a process until it has exited, and returns how it ended.
func termUntil(p *os.Process, exited <-chan error) error {
	for {
		// The process may have exited.
		_ = p.Signal(syscall.SIGTERM)
		select {
		case err := <-exited:
			return err
		default:
		}
	}
}

package harness

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against Stop returning while threads of the process still run after the
// signal was sent. Tests freeze an entry so that requests stay in its socket
// buffers; a running thread would accept and forward such a request, and the test
// would wait for an outcome that only a buffered request has.
func TestStopWaitsForAllThreads(t *testing.T) {
	const rounds = 20
	p := &Process{Name: "spinner", t: t, binary: os.Args[0], args: []string{"-test.run=^TestSpin$"}, env: []string{spinEnv + "=1"}}
	assert.NilError(t, p.start())
	t.Cleanup(p.Kill)
	for range rounds {
		p.Stop()
		assert.NilError(t, checkFrozen(p.currentRun().cmd.Process.Pid))
		p.Cont()
	}
}

// spinEnv is set for the test binary when it runs TestSpin as the process to
// freeze.
const spinEnv = "MANGOSTAGE_TEST_SPIN"

func TestSpin(*testing.T) {
	if os.Getenv(spinEnv) == "" {
		return
	}
	for range spinThreads - 1 {
		go spin()
	}
	spin()
}

// spinThreads is the number of goroutines that keep threads running in TestSpin.
const spinThreads = 6

// spin keeps a thread running with repeated system calls.
func spin() {
	for {
		_, _ = os.Stat("/nonexistent")
	}
}

package harness

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// A test freezes an entry and sends it requests, which are to wait in its socket
// buffers. Some of its threads still run when the signal has been sent; they
// take a request and pass it on, and the test waits for an outcome that only a
// request in the buffer has.
func TestStopReturnsOnceEveryThreadStandsStill(t *testing.T) {
	const rounds = 20
	p := &Process{Name: "spinner", t: t, binary: os.Args[0], args: []string{"-test.run=^TestSpin$"}, env: []string{spinEnv + "=1"}}
	assert.NilError(t, p.start())
	t.Cleanup(p.Kill)
	for range rounds {
		p.Stop()
		assert.NilError(t, frozen(p.current().cmd.Process.Pid))
		p.Cont()
	}
}

// spinEnv makes TestSpin the process that is frozen.
const spinEnv = "MANGOSTAGE_TEST_SPIN"

func TestSpin(*testing.T) {
	if os.Getenv(spinEnv) == "" {
		return
	}
	for range spinners - 1 {
		go spin()
	}
	spin()
}

// spinners is the number of threads that run at the same time.
const spinners = 6

// spin keeps a thread running, in and out of the kernel.
func spin() {
	for {
		_, _ = os.Stat("/nonexistent")
	}
}

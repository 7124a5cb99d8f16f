// Package testwait lets tests wait for a condition instead of sleeping for a
// guessed time.
package testwait

import (
	"testing"
	"time"

	"gotest.tools/v3/poll"
)

// pollInterval is the interval at which a condition is checked.
const pollInterval = 2 * time.Millisecond

// For polls condition until it is true. It fails the test after timeout.
func For(t testing.TB, timeout time.Duration, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("the condition does not hold")
	}, poll.WithDelay(pollInterval), poll.WithTimeout(timeout))
}

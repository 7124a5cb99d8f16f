// Package testwait lets tests wait for a condition without sleeping for a
// guessed time.
package testwait

import (
	"testing"
	"time"

	"gotest.tools/v3/poll"
)

// pollEvery is how often a condition is looked at.
const pollEvery = 2 * time.Millisecond

// For polls until holds is true, and fails the test after patience.
func For(t testing.TB, patience time.Duration, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("the condition does not hold")
	}, poll.WithDelay(pollEvery), poll.WithTimeout(patience))
}

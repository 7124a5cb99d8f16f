package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Story: one engine of twelve is ten times slower. The accounts showed a third of
// all cost as wasted: each call that was left there was charged its whole time,
// each answer a sixteenth of its own, because sixteen share the engine.
func TestUnfinishedRunIsChargedItsShare(t *testing.T) {
	a := newAdmission()
	assert.Equal(t, a.charge(time.Second), time.Second, "nothing is known")
	for range 50 {
		a.complete(800*time.Millisecond, 50*time.Millisecond)
	}
	assert.Equal(t, a.charge(1600*time.Millisecond), 100*time.Millisecond)
	for range 100 {
		a.complete(time.Second, time.Second)
	}
	assert.Assert(t, a.charge(time.Second) > 990*time.Millisecond, "a later change counts")
}

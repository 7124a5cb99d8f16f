package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPauseIsNoTimeOfAStage: an entry is stopped for a second with calls out.
// When it wakes, results are handled before or after its first tick; none of
// them tells how long the stage takes, but those of calls made afterwards do.
func TestPauseIsNoTimeOfAStage(t *testing.T) {
	start := time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var p pauseWatch
	assert.Assert(t, !p.spanned(at(0), at(0)))
	p.tick(at(0))
	p.tick(at(tickInterval))
	sent := at(tickInterval + time.Millisecond)
	assert.Assert(t, !p.spanned(sent, at(2*tickInterval)))
	woke := at(time.Second + tickInterval)
	assert.Assert(t, p.spanned(sent, woke), "before the first tick")
	p.tick(woke.Add(time.Millisecond))
	assert.Assert(t, p.spanned(sent, woke.Add(2*time.Millisecond)), "after it")
	assert.Assert(t, !p.spanned(woke.Add(3*time.Millisecond), woke.Add(5*time.Millisecond)), "a call made since")
}

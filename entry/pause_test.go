package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPauseIsExcludedFromEstimates guards against latency samples that include a pause.
// An entry is paused for a second with calls in flight. When it resumes, results
// are handled before or after its first tick; none of them measures the stage,
// but results of calls made after the pause do.
func TestPauseIsExcludedFromEstimates(t *testing.T) {
	start := time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var p pauseDetector
	assert.Assert(t, !p.pausedSince(at(0), at(0)))
	p.tick(at(0))
	p.tick(at(tickInterval))
	sent := at(tickInterval + time.Millisecond)
	assert.Assert(t, !p.pausedSince(sent, at(2*tickInterval)))
	resumed := at(time.Second + tickInterval)
	assert.Assert(t, p.pausedSince(sent, resumed), "before the first tick")
	p.tick(resumed.Add(time.Millisecond))
	assert.Assert(t, p.pausedSince(sent, resumed.Add(2*time.Millisecond)), "after the first tick")
	assert.Assert(t, !p.pausedSince(resumed.Add(3*time.Millisecond), resumed.Add(5*time.Millisecond)), "a call made after the pause")
}

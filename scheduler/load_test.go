package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a summary that sums up the whole past, in which a crest does not show.
func TestSummaryHasTheEventsSinceTheLast(t *testing.T) {
	l := newLoad()
	now := time.Now()
	l.count(eventSubmit, now.Add(-time.Second), now)
	l.count(eventSubmit, now, now)
	first, _ := l.since(now, processorUse{All: 3 * time.Second})
	assert.Equal(t, first[eventSubmit].Events, 2)
	assert.Equal(t, first[eventSubmit].Waited, time.Second)
	l.count(eventDone, now, now)
	second, used := l.since(now.Add(summaryInterval), processorUse{All: 5 * time.Second})
	assert.Equal(t, used.All, 2*time.Second)
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[eventDone].Events, 1)
}

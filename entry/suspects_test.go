package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/suspect"
)

// One crash was told by every entry to every other three times a second for
// ten minutes, what was heard included: at 360 entries 708 KB/s for each. A
// crash is told at once, then now and then, and only by the entry that saw it.
func TestSuspectsAreSharedSparingly(t *testing.T) {
	var s suspectShare
	now := time.Now()
	assert.Assert(t, s.due(now))
	assert.Assert(t, !s.due(now.Add(tickInterval)))
	s.changed.Store(true)
	assert.Assert(t, s.due(now.Add(2*tickInterval)), "a crash is told at once")
	assert.Assert(t, !s.due(now.Add(3*tickInterval)))
	assert.Assert(t, s.due(now.Add(shareAgain+3*tickInterval)))

	table := suspect.New("entry-1@a", 3)
	other := suspect.New("entry-2@b", 3)
	key := suspect.Key("content", "generate")
	for _, t := range []*suspect.Table{table, other} {
		t.Begin(key, now)
		t.Crashed(key, suspect.Crash{Endpoint: "engines-1", Companions: 1}, now)
	}
	table.Merge(other.Counts(now), now)
	assert.Equal(t, len(table.Counts(now)), 2)
	assert.Equal(t, len(ownCounts(table.Counts(now), "entry-1@a")), 1)
}

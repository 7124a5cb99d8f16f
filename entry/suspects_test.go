package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/suspect"
)

// Guards against excessive sharing of crash counts. Every entry sent all counts,
// including those received, to every other entry three times a second for ten
// minutes: 708 KB/s per entry with 360 entries. A crash must be sent promptly,
// then every shareInterval, and only by the entry that saw it.
func TestSuspectsAreSharedSparingly(t *testing.T) {
	var s crashSharing
	now := time.Now()
	assert.Assert(t, s.due(now))
	assert.Assert(t, !s.due(now.Add(tickInterval)))
	s.changed.Store(true)
	assert.Assert(t, s.due(now.Add(2*tickInterval)), "a crash is sent at once")
	assert.Assert(t, !s.due(now.Add(3*tickInterval)))
	assert.Assert(t, s.due(now.Add(shareInterval+3*tickInterval)))

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

package origin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// epoch is the time at which these tests begin.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var v1, v2 = Origin{Service: "llm", Version: "v1"}, Origin{Service: "llm", Version: "v2"}

// Guards against a stream whose origin changes, or that is forgotten before its time while
// there is room.
func TestOriginNeverChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		type held struct {
			origin Origin
			until  time.Time
		}
		want := make(map[Stream]held)
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")) * time.Second)
			s := Stream(rapid.IntRange(1, 8).Draw(t, "stream"))
			o := rapid.SampledFrom([]Origin{v1, v2}).Draw(t, "origin")
			until := now.Add(time.Duration(rapid.IntRange(1, 6).Draw(t, "left")) * time.Second)
			known, ok := want[s]
			switch {
			case !ok || now.After(known.until):
				want[s] = held{o, until}
			case until.After(known.until):
				want[s] = held{known.origin, until}
			}
			table.Add(now, s, Record{Origin: o, Learned: now, Until: until})
			for stream, h := range want {
				r, found := table.Find(now, stream)
				if now.After(h.until) {
					assert.Assert(t, !found)
					delete(want, stream)
					continue
				}
				assert.Assert(t, found)
				assert.Equal(t, r.Origin, h.origin)
			}
		}
	})
}

// Guards against a table that grows without bound, and against one that forgets new streams
// first.
func TestFullTableForgetsTheOldest(t *testing.T) {
	table := NewTable()
	const more = 100
	for i := range maxStreams + more {
		table.Add(epoch, Stream(i+1), Record{Origin: v1, Until: epoch.Add(time.Minute)})
	}
	assert.Equal(t, table.Stats().Held, maxStreams)
	assert.Equal(t, table.Stats().Forgotten, uint64(more))
	_, found := table.Find(epoch, Stream(more))
	assert.Assert(t, !found)
	_, found = table.Find(epoch, Stream(more+1))
	assert.Assert(t, found)
}

// Guards against holders that change when a member comes or goes, and against members that
// hold most streams.
func TestHoldersAreSpread(t *testing.T) {
	const members, streams = 30, 3000
	var names []string
	for i := range members {
		names = append(names, fmt.Sprintf("g%d", i))
	}
	held := make(map[string]int)
	moved := 0
	for i := range streams {
		s := StreamOf(fmt.Sprint("attempt-", i))
		before := firstHolders(s, names, copies)
		assert.Equal(t, len(before), copies)
		for _, name := range before {
			held[name]++
		}
		after := firstHolders(s, names[:members-1], copies)
		for j := range after {
			if after[j] != before[j] {
				moved++
				break
			}
		}
	}
	mean := streams * copies / members
	for name, n := range held {
		assert.Assert(t, n > mean/2 && n < 2*mean, "%s holds %d streams, the mean is %d", name, n, mean)
	}
	assert.Assert(t, moved < 2*streams*copies/members, "%d streams have other holders", moved)
}

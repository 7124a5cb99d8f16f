package origin

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against streams that go on at another version, or that nobody knows any more, while
// gateways are killed, cut off and started, and versions come and go.
func TestStreamsAreKnownUnderFaults(t *testing.T) {
	for _, n := range []int{3, 30, 300} {
		seeds := *modelSeeds
		if n > meshMembers {
			seeds = max(1, seeds/10)
		}
		f := runSeeds(n, seeds, tellFew)
		f.log(t, n, seeds, tellFew)
		assert.Equal(t, f.other, 0)
		assert.Assert(t, float64(f.same) >= 0.9*float64(f.taken-f.lost), "%d of %d go on", f.same, f.taken)
	}
}

// Weighs the ways to know a stream's origin on the same seeds.
func TestWaysToKnowAStream(t *testing.T) {
	for _, n := range []int{3, 30} {
		seeds := *modelSeeds
		for _, w := range []way{tellFew, askOnly, hashed} {
			runSeeds(n, seeds, w).log(t, n, seeds, w)
		}
		told, asked := runSeeds(n, seeds, tellFew), runSeeds(n, seeds, askOnly)
		assert.Assert(t, told.unknown < asked.unknown)
		assert.Assert(t, runSeeds(n, seeds, hashed).other > 0)
	}
}

// Guards against knowing that costs more with the size of the fleet, and shows what it costs by
// the rate of streams: each is told to copies members, in messages that batch what begins
// together.
func TestCostOfKnowing(t *testing.T) {
	rates := []int{1, 10}
	if *modelSeeds > 4 {
		rates = append(rates, 60)
	}
	for _, n := range []int{3, 30, 300} {
		for _, rate := range rates {
			m := newModel(1, n, tellFew)
			m.rate, m.calm = rate, true
			f := m.run()
			seconds := float64(n) * modelTime.Seconds()
			most := 0
			for _, member := range m.members {
				most = max(most, member.table.Stats().Held)
			}
			t.Logf("%d members, %d streams a second each: %.1f messages and %.0f bytes a second sent by each, %d streams held by one at most",
				n, rate, float64(f.messages)/seconds, float64(f.bytes)/seconds, most)
			assert.Assert(t, f.messages <= copies*len(m.streams))
		}
	}
}

// BenchmarkHeldStreams shows the memory of a full table.
func BenchmarkHeldStreams(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := NewTable()
		for i := range maxStreams {
			table.Add(epoch, StreamOf(strconv.Itoa(i)), Record{Origin: v1, Learned: epoch, Until: epoch.Add(time.Minute)})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxStreams, "heap-B/stream")
		runtime.KeepAlive(table)
	}
}

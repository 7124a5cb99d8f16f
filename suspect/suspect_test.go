package suspect

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

const limit = 3

// crashOn runs content that crashes an endpoint, unless the table refuses it.
func crashOn(t *Table, key, endpoint string, now time.Time, with ...string) Decision {
	v := t.Begin(key, now)
	if !v.Refuse {
		t.Crashed(key, Crash{Endpoint: endpoint, Companions: len(with), CompanionKeys: with}, now)
	}
	return v
}

// One request crashes the engine that runs it, together with seven others in the
// batch. All eight are retried, each alone. Seven are answered and cleared; the eighth
// crashes a second engine and is refused from then on, with a retry delay, at every
// entry that has received the counts.
func TestCrashingContentIsQuarantinedAndCompanionsAreServed(t *testing.T) {
	table := New("entry-1/a", limit)
	batch := []string{"bad", "b", "c", "d", "e", "f", "g", "h"}
	for _, key := range batch {
		assert.Equal(t, table.Begin(key, start), Decision{})
	}
	for _, key := range batch {
		table.Crashed(key, Crash{Endpoint: "engine-1", Companions: 7}, start)
	}
	now := start.Add(time.Second)
	for _, key := range batch[1:] {
		assert.Equal(t, table.Begin(key, now), Decision{Exclusive: true})
		table.Succeeded(key, now)
		assert.Equal(t, table.Begin(key, now), Decision{})
		table.Ended(key, now)
	}
	assert.Equal(t, crashOn(table, "bad", "engine-2", now), Decision{Exclusive: true})
	assert.Equal(t, table.Begin("bad", now), Decision{Refuse: true, RetryAfter: quarantineDuration})
	other := New("entry-2/a", limit)
	other.Merge(table.Counts(now.Add(time.Minute)), now.Add(time.Minute))
	assert.Equal(t, other.RefusedFor("bad", now.Add(time.Minute)), quarantineDuration-time.Minute)
	assert.Equal(t, other.RefusedFor("b", now), time.Duration(0))
}

// A machine fails while its only request is one that is not the cause. The request is
// retried on another machine and answered; it must not be refused.
func TestFirstCrashAloneDoesNotQuarantine(t *testing.T) {
	table := New("entry-1/a", limit)
	crashOn(table, "a", "engine-1", start)
	assert.Equal(t, table.Begin("a", start), Decision{Exclusive: true})
	table.Succeeded("a", start)
	assert.Equal(t, table.Begin("a", start), Decision{})
}

func TestQuarantine(t *testing.T) {
	tests := map[string]struct {
		crashes func(table *Table)
		want    bool
	}{
		"different companions": {func(table *Table) {
			crashOn(table, "bad", "e1", start, "x")
			crashOn(table, "bad", "e2", start, "y")
			crashOn(table, "bad", "e3", start, "z")
		}, true},
		"unknown companions": {func(table *Table) {
			for _, e := range []string{"e1", "e2", "e3"} {
				table.Begin("bad", start)
				table.Crashed("bad", Crash{Endpoint: e, Companions: 4}, start)
			}
		}, true},
		"the same companion each time": {func(table *Table) {
			crashOn(table, "bad", "e1", start, "x", "y")
			crashOn(table, "bad", "e2", start, "x")
			crashOn(table, "bad", "e3", start, "x", "z")
		}, false},
		"the same companion too often": {func(table *Table) {
			for i := range 2 * limit {
				crashOn(table, "bad", fmt.Sprint(i), start, "x")
			}
		}, true},
		"copies report one crash": {func(table *Table) {
			for range 8 {
				crashOn(table, "bad", "e1", start, "x")
			}
		}, false},
		"only copies on the endpoint, then alone": {func(table *Table) {
			crashOn(table, "bad", "e1", start, "bad", "bad")
			crashOn(table, "bad", "e2", start)
		}, true},
		"two shared": {func(table *Table) {
			crashOn(table, "bad", "e1", start, "x")
			crashOn(table, "bad", "e2", start, "y")
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := New("entry-1/a", limit)
			test.crashes(table)
			assert.Equal(t, table.RefusedFor("bad", start) > 0, test.want)
		})
	}
}

// Popular content has copies from three entries on an engine that another request
// crashes. All three entries count the same crash; the sum would reach the limit and
// refuse content that is not the cause.
func TestOneCrashSeenByManyEntries(t *testing.T) {
	tables := []*Table{New("entry-1/a", limit), New("entry-2/a", limit), New("entry-3/a", limit)}
	for _, table := range tables {
		table.Begin("popular", start)
		table.Crashed("popular", Crash{Endpoint: "engine-1", Companions: 3}, start)
	}
	for _, table := range tables {
		tables[0].Merge(table.Counts(start), start)
	}
	assert.Equal(t, tables[0].RefusedFor("popular", start), time.Duration(0))
	assert.Equal(t, tables[0].Begin("popular", start), Decision{Exclusive: true})
}

// Content crashes engines at one entry until that entry quarantines it, while at
// another, which is partitioned, a successful run has cleared it. When the entries
// reach each other again, the clearance must not undo the quarantine.
func TestQuarantineOutlivesRemoteClearance(t *testing.T) {
	a, b := New("entry-1/a", limit), New("entry-2/a", limit)
	crashOn(a, "bad", "e1", start)
	b.Merge(a.Counts(start), start)
	b.Begin("bad", start)
	b.Succeeded("bad", start)
	crashOn(a, "bad", "e2", start)
	cleared, quarantined := b.Counts(start), a.Counts(start)
	a.Merge(cleared, start)
	b.Merge(quarantined, start)
	assert.Equal(t, a.RefusedFor("bad", start), quarantineDuration)
	assert.Equal(t, b.RefusedFor("bad", start), quarantineDuration)
}

func TestExpiry(t *testing.T) {
	table := New("entry-1/a", limit)
	crashOn(table, "shared", "e1", start, "x")
	crashOn(table, "bad", "e1", start)
	crashOn(table, "bad", "e2", start)
	now := start.Add(quarantineDuration)
	assert.Equal(t, table.RefusedFor("bad", now), time.Duration(0))
	// Quarantined content stays suspect, and one more crash quarantines it again.
	assert.Equal(t, crashOn(table, "bad", "e3", now), Decision{Exclusive: true})
	assert.Equal(t, table.RefusedFor("bad", now), quarantineDuration)
	assert.Equal(t, table.Begin("shared", now.Add(time.Second)), Decision{})
	table.Ended("shared", now)
	assert.Equal(t, table.Begin("bad", now.Add(suspectAfterQuarantine+time.Second)), Decision{})
	table.Ended("bad", now)
	for i := range table.shards {
		assert.Equal(t, len(table.shards[i].contents), 0)
	}
}

// TestCountsDoNotGrowYounger sends counts in a circle with delays: they must expire.
func TestCountsDoNotGrowYounger(t *testing.T) {
	a, b := New("a", limit), New("b", limit)
	crashOn(a, "x", "e1", start, "y")
	now := start
	for range 20 {
		counts := a.Counts(now)
		now = now.Add(40 * time.Second)
		b.Merge(counts, now)
		a.Merge(b.Counts(now), now.Add(time.Second))
	}
	assert.Equal(t, len(a.Counts(now)), 0)
}

func TestTableIsBounded(t *testing.T) {
	table := New("entry-1/a", limit)
	crashOn(table, "bad", "e1", start)
	crashOn(table, "bad", "e2", start)
	for i := range 3 * shardCount * maxSuspectsPerShard {
		crashOn(table, fmt.Sprint(i), "e1", start.Add(time.Duration(i)*time.Millisecond), "x")
	}
	for i := range table.shards {
		s := &table.shards[i]
		assert.Assert(t, len(s.contents) <= maxSuspectsPerShard && len(s.contents) == s.suspects)
	}
	assert.Equal(t, len(table.Counts(start)), maxCountsSent)
	assert.Assert(t, table.RefusedFor("bad", start) > 0)
}

// TestMergeAnyOrder delivers counts late, repeated and in any order: all tables that
// have received the same counts decide the same.
func TestMergeAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := New("a", limit)
		var sent [][]Count
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				source.Begin("x", start)
				source.Succeeded("x", start)
			default:
				with := rapid.SampledFrom([][]string{{}, {"y"}, {"z"}, {"y", "z"}}).Draw(t, "with")
				crashOn(source, "x", rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "endpoint"), start, with...)
			}
			sent = append(sent, source.Counts(start))
		}
		got := New("b", limit)
		for range rapid.IntRange(0, 10).Draw(t, "repeats") {
			got.Merge(rapid.SampledFrom(sent).Draw(t, "sent"), start)
		}
		for _, i := range rapid.Permutation(indexes(len(sent))).Draw(t, "order") {
			got.Merge(sent[i], start)
		}
		assert.Equal(t, got.RefusedFor("x", start), source.RefusedFor("x", start))
		want := source.Begin("x", start)
		assert.Equal(t, got.Begin("x", start), want)
	})
}

func indexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// TestCrashBound runs content that always crashes in any pattern at several entries
// that exchange counts now and then, and checks the bound on its crashes.
func TestCrashBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 4).Draw(t, "entries")
		crashes, running, most := make([]int, entries), make([]int, entries), make([]int, entries)
		tables := make([]*Table, entries)
		for i := range tables {
			tables[i] = New(fmt.Sprint("entry-", i), limit)
		}
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(2 * time.Second)
			i := rapid.IntRange(0, entries-1).Draw(t, "entry")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				v := tables[i].Begin("bad", now)
				if v.Refuse {
					continue
				}
				running[i]++
				if crashes[i] == 0 {
					most[i] = running[i]
				}
			case 2:
				if running[i] == 0 {
					continue
				}
				running[i]--
				crashes[i]++
				companions := rapid.IntRange(0, 3).Draw(t, "companions")
				tables[i].Crashed("bad", Crash{Endpoint: fmt.Sprint(i, crashes[i]), Companions: companions}, now)
			default:
				other := rapid.IntRange(0, entries-1).Draw(t, "other")
				tables[other].Merge(tables[i].Counts(now), now)
			}
		}
		for i := range crashes {
			assert.Assert(t, crashes[i] <= max(limit, most[i]), "%d crashes, %d at once", crashes[i], most[i])
		}
	})
}

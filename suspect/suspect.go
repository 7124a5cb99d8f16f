// Package suspect counts endpoint crashes by the content of the requests that
// were running, so that a request which crashes endpoints is stopped.
//
// A crash makes all content that was on the endpoint suspect, because a batch
// does not tell which part of it was the cause. Suspect content is run alone
// from then on. Content is convicted, and refused for a time, by
//
//   - a crash with nothing else on the endpoint, if it is not the first crash,
//     and if no other endpoint has just gone under other content: then that
//     content counts as a companion;
//   - the limit of crashes, if no other content was there each time;
//   - twice the limit, even if one was.
//
// A complete result clears content that is not convicted. So content that
// merely shared an endpoint is run alone once, is answered, and is free.
//
// The bound. At one entry, content causes at most as many crashes as the
// limit, or as copies of it were running when the first crash became known,
// whichever is more: afterwards no more are started at once than the limit
// leaves. Usually there are two: one in a batch and one alone. If agents do
// not run suspects alone, or other endpoints go at the same time, and the same
// other content crashes with it each time, it is twice the limit. Entries
// exchange their counts, so the bound holds for all entries that reach each
// other, plus the copies that each started before it heard. Under a partition it
// holds for each part; with n entries that each see only themselves, n times the
// bound. After a conviction has expired, one more crash renews it: one crash for
// each convictedFor.
package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// suspectFor is how long content stays suspect after its latest crash.
	suspectFor = 10 * time.Minute
	// convictedFor is how long convicted content is refused, and relapseFor
	// how long afterwards it still counts as suspect.
	convictedFor = 10 * time.Minute
	relapseFor   = time.Hour
	// newFor is the age up to which an unknown count is taken in. It is less
	// than suspectFor by more than a message takes: a count that one entry has
	// dropped as too old must not come back, younger by the delay, from another.
	newFor = suspectFor - time.Minute
	// busyRetry is when to come back while other copies of suspect content run.
	busyRetry = time.Second

	shardCount = 16
	// shardMax is the most suspects kept in one shard. A full shard forgets
	// the one with the oldest crash, convicted ones last.
	shardMax = 256
	// placesMax is the most pairs of entry and endpoint counted for one content.
	placesMax = 64
	// sameCrash is the time within which copies of content report one and the
	// same crash of an endpoint.
	sameCrash = time.Second
	// companionsMax is the most companions remembered of a crash.
	companionsMax = 16
	// countsMax is the most counts sent at once.
	countsMax = 512
)

// Verdict says how content may be run.
type Verdict struct {
	// Refuse: do not run it.
	Refuse bool
	// RetryAfter is when a refused request may be taken.
	RetryAfter time.Duration
	// Alone: run it with nothing else on the endpoint.
	Alone bool
}

// Crash is one crash of an endpoint under a call with the content.
type Crash struct {
	Endpoint string
	// Companions is the number of other calls on the endpoint.
	Companions int
	// With holds the keys of their content, as far as known.
	With []string
}

// Count is what one entry saw of one content on one endpoint; entries
// exchange them.
type Count struct {
	// Entry names one run of one entry.
	Entry    string `json:"entry"`
	Endpoint string `json:"endpoint,omitempty"`
	// Fingerprint is the key of the content.
	Fingerprint string `json:"fingerprint"`
	// Epoch grows when a success clears the content.
	Epoch uint64 `json:"epoch"`
	// Alone and Shared are the numbers of crashes without and with companions.
	Alone  int `json:"alone"`
	Shared int `json:"shared"`
	// With holds the companions present at each shared one, Known tells
	// whether they are known.
	With  []string `json:"with,omitempty"`
	Known bool     `json:"known,omitempty"`
	// Convicted content stays so although another entry clears it.
	Convicted bool `json:"convicted,omitempty"`
	// Age is the time since the latest crash, in place of a time by the sender's clock.
	Age time.Duration `json:"age_ns"`
}

// Key names content at one stage. A request that crashes the endpoints of its
// last stage succeeds at the first; a key without the stage would be cleared
// each time.
func Key(fingerprint, stage string) string { return fingerprint + "/" + stage }

// Table is one entry's view of crashes by content, in shards by key, each
// under its own lock.
type Table struct {
	entry  string
	limit  int
	outage outage
	shards [shardCount]shard
}

// shard holds the contents whose keys hash to it.
type shard struct {
	mu       sync.Mutex
	contents map[string]*content
	suspects int
}

// New returns an empty table of the entry. A new run of an entry should have
// a new name, or its counts pass for those of the run before.
func New(entry string, crashLimit int) *Table {
	t := &Table{entry: entry, limit: max(1, crashLimit)}
	for i := range t.shards {
		t.shards[i].contents = make(map[string]*content)
	}
	return t
}

// Begin asks to run content. Each run that is not refused ends with one of
// Crashed, Succeeded and Ended.
func (t *Table) Begin(key string, now time.Time) Verdict {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.content(key, now)
	v := c.verdict(t.limit, now)
	if !v.Refuse {
		c.running++
	}
	s.settle(key, c)
	return v
}

// Refused tells, without a run, for how long content is refused; zero if it is not.
func (t *Table) Refused(key string, now time.Time) time.Duration {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.contents[key]
	if c == nil {
		return 0
	}
	return max(0, c.convictedUntil.Sub(now))
}

// Crashed ends a run by a crash of its endpoint.
func (t *Table) Crashed(key string, crash Crash, now time.Time) {
	if others := t.outage.companions(key, crash, now); crash.Companions == 0 && len(others) > 0 {
		crash.Companions, crash.With = len(others), others
	}
	t.end(key, now, func(c *content) { c.crashed(t.entry, key, t.limit, crash, now) })
}

// Succeeded ends a run by a complete result.
func (t *Table) Succeeded(key string, now time.Time) {
	t.end(key, now, func(c *content) { c.succeeded(t.entry, now) })
}

// Ended ends a run that says nothing about the content.
func (t *Table) Ended(key string, now time.Time) {
	t.end(key, now, func(*content) {})
}

func (t *Table) end(key string, now time.Time, change func(c *content)) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.content(key, now)
	c.running = max(0, c.running-1)
	change(c)
	s.settle(key, c)
}

// Counts returns what this entry knows of suspects, to be sent to others; the
// latest countsMax if there are more.
func (t *Table) Counts(now time.Time) []Count {
	var counts []Count
	for i := range t.shards {
		counts = t.shards[i].appendCounts(counts, now)
	}
	slices.SortFunc(counts, func(a, b Count) int { return cmp.Compare(a.Age, b.Age) })
	return counts[:min(len(counts), countsMax)]
}

// Merge takes in what another entry knows. Counts only grow within an epoch
// and the highest of each entry stands, so they may come late, repeated and
// in any order.
func (t *Table) Merge(counts []Count, now time.Time) {
	for i := range counts {
		t.merge(&counts[i], now)
	}
}

func (t *Table) merge(count *Count, now time.Time) {
	if count.Age < 0 || count.Age > relapseFor || len(count.With) > companionsMax {
		return
	}
	s := t.shard(count.Fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.content(count.Fingerprint, now)
	c.merge(*count, now.Add(-count.Age), t.limit)
	s.settle(count.Fingerprint, c)
}

func (t *Table) shard(key string) *shard {
	return &t.shards[xxhash.Sum64String(key)%shardCount]
}

// content returns the content of a key, without what has expired.
func (s *shard) content(key string, now time.Time) *content {
	c := s.contents[key]
	if c == nil {
		return &content{}
	}
	c.expire(now)
	return c
}

// settle keeps c if there is anything to remember, and bounds the suspects.
// The number of contents that are merely running is that of calls in flight.
func (s *shard) settle(key string, c *content) {
	if old := s.contents[key]; old != nil && old.listed {
		s.suspects--
	}
	c.listed = len(c.counts) > 0
	if !c.listed && c.running == 0 {
		delete(s.contents, key)
		return
	}
	s.contents[key] = c
	if !c.listed {
		return
	}
	s.suspects++
	if s.suspects > shardMax {
		s.evict(key)
	}
}

// evict forgets one suspect other than the one of the key.
func (s *shard) evict(except string) {
	oldest := ""
	for key, c := range s.contents {
		if key == except || !c.listed {
			continue
		}
		if oldest == "" || c.before(s.contents[oldest]) {
			oldest = key
		}
	}
	if oldest == "" {
		return
	}
	c := s.contents[oldest]
	s.suspects--
	*c = content{running: c.running}
	if c.running == 0 {
		delete(s.contents, oldest)
	}
}

func (s *shard) appendCounts(counts []Count, now time.Time) []Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, c := range s.contents {
		c.expire(now)
		for at, n := range c.counts {
			counts = append(counts, Count{
				Entry: at.entry, Endpoint: at.endpoint, Fingerprint: key, Epoch: c.epoch, Alone: n.alone, Shared: n.shared,
				With: n.with, Known: n.known, Convicted: now.Before(c.convictedUntil), Age: max(0, now.Sub(n.at)),
			})
		}
		s.settle(key, c)
	}
	return counts
}

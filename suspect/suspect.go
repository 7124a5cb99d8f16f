// Package suspect counts endpoint crashes by the content of the requests that were
// running, so that a request which crashes endpoints is stopped.
//
// A crash makes all content on the endpoint suspect, because a batch does not show
// which part of it was the cause. From then on, suspect content runs alone. Content is
// quarantined, that is refused for a time, after
//
//   - a crash with nothing else on the endpoint, unless it is the content's first
//     crash and the limit is more than one; if another endpoint has just crashed under
//     other content, that content counts as a companion;
//   - as many crashes as the limit, and at least two, if no other content was present
//     at each of them;
//   - twice as many, even if other content was.
//
// A complete result clears content that is not quarantined. So content that merely
// shared an endpoint with the cause runs alone once, is answered, and is cleared.
//
// Bound: at one entry, content causes at most as many crashes as the limit, or as
// copies of it were running when the first crash became known, whichever is more:
// afterwards no more copies are started at once than the limit leaves. Usually there
// are two crashes: one in a batch and one alone. If agents do not run suspects alone,
// or other endpoints crash at the same time, and the same other content is present
// each time, the bound is twice the limit. Entries exchange their counts, so the bound
// holds for all entries that reach each other, plus the copies that each of them
// started before it received the counts. Under a partition it holds for each part: with
// n entries that are cut off from each other, it is n times the bound. After a
// quarantine has expired, one more crash renews it: one crash for each
// quarantineDuration.
package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// suspectDuration is how long content stays suspect after its latest crash.
	suspectDuration = 10 * time.Minute
	// quarantineDuration is how long quarantined content is refused, and
	// suspectAfterQuarantine how long it stays suspect, both from its latest crash.
	quarantineDuration     = 10 * time.Minute
	suspectAfterQuarantine = time.Hour
	// maxNewCountAge is the age up to which an unknown count is merged. It is less than
	// suspectDuration by more than the delay of a message: a count that one entry has
	// expired must not come back, younger by the delay, from another.
	maxNewCountAge = suspectDuration - time.Minute
	// copiesRetryAfter is the retry delay while other copies of suspect content run.
	copiesRetryAfter = time.Second

	shardCount = 16
	// maxSuspectsPerShard is the maximum number of suspects in one shard. A full shard
	// evicts the one with the oldest crash, quarantined ones last.
	maxSuspectsPerShard = 256
	// maxCountsPerContent is the maximum number of pairs of entry and endpoint counted for
	// one content.
	maxCountsPerContent = 64
	// sameCrashWindow is the time within which several copies of content report the same
	// crash of an endpoint.
	sameCrashWindow = time.Second
	// maxCompanions is the maximum number of companions remembered for a crash.
	maxCompanions = 16
	// maxCountsSent is the maximum number of counts sent at once.
	maxCountsSent = 512
)

// Decision says whether and how content may be run.
type Decision struct {
	// Refuse is true if the content must not be run.
	Refuse bool
	// RetryAfter is the time after which a refused request may be tried again.
	RetryAfter time.Duration
	// Exclusive is true if the content must run with nothing else on the endpoint.
	Exclusive bool
}

// Crash is a crash of an endpoint during a call with the content.
type Crash struct {
	Endpoint string
	// Companions is the number of other calls on the endpoint.
	Companions int
	// CompanionKeys holds the keys of their content, as far as known.
	CompanionKeys []string
}

// Count is what one entry observed of one content on one endpoint. Entries exchange
// counts.
type Count struct {
	// Entry identifies one run of one entry.
	Entry    string `json:"entry"`
	Endpoint string `json:"endpoint,omitempty"`
	// Fingerprint is the key of the content.
	Fingerprint string `json:"fingerprint"`
	// Epoch grows when a success clears the content.
	Epoch uint64 `json:"epoch"`
	// Alone and Shared are the numbers of crashes without and with companions.
	Alone  int `json:"alone"`
	Shared int `json:"shared"`
	// CompanionKeys holds the keys of the companions present at every shared crash.
	// CompanionsKnown is true if they are known.
	CompanionKeys   []string `json:"with,omitempty"`
	CompanionsKnown bool     `json:"known,omitempty"`
	// Quarantined is true while the content is quarantined, which holds even if another
	// entry clears the content.
	Quarantined bool `json:"convicted,omitempty"`
	// Age is the time since the latest crash. It is relative because the entries' clocks
	// differ.
	Age time.Duration `json:"age_ns"`
}

// Key returns the key of content at one stage. The stage is part of the key because a
// request that crashes the endpoints of its last stage succeeds at the first, which
// would clear a common key each time.
func Key(fingerprint, stage string) string { return fingerprint + "/" + stage }

// Table is one entry's view of crashes by content. It is divided into shards by key,
// each with its own lock.
type Table struct {
	entry          string
	limit          int
	outageDetector outageDetector
	shards         [shardCount]shard
}

// shard holds the content whose keys hash to it.
type shard struct {
	mu       sync.Mutex
	contents map[string]*contentState
	// suspects is the number of contents that are suspect.
	suspects int
}

// New returns an empty table of the entry. Each run of an entry needs a new name, or
// its counts are taken for those of the run before.
func New(entry string, crashLimit int) *Table {
	t := &Table{entry: entry, limit: max(1, crashLimit)}
	for i := range t.shards {
		t.shards[i].contents = make(map[string]*contentState)
	}
	return t
}

// Begin asks whether content may be run. Each run that is not refused must end with
// one of Crashed, Succeeded and Ended.
func (t *Table) Begin(key string, now time.Time) Decision {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.get(key, now)
	v := c.decide(t.limit, now)
	if !v.Refuse {
		c.running++
	}
	s.update(key, c)
	return v
}

// RefusedFor returns how long content is still refused, or 0 if it is not, without
// beginning a run.
func (t *Table) RefusedFor(key string, now time.Time) time.Duration {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.contents[key]
	if c == nil {
		return 0
	}
	return max(0, c.quarantinedUntil.Sub(now))
}

// Crashed ends a run whose endpoint crashed.
func (t *Table) Crashed(key string, crash Crash, now time.Time) {
	if others := t.outageDetector.companions(key, crash, now); crash.Companions == 0 && len(others) > 0 {
		crash.Companions, crash.CompanionKeys = len(others), others
	}
	t.end(key, now, func(c *contentState) { c.recordCrash(t.entry, key, t.limit, crash, now) })
}

// Succeeded ends a run with a complete result.
func (t *Table) Succeeded(key string, now time.Time) {
	t.end(key, now, func(c *contentState) { c.recordSuccess(t.entry, now) })
}

// Ended ends a run that neither crashed its endpoint nor gave a complete result.
func (t *Table) Ended(key string, now time.Time) {
	t.end(key, now, func(*contentState) {})
}

// end ends a run and applies a change to its content.
func (t *Table) end(key string, now time.Time, change func(c *contentState)) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.get(key, now)
	c.running = max(0, c.running-1)
	change(c)
	s.update(key, c)
}

// Counts returns this entry's counts of suspects to send to other entries: the latest
// maxCountsSent if there are more.
func (t *Table) Counts(now time.Time) []Count {
	var counts []Count
	for i := range t.shards {
		counts = t.shards[i].appendCounts(counts, now)
	}
	slices.SortFunc(counts, func(a, b Count) int { return cmp.Compare(a.Age, b.Age) })
	return counts[:min(len(counts), maxCountsSent)]
}

// Merge merges the counts of another entry. Counts only grow within an epoch and the
// highest of each entry is kept, so they may arrive late, repeated and in any order.
func (t *Table) Merge(counts []Count, now time.Time) {
	for i := range counts {
		t.merge(&counts[i], now)
	}
}

func (t *Table) merge(count *Count, now time.Time) {
	if count.Age < 0 || count.Age > suspectAfterQuarantine || len(count.CompanionKeys) > maxCompanions {
		return
	}
	s := t.shard(count.Fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.get(count.Fingerprint, now)
	c.merge(*count, now.Add(-count.Age), t.limit)
	s.update(count.Fingerprint, c)
}

func (t *Table) shard(key string) *shard {
	return &t.shards[xxhash.Sum64String(key)%shardCount]
}

// get returns the state of the key's content after removing what has expired, or a new
// state if there is none.
func (s *shard) get(key string, now time.Time) *contentState {
	c := s.contents[key]
	if c == nil {
		return &contentState{}
	}
	c.expire(now)
	return c
}

// update stores the state, or deletes it if it holds nothing, and bounds the number of
// suspects. The number of contents that are only running is that of the calls in
// flight.
func (s *shard) update(key string, c *contentState) {
	if old := s.contents[key]; old != nil && old.isSuspect {
		s.suspects--
	}
	c.isSuspect = len(c.counts) > 0
	if !c.isSuspect && c.running == 0 {
		delete(s.contents, key)
		return
	}
	s.contents[key] = c
	if !c.isSuspect {
		return
	}
	s.suspects++
	if s.suspects > maxSuspectsPerShard {
		s.evict(key)
	}
}

// evict removes the suspect that is the first to evict, except the one of the key.
func (s *shard) evict(except string) {
	oldest := ""
	for key, c := range s.contents {
		if key == except || !c.isSuspect {
			continue
		}
		if oldest == "" || c.evictBefore(s.contents[oldest]) {
			oldest = key
		}
	}
	if oldest == "" {
		return
	}
	c := s.contents[oldest]
	s.suspects--
	*c = contentState{running: c.running}
	if c.running == 0 {
		delete(s.contents, oldest)
	}
}

// appendCounts appends the counts of the shard's suspects.
func (s *shard) appendCounts(counts []Count, now time.Time) []Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, c := range s.contents {
		c.expire(now)
		for from, n := range c.counts {
			counts = append(counts, Count{
				Entry: from.entry, Endpoint: from.endpoint, Fingerprint: key, Epoch: c.epoch, Alone: n.alone, Shared: n.shared,
				CompanionKeys: n.companions, CompanionsKnown: n.companionsKnown, Quarantined: now.Before(c.quarantinedUntil), Age: max(0, now.Sub(n.at)),
			})
		}
		s.update(key, c)
	}
	return counts
}

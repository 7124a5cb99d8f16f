package origin

import (
	"sync"
	"time"
)

// maxStreams bounds the streams that a table holds. A full one forgets those first that
// have been held for longest.
const maxStreams = 1 << 17

// Table holds the origins of streams. It does no I/O and is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[Stream]Record
	// queue holds the streams in the order in which they were added.
	queue []Stream
	// origins holds one copy of each origin and name, so that records share their text.
	origins map[Origin]Origin
	// forgotten counts the streams that were forgotten before their time.
	forgotten uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[Stream]Record), origins: make(map[Origin]Origin)}
}

// Add records a stream. Of a stream that is known only the time until which it is held may
// change, and whether its origin is believed: where it began never does.
func (t *Table) Add(now time.Time, s Stream, r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.records[s]
	switch {
	case !ok:
		t.makeRoomLocked(now)
		t.queue = append(t.queue, s)
	case now.After(known.Until):
	default:
		r = known.merge(r)
	}
	r.Origin = t.sharedLocked(r.Origin)
	t.records[s] = r
}

// merge returns the record with what another one of the same stream adds.
func (r Record) merge(o Record) Record {
	r.Unclear = r.Unclear || o.Unclear
	if o.Proof.IsZero() {
		r.Proof = Proof{}
	}
	if o.Until.After(r.Until) {
		r.Until = o.Until
	}
	return r
}

// sharedLocked returns the copy of an origin that all its records share.
func (t *Table) sharedLocked(o Origin) Origin {
	if shared, ok := t.origins[o]; ok {
		return shared
	}
	if len(t.origins) >= maxOrigins {
		clear(t.origins)
	}
	t.origins[o] = o
	return o
}

// makeRoomLocked forgets the streams at the head of the queue whose time is over, and the
// first one if the table is full.
func (t *Table) makeRoomLocked(now time.Time) {
	for looked := 0; len(t.queue) > 0 && looked < maxLookedAt; looked++ {
		s := t.queue[0]
		over := now.After(t.records[s].Until)
		full := len(t.records) >= maxStreams
		if !over && !full {
			return
		}
		t.queue = t.queue[1:]
		delete(t.records, s)
		if !over {
			t.forgotten++
		}
	}
}

const (
	// maxOrigins bounds the shared copies of origins.
	maxOrigins = 1 << 10
	// maxLookedAt bounds the streams that are forgotten when one is added.
	maxLookedAt = 64
)

// Find returns what is known of a stream.
func (t *Table) Find(now time.Time, s Stream) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[s]
	if !ok || now.After(r.Until) {
		return Record{}, false
	}
	return r, true
}

// Latest calls yield with the streams that were added last, the newest first, until it
// returns false.
func (t *Table) Latest(now time.Time, yield func(Stream, Record) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.queue) - 1; i >= 0; i-- {
		r := t.records[t.queue[i]]
		if !now.After(r.Until) && !yield(t.queue[i], r) {
			return
		}
	}
}

// Stats are figures of a table.
type Stats struct {
	// Held is the number of streams, Forgotten that of those forgotten before their time.
	Held      int    `json:"held"`
	Forgotten uint64 `json:"forgotten"`
}

// Stats returns the figures.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Held: len(t.records), Forgotten: t.forgotten}
}

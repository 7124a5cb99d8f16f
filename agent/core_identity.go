package agent

import (
	"container/list"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/wire"
)

// identityKey is what two sendings of one call have in common.
type identityKey struct {
	identity string
	stage    string
}

// recordState is how far the call of an identity got.
type recordState uint8

const (
	// recordReserved: taken, but not written to the endpoint.
	recordReserved recordState = iota
	// recordCommitted: it may have been written.
	recordCommitted
	// recordDone: its result is held.
	recordDone
	// recordLost: it was or may have been written and has no result, and never will.
	recordLost
)

// record is what the process knows of one identity at one stage.
type record struct {
	key          identityKey
	bodyHash     string
	keyTime      time.Time
	unrepeatable bool
	state        recordState
	// run is set while the record is reserved or committed.
	run    *Run
	result wire.StageResult
	size   int
	until  time.Time
	// recent is the place among results that may be forgotten.
	recent *list.Element
}

// identityTable suppresses duplicates.
//
// An unrepeatable call has one record from its first arrival until its key is
// too old to be accepted, so that no second sending finds the table empty. A
// full shard refuses new unrepeatable calls. Results of repeatable calls are a
// convenience and the least recently used is forgotten first.
type identityTable struct {
	limits tableLimits
	shards [shardCount]identityShard
}

// tableLimits are for one shard.
type tableLimits struct {
	unrepeatable      int
	unrepeatableBytes int
	results           int
	resultBytes       int
}

type identityShard struct {
	mu      sync.Mutex
	records map[identityKey]*record
	// unrepeatable and its bytes count what must not be forgotten.
	unrepeatable      int
	unrepeatableBytes int
	// recent lists repeatable results, the latest used first.
	recent      *list.List
	resultBytes int
	// horizon is the latest key time of a forgotten unrepeatable record. No
	// unseen key up to it is taken for new, whatever the clock and the retention
	// in force say by then.
	horizon time.Time
	swept   time.Time
	// fences bar calls that were denied before they came.
	fences map[identityKey]fence
}

func newIdentityTable(limits tableLimits) *identityTable {
	t := &identityTable{limits: limits}
	for i := range t.shards {
		t.shards[i].records = make(map[identityKey]*record)
		t.shards[i].fences = make(map[identityKey]fence)
		t.shards[i].recent = list.New()
	}
	return t
}

func (t *identityTable) shard(key identityKey) *identityShard {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key.identity)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key.stage)
	return &t.shards[d.Sum64()%shardCount]
}

// room tells whether another unrepeatable record fits.
func (s *identityShard) room(now time.Time, limits tableLimits) bool {
	fits := func() bool {
		return s.unrepeatable < limits.unrepeatable && s.unrepeatableBytes < limits.unrepeatableBytes
	}
	if fits() {
		return true
	}
	if now.Sub(s.swept) < TickInterval {
		return false
	}
	s.sweep(now)
	return fits()
}

func (s *identityShard) insert(rec *record) {
	s.records[rec.key] = rec
	if rec.unrepeatable {
		s.unrepeatable++
	}
}

// promote makes a record unforgettable: its stage has become unrepeatable.
func (s *identityShard) promote(rec *record) {
	if rec.unrepeatable {
		return
	}
	s.dropRecent(rec)
	rec.unrepeatable = true
	s.unrepeatable++
	s.unrepeatableBytes += rec.size
}

// remove forgets a record. Its caller has made sure that it may.
func (s *identityShard) remove(rec *record) {
	if s.records[rec.key] != rec {
		return
	}
	delete(s.records, rec.key)
	s.dropRecent(rec)
	if rec.unrepeatable {
		s.unrepeatable--
		s.unrepeatableBytes -= rec.size
	}
}

func (s *identityShard) dropRecent(rec *record) {
	if rec.recent == nil {
		return
	}
	s.recent.Remove(rec.recent)
	s.resultBytes -= rec.size
	rec.recent = nil
}

// hold keeps the result of a finished run.
func (s *identityShard) hold(rec *record, result wire.StageResult, until time.Time, limits tableLimits) {
	rec.state = recordDone
	rec.run = nil
	rec.result = result
	rec.until = until
	rec.size = len(result.Output)
	if rec.unrepeatable {
		s.unrepeatableBytes += rec.size
		return
	}
	rec.recent = s.recent.PushFront(rec)
	s.resultBytes += rec.size
	for s.recent.Len() > limits.results || s.resultBytes > limits.resultBytes {
		oldest, ok := s.recent.Back().Value.(*record)
		if !ok {
			return
		}
		s.remove(oldest)
	}
}

// lose marks a run whose end is not known. The record stays for as long as a
// result would, for a second run would be a double.
func (s *identityShard) lose(rec *record, until time.Time) {
	rec.state = recordLost
	rec.run = nil
	rec.until = until
}

func (s *identityShard) touch(rec *record) {
	if rec.recent != nil {
		s.recent.MoveToFront(rec.recent)
	}
}

// sweep forgets what has outlived its time.
func (s *identityShard) sweep(now time.Time) {
	s.swept = now
	for key, f := range s.fences {
		if now.After(f.until) {
			delete(s.fences, key)
		}
	}
	for _, rec := range s.records {
		if rec.run != nil || !now.After(rec.until) {
			continue
		}
		if rec.unrepeatable && rec.keyTime.After(s.horizon) {
			s.horizon = rec.keyTime
		}
		s.remove(rec)
	}
}

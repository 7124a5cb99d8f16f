package agent

import (
	"container/list"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/wire"
)

// identityKey identifies a call across resends.
type identityKey struct {
	identity string
	stage    string
}

// recordState is the progress of an identity's call.
type recordState uint8

const (
	// recordReserved means that the call was accepted but not written to the
	// endpoint.
	recordReserved recordState = iota
	// recordCommitted means that the call may have been written.
	recordCommitted
	// recordDone means that the result is stored.
	recordDone
	// recordLost means that the call was or may have been written and will
	// never have a result.
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
	// size is the length of the result's output in bytes.
	size int
	// expires is when the record may be removed, once it has no run.
	expires time.Time
	// lru is the record's element in the shard's LRU list; nil unless the record
	// holds the result of a repeatable call.
	lru *list.Element
}

// identityTable suppresses duplicates.
//
// An unrepeatable call has a record from its first arrival until its key is too
// old to be accepted, so that every resend finds it. A full shard therefore
// refuses new unrepeatable calls. Results of repeatable calls are only a cache,
// evicted least recently used first.
type identityTable struct {
	limits tableLimits
	shards [shardCount]identityShard
}

// tableLimits are the bounds of one shard.
type tableLimits struct {
	unrepeatable      int
	unrepeatableBytes int
	results           int
	resultBytes       int
}

type identityShard struct {
	mu      sync.Mutex
	records map[identityKey]*record
	// unrepeatable and unrepeatableBytes count the records that must not be
	// evicted and the bytes of their results.
	unrepeatable      int
	unrepeatableBytes int
	// lru lists the results of repeatable calls, the most recently used first,
	// and resultBytes is their total size.
	lru         *list.List
	resultBytes int
	// newestForgotten is the latest key time of a removed unrepeatable record.
	// A key without a record that is not later counts as too old, even if the
	// clock was set back or the retention was raised since.
	newestForgotten time.Time
	lastSweep       time.Time
	// fences block calls that a peek answered with "never" before they arrived.
	fences map[identityKey]fence
}

func newIdentityTable(limits tableLimits) *identityTable {
	t := &identityTable{limits: limits}
	for i := range t.shards {
		t.shards[i].records = make(map[identityKey]*record)
		t.shards[i].fences = make(map[identityKey]fence)
		t.shards[i].lru = list.New()
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

// hasRoom reports whether the shard can take another unrepeatable record. It
// sweeps a full shard first, at most once per TickInterval.
func (s *identityShard) hasRoom(now time.Time, limits tableLimits) bool {
	fits := func() bool {
		return s.unrepeatable < limits.unrepeatable && s.unrepeatableBytes < limits.unrepeatableBytes
	}
	if fits() {
		return true
	}
	if now.Sub(s.lastSweep) < TickInterval {
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

// makeUnrepeatable protects a record from eviction, because its stage has
// become unrepeatable since the record was created.
func (s *identityShard) makeUnrepeatable(rec *record) {
	if rec.unrepeatable {
		return
	}
	s.removeFromLRU(rec)
	rec.unrepeatable = true
	s.unrepeatable++
	s.unrepeatableBytes += rec.size
}

// remove removes a record. The caller must make sure that it is no longer
// needed.
func (s *identityShard) remove(rec *record) {
	if s.records[rec.key] != rec {
		return
	}
	delete(s.records, rec.key)
	s.removeFromLRU(rec)
	if rec.unrepeatable {
		s.unrepeatable--
		s.unrepeatableBytes -= rec.size
	}
}

func (s *identityShard) removeFromLRU(rec *record) {
	if rec.lru == nil {
		return
	}
	s.lru.Remove(rec.lru)
	s.resultBytes -= rec.size
	rec.lru = nil
}

// storeResult stores the result of a finished run, and evicts results of
// repeatable calls that are over the limits.
func (s *identityShard) storeResult(rec *record, result wire.StageResult, until time.Time, limits tableLimits) {
	rec.state = recordDone
	rec.run = nil
	rec.result = result
	rec.expires = until
	rec.size = len(result.Output)
	if rec.unrepeatable {
		s.unrepeatableBytes += rec.size
		return
	}
	rec.lru = s.lru.PushFront(rec)
	s.resultBytes += rec.size
	for s.lru.Len() > limits.results || s.resultBytes > limits.resultBytes {
		oldest, ok := s.lru.Back().Value.(*record)
		if !ok {
			return
		}
		s.remove(oldest)
	}
}

// markLost marks a record whose run has no known result. It is kept as long as
// a result would be, because a second run could be a duplicate.
func (s *identityShard) markLost(rec *record, until time.Time) {
	rec.state = recordLost
	rec.run = nil
	rec.expires = until
}

func (s *identityShard) markUsed(rec *record) {
	if rec.lru != nil {
		s.lru.MoveToFront(rec.lru)
	}
}

// sweep removes expired fences and records.
func (s *identityShard) sweep(now time.Time) {
	s.lastSweep = now
	for key, f := range s.fences {
		if now.After(f.expires) {
			delete(s.fences, key)
		}
	}
	for _, rec := range s.records {
		if rec.run != nil || !now.After(rec.expires) {
			continue
		}
		if rec.unrepeatable && rec.keyTime.After(s.newestForgotten) {
			s.newestForgotten = rec.keyTime
		}
		s.remove(rec)
	}
}

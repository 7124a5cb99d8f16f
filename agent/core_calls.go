package agent

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/wire"
)

// fate is what is known of a call that has no run.
type fate uint8

const (
	// fateNotRun calls were refused or revoked: no copy of them may ever run.
	fateNotRun fate = iota
	// fateRan calls were answered with the result of another sending.
	fateRan
	// fateUnknown calls were told that an earlier sending may have run.
	fateUnknown
)

// callNote remembers one call by its ID until no copy of it can be accepted.
type callNote struct {
	// run is what the call waits or waited for; nil if it never had one.
	run   *Run
	fate  fate
	until time.Time
}

// callTable remembers calls by ID, so that a revocation is answered with the
// truth and a delayed copy of a revoked call does not run.
//
// The failure: an entry loses its connection after writing a call, connects
// anew and revokes. The revocation arrives while the call still waits in the
// socket of the old connection. "Not run" is true only if that copy is refused
// when it is read at last. A copy that arrives after its deadline plus
// MaxClockSkew is refused for its deadline, so no note is needed any longer.
type callTable struct {
	perShard int
	shards   [shardCount]callShard
}

type callShard struct {
	mu    sync.Mutex
	notes map[wire.CallID]*callNote
	// closedUntil is set when a tombstone found no room. No call that the shard
	// has not seen is accepted before then: refusing many calls keeps the
	// promise about the one, forgetting the tombstone would break it.
	closedUntil time.Time
	swept       time.Time
}

func newCallTable(limit int) *callTable {
	t := &callTable{perShard: max(1, limit/shardCount)}
	for i := range t.shards {
		t.shards[i].notes = make(map[wire.CallID]*callNote)
	}
	return t
}

func (t *callTable) shard(id wire.CallID) *callShard {
	return &t.shards[xxhash.Sum64String(id.Request)%shardCount]
}

// get returns a copy of the note of a call.
func (t *callTable) get(id wire.CallID) (callNote, bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	note, ok := s.notes[id]
	if !ok {
		return callNote{}, false
	}
	return *note, true
}

// bindResult tells whether a call may wait for a run.
type bindResult uint8

const (
	bindOK bindResult = iota
	// bindFull: there is no room to remember the call.
	bindFull
	// bindBarred: the call was refused or revoked before.
	bindBarred
	// bindSeen: another copy of the call was taken before.
	bindSeen
)

// bind ties a call to its run in one step, so that a revocation finds either
// no note, and leaves a tombstone that bind sees, or the run.
func (t *callTable) bind(now time.Time, id wire.CallID, run *Run, until time.Time) bindResult {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if note, ok := s.notes[id]; ok {
		return note.rebind(run)
	}
	if now.Before(s.closedUntil) || !s.room(now, t.perShard) {
		return bindFull
	}
	s.notes[id] = &callNote{run: run, until: until}
	return bindOK
}

func (n *callNote) rebind(run *Run) bindResult {
	switch {
	case n.run == run:
		return bindOK
	case n.run == nil && n.fate == fateNotRun:
		return bindBarred
	default:
		return bindSeen
	}
}

// note remembers the fate of a call without a run. The fate of a call that was
// answered is remembered while there is room to spare: a connection delivers a
// message once, so only a network that duplicates could bring it again.
func (t *callTable) note(now time.Time, id wire.CallID, f fate, until time.Time) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.notes[id]; ok || !s.room(now, t.perShard/2) {
		return
	}
	s.notes[id] = &callNote{fate: f, until: until}
}

// tombstone bars an unseen call: no copy of it will run, whatever ran before.
// It returns the note of a call that was seen.
func (t *callTable) tombstone(now time.Time, id wire.CallID, f fate, until time.Time) (callNote, bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if note, ok := s.notes[id]; ok {
		if until.After(note.until) {
			note.until = until
		}
		return *note, true
	}
	if !s.room(now, t.perShard) {
		if until.After(s.closedUntil) {
			s.closedUntil = until
		}
		return callNote{}, false
	}
	s.notes[id] = &callNote{fate: f, until: until}
	return callNote{}, false
}

// bury turns the note of a call whose run was given up into a tombstone.
func (t *callTable) bury(id wire.CallID) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if note, ok := s.notes[id]; ok {
		note.run = nil
		note.fate = fateNotRun
	}
}

// sweep drops the expired notes of one shard.
func (t *callTable) sweep(now time.Time, shard int) {
	s := &t.shards[shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweepLocked(now)
}

// sweepLocked keeps the notes of calls that still wait, however late it is: a
// timer that fires late finds its call by the note.
func (s *callShard) sweepLocked(now time.Time) {
	s.swept = now
	for id, note := range s.notes {
		if now.After(note.until) && (note.run == nil || note.run.ended.Load()) {
			delete(s.notes, id)
		}
	}
}

func (s *callShard) room(now time.Time, limit int) bool {
	if len(s.notes) < limit {
		return true
	}
	if now.Sub(s.swept) < TickInterval {
		return false
	}
	s.sweepLocked(now)
	return len(s.notes) < limit
}

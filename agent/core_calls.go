package agent

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/wire"
)

// outcome is what is known of a call that has no run.
type outcome uint8

const (
	// outcomeNotRun means that the call was refused or revoked: no copy of it
	// may ever run.
	outcomeNotRun outcome = iota
	// outcomeReplayed means that the call was answered with the result of
	// another submission.
	outcomeReplayed
	// outcomeUnknown means that the reply said that an earlier submission may
	// have run.
	outcomeUnknown
)

// callNote remembers one call by its ID until no copy of it can be accepted.
type callNote struct {
	// run is the run that the call waits or waited for; nil if it never had
	// one.
	run     *Run
	outcome outcome
	expires time.Time
}

// callTable remembers calls by ID, so that a revocation gets a correct answer
// and a delayed copy of a revoked call does not run.
//
// It guards against this failure: an entry loses its connection after writing a
// call, reconnects and revokes the call. The revocation arrives while the call
// is still in the socket buffer of the old connection. The answer "not run" is
// true only if that copy is refused when it is finally read. A copy that
// arrives later than MaxClockSkew after its deadline is refused because of the
// deadline, so its note is no longer needed.
type callTable struct {
	perShard int
	shards   [shardCount]callShard
}

type callShard struct {
	mu    sync.Mutex
	notes map[wire.CallID]*callNote
	// closedUntil is set when there was no room for a tombstone. Until then the
	// shard accepts no call that it has no note of: refusing many calls keeps
	// the promise that the revoked one does not run, and dropping the tombstone
	// would break it.
	closedUntil time.Time
	lastSweep   time.Time
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

// bindResult says whether a call was bound to a run.
type bindResult uint8

const (
	bindOK bindResult = iota
	// bindFull means that there is no room to remember the call.
	bindFull
	// bindRevoked means that the call was refused or revoked before.
	bindRevoked
	// bindDuplicate means that another copy of the call was received before.
	bindDuplicate
)

// bind binds a call to its run atomically. A concurrent revocation finds either
// the run, or no note, and then leaves a tombstone that bind sees.
func (t *callTable) bind(now time.Time, id wire.CallID, run *Run, until time.Time) bindResult {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if note, ok := s.notes[id]; ok {
		return note.rebind(run)
	}
	if now.Before(s.closedUntil) || !s.hasRoom(now, t.perShard) {
		return bindFull
	}
	s.notes[id] = &callNote{run: run, expires: until}
	return bindOK
}

func (n *callNote) rebind(run *Run) bindResult {
	switch {
	case n.run == run:
		return bindOK
	case n.run == nil && n.outcome == outcomeNotRun:
		return bindRevoked
	default:
		return bindDuplicate
	}
}

// addOutcome remembers the outcome of a call without a run, but only while its
// shard is less than half full. The outcome is a safeguard: a connection
// delivers a message once, so only a network that duplicates messages could
// deliver the call again.
func (t *callTable) addOutcome(now time.Time, id wire.CallID, o outcome, until time.Time) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.notes[id]; ok || !s.hasRoom(now, t.perShard/2) {
		return
	}
	s.notes[id] = &callNote{outcome: o, expires: until}
}

// addTombstone makes sure that no copy of a call without a note will run. If
// the call has a note, it returns the note and extends its expiry instead.
func (t *callTable) addTombstone(now time.Time, id wire.CallID, o outcome, until time.Time) (callNote, bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if note, ok := s.notes[id]; ok {
		if until.After(note.expires) {
			note.expires = until
		}
		return *note, true
	}
	if !s.hasRoom(now, t.perShard) {
		if until.After(s.closedUntil) {
			s.closedUntil = until
		}
		return callNote{}, false
	}
	s.notes[id] = &callNote{outcome: o, expires: until}
	return callNote{}, false
}

// markNotRun turns the note of a call whose run was refused into a tombstone.
func (t *callTable) markNotRun(id wire.CallID) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if note, ok := s.notes[id]; ok {
		note.run = nil
		note.outcome = outcomeNotRun
	}
}

// sweep removes the expired notes of one shard.
func (t *callTable) sweep(now time.Time, shard int) {
	s := &t.shards[shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweepLocked(now)
}

// sweepLocked removes expired notes. It keeps those of calls that still wait,
// even after their expiry: a timer that fires late finds its call by the note.
func (s *callShard) sweepLocked(now time.Time) {
	s.lastSweep = now
	for id, note := range s.notes {
		if now.After(note.expires) && (note.run == nil || note.run.ended.Load()) {
			delete(s.notes, id)
		}
	}
}

// hasRoom reports whether the shard has fewer than limit notes. It sweeps a
// full shard first, at most once per TickInterval.
func (s *callShard) hasRoom(now time.Time, limit int) bool {
	if len(s.notes) < limit {
		return true
	}
	if now.Sub(s.lastSweep) < TickInterval {
		return false
	}
	s.sweepLocked(now)
	return len(s.notes) < limit
}

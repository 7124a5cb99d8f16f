package bundle

import (
	"bytes"
	"crypto/ed25519"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangostage/mangostage/wire"
)

const (
	// maxPreviousBundles is how many bundles a process keeps besides the one in
	// force, for requests that began under them. Each takes at most MaxBytes of
	// signed value plus what that decodes to.
	maxPreviousBundles = 8
	// maxConflictHashes is how many hashes of one version in conflict are
	// remembered, so that rejected contents are not fetched from peers repeatedly.
	maxConflictHashes = 16
)

// Holder decides which bundle is in force in one process. It does no I/O: the
// caller offers what it reads from the platform and from peers. All methods
// may be called concurrently; Current, ByVersion and ByHead take no lock.
//
// Bundles are ordered by version and, within a version, by descending hash:
// the lower hash wins. A holder only moves forward in that order:
//
//   - A stale configuration service, a lagging peer or a process resumed after
//     a pause may offer an older version at any time. The holder refuses any
//     version below the one held, so that no process goes back.
//   - Two operators may sign different contents under one version, which shows
//     as two hashes for that version. If each process kept the content it saw
//     first, the fleet would run two contents under one version until somebody
//     noticed. If it took the latest, it would alternate as peers repeat what
//     they hold. Going back to the previous version is excluded. With the lower
//     hash as the winner, all processes that have seen both contents hold the
//     same one in whatever order they arrived, without consensus or clocks, and
//     a process that moved to the lower hash never moves back. The choice is
//     arbitrary but the same everywhere, and each process reports the conflict,
//     because only a higher version states what the operators want.
type Holder struct {
	keys  []ed25519.PublicKey
	state atomic.Pointer[holderState]
	// mu guards changes of state, candidate and conflict.
	mu sync.Mutex
	// candidate is the best bundle offered so far; nil once a bundle is in force.
	candidate *Verified
	// conflict is the conflict on the version of the best bundle held; nil if none.
	conflict *Conflict
}

// holderState is an immutable snapshot of the bundles that a holder has adopted.
type holderState struct {
	current *Verified
	// previous is ordered from the most recently replaced bundle to the oldest.
	previous []*Verified
}

// Conflict describes a version that was signed with several contents.
type Conflict struct {
	Version uint64
	// Hashes are the hashes of the contents seen, in order of arrival, at most
	// maxConflictHashes.
	Hashes []string
}

// NewHolder returns a holder that accepts bundles signed by any of keys. It
// starts by collecting: offers only become candidates, and no bundle is in
// force until the caller ends the collection.
//
// A process that has just started may read an old bundle from a stale
// configuration service while its peers have a newer one in force. Collecting
// from both before the first choice keeps it from serving under the old one.
func NewHolder(keys []ed25519.PublicKey) *Holder {
	h := &Holder{keys: slices.Clone(keys)}
	h.state.Store(&holderState{})
	return h
}

// Current returns the bundle in force, or nil while the holder is collecting.
func (h *Holder) Current() *Verified {
	return h.state.Load().current
}

// ByVersion returns the current or a previous bundle of that version, or nil if
// none was adopted in this process or it is no longer kept. If the version is in
// conflict, ByVersion returns the content adopted last.
func (h *Holder) ByVersion(version uint64) *Verified {
	return h.state.Load().find(func(v *Verified) bool { return v.Head.Version == version })
}

// ByHead returns the current or a previous bundle of exactly that version and
// hash, or nil.
func (h *Holder) ByHead(head wire.BundleHead) *Verified {
	return h.state.Load().find(func(v *Verified) bool { return v.Head == head })
}

// Head identifies the bundle in force; it is zero while the holder is collecting.
func (h *Holder) Head() wire.BundleHead {
	if v := h.Current(); v != nil {
		return v.Head
	}
	return wire.BundleHead{}
}

// Conflict returns the conflict on the version in force, or on the best
// candidate's version while the holder is collecting; nil if there is none.
func (h *Holder) Conflict() *Conflict {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conflict == nil {
		return nil
	}
	return &Conflict{Version: h.conflict.Version, Hashes: slices.Clone(h.conflict.Hashes)}
}

// ShouldFetch reports whether the bundle of an advertised head should be fetched: its
// version is higher than that of the best bundle held, or it is unseen content
// of the same version.
func (h *Holder) ShouldFetch(head wire.BundleHead) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	best := h.best()
	if best == nil || head.Version != best.Head.Version {
		return best == nil || head.Version > best.Head.Version
	}
	if head.Hash == best.Head.Hash {
		return false
	}
	return h.conflict == nil || !slices.Contains(h.conflict.Hashes, head.Hash)
}

// Offer verifies a published value and adopts it if it supersedes the bundle in
// force. While the holder is collecting, the value can only become the candidate.
// source names the origin for the log.
func (h *Holder) Offer(now time.Time, signed []byte, source string) Adoption {
	a := Adoption{At: now, Source: source}
	v, err := h.verify(signed)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		a.Err = err
		a.Result = classifyError(err)
		a.Reason = err.Error()
		a.Held = headOf(h.best())
		return a
	}
	a.Offered = v.Head
	a.Result, a.Conflict = h.applyOffer(v)
	a.Held = headOf(h.best())
	a.Reason = a.describe()
	return a
}

// FinishCollecting ends the collection and adopts the best candidate. If there is none,
// it reports ResultNoCandidate and the holder continues to collect; call it again
// later. If a bundle is already in force, it changes nothing and reports
// ResultHeld.
func (h *Holder) FinishCollecting(now time.Time) Adoption {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := Adoption{At: now, Source: "settle", Result: ResultNoCandidate}
	best := h.best()
	switch {
	case h.Current() != nil:
		a.Result = ResultHeld
	case best != nil:
		a.Result = ResultAdopted
		h.adopt(best)
	}
	a.Offered = headOf(best)
	a.Held = a.Offered
	a.Conflict = h.conflict != nil
	a.Reason = a.describe()
	return a
}

// verify calls Verify unless the value is identical to the bundle in force,
// which is what peers and watches deliver most of the time.
func (h *Holder) verify(signed []byte) (*Verified, error) {
	if v := h.Current(); v != nil && bytes.Equal(v.Signed, signed) {
		return v, nil
	}
	return Verify(h.keys, signed)
}

// best returns the bundle in force, or the best candidate while the holder is
// collecting. The caller holds mu.
func (h *Holder) best() *Verified {
	if v := h.Current(); v != nil {
		return v
	}
	return h.candidate
}

// applyOffer compares a verified offer with the best bundle held, accepts it if
// it supersedes that one, and reports whether the version is in conflict.
func (h *Holder) applyOffer(v *Verified) (AdoptionResult, bool) {
	best := h.best()
	switch {
	case best == nil || v.Head.Version > best.Head.Version:
		h.conflict = nil
		return h.accept(v, ResultAdopted), false
	case v.Head.Version < best.Head.Version:
		return ResultOlder, false
	case v.Head.Hash == best.Head.Hash:
		return ResultHeld, h.conflict != nil
	}
	h.recordConflict(best.Head, v.Head)
	if v.Head.Hash > best.Head.Hash {
		return ResultConflictRefused, true
	}
	return h.accept(v, ResultConflictReplaced), true
}

// accept adopts v and returns the given result. While the holder is collecting,
// it makes v the candidate and returns ResultCollected.
func (h *Holder) accept(v *Verified, ifAdopted AdoptionResult) AdoptionResult {
	if h.Current() == nil {
		h.candidate = v
		return ResultCollected
	}
	h.adopt(v)
	return ifAdopted
}

// adopt puts v in force and keeps the bundle that it replaces for requests that
// began under it.
func (h *Holder) adopt(v *Verified) {
	old := h.state.Load()
	next := &holderState{current: v}
	if old.current != nil {
		next.previous = append([]*Verified{old.current}, old.previous...)
	}
	if len(next.previous) > maxPreviousBundles {
		next.previous = next.previous[:maxPreviousBundles]
	}
	h.candidate = nil
	h.state.Store(next)
}

// recordConflict adds the hashes of heads, which have one version, to the conflict.
func (h *Holder) recordConflict(heads ...wire.BundleHead) {
	if h.conflict == nil {
		h.conflict = &Conflict{Version: heads[0].Version}
	}
	for _, head := range heads {
		known := slices.Contains(h.conflict.Hashes, head.Hash)
		if !known && len(h.conflict.Hashes) < maxConflictHashes {
			h.conflict.Hashes = append(h.conflict.Hashes, head.Hash)
		}
	}
}

// find returns the latest adopted bundle that matches, or nil.
func (s *holderState) find(match func(*Verified) bool) *Verified {
	if s.current != nil && match(s.current) {
		return s.current
	}
	for _, v := range s.previous {
		if match(v) {
			return v
		}
	}
	return nil
}

func headOf(v *Verified) wire.BundleHead {
	if v == nil {
		return wire.BundleHead{}
	}
	return v.Head
}

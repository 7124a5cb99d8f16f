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
	// maxEarlier is how many bundles a process keeps besides the one in
	// force, for requests that began under them. Memory is bounded by
	// maxEarlier times MaxBytes of published value and what it decodes to.
	maxEarlier = 8
	// maxRivals is how many contents of one version are remembered as losers,
	// so that they are not fetched from peers again and again.
	maxRivals = 16
)

// Holder decides which bundle is in force in one process. It does no I/O: the
// caller offers what it reads from the platform and from peers. All methods
// may be called from several goroutines; Current, ByVersion and ByHead take no lock.
//
// Bundles are ordered by version, then by hash, the lower hash being the later
// one. A holder only ever moves forward in that order:
//
//   - A stale configuration service, a lagging peer or a process woken after
//     a pause may offer an older version at any time. It shows as an offer below
//     the version held and is refused, so that no process goes back.
//   - Two operators may sign different contents under one version. It shows as
//     two hashes for one version. If each process kept the content it saw
//     first, one version would mean two things in the fleet until somebody
//     noticed; if it took the latest, it would alternate as peers repeat what
//     they hold. Going back to the earlier version is excluded. With the lower
//     hash as the winner, every process that has seen both holds the same one
//     whatever the order of arrival, without agreement or clocks, and a process
//     that moved to the lower hash has no way back. The choice is arbitrary
//     but the same everywhere, and each process reports the conflict, because
//     only a higher version says what the operators want.
type Holder struct {
	keys  []ed25519.PublicKey
	state atomic.Pointer[held]
	// mu serialises changes of state, candidate and conflict.
	mu sync.Mutex
	// candidate is the best bundle collected before the first Settle.
	candidate *Verified
	conflict  *Conflict
}

// held is an immutable view of what a holder has adopted.
type held struct {
	current *Verified
	// earlier is ordered from the latest to the oldest.
	earlier []*Verified
}

// Conflict is a version that was signed with several contents.
type Conflict struct {
	Version uint64
	// Hashes of the contents seen, in the order in which they were; bounded.
	Hashes []string
}

// NewHolder returns a holder that accepts bundles signed by any of keys. It
// begins settling: offers are collected, and nothing is in force until Settle.
//
// A fresh process may read an old bundle from a stale configuration service
// while its peers have a newer one in force. Collecting from both before the
// first choice keeps it from serving under the old one.
func NewHolder(keys []ed25519.PublicKey) *Holder {
	h := &Holder{keys: slices.Clone(keys)}
	h.state.Store(&held{})
	return h
}

// Current returns the bundle in force, or nil before the holder has settled.
func (h *Holder) Current() *Verified {
	return h.state.Load().current
}

// ByVersion returns the bundle in force or an earlier one of that version, or
// nil if it was never adopted here or is no longer kept. Of a version in
// conflict it returns the content adopted last.
func (h *Holder) ByVersion(version uint64) *Verified {
	return h.state.Load().find(func(v *Verified) bool { return v.Head.Version == version })
}

// ByHead returns the bundle of exactly that version and hash, or nil.
func (h *Holder) ByHead(head wire.BundleHead) *Verified {
	return h.state.Load().find(func(v *Verified) bool { return v.Head == head })
}

// Head names the bundle in force; it is zero before the holder has settled.
func (h *Holder) Head() wire.BundleHead {
	if v := h.Current(); v != nil {
		return v.Head
	}
	return wire.BundleHead{}
}

// Conflict returns the conflict on the version in force, or on the best
// candidate while settling; nil if there is none.
func (h *Holder) Conflict() *Conflict {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conflict == nil {
		return nil
	}
	return &Conflict{Version: h.conflict.Version, Hashes: slices.Clone(h.conflict.Hashes)}
}

// Wants tells whether the bundle of an advertised head is worth fetching: it
// is newer than the best one here, or a rival of it that was not seen before.
func (h *Holder) Wants(head wire.BundleHead) bool {
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

// Offer verifies a published value and adopts it if it is newer than what is
// held. While the holder is settling, it only collects. Source names the
// origin for the log.
func (h *Holder) Offer(now time.Time, signed []byte, source string) Adoption {
	a := Adoption{At: now, Source: source}
	v, err := h.verify(signed)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		a.Err = err
		a.Result = resultOf(err)
		a.Reason = err.Error()
		a.Held = headOf(h.best())
		return a
	}
	a.Offered = v.Head
	a.Result, a.Conflict = h.judge(v)
	a.Held = headOf(h.best())
	a.Reason = a.describe()
	return a
}

// Settle ends the collection and adopts the best candidate. If nothing was
// collected, it reports ResultNothing and the holder goes on settling; call it
// again later. Once settled, it changes nothing and reports ResultHeld.
func (h *Holder) Settle(now time.Time) Adoption {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := Adoption{At: now, Source: "settle", Result: ResultNothing}
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

// verify skips the work for a value that is held byte by byte, which is what
// peers and watches deliver most of the time.
func (h *Holder) verify(signed []byte) (*Verified, error) {
	if v := h.Current(); v != nil && bytes.Equal(v.Signed, signed) {
		return v, nil
	}
	return Verify(h.keys, signed)
}

// best returns the bundle in force, or the best candidate while settling.
func (h *Holder) best() *Verified {
	if v := h.Current(); v != nil {
		return v
	}
	return h.candidate
}

// judge compares a verified offer with the best bundle here, takes it in if it
// is later, and tells whether the two are in conflict.
func (h *Holder) judge(v *Verified) (AdoptionResult, bool) {
	best := h.best()
	switch {
	case best == nil || v.Head.Version > best.Head.Version:
		h.conflict = nil
		return h.take(v, ResultAdopted), false
	case v.Head.Version < best.Head.Version:
		return ResultOlder, false
	case v.Head.Hash == best.Head.Hash:
		return ResultHeld, h.conflict != nil
	}
	h.noteConflict(best.Head, v.Head)
	if v.Head.Hash > best.Head.Hash {
		return ResultConflictRefused, true
	}
	return h.take(v, ResultConflictReplaced), true
}

// take adopts v, or makes it the candidate while settling. It returns the
// matching result.
func (h *Holder) take(v *Verified, adopted AdoptionResult) AdoptionResult {
	if h.Current() == nil {
		h.candidate = v
		return ResultCollected
	}
	h.adopt(v)
	return adopted
}

// adopt puts v in force and keeps the one before it for requests that began
// under it.
func (h *Holder) adopt(v *Verified) {
	old := h.state.Load()
	next := &held{current: v}
	if old.current != nil {
		next.earlier = append([]*Verified{old.current}, old.earlier...)
	}
	if len(next.earlier) > maxEarlier {
		next.earlier = next.earlier[:maxEarlier]
	}
	h.candidate = nil
	h.state.Store(next)
}

// noteConflict remembers the contents seen of one version.
func (h *Holder) noteConflict(heads ...wire.BundleHead) {
	if h.conflict == nil {
		h.conflict = &Conflict{Version: heads[0].Version}
	}
	for _, head := range heads {
		known := slices.Contains(h.conflict.Hashes, head.Hash)
		if !known && len(h.conflict.Hashes) < maxRivals {
			h.conflict.Hashes = append(h.conflict.Hashes, head.Hash)
		}
	}
}

// find returns the latest adopted bundle that matches, or nil.
func (s *held) find(match func(*Verified) bool) *Verified {
	if s.current != nil && match(s.current) {
		return s.current
	}
	for _, v := range s.earlier {
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

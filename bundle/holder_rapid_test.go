package bundle

import (
	"crypto/ed25519"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/wire"
)

// offer is a value that a process may be offered, with its head if it is valid
// or the expected result if it is not.
type offer struct {
	signed []byte
	head   wire.BundleHead
	bad    AdoptionResult
}

// offers returns signed bundles of a few versions, each version with several
// contents, and values that must be refused.
func offers(t *testing.T) []offer {
	pub, priv := testKey(1)
	_, otherKey := testKey(2)
	var all []offer
	for version := uint64(1); version <= 4; version++ {
		for _, content := range []string{"a", "b", "c"} {
			signed := signedSample(t, priv, version, content)
			v, err := Verify([]ed25519.PublicKey{pub}, signed)
			assert.NilError(t, err)
			all = append(all, offer{signed: signed, head: v.Head})
		}
		all = append(all,
			offer{signed: signedSample(t, otherKey, version+4, "a"), bad: ResultBadSignature},
			offer{signed: signedSample(t, priv, version+4, "a")[:200], bad: ResultMalformed})
	}
	return all
}

// referenceHolder is a simple model of Holder: it keeps the head of every valid
// offer and searches all of them on each call.
type referenceHolder struct {
	settled bool
	offered []wire.BundleHead
}

// best returns the offered head with the highest version and, within that
// version, the lowest hash.
func (n *referenceHolder) best() wire.BundleHead {
	var best wire.BundleHead
	for _, s := range n.offered {
		if s.Version > best.Version || s.Version == best.Version && strings.Compare(s.Hash, best.Hash) < 0 {
			best = s
		}
	}
	return best
}

// hasConflict reports whether the best version was offered with several contents.
func (n *referenceHolder) hasConflict() bool {
	for _, s := range n.offered {
		if s.Version == n.best().Version && s.Hash != n.best().Hash {
			return true
		}
	}
	return false
}

// expect returns the expected result of a valid offer that has not been added yet.
func (n *referenceHolder) expect(head wire.BundleHead) AdoptionResult {
	best := n.best()
	switch {
	case head == best:
		return ResultHeld
	case head.Version < best.Version:
		return ResultOlder
	case head.Version == best.Version && head.Hash > best.Hash:
		return ResultConflictRefused
	case !n.settled:
		return ResultCollected
	case head.Version == best.Version:
		return ResultConflictReplaced
	}
	return ResultAdopted
}

// Random offers in random order, among them duplicate, stale, forged and
// truncated ones: the version in force never decreases, superseded content never
// returns, and each step has the result of the reference model.
func TestHolderMatchesReference(t *testing.T) {
	all := offers(t)
	pub, _ := testKey(1)
	rapid.Check(t, func(rt *rapid.T) {
		h := NewHolder([]ed25519.PublicKey{pub})
		var n referenceHolder
		superseded := make(map[wire.BundleHead]bool)
		steps := rapid.SliceOfN(rapid.IntRange(-1, len(all)-1), 1, 40).Draw(rt, "steps")
		for _, step := range steps {
			before := h.Head()
			if step < 0 {
				a := h.FinishCollecting(epoch)
				assert.Equal(rt, a.Changed(), !n.settled && len(n.offered) > 0)
				n.settled = n.settled || len(n.offered) > 0
			} else if o := all[step]; o.bad != "" {
				assert.Equal(rt, h.Offer(epoch, o.signed, "peer").Result, o.bad)
			} else {
				want := n.expect(o.head)
				n.offered = append(n.offered, o.head)
				a := h.Offer(epoch, o.signed, "peer")
				assert.Equal(rt, a.Result, want)
				assert.Equal(rt, a.Held, n.best())
			}
			after := h.Head()
			if n.settled {
				assert.Equal(rt, after, n.best())
			} else {
				assert.Equal(rt, after, wire.BundleHead{})
			}
			assert.Equal(rt, h.Conflict() != nil, n.hasConflict())
			assert.Assert(rt, after.Version >= before.Version)
			if after != before {
				superseded[before] = true
			}
			assert.Assert(rt, !superseded[after], "%v came back", after)
		}
	})
}

// Two processes that received the same offers in different order hold the same bundle.
func TestHoldersConverge(t *testing.T) {
	all := offers(t)
	pub, _ := testKey(1)
	rapid.Check(t, func(rt *rapid.T) {
		received := rapid.SliceOfN(rapid.IntRange(0, len(all)-1), 1, 20).Draw(rt, "met")
		shuffled := rapid.Permutation(received).Draw(rt, "shuffled")
		one := NewHolder([]ed25519.PublicKey{pub})
		two := NewHolder([]ed25519.PublicKey{pub})
		for i := range received {
			one.Offer(epoch, all[received[i]].signed, "peer")
			two.Offer(epoch, all[shuffled[i]].signed, "peer")
			two.FinishCollecting(epoch)
		}
		one.FinishCollecting(epoch)
		assert.Equal(rt, one.Head(), two.Head())
	})
}

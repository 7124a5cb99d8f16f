package bundle

import (
	"crypto/ed25519"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/wire"
)

// offer is a value that a process may meet, with what a reader of it knows.
type offer struct {
	signed []byte
	head   wire.BundleHead
	bad    AdoptionResult
}

// offers signs a few versions with rival contents each, and bad values.
func offers(t *testing.T) []offer {
	pub, priv := testKey(1)
	_, stranger := testKey(2)
	var all []offer
	for version := uint64(1); version <= 4; version++ {
		for _, content := range []string{"a", "b", "c"} {
			signed := signedSample(t, priv, version, content)
			v, err := Verify([]ed25519.PublicKey{pub}, signed)
			assert.NilError(t, err)
			all = append(all, offer{signed: signed, head: v.Head})
		}
		all = append(all,
			offer{signed: signedSample(t, stranger, version+4, "a"), bad: ResultBadSignature},
			offer{signed: signedSample(t, priv, version+4, "a")[:200], bad: ResultMalformed})
	}
	return all
}

// naive keeps every good offer and looks through all of them each time.
type naive struct {
	settled bool
	seen    []wire.BundleHead
}

// best is the seen head with the highest version and, of these, the lowest hash.
func (n *naive) best() wire.BundleHead {
	var best wire.BundleHead
	for _, s := range n.seen {
		if s.Version > best.Version || s.Version == best.Version && strings.Compare(s.Hash, best.Hash) < 0 {
			best = s
		}
	}
	return best
}

// rivals tells whether the best version was seen with several contents.
func (n *naive) rivals() bool {
	for _, s := range n.seen {
		if s.Version == n.best().Version && s.Hash != n.best().Hash {
			return true
		}
	}
	return false
}

// expect returns the result for a good offer, before it is remembered.
func (n *naive) expect(head wire.BundleHead) AdoptionResult {
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

// Random offers in random order, with duplicates, stale, forged and cut ones:
// the version in force never falls, a content that lost never comes back, and
// each step is what the naive version says.
func TestHolderAgainstNaive(t *testing.T) {
	all := offers(t)
	pub, _ := testKey(1)
	rapid.Check(t, func(rt *rapid.T) {
		h := NewHolder([]ed25519.PublicKey{pub})
		var n naive
		lost := make(map[wire.BundleHead]bool)
		steps := rapid.SliceOfN(rapid.IntRange(-1, len(all)-1), 1, 40).Draw(rt, "steps")
		for _, step := range steps {
			before := h.Head()
			if step < 0 {
				a := h.Settle(epoch)
				assert.Equal(rt, a.Changed(), !n.settled && len(n.seen) > 0)
				n.settled = n.settled || len(n.seen) > 0
			} else if o := all[step]; o.bad != "" {
				assert.Equal(rt, h.Offer(epoch, o.signed, "peer").Result, o.bad)
			} else {
				want := n.expect(o.head)
				n.seen = append(n.seen, o.head)
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
			assert.Equal(rt, h.Conflict() != nil, n.rivals())
			assert.Assert(rt, after.Version >= before.Version)
			if after != before {
				lost[before] = true
			}
			assert.Assert(rt, !lost[after], "%v came back", after)
		}
	})
}

// Two processes that met the same offers in another order hold the same bundle.
func TestHoldersConverge(t *testing.T) {
	all := offers(t)
	pub, _ := testKey(1)
	rapid.Check(t, func(rt *rapid.T) {
		met := rapid.SliceOfN(rapid.IntRange(0, len(all)-1), 1, 20).Draw(rt, "met")
		shuffled := rapid.Permutation(met).Draw(rt, "shuffled")
		one := NewHolder([]ed25519.PublicKey{pub})
		two := NewHolder([]ed25519.PublicKey{pub})
		for i := range met {
			one.Offer(epoch, all[met[i]].signed, "peer")
			two.Offer(epoch, all[shuffled[i]].signed, "peer")
			two.Settle(epoch)
		}
		one.Settle(epoch)
		assert.Equal(rt, one.Head(), two.Head())
	})
}

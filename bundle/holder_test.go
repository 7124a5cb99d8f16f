package bundle

import (
	"crypto/ed25519"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/wire"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newTestHolder returns a holder and a function that signs bundles with the key
// that it accepts.
func newTestHolder(t *testing.T) (*Holder, func(version uint64, content string) []byte) {
	t.Helper()
	pub, priv := testKey(1)
	return NewHolder([]ed25519.PublicKey{pub}), func(version uint64, content string) []byte {
		return signedSample(t, priv, version, content)
	}
}

// A process that has just started reads version 7 from a stale configuration
// service while its peers have version 8 in force. It must collect from both
// before it chooses, or it would serve requests under an old bundle.
func TestFreshProcessSettlesOnTheHighest(t *testing.T) {
	h, sign := newTestHolder(t)
	assert.Equal(t, h.FinishCollecting(epoch).Result, ResultNoCandidate)
	assert.Equal(t, h.Offer(epoch, sign(7, "a"), "platform").Result, ResultCollected)
	assert.Assert(t, h.Current() == nil)
	assert.Equal(t, h.Offer(epoch, sign(8, "a"), "peer").Result, ResultCollected)
	assert.Equal(t, h.Offer(epoch, sign(7, "a"), "peer").Result, ResultOlder)
	assert.Assert(t, h.Current() == nil)
	assert.Assert(t, h.FinishCollecting(epoch).Changed())
	assert.Equal(t, h.Head().Version, uint64(8))
	assert.Equal(t, h.FinishCollecting(epoch).Result, ResultHeld)
}

// A stale configuration service may offer a version below the one held. The
// holder must keep the higher version, and a request that began under a previous
// version must still find that bundle.
func TestNeverGoesBack(t *testing.T) {
	h, sign := newTestHolder(t)
	h.Offer(epoch, sign(1, "a"), "platform")
	h.FinishCollecting(epoch)
	last := uint64(maxPreviousBundles + 3)
	for v := uint64(2); v <= last; v++ {
		a := h.Offer(epoch, sign(v, "a"), "platform")
		assert.Equal(t, a.Result, ResultAdopted, a.Reason)
	}
	a := h.Offer(epoch, sign(last-1, "a"), "platform")
	assert.Equal(t, a.Result, ResultOlder)
	assert.Equal(t, a.Held.Version, last)
	assert.Equal(t, h.Offer(epoch, sign(last, "a"), "peer").Result, ResultHeld)
	assert.Equal(t, h.ByVersion(last-1).Head.Version, last-1)
	assert.Equal(t, h.ByVersion(last-maxPreviousBundles).Head.Version, last-maxPreviousBundles)
	assert.Assert(t, h.ByVersion(last-maxPreviousBundles-1) == nil, "earlier versions are bounded")
	assert.Assert(t, h.ByHead(h.Head()) == h.Current())
	assert.Assert(t, h.ByHead(wire.BundleHead{Version: last}) == nil)
}

// Two operators publish different contents as version 5 at the same time. Some
// processes read one content first, some the other, and peers keep repeating
// what they hold. All must converge on one content without alternating, and all
// must report the conflict.
func TestConflictConverges(t *testing.T) {
	one, sign := newTestHolder(t)
	two, _ := newTestHolder(t)
	for _, h := range []*Holder{one, two} {
		h.Offer(epoch, sign(4, "a"), "platform")
		h.FinishCollecting(epoch)
	}
	low, high := sign(5, "a"), sign(5, "b")
	assert.Equal(t, one.Offer(epoch, low, "platform").Result, ResultAdopted)
	if two.Offer(epoch, high, "platform"); one.Head().Hash > two.Head().Hash {
		one, two = two, one
		low, high = high, low
	}
	for range 3 {
		assert.Assert(t, two.ShouldFetch(one.Head()) || two.Head() == one.Head())
		a := two.Offer(epoch, low, "peer")
		assert.Assert(t, a.Conflict)
		a = two.Offer(epoch, high, "peer")
		assert.Equal(t, a.Result, ResultConflictRefused)
		a = one.Offer(epoch, high, "peer")
		assert.Equal(t, a.Result, ResultConflictRefused)
		assert.Assert(t, a.Conflict)
		assert.Equal(t, one.Head(), two.Head())
	}
	assert.Equal(t, len(one.Conflict().Hashes), 2)
	assert.Assert(t, !one.ShouldFetch(wire.BundleHead{Version: 5, Hash: two.Conflict().Hashes[0]}))
	assert.Equal(t, two.ByVersion(5), two.Current())

	a := one.Offer(epoch, sign(6, "c"), "platform")
	assert.Equal(t, a.Result, ResultAdopted)
	assert.Assert(t, !a.Conflict)
	assert.Assert(t, one.Conflict() == nil, "a higher version resolves the conflict")
}

func TestOfferRefusesBadInput(t *testing.T) {
	h, sign := newTestHolder(t)
	h.Offer(epoch, sign(1, "a"), "platform")
	h.FinishCollecting(epoch)
	_, priv := testKey(1)
	_, otherKey := testKey(2)
	unchecked, err := Sign(priv, []byte("version: 2\n"))
	assert.NilError(t, err)
	for _, c := range []struct {
		signed []byte
		want   AdoptionResult
	}{
		{signedSample(t, otherKey, 2, "a"), ResultBadSignature},
		{sign(2, "a")[:100], ResultMalformed},
		{make([]byte, MaxBytes+1), ResultMalformed},
		{unchecked, ResultBadContent},
	} {
		a := h.Offer(epoch, c.signed, "peer")
		assert.Equal(t, a.Result, c.want, a.Reason)
		assert.Assert(t, a.Reason != "" && a.Err != nil)
		assert.Equal(t, a.Held.Version, uint64(1))
	}
}

// Readers take no lock. Under the race detector this also verifies that readers
// only see completely adopted bundles.
func TestConcurrentOffersAndReads(t *testing.T) {
	h, sign := newTestHolder(t)
	const versions = 8
	signed := make([][]byte, versions)
	for i := range signed {
		signed[i] = sign(uint64(i+1), "a")
	}
	h.Offer(epoch, signed[0], "platform")
	h.FinishCollecting(epoch)
	var offers sync.WaitGroup
	for range 4 {
		offers.Go(func() {
			last := uint64(0)
			for _, s := range signed {
				h.Offer(epoch, s, "peer")
				v := h.Current()
				assert.Check(t, v.Head.Version >= last && v.Bundle.Version == v.Head.Version)
				last = v.Head.Version
			}
		})
	}
	offers.Wait()
	assert.Equal(t, h.Head().Version, uint64(versions))
}

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

// newTestHolder returns a holder and a function that signs for it.
func newTestHolder(t *testing.T) (*Holder, func(version uint64, content string) []byte) {
	t.Helper()
	pub, priv := testKey(1)
	return NewHolder([]ed25519.PublicKey{pub}), func(version uint64, content string) []byte {
		return signedSample(t, priv, version, content)
	}
}

// Story: a fresh process reads version 7 from a stale configuration service
// while its peers have 8 in force. If it served under 7 until a peer spoke,
// callers would meet an old bundle again. It collects from both first.
func TestFreshProcessSettlesOnTheHighest(t *testing.T) {
	h, sign := newTestHolder(t)
	assert.Equal(t, h.Settle(epoch).Result, ResultNothing)
	assert.Equal(t, h.Offer(epoch, sign(7, "a"), "platform").Result, ResultCollected)
	assert.Assert(t, h.Current() == nil)
	assert.Equal(t, h.Offer(epoch, sign(8, "a"), "peer").Result, ResultCollected)
	assert.Equal(t, h.Offer(epoch, sign(7, "a"), "peer").Result, ResultOlder)
	assert.Assert(t, h.Current() == nil)
	assert.Assert(t, h.Settle(epoch).Changed())
	assert.Equal(t, h.Head().Version, uint64(8))
	assert.Equal(t, h.Settle(epoch).Result, ResultHeld)
}

// Story: a process held version 9 and was cut off with a configuration service
// that went back to 8. Whatever is offered afterwards, 9 stays, and a request
// that began under an earlier version still finds it.
func TestNeverGoesBack(t *testing.T) {
	h, sign := newTestHolder(t)
	h.Offer(epoch, sign(1, "a"), "platform")
	h.Settle(epoch)
	last := uint64(maxEarlier + 3)
	for v := uint64(2); v <= last; v++ {
		a := h.Offer(epoch, sign(v, "a"), "platform")
		assert.Equal(t, a.Result, ResultAdopted, a.Reason)
	}
	a := h.Offer(epoch, sign(last-1, "a"), "platform")
	assert.Equal(t, a.Result, ResultOlder)
	assert.Equal(t, a.Held.Version, last)
	assert.Equal(t, h.Offer(epoch, sign(last, "a"), "peer").Result, ResultHeld)
	assert.Equal(t, h.ByVersion(last-1).Head.Version, last-1)
	assert.Equal(t, h.ByVersion(last-maxEarlier).Head.Version, last-maxEarlier)
	assert.Assert(t, h.ByVersion(last-maxEarlier-1) == nil, "earlier versions are bounded")
	assert.Assert(t, h.ByHead(h.Head()) == h.Current())
	assert.Assert(t, h.ByHead(wire.BundleHead{Version: last}) == nil)
}

// Story: two operators publish version 5 at once. Some processes read one
// content first, some the other, and peers go on repeating what they hold. All
// must end with the same content without alternating, and all must say so.
func TestConflictConverges(t *testing.T) {
	one, sign := newTestHolder(t)
	two, _ := newTestHolder(t)
	for _, h := range []*Holder{one, two} {
		h.Offer(epoch, sign(4, "a"), "platform")
		h.Settle(epoch)
	}
	low, high := sign(5, "a"), sign(5, "b")
	assert.Equal(t, one.Offer(epoch, low, "platform").Result, ResultAdopted)
	if two.Offer(epoch, high, "platform"); one.Head().Hash > two.Head().Hash {
		one, two = two, one
		low, high = high, low
	}
	for range 3 {
		assert.Assert(t, two.Wants(one.Head()) || two.Head() == one.Head())
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
	assert.Assert(t, !one.Wants(wire.BundleHead{Version: 5, Hash: two.Conflict().Hashes[0]}))
	assert.Equal(t, two.ByVersion(5), two.Current())

	a := one.Offer(epoch, sign(6, "c"), "platform")
	assert.Equal(t, a.Result, ResultAdopted)
	assert.Assert(t, !a.Conflict)
	assert.Assert(t, one.Conflict() == nil, "a higher version resolves the conflict")
}

func TestOfferRefusesBadInput(t *testing.T) {
	h, sign := newTestHolder(t)
	h.Offer(epoch, sign(1, "a"), "platform")
	h.Settle(epoch)
	_, priv := testKey(1)
	_, stranger := testKey(2)
	unchecked, err := Sign(priv, []byte("version: 2\n"))
	assert.NilError(t, err)
	for _, c := range []struct {
		signed []byte
		want   AdoptionResult
	}{
		{signedSample(t, stranger, 2, "a"), ResultBadSignature},
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

// Readers take no lock; under the race detector this also shows that adoption
// publishes complete bundles only.
func TestConcurrentOffersAndReads(t *testing.T) {
	h, sign := newTestHolder(t)
	const versions = 8
	signed := make([][]byte, versions)
	for i := range signed {
		signed[i] = sign(uint64(i+1), "a")
	}
	h.Offer(epoch, signed[0], "platform")
	h.Settle(epoch)
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

package agent

import (
	"strings"
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/wire"
)

// fence bars the calls of an identity that were sent before a moment.
//
// The failure: an order's call is held up on its way to the owner, and its entry
// dies. The caller sends the order again through another entry, which cannot run
// it, asks the owner, hears "never" and says "refused"; the caller places the
// order anew. Then the first call arrives and runs, and there are two. So
// "never" is a promise: no call that may have been sent before it runs. It
// holds until the latest deadline that such a call can have.
type fence struct {
	// entry and at are those of the peek.
	entry string
	at    time.Time
	until time.Time
}

// bars tells whether a call may have been sent before the fence. The times of
// one entry are on one clock; those of two differ by up to skew.
func (f *fence) bars(call *wire.StageCall, skew time.Duration) bool {
	sent := call.Deadline.Add(-call.Budget)
	if f.entry != "" && strings.HasPrefix(call.ID.Entry, f.entry) {
		return !sent.After(f.at)
	}
	return !sent.After(f.at.Add(skew))
}

// fenceOff puts a fence in place; it returns false if there is no room to
// remember it, and then nothing may be promised. The shard is locked.
func (c *Core) fenceOff(now time.Time, set *settings, shard *identityShard, p *wire.Peek) bool {
	if p.At.IsZero() {
		return true
	}
	key := identityKey{identity: p.Identity.Value, stage: p.Stage}
	old, fenced := shard.fences[key]
	if !fenced && len(shard.fences) >= c.identities.limits.unrepeatable {
		return false
	}
	if fenced && old.at.After(p.At) {
		return true
	}
	shard.fences[key] = fence{entry: p.Entry, at: p.At, until: now.Add(set.longest + 2*set.skew)}
	return true
}

// fenced refuses a call that its owner has already denied.
func (a *arrival) fenced() *refusal {
	if !a.call.Unrepeatable {
		return nil
	}
	f, ok := a.shard.fences[keyOf(a.call)]
	if !ok || !f.bars(a.call, a.set.skew) {
		return nil
	}
	reject := refused(api.ReasonRevoked, "sent before it was said not to have run")
	reject.retryAfter = a.set.skew
	return reject
}

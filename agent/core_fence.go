package agent

import (
	"strings"
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/wire"
)

// fence blocks the calls of an identity that were sent before a given time.
//
// It guards against this failure: an order's call is delayed on its way to the
// owner, and its entry dies. The client resends the order through another
// entry, which cannot run it, asks the owner with a peek, gets the answer
// "never" and refuses the order. The client places the order anew. Then the
// first call arrives and runs, and the order is executed twice.
//
// Hence "never" promises that no call that may have been sent before it runs.
// The fence is kept until the latest deadline that such a call can have.
type fence struct {
	// entry and at identify the entry that sent the peek and the time of the
	// peek on its clock.
	entry   string
	at      time.Time
	expires time.Time
}

// blocks reports whether a call may have been sent before the fence. The times
// of one entry are on one clock; those of two entries differ by up to skew.
func (f *fence) blocks(call *wire.StageCall, skew time.Duration) bool {
	sent := call.Deadline.Add(-call.Budget)
	if f.entry != "" && strings.HasPrefix(call.ID.Entry, f.entry) {
		return !sent.After(f.at)
	}
	return !sent.After(f.at.Add(skew))
}

// addFence adds the fence of a peek. It returns false if there is no room for
// it, and then PeekNever must not be answered. The shard is locked.
func (c *Core) addFence(now time.Time, conf *settings, shard *identityShard, p *wire.Peek) bool {
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
	shard.fences[key] = fence{entry: p.Entry, at: p.At, expires: now.Add(conf.maxDeadline + 2*conf.skew)}
	return true
}

// checkFence refuses an unrepeatable call that is blocked by a fence.
func (a *arrival) checkFence() *refusal {
	if !a.call.Unrepeatable {
		return nil
	}
	f, ok := a.shard.fences[keyOf(a.call)]
	if !ok || !f.blocks(a.call, a.conf.skew) {
		return nil
	}
	reject := refused(api.ReasonRevoked, "sent before it was said not to have run")
	reject.retryAfter = a.conf.skew
	return reject
}

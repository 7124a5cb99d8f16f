package origin

import (
	"context"
	"time"
)

// proofTimeout bounds the time until the view is confirmed: many answers of the store. A
// client whose stream cannot go on is told so within a second.
const proofTimeout = 500 * time.Millisecond

// proveSole finds out whether there is one origin that a stream which nobody knows can have
// had. The verdict is Sole if there is, Unknown if there were several or none, unseen if this
// process has not seen all of them for long enough, and Unreached if it may be cut off now.
//
// The failure that it guards against: a member is cut off, or stands still, while a version
// joins. Streams begin at it elsewhere, break, and are taken up at that member, which knows
// of one version only, for as long as it does not notice. So the view must have all that was
// written before the stream was taken up: an endpoint that began it was listed by then.
func (c *Client) proveSole(ctx context.Context, now time.Time, call askCall) (Origin, Verdict) {
	if _, verdict := c.sole(now, call); verdict != Sole {
		return Origin{}, verdict
	}
	ctx, cancel := context.WithTimeout(ctx, settleTime+proofTimeout)
	defer cancel()
	if !c.confirm(ctx, c.listedBy(now)) {
		return Origin{}, Unreached
	}
	return c.sole(now, call)
}

// listedBy returns when the entries of all processes that have served by now are written. A
// process under the ID of an earlier one serves for a moment before its entry is.
func (c *Client) listedBy(now time.Time) time.Time {
	for e := range c.cfg.View().All() {
		if e.Incarnation != 0 {
			return now.Add(settleTime)
		}
	}
	return now
}

// sole returns the only origin that a stream that was taken up at a time can have had, by what
// this process has seen until now.
func (c *Client) sole(takenUp time.Time, call askCall) (Origin, Verdict) {
	seen, ok := c.cfg.SeenSince()
	if !ok {
		return Origin{}, Unreached
	}
	return c.history.Sole(takenUp, seen, call.Route, min(call.Lifetime, MaxLifetime))
}

// InStep reports whether the view has all changes as of t, for which it waits a little.
func (c *Client) InStep(ctx context.Context, t time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	return c.confirm(ctx, t)
}

// confirm makes sure that the view and the history have all changes as of t, and reports
// whether they have by the end of ctx.
func (c *Client) confirm(ctx context.Context, t time.Time) bool {
	if !c.cfg.Confirm(ctx, t) {
		return false
	}
	// The view is published to the history a moment later.
	c.history.SetView(time.Now(), c.cfg.View())
	return true
}

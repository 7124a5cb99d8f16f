package origin

import (
	"context"
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/internal/sleep"
)

const (
	// settleTime is how long after its start a process may serve before its entry is written:
	// until then the entry of the one before it, under the same ID, stands in the store.
	settleTime = 200 * time.Millisecond
	// lagMargin multiplies the lag of the view: the next change may be later than the latest.
	lagMargin = 2
	// maxSettleTime bounds the time until the view is believed to have that entry. A store
	// that does not answer would hold streams for as long as it is away.
	maxSettleTime = time.Second
	// settlePollInterval is how often it is looked whether the view has it.
	settlePollInterval = 10 * time.Millisecond
)

// Proof is what has to be looked at again before the version in an entry is believed of the
// process that sent an event. The zero Proof leaves nothing to look at.
type Proof struct {
	// Endpoint is the Key of the endpoint whose entry was known, Opened when the connection
	// to the process was opened.
	Endpoint string
	Opened   time.Time
}

// IsZero reports whether the version is believed.
func (p Proof) IsZero() bool { return p.Endpoint == "" }

// SettledBefore returns the time before which a connection must have been opened for the view
// to be sure to have the entry of the process at its other end.
func (c *Client) SettledBefore() time.Time { return c.cfg.AsOf().Add(-settleTime) }

// likelySettledBefore is SettledBefore, or the time that follows from how late changes come to
// the view, if that is later.
func (c *Client) likelySettledBefore() time.Time {
	certain := c.SettledBefore()
	likely := time.Now().Add(-min(settleTime+lagMargin*c.cfg.Lag(), maxSettleTime))
	if certain.After(likely) {
		return certain
	}
	return likely
}

// Await waits until the view is likely to have the entry of the process: what this process
// itself has begun is not held for as long as the store is away.
func (c *Client) Await(ctx context.Context, p Proof) {
	sleep.For(ctx, time.Until(p.Opened.Add(settleTime)))
	for !p.Opened.Before(c.likelySettledBefore()) && ctx.Err() == nil {
		sleep.For(ctx, settlePollInterval)
	}
}

// Holds reports whether the process had the version of the origin, by the view once its entry
// is known: no process of another version has taken the place of the one in the entry before
// the connection was opened.
func (p Proof) Holds(view *catalog.View, o Origin) bool {
	listed := view.EndpointByID(catalog.IDOfKey(p.Endpoint))
	switch {
	case listed == nil:
		return true
	case listed.Service == o.Service && listed.Runs(o.Version):
		return true
	case listed.Key() == p.Endpoint:
		return false
	}
	return listed.Incarnation.Time().After(p.Opened)
}

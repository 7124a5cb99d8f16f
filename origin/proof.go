package origin

import (
	"context"
	"time"

	"github.com/mangostage/mangostage/catalog"
)

// settleTime is how long after its start a process may serve before its entry is written:
// until then the entry of the one before it, under the same ID, stands in the store.
const settleTime = 200 * time.Millisecond

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

// Await waits until the view is sure to have the entry of the process, and reports whether it
// has by the end of ctx or within settleTime and proofTimeout. Else this process may be cut
// off, and the entry be that of an earlier process.
func (c *Client) Await(ctx context.Context, p Proof) (sure bool) {
	ctx, cancel := context.WithTimeout(ctx, settleTime+proofTimeout)
	defer cancel()
	return c.confirm(ctx, p.Opened.Add(settleTime))
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

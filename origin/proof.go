package origin

import (
	"context"
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/internal/sleep"
)

// SettleTime is how long after its start a process may serve before its entry is known here:
// until then the entry of the one before it, under the same ID, stands in the view.
const SettleTime = 200 * time.Millisecond

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

// Await waits until the entry of the process is known.
func (p Proof) Await(ctx context.Context) { sleep.For(ctx, time.Until(p.Opened.Add(SettleTime))) }

// Holds reports whether the process had the version of the origin, by the view once its entry
// is known: no other process has taken the place of the one in the entry before the
// connection was opened.
func (p Proof) Holds(view *catalog.View, o Origin) bool {
	listed := view.EndpointByID(catalog.IDOfKey(p.Endpoint))
	switch {
	case listed == nil:
		return true
	case listed.Key() == p.Endpoint:
		return listed.Runs(o.Version)
	}
	return listed.Incarnation.Time().After(p.Opened)
}

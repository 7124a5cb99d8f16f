package entry

import (
	"time"

	"github.com/mangostage/mangostage/route"
)

// loadAhead is the load of each pool that is ahead of a request of a given
// priority. It implements admit.PoolLoad.
//
// Agents run their queues by priority, so a request waits only for a share of
// the queue. Admission that counted the whole queue refused 141 of 1,769
// high-priority requests during an overload because of queued low-priority calls
// that they would have overtaken; without admission all of them were answered.
type loadAhead struct {
	snapshot *route.Snapshot
	// share is the fraction of the queue that runs before the request, 0 to 1.
	share float64
}

// Occupancy implements admit.PoolLoad.
func (l loadAhead) Occupancy(pool string, now time.Time) route.Occupancy {
	o := l.snapshot.Occupancy(pool, now)
	o.Queued = int(l.share * float64(o.Queued))
	return o
}

package entry

import (
	"time"

	"github.com/mangostage/mangostage/route"
)

// loadAhead is the load of pools as a request of some priority meets it.
//
// Agents run their queues by priority. Admission that charged a request the
// whole queue refused an emergency desk in a storm for the households' calls
// that it would have passed: 141 of 1,769 requests, while a policy without
// admission answered them all.
type loadAhead struct {
	snapshot *route.Snapshot
	// share is that of the queue which the request has to wait for.
	share float64
}

// Occupancy implements admit.PoolLoad.
func (l loadAhead) Occupancy(pool string, now time.Time) route.Occupancy {
	o := l.snapshot.Occupancy(pool, now)
	o.Queued = int(l.share * float64(o.Queued))
	return o
}

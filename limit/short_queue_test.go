package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/route"
)

// Guards against enforcing shares at the first call that has to wait. When two
// hundred callers sent a request at once to a pool of three endpoints, a third
// were refused as soon as the calls in flight equalled the capacity, though all
// could have been answered within a tenth of the deadline. No request may be
// refused while the queue clears in time; beyond that, shares apply.
func TestShortQueueRefusesNobody(t *testing.T) {
	limiter, err := New(bundle.Policy{Name: bundle.PolicyAdaptive})
	assert.NilError(t, err)
	account := &bundle.Account{Name: "a", Weight: 1,
		Limit: bundle.Limit{RequestsPerSecond: 2e4, Burst: 2e4, InFlight: 2e4}}
	demand := Demand{
		Pool:        "catalogue",
		Occupancy:   route.Occupancy{Endpoints: 3, Capacity: 48, Service: 15 * time.Millisecond},
		ServiceTime: 15 * time.Millisecond,
		Deadline:    4 * time.Second,
	}
	now := time.Now()
	admitted := 0
	verdict := Decision{OK: true}
	for verdict.OK && admitted < 20000 {
		demand.Occupancy.InFlight = min(admitted, 48)
		demand.Occupancy.Queued = max(0, admitted-48)
		if verdict = limiter.Admit(now, account, 2, demand); verdict.OK {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 200, "only %d", admitted)
	// The calls that run within the allowed time in the queue, and those on the
	// endpoints.
	most := 48 + int(48*demand.maxQueueWait()/demand.Occupancy.Service)
	assert.Assert(t, admitted >= most-1 && admitted <= most, "%d of %d", admitted, most)
	assert.Equal(t, verdict.Reason, api.ReasonOverloaded)
	assert.Assert(t, verdict.RetryAfter > 0)
}

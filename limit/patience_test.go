package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/route"
)

// Two hundred opticians ask at once for a pool of three endpoints. All could be
// answered within a tenth of the deadline, yet as soon as the calls equalled the
// capacity a third of the callers were refused: shares were in force at the
// first call that had to wait. A queue that clears in time refuses nobody; one
// that does not is shared.
func TestShortQueueRefusesNobody(t *testing.T) {
	limiter, err := New(bundle.Policy{Name: bundle.PolicyAdaptive})
	assert.NilError(t, err)
	account := &bundle.Account{Name: "a", Weight: 1,
		Limit: bundle.Limit{RequestsPerSecond: 2e4, Burst: 2e4, InFlight: 2e4}}
	demand := Demand{
		Pool:      "catalogue",
		Occupancy: route.Occupancy{Endpoints: 3, Capacity: 48, Service: 15 * time.Millisecond},
		Hold:      15 * time.Millisecond,
		Deadline:  4 * time.Second,
	}
	now := time.Now()
	admitted := 0
	verdict := Verdict{OK: true}
	for verdict.OK && admitted < 20000 {
		demand.Occupancy.InFlight = min(admitted, 48)
		demand.Occupancy.Queued = max(0, admitted-48)
		if verdict = limiter.Admit(now, account, 2, demand); verdict.OK {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 200, "only %d", admitted)
	// As many as run in the time that may be spent in the queue, and those on the endpoints.
	most := 48 + int(48*demand.patience()/demand.Occupancy.Service)
	assert.Assert(t, admitted >= most-1 && admitted <= most, "%d of %d", admitted, most)
	assert.Equal(t, verdict.Reason, api.ReasonOverloaded)
	assert.Assert(t, verdict.RetryAfter > 0)
}

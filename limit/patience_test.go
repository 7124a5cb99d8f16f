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
		Limit: bundle.Limit{RequestsPerSecond: 1e4, Burst: 1e4, InFlight: 1e4}}
	demand := Demand{
		Pool:      "catalogue",
		Occupancy: route.Occupancy{Endpoints: 3, Capacity: 48, Service: 15 * time.Millisecond},
		Hold:      15 * time.Millisecond,
		Deadline:  4 * time.Second,
	}
	now := time.Now()
	admitted := 0
	verdict := Verdict{OK: true}
	for verdict.OK && admitted < 10000 {
		demand.Occupancy.InFlight = min(admitted, 48)
		demand.Occupancy.Queued = max(0, admitted-48)
		if verdict = limiter.Admit(now, account, 2, demand); verdict.OK {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 200, "only %d", admitted)
	assert.Assert(t, admitted < 2000, "no bound: %d", admitted)
	assert.Equal(t, verdict.Reason, api.ReasonOverloaded)
	assert.Assert(t, verdict.RetryAfter > 0)
}

package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/route"
)

// Guards against counting calls of lower priorities as ahead of a request. At
// every agent a request of high priority passes them; only calls of the same or
// a higher priority are ahead of it.
func TestAheadCountsNoLowerPriorities(t *testing.T) {
	limiter, err := New(bundle.Policy{Name: bundle.PolicyAdaptive})
	assert.NilError(t, err)
	account := func(name string, priority int) *bundle.Account {
		return &bundle.Account{Name: name, Weight: 1, Priority: priority,
			Limit: bundle.Limit{RequestsPerSecond: 1e4, Burst: 1e4, InFlight: 1e4}}
	}
	households, desk := account("households", 1), account("desk", 9)
	demand := Demand{Pool: "engines", Occupancy: route.Occupancy{Endpoints: 3, Capacity: 1000, Service: time.Second}}
	now := time.Now()
	for range 99 {
		assert.Equal(t, limiter.Admit(now, households, 1, demand).AheadShare, 1.0)
	}
	assert.Equal(t, limiter.Admit(now, desk, 1, demand).AheadShare, 0.01)
	assert.Equal(t, limiter.Admit(now, households, 1, demand).AheadShare, 1.0)
}

package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/route"
)

// In a storm households fill the queue and an emergency desk asks. Its call
// passes them at every agent, so their calls are not ahead of it; of its own
// kind and of what is above it, all are.
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
		assert.Equal(t, limiter.Admit(now, households, 1, demand).Ahead, 1.0)
	}
	assert.Equal(t, limiter.Admit(now, desk, 1, demand).Ahead, 0.01)
	assert.Equal(t, limiter.Admit(now, households, 1, demand).Ahead, 1.0)
}

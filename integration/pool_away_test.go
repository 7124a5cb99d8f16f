package integration

import (
	"testing"
	"time"

	"github.com/mangostage/mangostage/fake"
	"github.com/mangostage/mangostage/internal/harness"
)

const (
	// outageMS is how long all engines of the pool are down, in milliseconds.
	outageMS = 200
	// outages is the number of outages, outageInterval the time from one to the next.
	outages        = 5
	outageInterval = 2 * time.Second
	poolCallers    = 12
)

// TestBegunRequestsOutliveTheirPool guards against requests that are cut short with
// seconds left because every endpoint of a pool was down for a moment.
func TestBegunRequestsOutliveTheirPool(t *testing.T) {
	fleet := harness.Start(t, harness.Config{
		Pools: map[string]int{"encoders": 1, "retrievers": 1, poolEngines: 3},
	})
	tr := startTraffic(t, fleet, poolCallers, plainCall(pipelineNotes))
	harness.Wait(t, waitTimeout, func() error { return answeredSince(tr, 0, 50) })
	outage := time.NewTicker(outageInterval)
	defer outage.Stop()
	for range outages {
		for _, e := range fleet.PoolEndpoints(poolEngines) {
			e.Apply(fake.Control{DownForMS: outageMS})
		}
		<-outage.C
	}
	answered := tr.answered.Load()
	harness.Wait(t, waitTimeout, func() error { return answeredSince(tr, answered, 100) })
	tr.finish(t)
}

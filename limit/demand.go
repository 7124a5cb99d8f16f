package limit

import (
	"math"
	"time"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/route"
)

// Demand is what an admitted request would use.
type Demand struct {
	// Pool is the one that limits the pipeline's throughput.
	Pool string
	// Occupancy is the pool's load as this entry sees it.
	Occupancy route.Occupancy
	// Hold is how long the request will be in flight if it never queues; zero
	// if not known.
	Hold time.Duration
}

// PoolLoad gives the load of pools; *route.Snapshot is one.
type PoolLoad interface {
	Occupancy(pool string, now time.Time) route.Occupancy
}

// DemandOf finds the pool that limits the pipeline's throughput: shares are
// worth most where calls will queue, and the first stage is seldom that place.
func DemandOf(now time.Time, pipeline *bundle.Pipeline, load PoolLoad) Demand {
	var d Demand
	slowest := math.Inf(1)
	for i := range pipeline.Stages {
		stage := &pipeline.Stages[i]
		o := load.Occupancy(stage.Pool, now)
		if o.Service == 0 {
			o.Service = stage.Typical.D()
		}
		d.Hold += o.Service
		throughput := float64(o.Capacity) / max(o.Service.Seconds(), math.SmallestNonzeroFloat64)
		if throughput < slowest {
			slowest = throughput
			d.Pool, d.Occupancy = stage.Pool, o
		}
	}
	return d
}

// slack is how much more than its part of a saturated pool's capacity an
// entry keeps in flight: enough that endpoints never wait for work, little
// enough that queues stay short.
const slack = 1.5

// slots is how many requests the entry may have in flight that use the pool,
// once it is saturated. A request holds its place over all of its stages, so
// that many more are in flight than the pool runs at once if it is only a
// short part of the pipeline.
func (d Demand) slots(liveEntries int) float64 {
	part := float64(d.Occupancy.Capacity) / float64(max(1, liveEntries))
	stages := 1.0
	if d.Occupancy.Service > 0 && d.Hold > d.Occupancy.Service {
		stages = float64(d.Hold) / float64(d.Occupancy.Service)
	}
	return max(1, part*stages*slack)
}

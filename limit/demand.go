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
	// Deadline is the pipeline's; zero if not known.
	Deadline time.Duration
}

// PoolLoad gives the load of pools; *route.Snapshot is one.
type PoolLoad interface {
	Occupancy(pool string, now time.Time) route.Occupancy
}

// DemandOf finds the pool that limits the pipeline's throughput: shares are
// worth most where calls will queue, and the first stage is seldom that place.
func DemandOf(now time.Time, pipeline *bundle.Pipeline, load PoolLoad) Demand {
	d := Demand{Deadline: pipeline.Deadline.D()}
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

const (
	// slack is how much more than its part of a saturated pool's capacity an
	// entry keeps in flight at the least: enough that endpoints never wait for work.
	slack = 1.5
	// queueShare is the part of the time to spare that a request may spend
	// waiting before shares are in force. A burst that clears within the deadline
	// is no reason to refuse anybody, and agents let small accounts pass large ones
	// in their queues; the rest is for the queue to grow in while the calls that
	// were let in pass through earlier stages.
	queueShare = 0.75
)

// patience is how long a request may queue before shares are in force.
func (d Demand) patience() time.Duration {
	return max(0, time.Duration(queueShare*float64(d.Deadline-d.Hold)))
}

// saturated tells whether the pool's queue is too long to go on without shares.
func (d Demand) saturated() bool {
	return d.Occupancy.Saturated() && d.Occupancy.Wait(d.Occupancy.Service) >= d.patience()
}

// slots is how many requests the entry may have in flight that use the pool,
// once it is saturated: by Little's law its part of the throughput times the
// time that they take, the wait included. A request holds its place over all of
// its stages, so that many more are in flight than the pool runs at once if it
// is only a short part of the pipeline.
func (d Demand) slots(liveEntries int) float64 {
	part := float64(d.Occupancy.Capacity) / float64(max(1, liveEntries))
	service := float64(d.Occupancy.Service)
	if service == 0 {
		return max(1, part*slack)
	}
	hold := max(float64(d.Hold), service)
	return max(1, part*hold/service*slack, part*(hold+float64(d.patience()))/service)
}

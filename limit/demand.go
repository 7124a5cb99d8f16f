package limit

import (
	"math"
	"time"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/route"
)

// Demand is what a request will use if it is admitted.
type Demand struct {
	// Pool is the pool that limits the pipeline's throughput.
	Pool string
	// Occupancy is the pool's load as this entry sees it.
	Occupancy route.Occupancy
	// ServiceTime is how long the request will be in flight if it never queues: the
	// sum of its stages' service times. It is zero if not known.
	ServiceTime time.Duration
	// Deadline is the time that the pipeline allows a request; zero if not
	// known.
	Deadline time.Duration
}

// PoolLoad returns the load of pools. *route.Snapshot implements it.
type PoolLoad interface {
	Occupancy(pool string, now time.Time) route.Occupancy
}

// DemandOf returns the demand of a request of the pipeline on the pool that
// limits its throughput. Shares have the most effect at the pool where calls
// will queue, which is seldom that of the first stage.
func DemandOf(now time.Time, pipeline *bundle.Pipeline, load PoolLoad) Demand {
	d := Demand{Deadline: pipeline.Deadline.D()}
	slowest := math.Inf(1)
	for i := range pipeline.Stages {
		stage := &pipeline.Stages[i]
		o := load.Occupancy(stage.Pool, now)
		if o.Service == 0 {
			o.Service = stage.Typical.D()
		}
		d.ServiceTime += o.Service
		throughput := float64(o.Capacity) / max(o.Service.Seconds(), math.SmallestNonzeroFloat64)
		if throughput < slowest {
			slowest = throughput
			d.Pool, d.Occupancy = stage.Pool, o
		}
	}
	return d
}

const (
	// inFlightMargin times its part of a saturated pool's capacity is the least
	// that an entry may have in flight, so that endpoints never wait for work.
	inFlightMargin = 1.5
	// queueWaitShare is the share of a request's spare time, its deadline less
	// its service time, that it may spend in the queue before shares are
	// enforced. A burst that clears within the deadline is no reason to refuse
	// requests, and agents let small accounts pass large ones in their queues.
	// The rest of the spare time leaves room for the queue to grow while
	// requests already admitted pass through earlier stages.
	queueWaitShare = 0.75
)

// maxQueueWait returns how long a request may queue before shares are enforced.
func (d Demand) maxQueueWait() time.Duration {
	return max(0, time.Duration(queueWaitShare*float64(d.Deadline-d.ServiceTime)))
}

// saturated tells whether the pool's queue is so long that shares must be
// enforced.
func (d Demand) saturated() bool {
	return d.Occupancy.Saturated() && d.Occupancy.Wait(d.Occupancy.Service) >= d.maxQueueWait()
}

// slots returns how many requests that use the pool the entry may have in
// flight once the pool is saturated. By Little's law it is the entry's part of
// the throughput times the time that a request takes, the wait included. A
// request occupies its slot during all of its stages, so if the pool runs only
// a short part of the pipeline, far more requests are in flight than the pool
// runs at once.
func (d Demand) slots(liveEntries int) float64 {
	part := float64(d.Occupancy.Capacity) / float64(max(1, liveEntries))
	service := float64(d.Occupancy.Service)
	if service == 0 {
		return max(1, part*inFlightMargin)
	}
	serviceTime := max(float64(d.ServiceTime), service)
	return max(1, part*serviceTime/service*inFlightMargin, part*(serviceTime+float64(d.maxQueueWait()))/service)
}

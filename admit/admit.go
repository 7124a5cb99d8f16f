// Package admit decides, before a request's first stage, whether all of its
// stages can still finish by the one deadline. A request that cannot is
// refused at once: run to its third stage, it would cost as much as an
// answer and leave the caller as late and without one.
package admit

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/route"
)

// Quantiles gives measured times of stages, waiting at the agent excluded;
// *route.Estimator is one.
type Quantiles interface {
	Quantile(key route.StageKey, q float64, now time.Time) route.Estimate
}

// PoolLoad gives the load of pools; *route.Snapshot is one.
type PoolLoad interface {
	Occupancy(pool string, now time.Time) route.Occupancy
}

// Verdict is the outcome of a check.
type Verdict struct {
	OK bool
	// Reason is api.ReasonNoEndpoint if a stage has nowhere to run,
	// api.ReasonDeadlineTooShort if the stages would not fit into the time
	// even without queues, and api.ReasonOverloaded if they do not now.
	Reason api.Reason
	// RetryAfter is when the queues will have drained so far that the request
	// fits; zero if it never will with so little time.
	RetryAfter time.Duration
	// Need is the time that the stages are expected to take, queues included.
	Need time.Duration
}

// Check tells whether the pipeline can finish within the remaining time. It
// is a function of its arguments alone.
func Check(now time.Time, pipeline *bundle.Pipeline, remaining time.Duration, est Quantiles, load PoolLoad) Verdict {
	f := forecastOf(now, pipeline.Stages, est, load)
	v := Verdict{Need: f.need()}
	switch {
	case f.unserved:
		v.Reason = api.ReasonNoEndpoint
		v.RetryAfter = f.service()
	case v.Need <= remaining:
		v.OK = true
	case f.service() > remaining:
		v.Reason = api.ReasonDeadlineTooShort
	default:
		v.Reason = api.ReasonOverloaded
		v.RetryAfter = f.drain(v.Need - remaining)
	}
	return v
}

// Need is the time that the stages are expected to take, queues included. It
// serves for the remaining stages of a request as well.
func Need(now time.Time, stages []bundle.Stage, est Quantiles, load PoolLoad) time.Duration {
	f := forecastOf(now, stages, est, load)
	return f.need()
}

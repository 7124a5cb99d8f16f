// Package admit decides, before a request's first stage, whether all of its
// stages can still finish by the common deadline. A request that cannot is
// refused at once: if it ran up to its third stage, it would cost as much as an
// answer, and the caller would be just as late and get none.
package admit

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/route"
)

// Quantiles returns measured times of stages, without the wait at the agent;
// *route.Estimator implements it.
type Quantiles interface {
	Quantile(key route.StageKey, q float64, now time.Time) route.Estimate
}

// PoolLoad returns the load of pools; *route.Snapshot implements it.
type PoolLoad interface {
	Occupancy(pool string, now time.Time) route.Occupancy
}

// Decision is the result of Check.
type Decision struct {
	// OK is true when the request may be admitted.
	OK bool
	// Reason is empty if OK, api.ReasonNoEndpoint if the pool of a stage has no
	// endpoint, api.ReasonDeadlineTooShort if the stages would not fit into the
	// remaining time even without queues, and api.ReasonOverloaded if they do
	// not fit because of the current load.
	Reason api.Reason
	// RetryAfter is the time after which the queues will be short enough for
	// the request; if there is no endpoint, it is the time of all stages. It is
	// zero if the request will never fit into so little time.
	RetryAfter time.Duration
	// Need is the expected time of all stages, including queues.
	Need time.Duration
}

// Check reports whether the pipeline can finish within the remaining time. The
// result depends on its arguments only.
func Check(now time.Time, pipeline *bundle.Pipeline, remaining time.Duration, est Quantiles, load PoolLoad) Decision {
	f := newForecast(now, pipeline.Stages, est, load)
	v := Decision{Need: f.need()}
	switch {
	case f.noEndpoint:
		v.Reason = api.ReasonNoEndpoint
		v.RetryAfter = f.service()
	case v.Need <= remaining:
		v.OK = true
	case f.service() > remaining:
		v.Reason = api.ReasonDeadlineTooShort
	default:
		v.Reason = api.ReasonOverloaded
		v.RetryAfter = f.drainTime(v.Need - remaining)
	}
	return v
}

// Need returns the expected time of the stages, including queues. The stages
// may be the remaining ones of a request.
func Need(now time.Time, stages []bundle.Stage, est Quantiles, load PoolLoad) time.Duration {
	f := newForecast(now, stages, est, load)
	return f.need()
}

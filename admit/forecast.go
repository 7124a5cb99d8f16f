package admit

import (
	"math"
	"time"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/route"
)

const (
	// medianQuantile and highQuantile are the quantiles of the measured times
	// that a forecast uses.
	medianQuantile = 0.5
	highQuantile   = 0.9
	// freshFor is how long after the latest measurement an estimate has full
	// weight; weightHalfLife is the time in which the weight halves after that.
	freshFor       = 2 * time.Second
	weightHalfLife = 2 * time.Second
	// fullWeightSamples is the number of measurements from which on an estimate
	// replaces the bundle's typical time.
	fullWeightSamples = 8
)

// stageForecast is the expected time of one stage.
type stageForecast struct {
	pool string
	// service is the median time on an endpoint; spread is the difference
	// between the high quantile and the median; wait is the time in the queue.
	service time.Duration
	spread  time.Duration
	wait    time.Duration
}

// forecast is the expected time of all stages of a request.
type forecast struct {
	stages [bundle.MaxStages]stageForecast
	count  int
	// utilization is that of the most loaded pool: its calls, running and
	// queued, per capacity, from 0 to 1.
	utilization float64
	// noEndpoint is true when some pool has no endpoint that accepts work.
	noEndpoint bool
}

func newForecast(now time.Time, stages []bundle.Stage, est Quantiles, load PoolLoad) forecast {
	var f forecast
	for i := range stages[:min(len(stages), bundle.MaxStages)] {
		stage := &stages[i]
		o := load.Occupancy(stage.Pool, now)
		if o.Endpoints == 0 {
			f.noEndpoint = true
		}
		s := forecastStage(now, stage, est)
		// Two stages on one pool wait in its queue twice, as two calls.
		s.wait = o.Wait(s.service)
		if o.Capacity > 0 {
			f.utilization = max(f.utilization, min(1, float64(o.InFlight+o.Queued)/float64(o.Capacity)))
		}
		f.stages[i] = s
		f.count++
	}
	return f
}

// forecastStage estimates a stage from its measured times, which lose weight
// with age in favour of the bundle's typical time.
//
// This guards against refusals that never end: a pool is slow for a moment, the
// measured times say that no request fits, and every request is refused. Then
// nothing runs, nothing is measured, the last times stay, and callers are
// refused by an idle system. As the measured times lose weight, some seconds
// without a measurement bring the estimate back to where requests fit again,
// and the first ones admitted update the measurements. Package route lets
// reported load lose weight likewise.
func forecastStage(now time.Time, stage *bundle.Stage, est Quantiles) stageForecast {
	typical := stage.Typical.D()
	s := stageForecast{pool: stage.Pool, service: typical}
	key := route.StageKey{Pool: stage.Pool, Stage: stage.Name}
	m := est.Quantile(key, medianQuantile, now)
	weight := estimateWeight(m)
	if weight == 0 {
		return s
	}
	s.service = interpolate(typical, m.Value, weight)
	h := est.Quantile(key, highQuantile, now)
	s.spread = interpolate(0, max(0, h.Value-m.Value), weight)
	return s
}

// estimateWeight returns the weight of an estimate, from 0 to 1.
func estimateWeight(e route.Estimate) float64 {
	if e.Samples == 0 {
		return 0
	}
	weight := min(1, float64(e.Samples)/fullWeightSamples)
	if e.Age > freshFor {
		weight *= math.Exp2(-float64(e.Age-freshFor) / float64(weightHalfLife))
	}
	return weight
}

// interpolate returns the value between from and to at weight, from 0 to 1.
func interpolate(from, to time.Duration, weight float64) time.Duration {
	return from + time.Duration(float64(to-from)*weight)
}

// service returns the time of all stages without queues.
func (f *forecast) service() time.Duration {
	var sum time.Duration
	for i := range f.count {
		sum += f.stages[i].service
	}
	return sum
}

// need returns the time of all stages, with queues and a margin. The margin is
// the spread of the sum, that is the root of the sum of squares, since the
// stages vary independently. It is scaled by the utilization: on idle endpoints
// even a request that is unlikely to finish is worth a try; on full ones it
// takes the place of one that is likely to.
func (f *forecast) need() time.Duration {
	sum := f.service()
	var squares float64
	for i := range f.count {
		sum += f.stages[i].wait
		squares += f.stages[i].spread.Seconds() * f.stages[i].spread.Seconds()
	}
	margin := math.Sqrt(squares) * f.utilization
	return sum + time.Duration(margin*float64(time.Second))
}

// drainTime returns the time after which the waits are shorter by excess in
// total. All queues drain at once, so that several reach this sooner than one;
// a queue that is empty contributes no more. What the queues cannot contribute
// must come from the margin, which shrinks as the pools become less loaded,
// from the end of the longest queue on; the result includes that remainder as
// additional time.
func (f *forecast) drainTime(excess time.Duration) time.Duration {
	var after time.Duration
	for excess > 0 {
		shortest, queues := time.Duration(math.MaxInt64), time.Duration(0)
		for i := range f.count {
			if wait := f.stages[i].wait - after; wait > 0 {
				shortest = min(shortest, wait)
				queues++
			}
		}
		if queues == 0 {
			return after + excess
		}
		step := min(shortest, (excess+queues-1)/queues)
		after += step
		excess -= step * queues
	}
	return after
}

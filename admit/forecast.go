package admit

import (
	"math"
	"time"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/route"
)

const (
	// middle and high are the quantiles that a forecast rests on.
	middle = 0.5
	high   = 0.9
	// trusted is how long after the latest measurement it is fully believed,
	// halfLife how long it then takes to count half.
	trusted  = 2 * time.Second
	halfLife = 2 * time.Second
	// enough is how many measurements outweigh the bundle's typical time.
	enough = 8
)

// stageForecast is the expected time of one stage.
type stageForecast struct {
	pool string
	// service is the median time on an endpoint, spread how much longer the
	// high quantile is, wait the time in the queue.
	service time.Duration
	spread  time.Duration
	wait    time.Duration
}

// forecast is the expected time of a request's stages.
type forecast struct {
	stages [bundle.MaxStages]stageForecast
	count  int
	// crowded is how far the most loaded pool is from idle, 0 to 1.
	crowded float64
	// unserved: some pool has no endpoint that takes work.
	unserved bool
}

func forecastOf(now time.Time, stages []bundle.Stage, est Quantiles, load PoolLoad) forecast {
	var f forecast
	for i := range stages[:min(len(stages), bundle.MaxStages)] {
		stage := &stages[i]
		o := load.Occupancy(stage.Pool, now)
		if o.Endpoints == 0 {
			f.unserved = true
		}
		s := stageOf(now, stage, est)
		// Two stages on one pool meet its queue twice, as two calls.
		s.wait = o.Wait(s.service)
		if o.Capacity > 0 {
			f.crowded = max(f.crowded, min(1, float64(o.InFlight+o.Queued)/float64(o.Capacity)))
		}
		f.stages[i] = s
		f.count++
	}
	return f
}

// stageOf estimates a stage from its measured times, faded towards the
// bundle's typical time.
//
// The failure that fading guards against: an endpoint pool is slow for a
// moment, the measured times say that nothing fits, and every request is
// refused. Then nothing runs, nothing is measured, and the last times stand
// for ever; callers see refusals from an idle system. With fading, some
// seconds without a measurement bring the estimate back to where requests fit
// again, and the first ones let in measure anew. Load fades likewise, in
// package route.
func stageOf(now time.Time, stage *bundle.Stage, est Quantiles) stageForecast {
	typical := stage.Typical.D()
	s := stageForecast{pool: stage.Pool, service: typical}
	key := route.StageKey{Pool: stage.Pool, Stage: stage.Name}
	m := est.Quantile(key, middle, now)
	weight := belief(m)
	if weight == 0 {
		return s
	}
	s.service = fade(typical, m.Value, weight)
	h := est.Quantile(key, high, now)
	s.spread = fade(0, max(0, h.Value-m.Value), weight)
	return s
}

// belief is the weight of an estimate, 0 to 1.
func belief(e route.Estimate) float64 {
	if e.Samples == 0 {
		return 0
	}
	weight := min(1, float64(e.Samples)/enough)
	if e.Age > trusted {
		weight *= math.Exp2(-float64(e.Age-trusted) / float64(halfLife))
	}
	return weight
}

func fade(from, to time.Duration, weight float64) time.Duration {
	return from + time.Duration(float64(to-from)*weight)
}

// service is the time of all stages without queues.
func (f *forecast) service() time.Duration {
	var sum time.Duration
	for i := range f.count {
		sum += f.stages[i].service
	}
	return sum
}

// need is the time of all stages, with queues and a margin. The margin is the
// spread of the sum, the root of the sum of squares since the stages vary
// independently. It counts in so far as pools are loaded: on idle endpoints
// even an unlikely answer is worth a try, on full ones it takes the place of
// a likely one.
func (f *forecast) need() time.Duration {
	sum := f.service()
	var squares float64
	for i := range f.count {
		sum += f.stages[i].wait
		squares += f.stages[i].spread.Seconds() * f.stages[i].spread.Seconds()
	}
	margin := math.Sqrt(squares) * f.crowded
	return sum + time.Duration(margin*float64(time.Second))
}

// drain is the time after which the waits are shorter by excess together. All
// queues drain at once, so several get there sooner than one; one that is
// empty no longer helps. What the queues cannot give, the margin does when
// the pools are no longer crowded, which is at the end of the longest queue.
func (f *forecast) drain(excess time.Duration) time.Duration {
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

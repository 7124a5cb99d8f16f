package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Plan has all inputs of Schedule.
type Plan struct {
	Scenario Scenario
	Mix      Mix
	Seed     uint64
	// Warmup is the time before the measured run. Its rate is that of the
	// scenario outside of its ramps.
	Warmup time.Duration
	// Duration is the length of the measured run.
	Duration time.Duration
	// Capacity is the rate at which the deployment can answer the mix.
	Capacity Capacity
	// PoolCalls is, by pipeline, the number of calls of one request to the pool
	// that limits the capacity.
	PoolCalls map[string]int
	// CrashPipeline is the pipeline of the crash requests.
	CrashPipeline string
}

// crashInterval is the time between two submissions of the crash request.
const crashInterval = 300 * time.Millisecond

// crashMarker is the marker of crash requests, on which stand-ins crash.
const crashMarker = "crashes-its-endpoint"

// Streams of random numbers. Each purpose has its own, so that ordinary requests
// are the same with and without a flood.
const (
	rngStreamOrdinary = iota + 1
	rngStreamFlood
)

// Schedule returns the plan's arrivals, sorted by due time. The same plan always
// gives the same schedule.
func Schedule(p *Plan) []Arrival {
	all := p.ordinaryArrivals()
	all = append(all, p.floodArrivals()...)
	all = append(all, p.crashArrivals()...)
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// ordinaryArrivals draws a Poisson process whose rate follows the scenario.
func (p *Plan) ordinaryArrivals() []Arrival {
	rng := rand.New(rand.NewPCG(p.Seed, rngStreamOrdinary))
	base := p.Scenario.Share * p.Capacity.Rate
	rate := func(at time.Duration) float64 { return base * p.Scenario.rateFactor(p.fractionDone(at)) }
	var all []Arrival
	poisson(rng, p.Warmup+p.Duration, base*p.Scenario.peakRateFactor(), rate, func(at time.Duration) {
		all = append(all, p.newArrival(rng, at, p.Mix.drawAccount(rng), KindOrdinary, len(all)))
	})
	return all
}

// floodArrivals draws the additional requests of the mix's largest account, at a
// constant rate after the warm-up.
func (p *Plan) floodArrivals() []Arrival {
	if p.Scenario.Flood == 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(p.Seed, rngStreamFlood))
	rate := p.Scenario.Flood * p.Capacity.Rate
	account := p.Mix.largestAccount()
	var all []Arrival
	poisson(rng, p.Duration, rate, func(time.Duration) float64 { return rate }, func(at time.Duration) {
		all = append(all, p.newArrival(rng, p.Warmup+at, account, KindFlood, len(all)))
	})
	return all
}

// crashArrivals returns the submissions of the crash request, all by the mix's
// largest account, at regular intervals after the warm-up.
func (p *Plan) crashArrivals() []Arrival {
	if !p.Scenario.Crashes {
		return nil
	}
	var all []Arrival
	for at := time.Duration(0); at < p.Duration; at += crashInterval {
		all = append(all, Arrival{
			At: p.Warmup + at, Kind: KindCrash, Account: p.Mix.largestAccount().Name, Pipeline: p.CrashPipeline, Marker: crashMarker,
		})
	}
	return all
}

// poisson calls emit with the times of a Poisson process up to until. The rate,
// in events a second, may vary but must not exceed maxRate (thinning).
func poisson(rng *rand.Rand, until time.Duration, maxRate float64, rate func(time.Duration) float64, emit func(time.Duration)) {
	if maxRate <= 0 {
		return
	}
	elapsed := 0.0
	for {
		elapsed += rng.ExpFloat64() / maxRate
		due := time.Duration(elapsed * float64(time.Second))
		if due >= until {
			return
		}
		if rng.Float64()*maxRate < rate(due) {
			emit(due)
		}
	}
}

// fractionDone converts a time since the start of the warm-up to a fraction of
// the measured run; it is negative during the warm-up.
func (p *Plan) fractionDone(at time.Duration) float64 {
	return float64(at-p.Warmup) / float64(p.Duration)
}

// newArrival draws the n-th request of a kind for an account.
func (p *Plan) newArrival(rng *rand.Rand, at time.Duration, account *MixAccount, kind Kind, n int) Arrival {
	pipeline := p.Mix.drawPipeline(rng, account)
	return Arrival{
		At:       at,
		Kind:     kind,
		Account:  account.Name,
		Pipeline: pipeline.Name,
		Stream:   rng.Float64() < pipeline.Stream,
		Group:    rng.IntN(p.Mix.Groups),
		Marker:   string(kind) + "-" + strconv.Itoa(n),
		Warmup:   at < p.Warmup,
	}
}

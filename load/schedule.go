package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Plan is everything that a schedule of arrivals follows from.
type Plan struct {
	Scenario Scenario
	Mix      Mix
	Seed     uint64
	// Warmup comes first, at the rate of the scenario's start.
	Warmup time.Duration
	// Duration is that of the run that counts.
	Duration time.Duration
	// Capacity is what the deployment can answer of the mix.
	Capacity Capacity
	// PoolCalls is the number of calls of each pipeline to the pool that limits it.
	PoolCalls map[string]int
	// CrashPipeline is the one that crash requests ask for.
	CrashPipeline string
}

// crashInterval is the time from one sending of a crash request to the next.
const crashInterval = 300 * time.Millisecond

// crashMarker is in the input of crash requests.
const crashMarker = "crashes-its-endpoint"

// Streams of random numbers, one for each purpose, so that ordinary requests
// are the same with and without a flood.
const (
	streamOrdinary = iota + 1
	streamFlood
)

// Schedule returns the plan's arrivals in order of time. The same plan gives
// the same schedule.
func Schedule(p *Plan) []Arrival {
	all := p.ordinary()
	all = append(all, p.flood()...)
	all = append(all, p.crashes()...)
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// ordinary is a Poisson process whose rate follows the scenario.
func (p *Plan) ordinary() []Arrival {
	rng := rand.New(rand.NewPCG(p.Seed, streamOrdinary))
	base := p.Scenario.Share * p.Capacity.Rate
	rate := func(at time.Duration) float64 { return base * p.Scenario.factor(p.progress(at)) }
	var all []Arrival
	poisson(rng, p.Warmup+p.Duration, base*p.Scenario.peak(), rate, func(at time.Duration) {
		all = append(all, p.draw(rng, at, p.Mix.account(rng), KindOrdinary, len(all)))
	})
	return all
}

// flood is the further load of the mix's largest account.
func (p *Plan) flood() []Arrival {
	if p.Scenario.Flood == 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(p.Seed, streamFlood))
	rate := p.Scenario.Flood * p.Capacity.Rate
	account := p.Mix.largest()
	var all []Arrival
	poisson(rng, p.Duration, rate, func(time.Duration) float64 { return rate }, func(at time.Duration) {
		all = append(all, p.draw(rng, p.Warmup+at, account, KindFlood, len(all)))
	})
	return all
}

// crashes are one caller's sendings of one request.
func (p *Plan) crashes() []Arrival {
	if !p.Scenario.Crashes {
		return nil
	}
	var all []Arrival
	for at := time.Duration(0); at < p.Duration; at += crashInterval {
		all = append(all, Arrival{
			At: p.Warmup + at, Kind: KindCrash, Account: p.Mix.largest().Name, Pipeline: p.CrashPipeline, Marker: crashMarker,
		})
	}
	return all
}

// poisson calls arrive at the times of a Poisson process whose rate, in
// events a second, never exceeds most.
func poisson(rng *rand.Rand, until time.Duration, most float64, rate func(time.Duration) float64, arrive func(time.Duration)) {
	if most <= 0 {
		return
	}
	at := 0.0
	for {
		at += rng.ExpFloat64() / most
		due := time.Duration(at * float64(time.Second))
		if due >= until {
			return
		}
		if rng.Float64()*most < rate(due) {
			arrive(due)
		}
	}
}

// progress is the share of the run that is over; negative in the warm-up.
func (p *Plan) progress(at time.Duration) float64 {
	return float64(at-p.Warmup) / float64(p.Duration)
}

// draw makes one request of an account.
func (p *Plan) draw(rng *rand.Rand, at time.Duration, account *MixAccount, kind Kind, n int) Arrival {
	pipeline := p.Mix.pipeline(rng, account)
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

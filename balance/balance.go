// Package balance chooses endpoints of plain services: by what they said of
// their load, by this process's own requests in flight, by how long answers
// took and by how often requests failed. It does no I/O.
package balance

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/internal/health"
	"github.com/mangostage/mangostage/warm"
)

const (
	// latencyWeight is the share of the newest answer in an endpoint's latency.
	latencyWeight = 0.2
	// latencyGuess is the latency of an endpoint that has not answered yet.
	latencyGuess = 60 * time.Millisecond
	// failWeight is the share of the newest outcome in the failure rate.
	failWeight = 0.25
	// failHalfLife is the time in which a failure rate halves without new evidence.
	failHalfLife = 3 * time.Second
	// failCost is what a failure rate of 1 costs: about as much as an answer
	// that misses its objective.
	failCost = 2 * time.Second
	// remoteCost is added for an endpoint in another failure domain: two ways
	// between domains and the price of the bytes.
	remoteCost = 4 * time.Millisecond
	// loadSpan is how long what an endpoint said of its load is believed.
	loadSpan = time.Second
	// pauseFirst and pauseMax bound the time for which an endpoint that did
	// not answer comes last.
	pauseFirst = 200 * time.Millisecond
	pauseMax   = 3 * time.Second
	// pauseFull is the same for one that refused a request without running it:
	// about the time in which one of its requests ends.
	pauseFull = 50 * time.Millisecond
)

// Outcome is how a request at an endpoint ended.
type Outcome int

// The outcomes.
const (
	// Served requests were answered by the endpoint.
	Served Outcome = iota
	// Failed requests were answered with an error of the endpoint.
	Failed
	// Silent requests had no usable answer.
	Silent
	// Full requests were refused without being run.
	Full
	// Abandoned requests ended by the client's doing and say nothing.
	Abandoned
)

// Balancer knows the endpoints of all services.
type Balancer struct {
	domain string
	// phase spreads the first requests of a fleet's members to a cold endpoint.
	phase float64
	mu    sync.Mutex
	// states are kept by Key.
	states map[string]*state
}

type state struct {
	inFlight int
	latency  time.Duration
	failures health.Rate
	pause    health.Pause
	pace     warm.Pace
	// waiting is the load that the endpoint reported at loadAt, less our own share of it.
	waiting int
	loadAt  time.Time
}

// New returns a balancer for a process in the failure domain.
func New(domain string) *Balancer {
	return &Balancer{domain: domain, phase: rand.Float64(), states: make(map[string]*state)}
}

// Pick returns the endpoint with the least expected cost that takes work and is
// not in avoid by its Key, and counts a request for it; nil if there is none.
// share is this process's part of the requests that a cold endpoint bears.
func (b *Balancer) Pick(now time.Time, endpoints []*catalog.Endpoint, avoid map[string]bool, share float64) *catalog.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *catalog.Endpoint
	var least time.Duration
	for _, e := range endpoints {
		if !e.TakesWork() || avoid[e.Key()] || !b.state(e.Key()).pace.Allows(now, e, share, b.phase) {
			continue
		}
		if cost := b.cost(now, e); best == nil || cost < least {
			best, least = e, cost
		}
	}
	if best != nil {
		s := b.state(best.Key())
		s.inFlight++
		s.pace.Sent(now, best)
	}
	return best
}

// cost is the expected time until an answer.
func (b *Balancer) cost(now time.Time, e *catalog.Endpoint) time.Duration {
	s := b.state(e.Key())
	load := s.inFlight
	if now.Sub(s.loadAt) < loadSpan {
		load = max(load, s.waiting)
	}
	slots := max(1, e.Slots)
	cost := s.latency + s.latency*time.Duration(load)/time.Duration(slots)
	cost += time.Duration(float64(failCost) * s.failures.At(failHalfLife, now))
	if e.Domain != b.domain {
		cost += remoteCost
	}
	if s.pause.Active(now) {
		cost += failCost
	}
	return cost
}

func (b *Balancer) state(key string) *state {
	s := b.states[key]
	if s == nil {
		s = &state{latency: latencyGuess}
		b.states[key] = s
	}
	return s
}

// Ended takes the outcome of a request that Pick counted at the endpoint with
// that Key: what an ended process did says nothing of the next one. load is what the
// endpoint said of its running and waiting requests; negative if nothing.
func (b *Balancer) Ended(now time.Time, key string, outcome Outcome, took time.Duration, load int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(key)
	s.inFlight--
	if load >= 0 {
		s.waiting = load
		s.loadAt = now
	}
	switch outcome {
	case Served:
		s.latency += time.Duration(latencyWeight * float64(took-s.latency))
		s.learn(now, false)
		s.pause.Clear()
	case Failed:
		s.learn(now, true)
		s.pause.Clear()
	case Full:
		s.pause.Hold(pauseFull, now)
	case Silent:
		s.learn(now, true)
		s.pause.Fail(pauseFirst, pauseMax, now)
	case Abandoned:
	}
}

func (s *state) learn(now time.Time, failed bool) {
	s.failures.Learn(failed, failWeight, failHalfLife, now)
}

// Forget drops the state of endpoints that are gone.
func (b *Balancer) Forget(view *catalog.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, s := range b.states {
		if s.inFlight <= 0 && view.Endpoint(key) == nil {
			delete(b.states, key)
		}
	}
}

// Stats is what this process believes of one endpoint.
type Stats struct {
	// Endpoint is the Key.
	Endpoint string        `json:"endpoint"`
	InFlight int           `json:"in_flight"`
	Latency  time.Duration `json:"latency"`
	// FailureRate is the share of failed requests, newest ones first.
	FailureRate float64 `json:"failure_rate"`
	// Paused endpoints come last: they have just not answered, or were full.
	Paused bool `json:"paused,omitempty"`
}

// Stats lists the endpoints that requests were sent to, by ID.
func (b *Balancer) Stats(now time.Time) []Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]Stats, 0, len(b.states))
	for _, key := range slices.Sorted(maps.Keys(b.states)) {
		s := b.states[key]
		all = append(all, Stats{
			Endpoint:    key,
			InFlight:    s.inFlight,
			Latency:     s.latency,
			FailureRate: s.failures.At(failHalfLife, now),
			Paused:      s.pause.Active(now),
		})
	}
	return all
}

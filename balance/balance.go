// Package balance chooses endpoints of plain services by the load that they
// reported, this process's own requests in flight, the latency of answers and
// the failure rate, and by whether it pays to leave the failure domain. It does no I/O.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mangostage/mangostage/catalog"
)

// Outcome is how a request to an endpoint ended.
type Outcome int

// The outcomes.
const (
	// Served requests were answered by the endpoint.
	Served Outcome = iota
	// Failed requests were answered with an error by the endpoint.
	Failed
	// Silent requests got no usable answer.
	Silent
	// Full requests were refused by the endpoint without being run.
	Full
	// Abandoned requests were ended by the client and say nothing about the
	// endpoint.
	Abandoned
)

// Balancer tracks the endpoints of all services and chooses among them.
type Balancer struct {
	domain string
	// coldPhase, from 0 to 1, spreads out the first requests that the members
	// of a fleet send to a cold endpoint.
	coldPhase float64
	// draw returns a random number from 0 up to but not including 1.
	draw func() float64
	mu   sync.Mutex
	// states is keyed by the endpoint's Key.
	states map[string]*endpointState
	// tallies holds the sums of the endpoints' tallies, by service.
	tallies map[string]tally
	// local and remote hold the candidates of the latest Pick by failure domain: the own
	// and the others.
	local, remote group
}

// Report is the load that an endpoint reported with an answer.
type Report struct {
	// Load is the number of running and waiting requests.
	Load int
	// Pace is how long work takes on the endpoint's VM, relative to the usual time; 0
	// if not reported.
	Pace float64
}

// New returns a Balancer for a process in the failure domain.
func New(domain string) *Balancer {
	return &Balancer{
		domain: domain, coldPhase: rand.Float64(), draw: rand.Float64,
		states: make(map[string]*endpointState), tallies: make(map[string]tally),
	}
}

// Pick returns an endpoint that accepts work, is not avoided by its Key and, while it is
// cold, may be sent another request; nil if there is none. It is the one with the lowest
// expected cost in the own failure domain, or one of another if leaving pays. Pick counts
// a request in flight at that endpoint. share is this process's share of the request rate
// that a cold endpoint can take.
func (b *Balancer) Pick(now time.Time, endpoints []*catalog.Endpoint, avoid func(key string) bool, share float64) *catalog.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.collect(now, endpoints, avoid, share)
	chosen, reason := b.choose()
	if chosen == nil {
		return nil
	}
	s := chosen.state
	s.service = chosen.endpoint.Service
	s.begin(now)
	s.sends.count(reason)
	s.coldLimit.Record(now, chosen.endpoint)
	return chosen.endpoint
}

func (b *Balancer) state(key string) *endpointState {
	s := b.states[key]
	if s == nil {
		s = &endpointState{}
		b.states[key] = s
	}
	return s
}

// Done records the outcome and the latency of a request that Pick counted at
// the endpoint with that Key. A Key identifies one process of an endpoint, so
// that outcomes of an ended process do not count for its successor. report is the
// load that the endpoint reported; nil if it reported none.
func (b *Balancer) Done(now time.Time, key string, outcome Outcome, latency time.Duration, report *Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(key)
	answered := outcome == Served || outcome == Failed || outcome == Full
	s.end(now, answered, report)
	if answered {
		s.silences.Record(false, failureWeight, failureHalfLife, now)
	}
	switch outcome {
	case Served:
		s.learn(now, latency, report)
		b.recordOutcome(now, s, false)
		s.pause.ResetFailures()
	case Failed:
		b.recordOutcome(now, s, true)
		s.pause.ResetFailures()
	case Full:
		s.pause.BlockFor(fullPause, now)
	case Silent:
		b.recordOutcome(now, s, true)
		s.silences.Record(true, failureWeight, failureHalfLife, now)
		s.pause.RecordFailure(minPause, maxPause, now)
	case Abandoned:
	}
}

func (b *Balancer) recordOutcome(now time.Time, s *endpointState, failed bool) {
	s.failures.Record(failed, failureWeight, failureHalfLife, now)
	others := b.tallies[s.service].without(s.tally)
	s.evidence.record(now, failed, usualFor(s.tally, others).usualRate())
	b.tallies[s.service] = b.tallies[s.service].plus(s.tally.record(failed))
}

// Forget drops the state of endpoints that are no longer in the view and have
// no request in flight, and that of services without such endpoints.
func (b *Balancer) Forget(view *catalog.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, s := range b.states {
		if s.inFlight <= 0 && view.Endpoint(key) == nil {
			b.tallies[s.service] = b.tallies[s.service].without(s.tally)
			delete(b.states, key)
		}
	}
	b.forgetServices()
}

func (b *Balancer) forgetServices() {
	used := make(map[string]bool)
	for _, s := range b.states {
		used[s.service] = true
	}
	for service := range b.tallies {
		if !used[service] {
			delete(b.tallies, service)
		}
	}
}

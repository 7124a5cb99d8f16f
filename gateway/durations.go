package gateway

import (
	"sync"
	"time"
)

// maxSamples is the number of a route's latest requests on which an estimate is
// based. About one request in 33 takes longer than the longest of 32.
const maxSamples = 32

// recentDurations is a ring of the latest durations of one kind.
type recentDurations struct {
	samples [maxSamples]time.Duration
	n       int
}

// add replaces the oldest duration once maxSamples are kept.
func (r *recentDurations) add(d time.Duration) {
	r.samples[r.n%maxSamples] = d
	r.n++
}

// longest returns the longest duration, or 0 if there is none.
func (r *recentDurations) longest() time.Duration {
	var longest time.Duration
	for _, d := range r.samples {
		longest = max(longest, d)
	}
	return longest
}

// timing holds the durations of one answered request.
type timing struct {
	// firstByte is the time from arrival to the first byte, engineFirstByte from the
	// choice of the engine to the first byte, and transfer from there to the end.
	firstByte, engineFirstByte, transfer time.Duration
	// maxTokens is the maximum number of tokens that the request may generate.
	maxTokens int
}

// routeDurations holds the durations of a route's latest requests; perToken is the
// transfer time divided by the maximum number of tokens.
type routeDurations struct {
	firstByte, engineFirstByte, perToken recentDurations
}

// durationEstimator estimates how long requests last from the latest ones of their
// route.
type durationEstimator struct {
	mu     sync.Mutex
	routes map[string]*routeDurations
}

func newDurationEstimator() *durationEstimator {
	return &durationEstimator{routes: make(map[string]*routeDurations)}
}

// recordServed adds the durations of a request that was answered completely and with
// success.
func (e *durationEstimator) recordServed(route string, t timing) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.routes[route]
	if r == nil {
		if len(e.routes) >= maxRoutes {
			clear(e.routes)
		}
		r = &routeDurations{}
		e.routes[route] = r
	}
	r.firstByte.add(t.firstByte)
	r.engineFirstByte.add(t.engineFirstByte)
	r.perToken.add(t.transfer / time.Duration(max(1, t.maxTokens)))
}

// estimateDuration returns upper estimates of the time from a request's arrival to the
// end of its answer, and of the part after the choice of its engine. ok is false if no
// request of the route has been recorded.
func (e *durationEstimator) estimateDuration(route string, tokens int) (whole, engine time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.routes[route]
	if r == nil {
		return 0, 0, false
	}
	transfer := r.perToken.longest() * time.Duration(max(1, tokens))
	return r.firstByte.longest() + transfer, r.engineFirstByte.longest() + transfer, true
}

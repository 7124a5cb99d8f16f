package balance

import (
	"math"
	"time"

	"github.com/mangostage/mangostage/catalog"
)

const (
	// reportHalfLife is the age at which a reported load counts half.
	reportHalfLife = 300 * time.Millisecond
	// fullLoad is the number of requests for each slot that a paused endpoint, one that did
	// not answer or refused a request, is taken to have.
	fullLoad = 2
	// minSlotWeight is the least weight of an endpoint's slots, however old its report: the
	// endpoints that this process sends nothing to are seldom those with the longest queues.
	minSlotWeight = 0.3
	// mostLoad bounds the number of requests for each slot that one endpoint counts, so that
	// a wrong report does not make its service look saturated.
	mostLoad = 4
)

// Saturation is how much of what endpoints can run is in use, as this process sees it.
type Saturation struct {
	// Load is the expected number of requests for each slot that endpoints run or keep
	// waiting.
	Load float64
	// Rate is the number of requests per second that all endpoints answer if none waits.
	Rate float64
}

// Saturation sums up the endpoints that take work. Those with old reports count less; as
// far as nothing is known of them, they are taken to be idle.
func (b *Balancer) Saturation(now time.Time, endpoints []*catalog.Endpoint) Saturation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum Saturation
	var requests, slots float64
	for _, e := range endpoints {
		if !e.TakesWork() {
			continue
		}
		s := b.state(e.Key())
		endpointSlots := float64(max(1, e.Slots))
		sum.Rate += endpointSlots / max(s.work(now, initialLatency), time.Millisecond).Seconds()
		load, trust := s.expectedLoad(now, endpointSlots)
		requests += trust * load
		slots += max(minSlotWeight, trust) * endpointSlots
	}
	if slots > 0 {
		sum.Load = requests / slots
	}
	return sum
}

// expectedLoad returns the number of requests that an endpoint with a number of slots runs
// or keeps waiting, and how much that can be trusted, from 0 to 1.
func (s *endpointState) expectedLoad(now time.Time, slots float64) (load, trust float64) {
	if s.pause.Active(now) {
		return fullLoad * slots, 1
	}
	age := now.Sub(s.reportedAt)
	if s.reportedAt.IsZero() || age > loadReportTTL {
		return 0, 0
	}
	load = min(mostLoad*slots, max(float64(s.inFlight), float64(s.report.Load)))
	return load, math.Exp2(-age.Seconds() / reportHalfLife.Seconds())
}

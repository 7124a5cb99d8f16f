package balance

import (
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/spill"
)

// candidate is an endpoint that may be sent a request.
type candidate struct {
	endpoint *catalog.Endpoint
	state    *endpointState
	// work is the expected time of the work itself.
	work time.Duration
	// expected is the expected time until the answer, with the penalty for failures that
	// chance does not explain.
	expected time.Duration
	// cost ranks the candidates of a group: it grows with the load also while there are
	// free slots, so that requests are spread, and with each failure.
	cost time.Duration
}

// group is the candidates in one place: the own failure domain, or the others.
type group struct {
	candidates []candidate
	// latencySum is the sum of the learned latencies, each times its weight; latencyWeights
	// is the sum of the weights.
	latencySum, latencyWeights float64
	// paceSum and paceWeights are the same for the learned paces.
	paceSum, paceWeights float64
	// loadSum and loadWeights are the same for the reported loads per slot and the weights
	// of the reports.
	loadSum, loadWeights float64
}

func (g *group) reset() { *g = group{candidates: g.candidates[:0]} }

// add adds an endpoint.
func (g *group) add(now time.Time, e *catalog.Endpoint, s *endpointState) {
	g.candidates = append(g.candidates, candidate{endpoint: e, state: s})
	w := s.latency.weightAt(now)
	g.latencySum += w * float64(s.latency.average)
	g.latencyWeights += w
	if s.latency.pace > 0 {
		g.paceSum += w * s.latency.pace
		g.paceWeights += w
	}
	w = s.reportWeight(now)
	g.loadSum += w * float64(s.report.Load) / float64(max(1, e.Slots))
	g.loadWeights += w
}

// average returns the average latency of the endpoints; 0 if none has answered.
func (g *group) average() time.Duration {
	if g.latencyWeights == 0 {
		return 0
	}
	return time.Duration(g.latencySum / g.latencyWeights)
}

// slowness returns the average pace of the endpoints, as far as it is slower than usual.
func (g *group) slowness() float64 {
	if g.paceWeights == 0 {
		return 1
	}
	return min(maxPaceFactor, max(1, g.paceSum/g.paceWeights))
}

// usual returns the latency to expect in this place: the average, and the guess as far as
// there were no answers lately.
func (g *group) usual(guess time.Duration) time.Duration {
	return guess + time.Duration(min(1, g.latencyWeights)*float64(g.average()-guess))
}

// usualLoad returns the average load per slot; 0 if no endpoint has reported any lately.
func (g *group) usualLoad() float64 {
	if g.loadWeights == 0 {
		return 0
	}
	return g.loadSum / g.loadWeights
}

// collect groups the endpoints that may be sent a request by failure domain and assesses
// them.
func (b *Balancer) collect(now time.Time, endpoints []*catalog.Endpoint, avoid func(key string) bool, share float64) {
	b.local.reset()
	b.remote.reset()
	for _, e := range endpoints {
		if !e.TakesWork() {
			continue
		}
		key := e.Key()
		if avoid(key) {
			continue
		}
		s := b.state(key)
		if !s.coldLimit.Allow(now, e, share, b.coldPhase) {
			continue
		}
		if e.Domain == b.domain {
			b.local.add(now, e, s)
		} else {
			b.remote.add(now, e, s)
		}
	}
	local, remote := b.usualLatencies()
	b.local.assess(now, local)
	b.remote.assess(now, remote)
}

// usualLatencies returns the latencies to expect in both places. What was not learned
// lately is guessed from the other place, at the usual pace: otherwise an own failure domain
// that was slow when all left it would never be tried again.
func (b *Balancer) usualLatencies() (local, remote time.Duration) {
	local, remote = b.local.average(), b.remote.average()
	if local == 0 && remote == 0 {
		return initialLatency, initialLatency + spill.RoundTrip()
	}
	localGuess, remoteGuess := local, remote
	if remote > 0 {
		localGuess = max(0, remote-spill.RoundTrip())
	}
	if local > 0 {
		remoteGuess = time.Duration(float64(local)/b.local.slowness()) + spill.RoundTrip()
	}
	return b.local.usual(localGuess), b.remote.usual(remoteGuess)
}

// assess computes the expected times and costs.
func (g *group) assess(now time.Time, usual time.Duration) {
	load := g.usualLoad()
	for i := range g.candidates {
		g.candidates[i].assess(now, usual, load)
	}
}

func (c *candidate) assess(now time.Time, usual time.Duration, usualLoad float64) {
	slots := max(1, c.endpoint.Slots)
	load := c.state.load(now, slots, usualLoad)
	c.work = c.state.work(now, usual)
	penalty := c.state.pauseCost(now)
	if !c.state.hasIdleConn(now) {
		penalty += min(connCost, perSlot(c.work, connLoad, slots))
	}
	c.expected = c.work + perSlot(c.work, max(0, load+1-float64(slots)), slots) + penalty + failuresCost(c.state.leavingRate(now))
	c.cost = c.work + perSlot(c.work, load, slots) + penalty + failuresCost(c.state.failures.At(failureHalfLife, now))
}

// perSlot returns the time in which an endpoint does n pieces of work.
func perSlot(work time.Duration, n float64, slots int) time.Duration {
	return time.Duration(float64(work) * n / float64(slots))
}

// choose returns the candidate for a request and the reason for its place; nil if there is
// none. If the own failure domain has none, it takes the one with the lowest cost of all
// others.
func (b *Balancer) choose() (*candidate, Reason) {
	local := b.least(b.local.candidates)
	if local == nil {
		return b.least(b.remote.candidates), NoLocal
	}
	remote := b.better(b.remote.candidates)
	if remote != nil && spill.Pays(local.spillCost(), remote.spillCost(), b.draw()) {
		return remote, Pays
	}
	return local, Kept
}

func (c *candidate) spillCost() spill.Cost { return spill.Cost{Time: c.expected, Work: c.work} }

// least returns the candidate with the lowest cost, a random one of several; nil if there
// is none.
func (b *Balancer) least(candidates []candidate) *candidate {
	var best *candidate
	equal := 0.0
	for i := range candidates {
		c := &candidates[i]
		switch {
		case best == nil || c.cost < best.cost:
			best, equal = c, 1
		case c.cost == best.cost:
			equal++
			if b.draw()*equal < 1 {
				best = c
			}
		}
	}
	return best
}

// better returns the better of two random candidates: members that leave at the same
// moment do not all choose the same one. It is nil if there is none.
func (b *Balancer) better(candidates []candidate) *candidate {
	n := len(candidates)
	if n == 0 {
		return nil
	}
	first := int(b.draw() * float64(n))
	if n == 1 {
		return &candidates[first]
	}
	second := int(b.draw() * float64(n-1))
	if second >= first {
		second++
	}
	a, c := &candidates[first], &candidates[second]
	if c.cost < a.cost {
		return c
	}
	return a
}

package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/kernel"
)

const (
	scorerWait     kernel.ModuleID = NamespaceScorer + "wait"
	scorerLocality kernel.ModuleID = NamespaceScorer + "locality"
	scorerAffinity kernel.ModuleID = NamespaceScorer + "affinity"
	scorerIdentity kernel.ModuleID = NamespaceScorer + "identity"
)

func init() {
	kernel.Register(kernel.Module{ID: scorerWait, New: func() any { return waitScorer{} }})
	kernel.Register(kernel.Module{ID: scorerLocality, New: func() any { return localityScorer{} }})
	kernel.Register(kernel.Module{ID: scorerAffinity, New: func() any { return &affinityScorer{} }})
	kernel.Register(kernel.Module{ID: scorerIdentity, New: func() any { return identityScorer{} }})
}

// contention is how much longer a call takes on a full endpoint than on an idle
// one, as a share of the service time: calls of a batch share an engine, and
// the prompt of each new call delays all others. If it is too low, the small
// preferences for a nearby or previously used endpoint pile up calls on some
// engines while others have room.
const contention = 1.5

// waitScorer scores the expected time on the endpoint, queue included.
type waitScorer struct{}

// Score implements Scorer.
func (waitScorer) Score(_ *Query, c *Candidate) float64 {
	busy := min(1, (c.Load+1)/c.Capacity)
	queue := max(0, (c.Load+1-c.Capacity)/c.Capacity)
	return c.Service * (1 + contention*busy + queue)
}

const (
	// crossDomainRoundTrip is the round-trip time between failure domains.
	crossDomainRoundTrip = 2 * time.Millisecond
	// crossDomainRisk is the share of a call's service time added to the round
	// trip: a call that crosses failure domains is lost when either of them is
	// cut off.
	crossDomainRisk = 0.05
	// spillThreshold is the share of an endpoint's capacity above which the
	// preference for the entry's own failure domain begins to fade; it is gone
	// when the endpoint is full.
	spillThreshold = 0.75
)

// localityScorer adds a cost for crossing failure domains, and up to the same
// cost for endpoints that are nearly full. So calls leave the failure domain
// before queues grow in it, but not if the endpoints elsewhere are as full.
type localityScorer struct{}

// Score implements Scorer.
func (localityScorer) Score(q *Query, c *Candidate) float64 {
	cost := crossDomainRoundTrip.Seconds() + crossDomainRisk*c.Service
	var sum float64
	if c.Endpoint.Domain != q.Snapshot.Domain {
		sum += cost
	}
	if busy := (c.Load + 1) / c.Capacity; busy > spillThreshold {
		sum += cost * min(1, (busy-spillThreshold)/(1-spillThreshold))
	}
	return sum
}

// affinityScorer prefers the endpoint to which the request's prefix maps while
// it has free capacity. The bonus is the time saved by the cached prefix: the
// policy's Affinity as a share of the service time.
//
// The endpoint follows from a rendezvous hash and not from the engines' cache
// events. Those arrive late and with gaps; an entry that relied on them would
// send calls to engines that no longer hold the prefix, and miss those that do.
type affinityScorer struct {
	// share is the policy's Affinity, limited to the range from 0 to 1.
	share float64
}

// Configure implements Configurer.
func (s *affinityScorer) Configure(policy bundle.Policy) {
	s.share = min(1, max(0, policy.Affinity))
}

// Score implements Scorer.
func (s *affinityScorer) Score(q *Query, c *Candidate) float64 {
	// In the queue of a full engine the call would wait longer than the prefix
	// saves, and so would the calls behind it.
	if c.Endpoint != q.prefixEndpoint || c.Load+1 > c.Capacity {
		return 0
	}
	return -s.share * c.Service
}

// Nominate implements Nominator.
func (s *affinityScorer) Nominate(q *Query, chain *Chain) *Endpoint {
	if q.Request.AffinityHash == 0 || s.share == 0 {
		return nil
	}
	q.prefixEndpoint = q.rendezvous(chain, q.Request.AffinityHash)
	return q.prefixEndpoint
}

// identityShare is the bonus as a share of the service time. It is worth about
// one more call on the endpoint, so that it decides only between endpoints that
// are otherwise equal.
const identityShare = 0.05

// identityScorer prefers the same endpoint for the same request ID, so that a
// request sent again finds the result that the endpoint's agent still holds.
type identityScorer struct{}

// Score implements Scorer.
func (identityScorer) Score(q *Query, c *Candidate) float64 {
	if c.Endpoint != q.identityEndpoint {
		return 0
	}
	return -identityShare * c.Service
}

// Nominate implements Nominator.
func (identityScorer) Nominate(q *Query, chain *Chain) *Endpoint {
	if q.Request.ID == "" {
		return nil
	}
	q.identityEndpoint = q.rendezvous(chain, xxhash.Sum64String(q.Request.ID))
	return q.identityEndpoint
}

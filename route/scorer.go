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
// one, as a share of the service time: batches share an engine, and each newcomer's
// prompt holds up all of them. Set too low, the small preferences for a near or a
// known endpoint pile calls on some engines while others have room.
const contention = 1.5

// waitScorer is the expected time on the endpoint, queue included.
type waitScorer struct{}

// Score implements Scorer.
func (waitScorer) Score(_ *Query, c *Candidate) float64 {
	busy := min(1, (c.Load+1)/c.Capacity)
	queue := max(0, (c.Load+1-c.Capacity)/c.Capacity)
	return c.Service * (1 + contention*busy + queue)
}

const (
	// crossDomain is the round trip between failure domains.
	crossDomain = 2 * time.Millisecond
	// crossRisk is the share of a call's time charged besides: a call that
	// crosses failure domains is lost when either is cut off.
	crossRisk = 0.05
	// spillFrom is the share of an endpoint's capacity above which it loses
	// the advantage of being near, fully so when it is full.
	spillFrom = 0.75
)

// localityScorer charges for crossing failure domains, and as much for
// endpoints that are nearly full. So a call leaves the failure domain before
// the queues in it grow, but not if it is as crowded elsewhere.
type localityScorer struct{}

// Score implements Scorer.
func (localityScorer) Score(q *Query, c *Candidate) float64 {
	charge := crossDomain.Seconds() + crossRisk*c.Service
	var sum float64
	if c.Endpoint.Domain != q.Snapshot.Domain {
		sum += charge
	}
	if busy := (c.Load + 1) / c.Capacity; busy > spillFrom {
		sum += charge * min(1, (busy-spillFrom)/(1-spillFrom))
	}
	return sum
}

// affinityScorer prefers the endpoint that calls with the same prefix go to,
// by the time that the cached prefix saves: the policy's Affinity as a share
// of the service time, as long as it has a place free.
//
// The choice is a rendezvous hash and not what the engines' cache events say:
// those come late and with gaps, and an entry that trusts them sends calls to
// where the prefix no longer is, and forgets where it is.
type affinityScorer struct {
	share float64
}

// Configure implements Configurer.
func (s *affinityScorer) Configure(policy bundle.Policy) {
	s.share = min(1, max(0, policy.Affinity))
}

// Score implements Scorer.
func (s *affinityScorer) Score(q *Query, c *Candidate) float64 {
	// In a full engine's queue the call would wait longer than the prefix saves, and
	// so would those behind it.
	if c.Endpoint != q.prefixHome || c.Load+1 > c.Capacity {
		return 0
	}
	return -s.share * c.Service
}

// Nominate implements Nominator.
func (s *affinityScorer) Nominate(q *Query, chain *Chain) *Endpoint {
	if q.Request.AffinityHash == 0 || s.share == 0 {
		return nil
	}
	q.prefixHome = q.home(chain, q.Request.AffinityHash)
	return q.prefixHome
}

// identityShare is worth about one more call on the endpoint: the preference
// decides between endpoints that are equal otherwise.
const identityShare = 0.05

// identityScorer prefers the same endpoint for the same request ID, so that a
// request sent again finds the result that the endpoint's agent still holds.
type identityScorer struct{}

// Score implements Scorer.
func (identityScorer) Score(q *Query, c *Candidate) float64 {
	if c.Endpoint != q.identityHome {
		return 0
	}
	return -identityShare * c.Service
}

// Nominate implements Nominator.
func (identityScorer) Nominate(q *Query, chain *Chain) *Endpoint {
	if q.Request.ID == "" {
		return nil
	}
	q.identityHome = q.home(chain, xxhash.Sum64String(q.Request.ID))
	return q.identityHome
}

package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/kernel"
)

// Reasons given in a Decision.
const (
	// ReasonLocal means that the best candidate is in the entry's own failure
	// domain.
	ReasonLocal = "local"
	// ReasonRemote means that the best candidate is in another failure domain.
	ReasonRemote = "remote"
	// ReasonAffinity means that the best candidate is the endpoint to which the
	// request's prefix maps.
	ReasonAffinity = "affinity"
	// ReasonWidened means that the candidates of the subset were full and one
	// drawn from the whole pool was better.
	ReasonWidened = "widened"
	// ReasonProbation means that the call probes an endpoint in probation.
	ReasonProbation = "probation"
	// ReasonLastResort means that no live endpoint was usable, so one in
	// probation or ejected was chosen.
	ReasonLastResort = "last_resort"
	// ReasonRoundRobin means that the endpoint was next in the rotation.
	ReasonRoundRobin = "round_robin"
	// ReasonBound means that the stage is bound to the endpoint.
	ReasonBound = "bound"
	// ReasonBoundUnavailable means that the stage is bound to an endpoint that
	// may not be used.
	ReasonBoundUnavailable = "bound_unavailable"
	// ReasonUnknownPool means that the snapshot has no such pool.
	ReasonUnknownPool = "unknown_pool"
	// ReasonNone means that the pool has no endpoint that may be used.
	ReasonNone = "none_available"
	// ReasonAllTried means that no endpoint may be used and some have already
	// been tried.
	ReasonAllTried = "all_tried"
)

// router runs the plug-ins of one policy.
type router struct {
	chain  Chain
	picker Picker
	// queries holds *Query values for reuse, so that a decision allocates
	// nothing.
	queries sync.Pool
}

// NewRouter returns a router with the plug-ins of the policy. The error is
// ErrUnknownPolicy if there is no policy of that name.
func NewRouter(policy bundle.Policy) (Router, error) {
	s, ok := pluginSets[policy.Name]
	if !ok {
		return nil, ErrUnknownPolicy.New("no routing policy %q", policy.Name)
	}
	r := &router{}
	r.queries.New = func() any { return new(Query) }
	for _, id := range s.filters {
		f, err := load[Filter](id, policy)
		if err != nil {
			return nil, err
		}
		r.chain.Filters = append(r.chain.Filters, f)
	}
	for _, id := range s.scorers {
		sc, err := load[Scorer](id, policy)
		if err != nil {
			return nil, err
		}
		r.chain.Scorers = append(r.chain.Scorers, sc)
		if n, ok := sc.(Nominator); ok {
			r.chain.Nominators = append(r.chain.Nominators, n)
		}
	}
	picker, err := load[Picker](s.picker, policy)
	if err != nil {
		return nil, err
	}
	r.picker = picker
	return r, nil
}

// load returns a plug-in, configured from the policy.
func load[T any](id kernel.ModuleID, policy bundle.Policy) (T, error) {
	module, err := kernel.Load[T](id)
	if err != nil {
		return module, err
	}
	if c, ok := any(module).(Configurer); ok {
		c.Configure(policy)
	}
	return module, nil
}

// Pick implements Router.
func (r *router) Pick(snap *Snapshot, req *Request, now time.Time, rng *rand.Rand) Decision {
	pool := snap.Pools[req.Pool]
	if pool == nil {
		return Decision{Reason: ReasonUnknownPool}
	}
	q := r.queries.Get().(*Query)
	q.Snapshot, q.Pool, q.Request, q.Now, q.Rand = snap, pool, req, now, rng
	q.prefixEndpoint, q.identityEndpoint = nil, nil
	var d Decision
	if req.BoundTo != "" {
		d = r.pickBound(q)
	} else {
		d = r.picker.Pick(q, &r.chain)
	}
	if d.Endpoint == nil {
		d.Unusable, d.MayBecomeUsable = r.chain.unusable(q), mayBecomeUsable(q)
	}
	q.release()
	r.queries.Put(q)
	return d
}

// pickBound returns the endpoint to which the request is bound. An ejected
// endpoint is used too, because the stage cannot run anywhere else.
func (r *router) pickBound(q *Query) Decision {
	d := Decision{Considered: 1, Reason: ReasonBoundUnavailable}
	e := q.Pool.Endpoint(q.Request.BoundTo)
	if e == nil || !r.chain.Keep(q, e) {
		return d
	}
	d.Endpoint, d.Candidates, d.Reason = e, 1, ReasonBound
	return d
}

// release clears the references that q holds, so that a reused query keeps no
// snapshot alive.
func (q *Query) release() {
	clear(q.sample.candidates[:q.sample.size])
	q.sample.size, q.sample.probe = 0, nil
	q.Snapshot, q.Pool, q.Request, q.Rand = nil, nil, nil, nil
	q.prefixEndpoint, q.identityEndpoint = nil, nil
}

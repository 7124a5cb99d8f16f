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
	// ReasonLocal means the best compared, in the entry's own failure domain.
	ReasonLocal = "local"
	// ReasonRemote means the best compared, in another failure domain.
	ReasonRemote = "remote"
	// ReasonAffinity means the best compared, which calls with this prefix go to.
	ReasonAffinity = "affinity"
	// ReasonWidened means that those of the subset were full and one beyond was better.
	ReasonWidened = "widened"
	// ReasonProbation means that the call tries out an endpoint in probation.
	ReasonProbation = "probation"
	// ReasonLastResort means that no live endpoint was left.
	ReasonLastResort = "last_resort"
	// ReasonTurn means that it was the endpoint's turn.
	ReasonTurn = "round_robin"
	// ReasonBound means that the stage is bound to the endpoint.
	ReasonBound = "bound"
	// ReasonBoundUnavailable means that the stage is bound to an endpoint that may not be used.
	ReasonBoundUnavailable = "bound_unavailable"
	// ReasonUnknownPool means that the snapshot has no such pool.
	ReasonUnknownPool = "unknown_pool"
	// ReasonNone means that the pool has no endpoint that may be used.
	ReasonNone = "none_available"
	// ReasonAllTried means that none is left but, at most, those already tried.
	ReasonAllTried = "all_tried"
)

// router runs the plug-ins of one policy.
type router struct {
	chain  Chain
	picker Picker
	// queries holds *Query, so that a decision allocates nothing.
	queries sync.Pool
}

// NewRouter returns a router made of the plug-ins of the policy's name.
func NewRouter(policy bundle.Policy) (Router, error) {
	s, ok := sets[policy.Name]
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

// load returns a plug-in, configured.
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
	q.prefixHome, q.identityHome = nil, nil
	var d Decision
	if req.Only != "" {
		d = r.pickBound(q)
	} else {
		d = r.picker.Pick(q, &r.chain)
	}
	if d.Endpoint == nil {
		d.Unusable, d.MayReturn = r.chain.unusable(q), mayReturn(q)
	}
	q.release()
	r.queries.Put(q)
	return d
}

// pickBound gives the endpoint that the request is bound to. Ejection is no
// obstacle: the stage may run there or nowhere.
func (r *router) pickBound(q *Query) Decision {
	d := Decision{Considered: 1, Reason: ReasonBoundUnavailable}
	e := q.Pool.Endpoint(q.Request.Only)
	if e == nil || !r.chain.Keep(q, e) {
		return d
	}
	d.Endpoint, d.Candidates, d.Reason = e, 1, ReasonBound
	return d
}

// release drops what q refers to, so that a pooled query keeps no snapshot alive.
func (q *Query) release() {
	clear(q.sample.candidates[:q.sample.size])
	q.sample.size, q.sample.probe = 0, nil
	q.Snapshot, q.Pool, q.Request, q.Rand = nil, nil, nil, nil
	q.prefixHome, q.identityHome = nil, nil
}

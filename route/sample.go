package route

import "time"

const (
	// subsetDraws is how many endpoints of the subset are drawn at random. Two
	// are enough to keep the longest queue short; always taking the best of all
	// would send every entry to the same endpoint until the next report.
	subsetDraws = 2
	// poolDraws is how many more are drawn from the whole pool if the best
	// candidate of the subset is full.
	poolDraws = 4
	// triesPerDraw bounds how often a draw is repeated when it finds an
	// unusable endpoint.
	triesPerDraw = 4
	// sampleMax is large enough for one candidate per nominator, one in the
	// entry's own failure domain, and the draws.
	sampleMax = 12
	// probeSlack is how many times its expected duration a call must have left
	// before it is sent to an endpoint in probation.
	probeSlack = 4
)

// sample is the endpoints that one decision compares.
type sample struct {
	candidates [sampleMax]Candidate
	size       int
	// probe is an idle endpoint in probation found while sampling; nil if there
	// is none.
	probe *Endpoint
}

// samplePicker chooses the best of a few endpoints: those that the scorers
// nominate, one in the entry's own failure domain, and some at random. Its cost
// does not depend on the size of the pool while most of the pool is usable.
type samplePicker struct{}

// Pick implements Picker.
func (samplePicker) Pick(q *Query, chain *Chain) Decision {
	size := len(q.Pool.Endpoints)
	if size == 0 {
		return Decision{Reason: ReasonNone}
	}
	s := &q.sample
	s.size, s.probe = 0, nil
	for _, n := range chain.Nominators {
		if e := n.Nominate(q, chain); e != nil {
			s.add(q, chain, e)
		}
	}
	s.drawLocal(q, chain)
	s.draw(q, chain, subsetDraws, q.Pool.subset())
	if s.size == 0 {
		s.scan(q, chain, StateLive)
	}
	if s.probe != nil && mayProbe(q, s.probe) {
		return Decision{Endpoint: s.probe, Candidates: 1, Considered: size, Reason: ReasonProbation}
	}
	if s.size == 0 {
		return lastResort(q, chain)
	}
	best, reason := s.best(q, chain)
	return Decision{Endpoint: best, Candidates: s.size, Considered: size, Reason: reason}
}

// add adds e to the sample and returns true if e is live, passes the filters
// and is not yet in it. A usable idle endpoint in probation becomes the probe
// instead.
func (s *sample) add(q *Query, chain *Chain, e *Endpoint) bool {
	if e.State == StateProbation && s.probe == nil && e.ownInFlight() == 0 && chain.Keep(q, e) {
		s.probe = e
	}
	if e.State != StateLive || s.size == sampleMax || s.contains(e) || !chain.Keep(q, e) {
		return false
	}
	s.candidates[s.size] = Candidate{Endpoint: e}
	s.size++
	return true
}

func (s *sample) contains(e *Endpoint) bool {
	for i := range s.size {
		if s.candidates[i].Endpoint == e {
			return true
		}
	}
	return false
}

// drawLocal adds one endpoint of the entry's own failure domain, if a few draws
// from the subset find one.
func (s *sample) drawLocal(q *Query, chain *Chain) {
	size := q.Pool.subset()
	for range 2 * triesPerDraw {
		i := q.Rand.IntN(size)
		if !q.Pool.inDomain(i, q.Snapshot.Domain) {
			continue
		}
		if e := q.Pool.at(i); s.add(q, chain, e) {
			return
		}
	}
}

// draw adds up to want endpoints, drawn from the first size in the entry's
// order.
func (s *sample) draw(q *Query, chain *Chain, want, size int) {
	for range want * triesPerDraw {
		if want == 0 {
			return
		}
		if e := q.Pool.at(q.Rand.IntN(size)); s.add(q, chain, e) {
			want--
		}
	}
}

// scan searches the whole pool, from a random position, for a few usable
// endpoints in the given state. It is for pools of which most is unusable,
// where random draws find too few.
func (s *sample) scan(q *Query, chain *Chain, state State) {
	size := len(q.Pool.Endpoints)
	start := q.Rand.IntN(size)
	for i := range size {
		e := q.Pool.at((start + i) % size)
		if e.State != state || s.contains(e) || !chain.Keep(q, e) {
			if e.State == StateProbation {
				s.add(q, chain, e)
			}
			continue
		}
		s.candidates[s.size] = Candidate{Endpoint: e}
		s.size++
		if s.size > subsetDraws {
			return
		}
	}
}

// best returns the candidate with the lowest score and the reason for it. If
// even that one is full, more candidates are drawn from the whole pool: the
// subset is widened before calls queue.
func (s *sample) best(q *Query, chain *Chain) (*Endpoint, string) {
	s.estimate(q)
	best := s.lowest(q, chain)
	widened := false
	if c := &s.candidates[best]; c.Load >= c.Capacity {
		fromSubset := s.size
		s.draw(q, chain, poolDraws, len(q.Pool.Endpoints))
		// The usual service time follows from all candidates, so the scores
		// of the earlier ones may have changed as well.
		s.estimate(q)
		best = s.lowest(q, chain)
		widened = best >= fromSubset
	}
	e := s.candidates[best].Endpoint
	switch {
	case widened:
		return e, ReasonWidened
	case e == q.prefixEndpoint:
		return e, ReasonAffinity
	case e.Domain == q.Snapshot.Domain:
		return e, ReasonLocal
	default:
		return e, ReasonRemote
	}
}

// lowest returns the index of the candidate with the lowest score.
func (s *sample) lowest(q *Query, chain *Chain) int {
	best, lowest := 0, chain.Score(q, &s.candidates[0])
	for i := 1; i < s.size; i++ {
		if score := chain.Score(q, &s.candidates[i]); score < lowest {
			best, lowest = i, score
		}
	}
	return best
}

// estimate fills in the load and service time of the candidates. For endpoints
// without a reported service time it uses the mean of the others.
func (s *sample) estimate(q *Query) {
	var sum float64
	known := 0
	for i := range s.size {
		if p50 := s.candidates[i].Endpoint.Report.P50; p50 > 0 {
			sum += p50.Seconds()
			known++
		}
	}
	pool := defaultService.Seconds()
	if known > 0 {
		pool = sum / float64(known)
	}
	for i := range s.size {
		s.candidates[i].estimate(q.Now, pool)
	}
}

// estimate fills in c from its endpoint, given the pool's service time in
// seconds.
func (c *Candidate) estimate(now time.Time, pool float64) {
	c.Service = c.Endpoint.service(now, pool)
	c.Load = c.Endpoint.load(now, c.Service)
	c.Capacity = c.Endpoint.capacity()
}

// mayProbe tells whether the call may be sent to an endpoint in probation: it
// is a first attempt, and has time for another one should this one fail. With
// at most one such call in flight, an endpoint that is still slow gets few
// calls.
func mayProbe(q *Query, e *Endpoint) bool {
	if len(q.Request.Tried) > 0 {
		return false
	}
	service := e.service(q.Now, defaultService.Seconds())
	return q.Request.Remaining.Seconds() >= probeSlack*service
}

// lastResort chooses from a pool without a usable live endpoint. An endpoint in
// probation or ejected may still answer, whereas a request that is refused
// certainly fails.
func lastResort(q *Query, chain *Chain) Decision {
	s := &q.sample
	d := Decision{Considered: len(q.Pool.Endpoints)}
	for _, state := range []State{StateProbation, StateEjected} {
		s.scan(q, chain, state)
		if s.size > 0 {
			s.estimate(q)
			d.Endpoint = s.candidates[s.lowest(q, chain)].Endpoint
			d.Candidates, d.Reason = s.size, ReasonLastResort
			return d
		}
	}
	d.Reason = ReasonNone
	if len(q.Request.Tried) > 0 {
		d.Reason = ReasonAllTried
	}
	return d
}

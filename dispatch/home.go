package dispatch

import "time"

const (
	// homeWait is the longest that large pieces wait for an endpoint in the
	// failure domain of their inputs or of their model engine.
	homeWait = 300 * time.Millisecond
	// spareShare is the part of a job's time to spare for which its pieces wait
	// for the engine's domain; the rest is kept for the prompt.
	spareShare = 0.5
	// largeResult is the size in bytes from which the domain of a result matters.
	largeResult = 30_000
)

// home is the domain in which pieces of s are best made: where most of the
// bytes of their inputs are, or, for large results that the model engine will
// read, where that is. Results that only stages read draw those after them, and
// have no reason to wait for one domain or the other.
func (c *Core) home(j *job, s *stage) string {
	bytes := make(map[string]int64)
	for _, a := range s.After {
		for _, r := range j.stages[a].results {
			bytes[r.worker.endpoint.Domain] += r.bytes
		}
	}
	home, most := "", int64(largeResult-1)
	for domain, n := range bytes {
		if n > most || n == most && domain < home {
			home, most = domain, n
		}
	}
	if home == "" && s.ResultBytes >= largeResult && j.consumers(s.index) == 0 {
		return j.home
	}
	return home
}

// mayRunIn tells whether pieces of s may be made in a domain now: in their own,
// or in any once they have waited long enough or there is no endpoint in theirs.
func (s *stage) mayRunIn(domain string, p *pool, now time.Time) bool {
	if s.home == "" || s.home == domain {
		return true
	}
	return now.Sub(s.since) >= s.homeWait() || !p.domains[s.home]
}

// settle keeps the rest of a stage's pieces in the domain in which the first ones
// are made. If they were spread, each piece of the next stage would read some of
// its inputs from another domain, wherever it is made.
func (s *stage) settle(domain string) {
	if s.home == "" && s.ResultBytes >= largeResult {
		s.home = domain
	}
}

// homeWait is how long the pieces of s wait for an endpoint in their domain.
// Pieces with inputs read all of them, so they wait in any case. Those for the
// engine alone wait for a part of what their job has to spare: a long prompt needs
// most of the time to the objective. A job that will miss it anyway is in no hurry.
func (s *stage) homeWait() time.Duration {
	spare := s.startBy.Sub(s.since)
	if len(s.After) > 0 || spare < 0 {
		return homeWait
	}
	return min(homeWait, time.Duration(spareShare*float64(spare)))
}

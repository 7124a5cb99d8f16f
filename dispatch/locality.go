package dispatch

import "time"

const (
	// maxDomainWait is the longest that large pieces wait for an endpoint in the
	// failure domain of their inputs or of their model engine.
	maxDomainWait = 300 * time.Millisecond
	// domainWaitShare is the fraction of a job's slack that its pieces may spend
	// waiting for the engine's failure domain; the rest is kept for the prompt.
	domainWaitShare = 0.5
	// largeResult is the size in bytes from which the failure domain of a result
	// matters.
	largeResult = 30_000
)

// preferredDomain returns the failure domain in which pieces of s should run: the
// one with most of the bytes of their inputs or, for large results that the model
// engine reads, the engine's. Results that only stages read attract those stages,
// and have no reason to wait for a particular domain.
func (c *Core) preferredDomain(j *job, s *stage) string {
	bytes := make(map[string]int64)
	for _, a := range s.DependsOn {
		for _, r := range j.stages[a].results {
			bytes[r.worker.endpoint.Domain] += r.bytes
		}
	}
	preferred, most := "", int64(largeResult-1)
	for domain, n := range bytes {
		if n > most || n == most && domain < preferred {
			preferred, most = domain, n
		}
	}
	if preferred == "" && s.ResultBytes >= largeResult && j.consumers(s.index) == 0 {
		return j.preferredDomain
	}
	return preferred
}

// mayRunIn reports whether pieces of s may run in a failure domain now: in the
// preferred one, or in any if they have waited long enough or the preferred one
// has no usable endpoint.
func (s *stage) mayRunIn(domain string, p *pool, now time.Time) bool {
	if s.preferredDomain == "" || s.preferredDomain == domain {
		return true
	}
	return now.Sub(s.readyAt) >= s.domainWait() || !p.domains[s.preferredDomain]
}

// pinDomain keeps the remaining pieces of a stage in the failure domain of the
// first ones. If they were spread, each piece of the next stage would read some of
// its inputs from another domain, wherever it runs.
func (s *stage) pinDomain(domain string) {
	if s.preferredDomain == "" && s.ResultBytes >= largeResult {
		s.preferredDomain = domain
	}
}

// domainWait returns how long the pieces of s wait for an endpoint in their
// preferred domain. Pieces with inputs read all of them, so they wait in any case.
// Pieces for the engine alone wait for a fraction of the job's slack, because a
// long prompt needs most of the time to the objective. A job that will miss its
// objective anyway is in no hurry and waits the full time.
func (s *stage) domainWait() time.Duration {
	slack := s.startBy.Sub(s.readyAt)
	if len(s.DependsOn) > 0 || slack < 0 {
		return maxDomainWait
	}
	return min(maxDomainWait, time.Duration(domainWaitShare*float64(slack)))
}

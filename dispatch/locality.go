package dispatch

import (
	"time"

	"github.com/mangostage/mangostage/spill"
)

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
	// leavingDraw is the share of work for which leaving must pay for a stage to leave.
	leavingDraw = 0.5
	// maxWaitingCalls bounds the wait for a failure domain, in calls.
	maxWaitingCalls = 1000.0
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
// preferred one, or in any if they have waited long enough, if the preferred one
// has no usable endpoint, or if it would keep them waiting for longer than leaving costs.
func (s *stage) mayRunIn(domain string, p *pool, now time.Time) bool {
	if s.preferredDomain == "" || s.preferredDomain == domain {
		return true
	}
	return now.Sub(s.readyAt) >= s.longestDomainWait() || !p.domains[s.preferredDomain] || s.leavingPays(p, now)
}

// leavingPays reports whether s should leave its preferred domain without waiting. There
// is one owner, so that the part that leaves needs no random draw: the work that waits for
// the domain becomes less with each stage that leaves.
func (s *stage) leavingPays(p *pool, now time.Time) bool {
	call := p.avgCallTime
	local := spill.Cost{Time: p.domainWait(s.preferredDomain, now) + call, Work: call}
	remote := spill.Cost{Time: spill.RoundTrip() + call, Work: call, Bytes: s.bytesIn(s.preferredDomain)}
	return spill.Pays(local, remote, leavingDraw)
}

// domainWaits holds how long new work would wait for each failure domain, as computed at
// one time for one number of waiting pieces.
type domainWaits struct {
	at      time.Time
	waiting int
	waits   map[string]time.Duration
}

// domainWait returns how long new work would wait for a usable worker in the domain.
func (p *pool) domainWait(domain string, now time.Time) time.Duration {
	d := &p.domainWaits
	if d.waits == nil || d.at != now || d.waiting != p.waiting {
		*d = domainWaits{at: now, waiting: p.waiting, waits: make(map[string]time.Duration)}
	}
	wait, ok := d.waits[domain]
	if !ok {
		wait = p.computeDomainWait(domain)
		d.waits[domain] = wait
	}
	return wait
}

// computeDomainWait returns no wait if a worker of the domain has a free slot, else that
// for the calls that the waiting work needs.
func (p *pool) computeDomainWait(domain string) time.Duration {
	places := 0
	for _, w := range p.workers {
		if !w.usable() || w.endpoint.Domain != domain {
			continue
		}
		if len(w.calls) < w.spec.Slots {
			return 0
		}
		places += w.spec.Slots * max(1, w.spec.Items)
	}
	if places == 0 {
		return 0
	}
	calls := float64(p.waitingFor(domain)) / float64(places)
	return time.Duration(min(maxWaitingCalls, calls) * float64(p.avgCallTime))
}

// waitingFor returns the number of waiting pieces that should run in the domain.
func (p *pool) waitingFor(domain string) int {
	n := 0
	for _, s := range p.queue {
		if s.preferredDomain == domain {
			n += len(s.waiting)
		}
	}
	return n
}

// bytesIn returns the size of the inputs of s in the domain and, if the model engine
// reads the results there, of these.
func (s *stage) bytesIn(domain string) int64 {
	bytes := int64(0)
	for _, a := range s.DependsOn {
		for _, r := range s.job.stages[a].results {
			if r != nil && r.worker.endpoint.Domain == domain {
				bytes += r.bytes
			}
		}
	}
	if s.job.consumers(s.index) == 0 {
		bytes += s.ResultBytes * int64(s.Pieces)
	}
	return bytes
}

// pinDomain keeps the remaining pieces of a stage in the failure domain of the
// first ones, also if these left the preferred one. If they were spread, each piece of the
// next stage would read some of its inputs from another domain, wherever it runs.
func (s *stage) pinDomain(domain string) {
	if s.ResultBytes >= largeResult {
		s.preferredDomain = domain
	}
}

// longestDomainWait returns how long the pieces of s wait at most for an endpoint in their
// preferred domain. Pieces with inputs read all of them, so they wait in any case.
// Pieces for the engine alone wait for a fraction of the job's slack, because a
// long prompt needs most of the time to the objective. A job that will miss its
// objective anyway is in no hurry and waits the full time.
func (s *stage) longestDomainWait() time.Duration {
	slack := s.startBy.Sub(s.readyAt)
	if len(s.DependsOn) > 0 || slack < 0 {
		return maxDomainWait
	}
	return min(maxDomainWait, time.Duration(domainWaitShare*float64(slack)))
}

package route

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxEjectedShare is the largest share of a pool that may be ejected or in
	// probation at once. Ejecting more would move their load to the others,
	// which would slow down and be ejected in turn until none is left. Half of
	// the pool at double load still answers some calls.
	maxEjectedShare = 0.5
	// lostWeight and failedWeight are what a lost and a failed call add to the
	// failure score, which a success resets; an endpoint is ejected at
	// failureThreshold. A lost call usually means that the endpoint is gone, a
	// failed one that the call was bad.
	lostWeight       = 3
	failedWeight     = 1
	failureThreshold = 6
	// stragglerFactor is how many times the pool's median latency a straggler
	// takes. The threshold is relative to the pool and not a fixed time, so
	// that load which slows down the whole pool ejects no endpoint.
	stragglerFactor = 3
	// stragglerMargin is added to the threshold, in seconds, so that jitter of
	// very short calls ejects no endpoint.
	stragglerMargin = 0.005
	// stragglerSamples is the number of samples needed to treat an endpoint as
	// a straggler. extremeStragglerSamples are enough for one that is slower
	// than twice the threshold.
	stragglerSamples        = 12
	extremeStragglerSamples = 4
	// ejectionBase is the duration of the first ejection; each further one
	// lasts twice as long, up to ejectionMax. So an endpoint that keeps failing
	// costs fewer and fewer calls, and one that failed once is soon back.
	ejectionBase = 2 * time.Second
	ejectionMax  = time.Minute
	// ejectionResetAfter is how long an endpoint must have been live for its
	// earlier ejections no longer to count.
	ejectionResetAfter = time.Minute
	// probationCalls is the number of calls that must succeed in a row, at
	// normal speed, to end probation.
	probationCalls = 3
	// overdueThreshold is how far overdue calls must outnumber calls that
	// returned at normal speed for an endpoint to be ejected. Overdue calls are
	// counted apart from the average latency: their ages are at first hardly
	// above the threshold, and averaged with the usual latencies they would
	// take seconds to raise the average over it. Calls at normal speed are
	// subtracted, so that the few long calls of a healthy endpoint, about one
	// in ten or twenty, do not add up.
	overdueThreshold = 4
	// overduePoolThreshold is the number of overdue calls from which an
	// endpoint counts as late when checking whether most of the pool is late.
	overduePoolThreshold = 2
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.2
	// medianInterval is how long a pool's median latency is reused before it is
	// computed again.
	medianInterval = 100 * time.Millisecond
)

// poolHealth is the health of one pool.
type poolHealth struct {
	mu      sync.Mutex
	name    string
	members map[string]*memberHealth
	// median is the median latency of the live members with enough samples, in
	// seconds; zero if there are fewer than two of them.
	median   float64
	medianAt time.Time
}

// memberHealth is the health of one endpoint.
type memberHealth struct {
	state State
	// failed and lost count calls since the latest success.
	failed int
	lost   int
	// latency is the moving average over samples calls, in seconds.
	latency float64
	samples int
	// overdue is the number of overdue calls less the calls that returned at
	// normal speed since, never below zero.
	overdue int
	// ejections counts ejections since the endpoint was last live for
	// ejectionResetAfter.
	ejections int
	// ejectedUntil is when the latest ejection ends.
	ejectedUntil time.Time
	// liveSince is when the endpoint last became live.
	liveSince time.Time
	// probationSuccesses counts successful calls in the current probation.
	probationSuccesses int
}

func (m *memberHealth) recordSuccess(duration time.Duration) {
	m.resetFailures()
	m.recordLatency(duration)
}

func (m *memberHealth) recordLatency(duration time.Duration) {
	m.samples++
	if m.samples == 1 {
		m.latency = duration.Seconds()
		return
	}
	m.latency += latencyWeight * (duration.Seconds() - m.latency)
}

func (m *memberHealth) recordFailure(outcome CallOutcome) {
	if outcome == CallLost {
		m.lost++
		return
	}
	m.failed++
}

// resetFailures clears the failure score.
func (m *memberHealth) resetFailures() {
	m.failed, m.lost = 0, 0
}

// offsetOverdue subtracts a call that returned at normal speed from the overdue
// ones.
func (m *memberHealth) offsetOverdue() { m.overdue = max(0, m.overdue-1) }

// failureScore returns the weighted number of failures since the latest
// success.
func (m *memberHealth) failureScore() int {
	return m.lost*lostWeight + m.failed*failedWeight
}

// updateMedian computes the median again if medianInterval has passed.
func (p *poolHealth) updateMedian(now time.Time) {
	if !p.medianAt.IsZero() && now.Sub(p.medianAt) < medianInterval {
		return
	}
	p.medianAt = now
	var latencies []float64
	for _, m := range p.members {
		if m.state == StateLive && m.samples >= extremeStragglerSamples {
			latencies = append(latencies, m.latency)
		}
	}
	p.median = 0
	if len(latencies) < 2 {
		return
	}
	slices.Sort(latencies)
	// The lower median: of two endpoints, the slower is compared with the
	// faster.
	p.median = latencies[(len(latencies)-1)/2]
}

// stragglerThreshold is the latency in seconds above which an endpoint is a
// straggler.
func (p *poolHealth) stragglerThreshold() float64 {
	return p.median*stragglerFactor + stragglerMargin
}

// evaluate changes the state of m after a call if the outcome requires it.
func (p *poolHealth) evaluate(name string, m *memberHealth, outcome CallOutcome, duration time.Duration, now time.Time) []Transition {
	switch m.state {
	case StateLive:
		return p.evaluateLive(name, m, outcome, now)
	case StateProbation:
		return p.evaluateProbation(name, m, outcome, duration, now)
	default:
		// Calls that were in flight at the ejection may still return.
		return nil
	}
}

// evaluateLive ejects the live endpoint m if it fails or is too slow.
func (p *poolHealth) evaluateLive(name string, m *memberHealth, outcome CallOutcome, now time.Time) []Transition {
	if m.failureScore() >= failureThreshold && (outcome == CallLost || !p.mostFailing()) {
		return p.eject(name, m, HealthFailing, now)
	}
	if p.isStraggler(m) || p.hasTooManyOverdue(m) {
		return p.eject(name, m, HealthStraggler, now)
	}
	return nil
}

// hasTooManyOverdue tells whether m has too many overdue calls. It is false if
// most of the other live endpoints are late too: then load slows down the whole
// pool before its median has risen, and ejecting some endpoints would only slow
// down the rest.
func (p *poolHealth) hasTooManyOverdue(m *memberHealth) bool {
	if m.overdue < overdueThreshold {
		return false
	}
	others, late := 0, 0
	for _, other := range p.members {
		if other == m || other.state != StateLive {
			continue
		}
		others++
		if other.overdue >= overduePoolThreshold {
			late++
		}
	}
	return 2*late <= others
}

// mostFailing tells whether most of the live endpoints report errors. Then the
// calls are at fault, or something that all endpoints depend on, and ejecting
// some endpoints would only load the others. Lost calls do not count: an entry
// that is cut off from two failure domains of three loses most of its calls,
// and should eject as many endpoints as it may.
func (p *poolHealth) mostFailing() bool {
	failing, live := 0, 0
	for _, m := range p.members {
		if m.state != StateLive {
			continue
		}
		live++
		if m.failed*failedWeight >= failureThreshold/2 {
			failing++
		}
	}
	return failing > 1 && failing > live/2
}

// isStraggler tells whether the average latency of m is above the threshold,
// over enough samples.
func (p *poolHealth) isStraggler(m *memberHealth) bool {
	if p.median == 0 || m.latency <= p.stragglerThreshold() {
		return false
	}
	if m.latency > 2*p.stragglerThreshold() {
		return m.samples >= extremeStragglerSamples
	}
	return m.samples >= stragglerSamples
}

// evaluateProbation ejects the endpoint again after a failed or slow call, and
// makes it live after probationCalls good ones.
func (p *poolHealth) evaluateProbation(name string, m *memberHealth, outcome CallOutcome, duration time.Duration, now time.Time) []Transition {
	if outcome != CallSucceeded {
		return p.eject(name, m, HealthFailing, now)
	}
	if p.median > 0 && duration.Seconds() > p.stragglerThreshold() {
		return p.eject(name, m, HealthStraggler, now)
	}
	m.probationSuccesses++
	if m.probationSuccesses < probationCalls {
		return nil
	}
	m.liveSince = now
	return p.transition(name, m, StateLive, HealthRecovered)
}

// eject ejects m, unless too much of the pool is already ejected or in
// probation.
func (p *poolHealth) eject(name string, m *memberHealth, reason string, now time.Time) []Transition {
	if !p.mayEject(m) {
		return nil
	}
	if m.state == StateLive && now.Sub(m.liveSince) >= ejectionResetAfter {
		m.ejections = 0
	}
	m.ejectedUntil = now.Add(ejectionTime(m.ejections))
	m.ejections++
	m.resetFailures()
	m.samples, m.latency, m.probationSuccesses, m.overdue = 0, 0, 0, 0
	return p.transition(name, m, StateEjected, reason)
}

// ejectionTime returns how long an ejection lasts after n earlier ones.
func ejectionTime(n int) time.Duration {
	d := ejectionBase
	for range n {
		d = min(2*d, ejectionMax)
	}
	return d
}

// mayEject tells whether ejecting m keeps the pool within maxEjectedShare.
func (p *poolHealth) mayEject(m *memberHealth) bool {
	out := 1
	for _, other := range p.members {
		if other != m && other.state != StateLive {
			out++
		}
	}
	return float64(out) <= maxEjectedShare*float64(len(p.members))
}

// transition changes the state of m and returns the change.
func (p *poolHealth) transition(name string, m *memberHealth, to State, reason string) []Transition {
	t := Transition{Pool: p.name, Endpoint: name, From: m.state, To: to, Reason: reason}
	if to == StateEjected {
		t.Until = m.ejectedUntil
	}
	m.state = to
	return []Transition{t}
}

// endEjections puts endpoints whose ejection is over on probation. They are not
// live at once: if such an endpoint is still faulty, all of its share of the
// load would fail again.
func (p *poolHealth) endEjections(now time.Time) []Transition {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []Transition
	for name, m := range p.members {
		if m.state == StateEjected && !now.Before(m.ejectedUntil) {
			m.probationSuccesses = 0
			due = append(due, p.transition(name, m, StateProbation, HealthEjectionExpired)...)
		}
	}
	return due
}

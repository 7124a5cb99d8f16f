package route

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxOut is the largest share of a pool that may be ejected or in
	// probation at once. Ejecting more would send their load to the rest,
	// which then slow down and are ejected in turn until none is left; half
	// of the pool at double load still answers some calls.
	maxOut = 0.5
	// strikesLost and strikesFailed are what a lost and a failed call count
	// in a row; strikesOut of them eject. A lost call more often means that
	// the endpoint is gone, a failed one that the call was bad.
	strikesLost   = 3
	strikesFailed = 1
	strikesOut    = 6
	// stragglerFactor is how many times the pool's median an endpoint's
	// latency must be to count as a straggler. The comparison is with the
	// pool and not with a fixed time, so that load which slows all of the
	// pool ejects nobody.
	stragglerFactor = 3
	// stragglerFloor keeps jitter of very short calls from ejecting anyone, in seconds.
	stragglerFloor = 0.005
	// stragglerSamples are needed to call an endpoint a straggler; a few
	// suffice for one that is slower than twice the threshold.
	stragglerSamples = 12
	blatantSamples   = 4
	// ejectionBase is the first ejection's time; each further one lasts twice
	// as long, up to ejectionMax. An endpoint that keeps failing costs ever
	// fewer calls; one that failed once is soon back.
	ejectionBase = 2 * time.Second
	ejectionMax  = time.Minute
	// forgiveAfter is how long an endpoint must be live for its earlier
	// ejections to be forgotten.
	forgiveAfter = time.Minute
	// probationCalls must succeed in a row, at usual speed, to end probation.
	probationCalls = 3
	// overdueOut is how many more calls must have become overdue than came back
	// at usual speed to eject. An overdue call is evidence of its own: averaged
	// with the pool's usual times, ages that are at first hardly more than the
	// threshold would take seconds to pass it. Calls of usual speed pay it off,
	// so that the few long calls of a sound endpoint, of which one comes among
	// ten or twenty others, do not add up.
	overdueOut = 4
	// overdueHint is from when an endpoint counts as one with overdue calls when
	// the question is whether most of the pool has them.
	overdueHint = 2
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.2
	// medianEvery is how long a pool's median latency is used before it is
	// computed again.
	medianEvery = 100 * time.Millisecond
)

// poolHealth is the health of one pool.
type poolHealth struct {
	mu      sync.Mutex
	name    string
	members map[string]*memberHealth
	// median is of the latencies of measured live members, in seconds; zero
	// if fewer than two are measured.
	median   float64
	medianAt time.Time
}

// memberHealth is the health of one endpoint.
type memberHealth struct {
	state State
	// failed and lost count calls since the latest success.
	failed int
	lost   int
	// latency is a moving average in seconds over samples calls.
	latency float64
	samples int
	// overdue is the number of overdue calls less those that came at usual speed.
	overdue int
	// ejections since the endpoint was last live for long.
	ejections int
	until     time.Time
	liveSince time.Time
	// good counts successes in probation.
	good int
}

func (m *memberHealth) succeed(took time.Duration) {
	m.pardon()
	m.measure(took)
}

func (m *memberHealth) measure(took time.Duration) {
	m.samples++
	if m.samples == 1 {
		m.latency = took.Seconds()
		return
	}
	m.latency += latencyWeight * (took.Seconds() - m.latency)
}

func (m *memberHealth) fail(outcome CallOutcome) {
	if outcome == CallLost {
		m.lost++
		return
	}
	m.failed++
}

func (m *memberHealth) pardon() {
	m.failed, m.lost = 0, 0
}

// payOff sets a call of usual speed against one that was overdue.
func (m *memberHealth) payOff() { m.overdue = max(0, m.overdue-1) }

func (m *memberHealth) strikes() int {
	return m.lost*strikesLost + m.failed*strikesFailed
}

// measure computes the median anew from time to time.
func (p *poolHealth) measure(now time.Time) {
	if !p.medianAt.IsZero() && now.Sub(p.medianAt) < medianEvery {
		return
	}
	p.medianAt = now
	var latencies []float64
	for _, m := range p.members {
		if m.state == StateLive && m.samples >= blatantSamples {
			latencies = append(latencies, m.latency)
		}
	}
	p.median = 0
	if len(latencies) < 2 {
		return
	}
	slices.Sort(latencies)
	// The lower median: of two endpoints, the slower is held against the faster.
	p.median = latencies[(len(latencies)-1)/2]
}

// slow is the latency in seconds above which an endpoint is a straggler.
func (p *poolHealth) slow() float64 {
	return p.median*stragglerFactor + stragglerFloor
}

// judge changes the state of m after an outcome, if it must.
func (p *poolHealth) judge(name string, m *memberHealth, outcome CallOutcome, took time.Duration, now time.Time) []Transition {
	switch m.state {
	case StateLive:
		return p.judgeLive(name, m, outcome, now)
	case StateProbation:
		return p.judgeProbation(name, m, outcome, took, now)
	default:
		// Calls that were in flight at the ejection still come back.
		return nil
	}
}

func (p *poolHealth) judgeLive(name string, m *memberHealth, outcome CallOutcome, now time.Time) []Transition {
	if m.strikes() >= strikesOut && (outcome == CallLost || !p.allFailing()) {
		return p.eject(name, m, HealthFailing, now)
	}
	if p.straggles(m) || p.lags(m) {
		return p.eject(name, m, HealthStraggler, now)
	}
	return nil
}

// lags tells whether too many calls on m are overdue. If they are on most of
// the others too, it is load that slows all of the pool: their median is late,
// and ejecting some would only slow the rest.
func (p *poolHealth) lags(m *memberHealth) bool {
	if m.overdue < overdueOut {
		return false
	}
	others, late := 0, 0
	for _, other := range p.members {
		if other == m || other.state != StateLive {
			continue
		}
		others++
		if other.overdue >= overdueHint {
			late++
		}
	}
	return 2*late <= others
}

// allFailing tells whether most of the pool reports errors. Then the calls
// are to blame, or something behind all endpoints, and ejecting some of them
// only loads the others. Lost calls are no such sign: an entry that is cut
// off from two failure domains of three loses most of its calls, and does
// well to eject as many as it may.
func (p *poolHealth) allFailing() bool {
	failing, live := 0, 0
	for _, m := range p.members {
		if m.state != StateLive {
			continue
		}
		live++
		if m.failed*strikesFailed >= strikesOut/2 {
			failing++
		}
	}
	return failing > 1 && failing > live/2
}

func (p *poolHealth) straggles(m *memberHealth) bool {
	if p.median == 0 || m.latency <= p.slow() {
		return false
	}
	if m.latency > 2*p.slow() {
		return m.samples >= blatantSamples
	}
	return m.samples >= stragglerSamples
}

func (p *poolHealth) judgeProbation(name string, m *memberHealth, outcome CallOutcome, took time.Duration, now time.Time) []Transition {
	if outcome != CallSucceeded {
		return p.eject(name, m, HealthFailing, now)
	}
	if p.median > 0 && took.Seconds() > p.slow() {
		return p.eject(name, m, HealthStraggler, now)
	}
	m.good++
	if m.good < probationCalls {
		return nil
	}
	m.liveSince = now
	return p.move(name, m, StateLive, HealthRecovered)
}

func (p *poolHealth) eject(name string, m *memberHealth, reason string, now time.Time) []Transition {
	if !p.mayEject(m) {
		return nil
	}
	if m.state == StateLive && now.Sub(m.liveSince) >= forgiveAfter {
		m.ejections = 0
	}
	m.until = now.Add(ejectionTime(m.ejections))
	m.ejections++
	m.pardon()
	m.samples, m.latency, m.good, m.overdue = 0, 0, 0, 0
	return p.move(name, m, StateEjected, reason)
}

// ejectionTime is how long the ejection after n earlier ones lasts.
func ejectionTime(n int) time.Duration {
	d := ejectionBase
	for range n {
		d = min(2*d, ejectionMax)
	}
	return d
}

// mayEject tells whether the pool can do without m, see maxOut.
func (p *poolHealth) mayEject(m *memberHealth) bool {
	out := 1
	for _, other := range p.members {
		if other != m && other.state != StateLive {
			out++
		}
	}
	return float64(out) <= maxOut*float64(len(p.members))
}

func (p *poolHealth) move(name string, m *memberHealth, to State, reason string) []Transition {
	t := Transition{Pool: p.name, Endpoint: name, From: m.state, To: to, Reason: reason}
	if to == StateEjected {
		t.Until = m.until
	}
	m.state = to
	return []Transition{t}
}

// tick ends the ejections that are over. The endpoint is not live at once: if
// it is still bad, all of its share of the load would fail again.
func (p *poolHealth) tick(now time.Time) []Transition {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []Transition
	for name, m := range p.members {
		if m.state == StateEjected && !now.Before(m.until) {
			m.good = 0
			due = append(due, p.move(name, m, StateProbation, HealthServed)...)
		}
	}
	return due
}

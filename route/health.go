package route

import (
	"sync"
	"time"
)

// CallOutcome is how one call to an endpoint ended, as far as its health goes.
type CallOutcome uint8

// The outcomes of a call.
const (
	// CallSucceeded means a complete result; its latency counts.
	CallSucceeded CallOutcome = iota
	// CallFailed means that the endpoint ran the call and reported an error.
	CallFailed
	// CallLost means that the connection or the endpoint was lost.
	CallLost
	// CallRefused means that the agent refused before forwarding. It says
	// nothing of the endpoint's health: a full or draining one is well.
	CallRefused
)

// Reasons given in a Transition.
const (
	// HealthFailing means that calls failed or were lost in a row.
	HealthFailing = "failing"
	// HealthStraggler means that calls took far longer than the pool's median.
	HealthStraggler = "straggler"
	// HealthServed means that the time of the ejection is over.
	HealthServed = "ejection_served"
	// HealthRecovered means that the calls in probation went well.
	HealthRecovered = "recovered"
)

// Transition is a change of an endpoint's state, to be put into the snapshot and logged.
type Transition struct {
	Pool     string
	Endpoint string
	From     State
	To       State
	Reason   string
	// Until is the end of an ejection.
	Until time.Time
}

// Health judges endpoints by the outcomes of this entry's calls. It gives
// StateLive, StateProbation or StateEjected; leaving is the membership's
// word. The state of each pool is under its own lock.
type Health struct {
	mu    sync.RWMutex
	pools map[string]*poolHealth
}

// NewHealth returns a Health that knows no endpoint.
func NewHealth() *Health {
	return &Health{pools: make(map[string]*poolHealth)}
}

// SetMembers tells which endpoints a pool has. New ones are live; those that
// are gone are forgotten.
func (h *Health) SetMembers(pool string, endpoints []string, now time.Time) {
	p := h.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	members := make(map[string]*memberHealth, len(endpoints))
	for _, name := range endpoints {
		m := p.members[name]
		if m == nil {
			m = &memberHealth{liveSince: now}
		}
		members[name] = m
	}
	p.members = members
}

// Observe takes in the outcome of one call, with its time on the endpoint,
// queue excluded. An endpoint that is no member is ignored.
func (h *Health) Observe(pool, endpoint string, outcome CallOutcome, took time.Duration, now time.Time) []Transition {
	p := h.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[endpoint]
	if m == nil || outcome == CallRefused {
		return nil
	}
	if outcome == CallSucceeded {
		m.succeed(took)
		if p.median > 0 && took.Seconds() <= p.slow() {
			m.payOff()
		}
		p.measure(now)
	} else {
		m.fail(outcome)
	}
	return p.judge(endpoint, m, outcome, took, now)
}

// Overdue takes in that a call has been running for OverdueAfter, as it was when
// the call was sent, and is not finished. Each call is reported once, and only if
// it did not have to wait at the agent.
//
// Waiting for the result would be too late: ten calls on an endpoint that is
// ten times slower than the others are ten missed deadlines.
func (h *Health) Overdue(pool, endpoint string, now time.Time) []Transition {
	p := h.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[endpoint]
	if m == nil {
		return nil
	}
	switch m.state {
	case StateLive:
		m.overdue++
		return p.judgeLive(endpoint, m, CallSucceeded, now)
	case StateProbation:
		// The median may have risen since the call was sent. It has not come
		// back, so it cannot count as one that went well.
		return p.eject(endpoint, m, HealthStraggler, now)
	default:
		return nil
	}
}

// OverdueAfter is the age from which a running call on the pool tells of a
// straggler; zero while the pool's times are not known.
func (h *Health) OverdueAfter(pool string) time.Duration {
	p := h.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.median == 0 {
		return 0
	}
	return time.Duration(p.slow() * float64(time.Second))
}

// Tick makes the transitions that are due by time alone.
func (h *Health) Tick(now time.Time) []Transition {
	var due []Transition
	for _, p := range h.all() {
		due = append(due, p.tick(now)...)
	}
	return due
}

// State returns the state of an endpoint; one that is no member is live.
func (h *Health) State(pool, endpoint string) State {
	p := h.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.members[endpoint]; m != nil {
		return m.state
	}
	return StateLive
}

// Pardon forgets failures that have not led to an ejection. It is for a
// process that was paused: on waking, calls to sound endpoints have timed
// out, and the pause, not the endpoints, is to blame.
func (h *Health) Pardon() {
	for _, p := range h.all() {
		p.mu.Lock()
		for _, m := range p.members {
			m.pardon()
			m.overdue = 0
		}
		p.mu.Unlock()
	}
}

func (h *Health) pool(name string) *poolHealth {
	h.mu.RLock()
	p := h.pools[name]
	h.mu.RUnlock()
	if p != nil {
		return p
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if p = h.pools[name]; p == nil {
		p = &poolHealth{name: name, members: make(map[string]*memberHealth)}
		h.pools[name] = p
	}
	return p
}

func (h *Health) all() []*poolHealth {
	h.mu.RLock()
	defer h.mu.RUnlock()
	pools := make([]*poolHealth, 0, len(h.pools))
	for _, p := range h.pools {
		pools = append(pools, p)
	}
	return pools
}

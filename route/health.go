package route

import (
	"sync"
	"time"
)

// CallOutcome is how a call to an endpoint ended, as far as the endpoint's
// health is concerned.
type CallOutcome uint8

// The outcomes of a call.
const (
	// CallSucceeded means that the call returned a complete result. Its latency
	// is recorded.
	CallSucceeded CallOutcome = iota
	// CallFailed means that the endpoint ran the call and reported an error.
	CallFailed
	// CallLost means that the connection or the endpoint was lost during the
	// call.
	CallLost
	// CallRefused means that the agent refused the call before forwarding it.
	// It does not affect health: an endpoint that is full or draining is not
	// faulty.
	CallRefused
)

// Reasons given in a Transition.
const (
	// HealthFailing means that calls failed or were lost in a row.
	HealthFailing = "failing"
	// HealthStraggler means that calls took far longer than the pool's median.
	HealthStraggler = "straggler"
	// HealthEjectionExpired means that the time of the ejection is over.
	HealthEjectionExpired = "ejection_served"
	// HealthRecovered means that enough calls in probation succeeded at normal
	// speed.
	HealthRecovered = "recovered"
)

// Transition is a change of an endpoint's state, to be applied to the snapshot
// and logged.
type Transition struct {
	Pool     string
	Endpoint string
	From     State
	To       State
	Reason   string
	// Until is when an ejection ends; zero for other transitions.
	Until time.Time
}

// Health tracks the health of endpoints from the outcomes of this entry's
// calls. It sets StateLive, StateProbation or StateEjected; StateLeaving is set
// by the membership. Each pool has its own lock.
type Health struct {
	mu    sync.RWMutex
	pools map[string]*poolHealth
}

// NewHealth returns a Health without endpoints.
func NewHealth() *Health {
	return &Health{pools: make(map[string]*poolHealth)}
}

// SetMembers sets the endpoints of a pool. New ones start live; the health of
// removed ones is dropped.
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

// Observe records the outcome of one call and its duration on the endpoint,
// time in the queue excluded. It returns the transitions that follow. An
// endpoint that is not a member is ignored.
func (h *Health) Observe(pool, endpoint string, outcome CallOutcome, duration time.Duration, now time.Time) []Transition {
	p := h.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[endpoint]
	if m == nil || outcome == CallRefused {
		return nil
	}
	if outcome == CallSucceeded {
		m.recordSuccess(duration)
		if p.median > 0 && duration.Seconds() <= p.stragglerThreshold() {
			m.offsetOverdue()
		}
		p.updateMedian(now)
	} else {
		m.recordFailure(outcome)
	}
	return p.evaluate(endpoint, m, outcome, duration, now)
}

// Overdue records that a call is still running after OverdueAfter, as it was
// when the call was sent. Callers report each call at most once, and only if it
// did not have to queue at the agent.
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
		return p.evaluateLive(endpoint, m, CallSucceeded, now)
	case StateProbation:
		// The median may have risen since the call was sent. The call has not
		// returned, so it cannot count as a success.
		return p.eject(endpoint, m, HealthStraggler, now)
	default:
		return nil
	}
}

// OverdueAfter returns the age from which a running call on the pool counts as
// overdue; zero while the pool's median latency is not known.
func (h *Health) OverdueAfter(pool string) time.Duration {
	p := h.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.median == 0 {
		return 0
	}
	return time.Duration(p.stragglerThreshold() * float64(time.Second))
}

// Tick makes and returns the transitions that are due by time alone.
func (h *Health) Tick(now time.Time) []Transition {
	var due []Transition
	for _, p := range h.all() {
		due = append(due, p.endEjections(now)...)
	}
	return due
}

// State returns the state of an endpoint; StateLive if it is not a member.
func (h *Health) State(pool, endpoint string) State {
	p := h.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.members[endpoint]; m != nil {
		return m.state
	}
	return StateLive
}

// ResetFailures clears the failures and overdue calls that have not led to an
// ejection. It is called after this process was paused: calls to healthy
// endpoints have then timed out because of the pause.
func (h *Health) ResetFailures() {
	for _, p := range h.all() {
		p.mu.Lock()
		for _, m := range p.members {
			m.resetFailures()
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

package discovery

import (
	"sync"
	"time"
)

const (
	// lagPeriod is how long a measured lag counts at least, and half of how long it counts
	// at most.
	lagPeriod = 3 * time.Second
	// maxOverdue is how long news may be overdue until it is no use to wait for them: the
	// store does not answer the fleet.
	maxOverdue = 3 * time.Second
)

// lagMeter holds the longest of the latest lags.
type lagMeter struct {
	mu sync.Mutex
	// current is the longest lag since turned, previous that of the period before.
	current, previous time.Duration
	turned            time.Time
}

// record records a lag.
func (m *lagMeter) record(now time.Time, lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.turn(now)
	m.current = max(m.current, lag)
}

// longest returns the longest of the latest lags.
func (m *lagMeter) longest(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.turn(now)
	return max(m.current, m.previous)
}

// turn begins a new period if the current one has ended.
func (m *lagMeter) turn(now time.Time) {
	switch since := now.Sub(m.turned); {
	case since < lagPeriod:
		return
	case since < 2*lagPeriod:
		m.previous = m.current
	default:
		m.previous = 0
	}
	m.current, m.turned = 0, now
}

// Lag returns how late a change may come to this process: by how much the answers of the
// store to a reader, and of that reader to this process, lately took longer than they had to
// wait for a change, or by how much the next answer is overdue.
func (f *Follower) Lag() time.Duration {
	now := time.Now()
	lag := f.lag.longest(now)
	if overdue := f.overdue(now); overdue <= maxOverdue {
		lag = max(lag, overdue)
	}
	return lag
}

// overdue returns how much older the state is than with a reader and a store that answer.
func (f *Follower) overdue(now time.Time) time.Duration {
	return now.Sub(f.AsOf()) - f.wait - f.wait/followDivisor
}

// lagOf returns the lag of a peer and of its answer to a call that took a time.
func (r changesReply) lagOf(took time.Duration) time.Duration {
	if r.Held == 0 {
		return 0
	}
	return r.Lag + took - r.Held
}

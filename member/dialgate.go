package member

import (
	"context"
	"sync"
	"time"
)

const (
	// firstDials is how many connections a process makes at once before it
	// knows how long they take.
	initialDialLimit = 8
	// slowJoin is the time from which a handshake tells that this process or the
	// other side has more of them than it can do: the other side gives a
	// handshake up after twice that.
	slowHandshake = time.Second
	// connectPatience is how long a dial that is not connected yet counts: a VM
	// that is gone answers nothing, and costs nobody any work.
	connectGrace = 300 * time.Millisecond
)

// dialResult is how a dial ended.
type dialResult uint8

const (
	// dialUnconnected dials met no process and say nothing of its load.
	dialUnconnected dialResult = iota
	// dialJoined dials led to a connection.
	dialSucceeded
	// dialCongested dials were connected, but the handshake was not done in time.
	dialCongested
)

// dialLimit decides how many dials may be under way.
//
// It guards against a fleet that never gets connected: on a busy machine each
// handshake is slower the more of them are made at once. If all take longer
// than either side waits, the work for each is thrown away and done again, and
// crowds out those that would finish. So the limit follows what dials take, as
// the window of TCP does: it doubles while they are quick, is halved once for
// all that were under way when one was not, and grows slowly from there.
type dialLimit struct {
	ceiling  int
	limit    float64
	inFlight int
	// doubling lasts until the first halving.
	slowStart bool
	// halvedAt is the time of the latest halving; dials that began before it
	// belong to the same congestion.
	halvedAt time.Time
}

func newDialLimit(ceiling int) dialLimit {
	return dialLimit{ceiling: ceiling, limit: float64(min(initialDialLimit, ceiling)), slowStart: true}
}

// free tells whether another dial may begin.
func (l *dialLimit) hasCapacity() bool { return l.inFlight < int(l.limit) }

// ended takes in the result of a dial that began at the given time.
func (l *dialLimit) record(began, now time.Time, result dialResult) {
	switch result {
	case dialSucceeded:
		if l.slowStart {
			l.limit++
		} else {
			l.limit += 1 / l.limit
		}
		l.limit = min(l.limit, float64(l.ceiling))
	case dialCongested:
		if began.Before(l.halvedAt) {
			return
		}
		l.limit = max(1, l.limit/2)
		l.slowStart = false
		l.halvedAt = now
	}
}

// resultOf judges a dial by the time that its handshake took.
func classifyDial(ok bool, elapsed time.Duration) dialResult {
	switch {
	case elapsed >= slowHandshake:
		return dialCongested
	case ok:
		return dialSucceeded
	default:
		// It was refused at once, as by a process that is about to end.
		return dialUnconnected
	}
}

// dialGate lets dials begin in the order in which they came, as dialLimit allows.
type dialGate struct {
	mu    sync.Mutex
	limit dialLimit
	queue []chan struct{}
}

func newDialGate(ceiling int) *dialGate { return &dialGate{limit: newDialLimit(ceiling)} }

// enter waits for a place; it returns false if ctx ends first.
func (g *dialGate) acquire(ctx context.Context) bool {
	g.mu.Lock()
	if len(g.queue) == 0 && g.limit.hasCapacity() {
		g.limit.inFlight++
		g.mu.Unlock()
		return true
	}
	ready := make(chan struct{})
	g.queue = append(g.queue, ready)
	g.mu.Unlock()
	select {
	case <-ready:
		return true
	case <-ctx.Done():
		g.cancelWait(ready)
		return false
	}
}

// abandon gives up a turn, which may have come meanwhile.
func (g *dialGate) cancelWait(ready chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range g.queue {
		if other == ready {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return
		}
	}
	g.limit.inFlight--
	g.admitWaiters()
}

// leave gives a place back.
func (g *dialGate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.inFlight--
	g.admitWaiters()
}

// ended takes in the result of a dial.
func (g *dialGate) record(began, now time.Time, result dialResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.record(began, now, result)
	g.admitWaiters()
}

// size returns how many dials may be under way now.
func (g *dialGate) currentLimit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int(g.limit.limit)
}

func (g *dialGate) admitWaiters() {
	for len(g.queue) > 0 && g.limit.hasCapacity() {
		close(g.queue[0])
		g.queue = g.queue[1:]
		g.limit.inFlight++
	}
}

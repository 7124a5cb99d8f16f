package member

import (
	"context"
	"sync"
	"time"
)

const (
	// initialDialLimit is how many dials a process runs concurrently before it
	// has measured how long their handshakes take.
	initialDialLimit = 8
	// slowHandshake is the handshake time that counts as congestion, of this
	// process or of the peer. A peer abandons a handshake after twice this time.
	slowHandshake = time.Second
	// connectGrace is how long a dial without a TCP connection occupies a slot. A
	// VM that is gone never answers and causes no load, so its dial must not keep
	// the slot until dialTimeout.
	connectGrace = 300 * time.Millisecond
)

// dialResult is the outcome of a dial for the purpose of congestion control.
type dialResult uint8

const (
	// dialUnconnected means that no handshake took place or that it was rejected
	// at once, which is no sign of load.
	dialUnconnected dialResult = iota
	// dialSucceeded means that the handshake finished in less than slowHandshake.
	dialSucceeded
	// dialCongested means that the handshake, finished or not, took slowHandshake
	// or longer.
	dialCongested
)

// dialLimit is the adaptive limit of concurrent dials.
//
// It prevents congestion collapse, in which a fleet never gets connected: on a
// busy machine, handshakes slow each other down. If all take longer than their
// timeouts, their work is lost and done again, and delays the handshakes that
// would finish. So the limit adapts to handshake times like the congestion window
// of TCP: in slow start it doubles while they are fast; after a slow handshake it
// is halved, once for all the dials then in flight; from there it grows linearly.
type dialLimit struct {
	// ceiling is the upper bound of limit.
	ceiling int
	// limit is the current limit; its integer part applies.
	limit    float64
	inFlight int
	// slowStart means that the limit has not been halved yet; until then each
	// success raises it by one.
	slowStart bool
	// halvedAt is the time of the last halving. Dials that began before it belong
	// to the same congestion and don't halve the limit again.
	halvedAt time.Time
}

func newDialLimit(ceiling int) dialLimit {
	return dialLimit{ceiling: ceiling, limit: float64(min(initialDialLimit, ceiling)), slowStart: true}
}

// hasCapacity reports whether another dial may start.
func (l *dialLimit) hasCapacity() bool { return l.inFlight < int(l.limit) }

// record adapts the limit to the result of a dial whose handshake began at began.
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

// classifyDial returns the result of a dial from the time that its handshake
// took; ok means that the handshake succeeded.
func classifyDial(ok bool, elapsed time.Duration) dialResult {
	switch {
	case elapsed >= slowHandshake:
		return dialCongested
	case ok:
		return dialSucceeded
	default:
		// It was rejected at once, for example by a process that is stopping.
		return dialUnconnected
	}
}

// dialGate is a FIFO semaphore whose capacity is set by dialLimit.
type dialGate struct {
	mu    sync.Mutex
	limit dialLimit
	// queue has a channel for each waiter; a channel is closed when its waiter
	// gets a slot.
	queue []chan struct{}
}

func newDialGate(ceiling int) *dialGate { return &dialGate{limit: newDialLimit(ceiling)} }

// acquire waits for a slot. It returns false, without a slot, if ctx ends first.
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

// cancelWait removes a waiter from the queue, or releases its slot if it has got
// one in the meantime.
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

// release releases a slot.
func (g *dialGate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.inFlight--
	g.admitWaiters()
}

// record adapts the limit to the result of a dial and admits waiters.
func (g *dialGate) record(began, now time.Time, result dialResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.record(began, now, result)
	g.admitWaiters()
}

// currentLimit returns how many dials may run concurrently now.
func (g *dialGate) currentLimit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int(g.limit.limit)
}

// admitWaiters gives the free slots to the first waiters. The caller holds mu.
func (g *dialGate) admitWaiters() {
	for len(g.queue) > 0 && g.limit.hasCapacity() {
		close(g.queue[0])
		g.queue = g.queue[1:]
		g.limit.inFlight++
	}
}

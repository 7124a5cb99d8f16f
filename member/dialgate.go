package member

import (
	"context"
	"sync"
	"time"
)

const (
	// firstDials is how many connections a process makes at once before it
	// knows how long they take.
	firstDials = 8
	// slowJoin is the time from which a handshake tells that this process or the
	// other side has more of them than it can do: the other side gives a
	// handshake up after twice that.
	slowJoin = time.Second
	// connectPatience is how long a dial that is not connected yet counts: a VM
	// that is gone answers nothing, and costs nobody any work.
	connectPatience = 300 * time.Millisecond
)

// dialResult is how a dial ended.
type dialResult uint8

const (
	// dialUnconnected dials met no process and say nothing of its load.
	dialUnconnected dialResult = iota
	// dialJoined dials led to a connection.
	dialJoined
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
	most     int
	limit    float64
	underWay int
	// doubling lasts until the first halving.
	doubling bool
	// halvedAt is the time of the latest halving; dials that began before it
	// belong to the same congestion.
	halvedAt time.Time
}

func newDialLimit(most int) dialLimit {
	return dialLimit{most: most, limit: float64(min(firstDials, most)), doubling: true}
}

// free tells whether another dial may begin.
func (l *dialLimit) free() bool { return l.underWay < int(l.limit) }

// ended takes in the result of a dial that began at the given time.
func (l *dialLimit) ended(began, now time.Time, result dialResult) {
	switch result {
	case dialJoined:
		if l.doubling {
			l.limit++
		} else {
			l.limit += 1 / l.limit
		}
		l.limit = min(l.limit, float64(l.most))
	case dialCongested:
		if began.Before(l.halvedAt) {
			return
		}
		l.limit = max(1, l.limit/2)
		l.doubling = false
		l.halvedAt = now
	}
}

// resultOf judges a dial by the time that its handshake took.
func resultOf(joined bool, took time.Duration) dialResult {
	switch {
	case took >= slowJoin:
		return dialCongested
	case joined:
		return dialJoined
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

func newDialGate(most int) *dialGate { return &dialGate{limit: newDialLimit(most)} }

// enter waits for a place; it returns false if ctx ends first.
func (g *dialGate) enter(ctx context.Context) bool {
	g.mu.Lock()
	if len(g.queue) == 0 && g.limit.free() {
		g.limit.underWay++
		g.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	g.queue = append(g.queue, turn)
	g.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		g.abandon(turn)
		return false
	}
}

// abandon gives up a turn, which may have come meanwhile.
func (g *dialGate) abandon(turn chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range g.queue {
		if other == turn {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return
		}
	}
	g.limit.underWay--
	g.admit()
}

// leave gives a place back.
func (g *dialGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.underWay--
	g.admit()
}

// ended takes in the result of a dial.
func (g *dialGate) ended(began, now time.Time, result dialResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.ended(began, now, result)
	g.admit()
}

// size returns how many dials may be under way now.
func (g *dialGate) size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int(g.limit.limit)
}

func (g *dialGate) admit() {
	for len(g.queue) > 0 && g.limit.free() {
		close(g.queue[0])
		g.queue = g.queue[1:]
		g.limit.underWay++
	}
}

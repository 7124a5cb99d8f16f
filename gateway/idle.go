package gateway

import (
	"container/list"
	"sync"
	"time"
)

const (
	// maxIdle is the number of connections that a process keeps although none of them was
	// used within recentUse; each takes about 20 kB.
	maxIdle = 256
	// maxRecentIdle bounds the idle connections in any case.
	maxRecentIdle = 2048
	// recentUse is the time since its last exchange within which a connection counts as
	// needed: to close it would only have it opened again.
	recentUse = 2 * time.Second
)

// idleConn is a connection that is idle since a time, after an exchange.
type idleConn struct {
	conn     *endpointConn
	exchange *exchange
	since    time.Time
}

// idleConns holds the idle connections to all endpoints. It does no I/O.
//
// It guards against a bound that is below what the traffic uses: a process that calls more
// endpoints than it keeps connections then opens one for nearly each request.
type idleConns struct {
	// now returns the time.
	now func() time.Time

	mu sync.Mutex
	// order holds idleConn values, the one that is idle for longest first.
	order    list.List
	elements map[*endpointConn]*list.Element
}

func newIdleConns() *idleConns {
	return &idleConns{now: time.Now, elements: make(map[*endpointConn]*list.Element)}
}

// add adds a connection, unless it is closed, and returns those that are not to be kept any
// more.
func (l *idleConns) add(c *endpointConn, x *exchange) (surplus []idleConn) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(c)
	if c.closed {
		return nil
	}
	l.elements[c] = l.order.PushBack(idleConn{conn: c, exchange: x, since: now})
	for l.order.Len() > maxIdle {
		oldest := l.order.Front().Value.(idleConn)
		if now.Sub(oldest.since) <= recentUse && l.order.Len() <= maxRecentIdle {
			break
		}
		l.removeLocked(oldest.conn)
		surplus = append(surplus, oldest)
	}
	return surplus
}

// oldest returns up to n connections, those that are idle for longest.
func (l *idleConns) oldest(n int) []idleConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []idleConn
	for e := l.order.Front(); e != nil && len(found) < n; e = e.Next() {
		found = append(found, e.Value.(idleConn))
	}
	return found
}

// remove removes a connection that is used.
func (l *idleConns) remove(c *endpointConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(c)
}

// removeClosed removes a connection for good. Its end may be noted before that of its last
// exchange, and it must not take the place of one that is open.
func (l *idleConns) removeClosed(c *endpointConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.closed = true
	l.removeLocked(c)
}

func (l *idleConns) removeLocked(c *endpointConn) {
	if e := l.elements[c]; e != nil {
		l.order.Remove(e)
		delete(l.elements, c)
	}
}

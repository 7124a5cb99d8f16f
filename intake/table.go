package intake

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// TickInterval is the interval at which Tick is called.
	TickInterval = 500 * time.Millisecond
	// slowBytes is how much of a request must come between two ticks for it not to be slow.
	slowBytes = 8 << 10
	// stalledTicks is the number of ticks without a byte after which a connection is stalled.
	stalledTicks = 2
	// maxDeclined is how many connections are asked to end for one that comes.
	maxDeclined = 16
	// endingShare is the part of the limit on bytes that requests may still hold which were
	// told to end.
	endingShare = 0.25
)

// Reason says why a client was ended or refused.
type Reason string

const (
	// ReasonConns means that there was no room for a connection.
	ReasonConns Reason = "connections"
	// ReasonMemory means that there was no memory for a request.
	ReasonMemory Reason = "memory"
	// ReasonHeadTimeout means that a head took too long.
	ReasonHeadTimeout Reason = "head_timeout"
	// ReasonIdleTimeout means that no request came for too long.
	ReasonIdleTimeout Reason = "idle_timeout"
	// ReasonWriteTimeout means that nothing of an answer was taken for too long.
	ReasonWriteTimeout Reason = "write_timeout"
	// ReasonHead means that a head was over the limit.
	ReasonHead Reason = "head_too_large"
)

// Timeouts bound what a connection may take without an end.
type Timeouts struct {
	// Head is for a head from its first byte to its end.
	Head time.Duration
	// Idle is for a connection without a request, and for an answer of which nothing is taken.
	Idle time.Duration
}

// Table holds the connections of the clients of a process. It is safe for concurrent use.
type Table struct {
	limits Limits
	// tick counts the calls of Tick.
	tick atomic.Int64
	// begun counts the phases of connections that have begun.
	begun atomic.Int64
	// room gets a value when a connection has ended.
	room chan struct{}

	mu      sync.Mutex
	clients map[*Client]struct{}
	// searches counts the searches for room.
	searches int64
	// ending is the number of connections that were told to end and have not.
	ending int
	// reserved is the memory of requests in bytes, endingBytes that of requests that were told
	// to end and have not; reserved does not include it.
	reserved, endingBytes int64
	// accounts has the reserved bytes by client account.
	accounts map[string]int64
	ended    map[Reason]int64
	// mostConns and mostBytes are the largest numbers of connections and reserved bytes so far.
	mostConns int
	mostBytes int64
}

// NewTable returns an empty Table.
func NewTable(limits Limits) *Table {
	return &Table{
		limits:   limits,
		room:     make(chan struct{}, 1),
		clients:  make(map[*Client]struct{}),
		accounts: make(map[string]int64),
		ended:    make(map[Reason]int64),
	}
}

// Open adds a connection. If there are too many, one of the others is evicted; Open returns nil if
// none may be. evict tells the connection to end; it must neither block nor call the table.
func (t *Table) Open(evict func(Reason) Ending) *Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.clients)-t.ending >= t.limits.Conns && !t.evictOne() {
		t.ended[ReasonConns]++
		return nil
	}
	t.endRefused()
	c := &Client{table: t, evict: evict}
	c.SetPhase(Silent)
	t.clients[c] = struct{}{}
	t.mostConns = max(t.mostConns, len(t.clients))
	return c
}

// AwaitRoom waits until the connections that were told to end leave room for those that were not,
// for timeout at most. It reports whether there is room.
func (t *Table) AwaitRoom(timeout time.Duration) bool {
	if t.hasRoom() {
		return true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case <-t.room:
			if t.hasRoom() {
				return true
			}
		case <-timer.C:
			return false
		}
	}
}

func (t *Table) hasRoom() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.clients) <= t.limits.Conns
}

// evictOne evicts a connection, and reports whether there is one that may be. The caller holds mu.
func (t *Table) evictOne() bool {
	t.searches++
	for range maxDeclined {
		victim := t.firstToEvict()
		if victim == nil {
			return false
		}
		if t.evict(victim, ReasonConns) {
			return true
		}
		victim.declined = t.searches
	}
	return false
}

// endRefused ends connections that were told to end and wait for their clients, until there is room
// for one more beside those that have not ended. The caller holds mu.
func (t *Table) endRefused() {
	for c := range t.clients {
		if len(t.clients) < t.limits.Conns {
			return
		}
		if c.evicted && c.Phase() == Closing {
			_ = t.evict(c, ReasonConns)
		}
	}
}

// firstToEvict returns the connection of the lowest rank whose phase began first; nil if none may
// be evicted.
func (t *Table) firstToEvict() *Client {
	var found *Client
	lowest := 0
	tick := t.tick.Load()
	for c := range t.clients {
		rank, ok := c.evictionRank(tick)
		if ok && (found == nil || rank < lowest || rank == lowest && c.before(found)) {
			found, lowest = c, rank
		}
	}
	return found
}

// before orders connections by the begin of their phases.
func (c *Client) before(other *Client) bool { return c.order.Load() < other.order.Load() }

// evict tells a connection to end, and reports whether it does not decline. The caller holds mu.
func (t *Table) evict(c *Client, reason Reason) bool {
	ending := c.evict(reason)
	if ending == Declines {
		return false
	}
	if !c.evicted {
		c.evicted = true
		t.ending++
		t.endingBytes += c.reserved
		t.drop(c, c.reserved)
		t.ended[reason]++
	}
	if ending == Ended {
		t.remove(c)
	}
	return true
}

// drop takes bytes from what is reserved. The caller holds mu.
func (t *Table) drop(c *Client, bytes int64) {
	t.reserved -= bytes
	if t.accounts[c.account] -= bytes; t.accounts[c.account] <= 0 {
		delete(t.accounts, c.account)
	}
}

// Close removes a connection and what it reserved.
func (t *Table) Close(c *Client) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.clients[c]; !ok {
		return
	}
	t.remove(c)
	select {
	case t.room <- struct{}{}:
	default:
	}
}

// remove removes a connection and what it reserved. The caller holds mu.
func (t *Table) remove(c *Client) {
	t.release(c)
	delete(t.clients, c)
	if c.evicted {
		t.ending--
	}
}

// Release releases what the connection reserved.
func (t *Table) Release(c *Client) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.release(c)
}

func (t *Table) release(c *Client) {
	if c.evicted {
		t.endingBytes -= c.reserved
	} else if c.reserved > 0 {
		t.drop(c, c.reserved)
	}
	c.reserved = 0
}

// Count counts a client that was refused without having been told to end.
func (t *Table) Count(reason Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended[reason]++
}

// Tick measures what has moved and ends the connections that take too long.
func (t *Table) Tick(timeouts Timeouts) {
	tick := t.tick.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.clients {
		c.measure()
		if reason := c.overdue(tick, timeouts); reason != "" {
			// A connection whose request is on the way is looked at again.
			_ = t.evict(c, reason)
		}
	}
}

// overdue returns why the connection has to end now, or "".
func (c *Client) overdue(tick int64, timeouts Timeouts) Reason {
	if c.evicted {
		return ""
	}
	// The first of these ticks may have come just after the phase began.
	age := time.Duration(tick-c.since.Load()-1) * TickInterval
	quiet := min(age, time.Duration(c.quiet)*TickInterval)
	switch p := c.Phase(); {
	case p == Head && age >= timeouts.Head:
		return ReasonHeadTimeout
	case (p == Idle || p == Silent) && age >= timeouts.Idle:
		return ReasonIdleTimeout
	case p == Writing && quiet >= timeouts.Idle:
		return ReasonWriteTimeout
	}
	return ""
}

// Stats are the figures of a Table for metrics.
type Stats struct {
	// Conns has the connections by phase, Ended those that were ended or refused by reason.
	Conns map[string]int   `json:"connections"`
	Ended map[Reason]int64 `json:"ended"`
	// Bytes is what requests have reserved.
	Bytes int64 `json:"bytes"`
	// MostConns and MostBytes are the largest figures so far.
	MostConns int   `json:"most_connections"`
	MostBytes int64 `json:"most_bytes"`
	// MaxConns and MaxBytes are the limits.
	MaxConns int   `json:"max_connections"`
	MaxBytes int64 `json:"max_bytes"`
}

// Stats returns the figures now.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Stats{
		Conns: make(map[string]int), Ended: make(map[Reason]int64, len(t.ended)), Bytes: t.reserved + t.endingBytes,
		MostConns: t.mostConns, MostBytes: t.mostBytes, MaxConns: t.limits.Conns, MaxBytes: t.limits.Bytes,
	}
	for c := range t.clients {
		s.Conns[c.Phase().String()]++
	}
	for reason, n := range t.ended {
		s.Ended[reason] = n
	}
	return s
}

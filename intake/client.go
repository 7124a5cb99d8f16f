package intake

import "sync/atomic"

// Phase is what a connection is doing.
type Phase int32

const (
	// Silent means that no request has come yet.
	Silent Phase = iota
	// Idle means that all requests are answered.
	Idle
	// Head means that the head of a request is coming.
	Head
	// Body means that the body of a request is coming.
	Body
	// Serving means that a request is whole and has no complete answer.
	Serving
	// Writing means that the client takes a part of the answer.
	Writing
	// Closing means that the client was refused and the connection waits for its end.
	Closing
	phases
)

var phaseNames = [phases]string{"silent", "idle", "head", "body", "serving", "writing", "closing"}

// String returns the name of the phase in metrics.
func (p Phase) String() string { return phaseNames[p] }

// Ending says what a connection does that was told to end.
type Ending int

const (
	// Declines means that it goes on: its request is whole, or on the way.
	Declines Ending = iota
	// Ends means that it will be closed, and removed from its table.
	Ends
	// Ended means that it has been closed.
	Ended
)

// Client is one connection in a Table.
type Client struct {
	table *Table
	evict func(Reason) Ending
	phase atomic.Int32
	// since is the tick in which the phase began, order the place of its begin among those of
	// all connections.
	since, order atomic.Int64
	// moved counts the bytes that have come from the client or went to it.
	moved atomic.Int64

	// The table's mutex guards the rest.

	account string
	// reserved is in bytes.
	reserved int64
	// reservedAt is the tick of the first reservation for the request.
	reservedAt int64
	// seen is moved at the latest tick, gained what came since the tick before, and quiet the
	// number of ticks without a byte.
	seen, gained, quiet int64
	evicted             bool
	// declined is the latest search for room in which the connection was asked to end and did
	// not.
	declined int64
}

// SetPhase records what the connection is doing.
func (c *Client) SetPhase(p Phase) {
	c.phase.Store(int32(p))
	c.since.Store(c.table.tick.Load())
	c.order.Store(c.table.begun.Add(1))
}

// Phase returns what the connection is doing.
func (c *Client) Phase() Phase { return Phase(c.phase.Load()) }

// Moved records bytes that have come from the client or went to it.
func (c *Client) Moved(bytes int) { c.moved.Add(int64(bytes)) }

// measure records what has moved since the tick before.
func (c *Client) measure() {
	moved := c.moved.Load()
	c.gained, c.seen = moved-c.seen, moved
	c.quiet++
	if c.gained > 0 {
		c.quiet = 0
	}
}

// slow reports whether too little of a request that reserved memory has come in the latest
// interval between ticks, the whole of which it was there.
func (c *Client) slow(tick int64) bool {
	return tick-c.reservedAt > 1 && c.gained < slowBytes
}

// stalled reports whether the connection has been in its phase without a byte for some ticks.
func (c *Client) stalled(tick int64) bool {
	return c.quiet >= stalledTicks && tick-c.since.Load() >= stalledTicks && c.moved.Load() == c.seen
}

// evictionRank orders connections by which is evicted first for another one, the lowest. ok is
// false if the connection must not be.
func (c *Client) evictionRank(tick int64) (rank int, ok bool) {
	if c.evicted || c.declined == c.table.searches {
		return 0, false
	}
	switch c.Phase() {
	case Silent, Head, Closing:
		return 0, true
	case Idle:
		return 1, true
	case Body:
		return 2, c.stalled(tick)
	case Writing:
		return 3, c.stalled(tick)
	}
	return 0, false
}

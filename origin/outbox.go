package origin

import (
	"context"
	"sync"
	"time"

	"github.com/mangostage/mangostage/internal/sleep"
	"github.com/mangostage/mangostage/peer"
)

const (
	// flushDelay is the time in which streams are collected that are told together. What
	// began within it before a kill is lost.
	flushDelay = 10 * time.Millisecond
	// othersInterval is how often it is noted whether there are other members.
	othersInterval = time.Second
	// maxOutgoing bounds the streams that wait to be told.
	maxOutgoing = 1 << 14
)

// began is a stream to be told.
type began struct {
	stream Stream
	origin Origin
	proof  Proof
	until  time.Time
}

// outbox holds streams to be told to other members.
type outbox struct {
	// wake wakes the sender when a stream is added.
	wake chan struct{}

	mu      sync.Mutex
	waiting []began
}

// add adds a stream.
func (o *outbox) add(b began) {
	o.mu.Lock()
	if len(o.waiting) < maxOutgoing {
		o.waiting = append(o.waiting, b)
	}
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// take removes and returns all streams.
func (o *outbox) take() []began {
	o.mu.Lock()
	defer o.mu.Unlock()
	waiting := o.waiting
	o.waiting = nil
	return waiting
}

// batch collects streams for one member, by origin.
type batch struct{ groups map[groupKey]*pending }

// groupKey is what the streams of a group have in common.
type groupKey struct {
	origin   Origin
	endpoint string
	opened   int64
}

// pending are streams of one origin and the time until which they are to be held.
type pending struct {
	told
	proof Proof
	until time.Time
}

// add adds a stream.
func (b *batch) add(s began) {
	if b.groups == nil {
		b.groups = make(map[groupKey]*pending)
	}
	key := groupKey{origin: s.origin, endpoint: s.proof.Endpoint}
	if !s.proof.IsZero() {
		key.opened = s.proof.Opened.UnixNano()
	}
	p := b.groups[key]
	if p == nil {
		p = &pending{told: told{Origin: s.origin}, proof: s.proof}
		b.groups[key] = p
	}
	p.add(s.stream)
	if s.until.After(p.until) {
		p.until = s.until
	}
}

// Run tells other members of the streams that begin until ctx ends.
func (c *Client) Run(ctx context.Context) {
	go sleep.Every(ctx, othersInterval, func(time.Time) { c.currentKeepers() })
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.outbox.wake:
		}
		sleep.For(ctx, flushDelay)
		c.flush(time.Now())
	}
}

// flush tells the holders of the streams that wait.
func (c *Client) flush(now time.Time) {
	waiting := c.outbox.take()
	conns := make(map[string]*peer.Conn)
	var names []string
	for _, k := range c.currentKeepers() {
		if k.Conn != nil && !k.Leaving {
			conns[k.Name] = k.Conn
			names = append(names, k.Name)
		}
	}
	batches := make(map[string]*batch)
	for _, w := range waiting {
		for _, name := range firstHolders(w.stream, names, copies) {
			if batches[name] == nil {
				batches[name] = &batch{}
			}
			batches[name].add(w)
		}
	}
	for name, b := range batches {
		c.send(now, conns[name], b)
	}
}

// send tells a member of streams, in messages of a bounded size. A connection on which this
// fails is closed.
func (c *Client) send(now time.Time, conn *peer.Conn, b *batch) {
	for _, p := range b.groups {
		left := p.until.Sub(now)
		for streams := p.Streams; len(streams) > 0; {
			n := min(len(streams), maxTold*streamBytes)
			part := []told{{Origin: p.Origin, Proof: tellProof(now, p.proof), Left: left, Streams: streams[:n]}}
			streams = streams[n:]
			c.Counters.Add(countTold, int64(n/streamBytes))
			c.Counters.Add(countToldMessages, 1)
			go func() {
				if conn.Notify(MethodTell, part) != nil {
					c.Counters.Add(countToldLost, int64(n/streamBytes))
				}
			}()
		}
	}
}

package origin

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/fleet"
	"github.com/mangostage/mangostage/internal/sleep"
	"github.com/mangostage/mangostage/peer"
)

const (
	// askTimeout bounds a question to another member: many round trips within a region.
	askTimeout = 150 * time.Millisecond
	// findTimeout bounds the time until it is said whether a stream can go on, short of the
	// second within which its client is to be told.
	findTimeout = 800 * time.Millisecond
	// pastTimeout bounds the questions of a member that has started, pastInterval is their
	// interval.
	pastTimeout  = 2 * time.Second
	pastInterval = 100 * time.Millisecond
	// maxGreeted bounds the streams that a member is told of when it connects.
	maxGreeted = 4096
	// missedPeriod is how long members that are not reached any more may come back.
	missedPeriod = 15 * time.Second
	// keepersTTL is how long the list of members is used.
	keepersTTL = 50 * time.Millisecond
)

// Fleet tells which other members hold knowledge.
type Fleet interface {
	// Keepers returns the live members, without this process, among which knowledge is
	// divided.
	Keepers() []fleet.Keeper
}

// Config holds the dependencies of a Client.
type Config struct {
	// Fleet is nil without other members.
	Fleet Fleet
	// View returns the current view of the deployment.
	View func() *catalog.View
	// SeenSince returns since when this process has seen all changes of the endpoints; ok is
	// false if it may be missing some now.
	SeenSince func() (since time.Time, ok bool)
	// AsOf returns the latest time of which View has all changes.
	AsOf func() time.Time
	// Confirm makes sure that View has all changes as of a time, and reports whether it has by
	// the end of the context. It notices a pause of the process first.
	Confirm func(ctx context.Context, t time.Time) bool
	// StoreSilent reports whether Confirm is known to fail now; nil for never.
	StoreSilent func() bool
	// Serves reports whether a connection of this process to the one of an endpoint, by its
	// Key, is open that was opened before a time; nil if there is none.
	Serves func(endpoint string, before time.Time) bool
	Log    zerolog.Logger
}

// Client records where streams begin at this process, tells other members, and finds the
// origins of streams that clients take up.
type Client struct {
	cfg     Config
	table   *Table
	history *History
	outbox  outbox
	// Counters counts messages and findings by name.
	Counters *expvar.Map

	mu sync.Mutex
	// keepers are the members as of keepersAt.
	keepers   []fleet.Keeper
	keepersAt time.Time
	// othersAt is when there last were any.
	othersAt time.Time
}

// NewClient returns a client that knows nothing.
func NewClient(cfg Config) *Client {
	if cfg.StoreSilent == nil {
		cfg.StoreSilent = func() bool { return false }
	}
	if cfg.Serves == nil {
		cfg.Serves = func(string, time.Time) bool { return false }
	}
	c := &Client{cfg: cfg, table: NewTable(), history: NewHistory(), Counters: new(expvar.Map).Init()}
	c.outbox.wake = make(chan struct{}, 1)
	return c
}

// Serve registers the methods by which other processes use the client.
func Serve(mux *peer.Mux, c *Client) {
	peer.HandleNotification(mux, MethodTell, func(from *peer.Conn, groups []told) {
		c.learn(time.Now(), groups, from.Peer().Process.Name)
	})
	peer.HandleCall(mux, MethodAsk, func(ctx context.Context, _ *peer.Conn, call askCall) (askReply, error) {
		return c.answer(ctx, time.Now(), call), nil
	})
	peer.HandleCall(mux, MethodVouch, func(ctx context.Context, _ *peer.Conn, p toldProof) (vouchReply, error) {
		return vouchReply{Vouches: c.vouches(ctx, p.proof(time.Now()))}, nil
	})
	peer.HandleCall(mux, MethodPast, func(ctx context.Context, _ *peer.Conn, _ struct{}) (past, error) {
		return c.tellPast(ctx), nil
	})
}

// tellPast returns which origins streams can have had, for a member that starts; nothing
// unless this process is sure to know all of them until now.
func (c *Client) tellPast(ctx context.Context) past {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	if !c.confirm(ctx, time.Now()) {
		return past{}
	}
	seen, ok := c.cfg.SeenSince()
	if !ok {
		return past{}
	}
	return c.history.tell(time.Now(), seen)
}

// SetView records a new view of the deployment.
func (c *Client) SetView(view *catalog.View) {
	first := !c.history.started()
	c.history.SetView(time.Now(), view)
	if first && c.history.started() {
		go c.inheritPast()
	}
}

// inheritPast asks other members, after the first view, which origins streams can have had
// before it.
func (c *Client) inheritPast() {
	ctx, cancel := context.WithTimeout(context.Background(), pastTimeout)
	defer cancel()
	for told := false; !told && ctx.Err() == nil; {
		for _, k := range c.currentKeepers() {
			var p past
			if k.Conn != nil && k.Conn.Call(ctx, MethodPast, struct{}{}, &p) == nil {
				c.history.inherit(time.Now(), p)
				told = true
			}
		}
		if !told {
			// The members may not be connected yet.
			sleep.For(ctx, pastInterval)
		}
	}
}

// Stats returns the figures of what is held.
func (c *Client) Stats() Stats { return c.table.Stats() }

// Began records that the attempts began, or went on with, a stream of the origin, and tells
// other members. If there is something to look at again, it does so later and tells them what
// came of it.
func (c *Client) Began(o Origin, p Proof, lifetime time.Duration, attempts ...string) {
	c.record(o, p, time.Now().Add(min(lifetime, MaxLifetime)), attempts)
	if p.IsZero() {
		return
	}
	go c.settle(o, p, min(lifetime, MaxLifetime), attempts)
}

// settle finds out whether to believe the origin of a stream that this process has begun. As
// long as the view is not sure to have the entry, others are left with the Proof.
func (c *Client) settle(o Origin, p Proof, lifetime time.Duration, attempts []string) {
	ctx, cancel := context.WithTimeout(context.Background(), lifetime)
	defer cancel()
	// Nobody waits for it: the next answer to a watch will do, without a call.
	for entered := p.Opened.Add(settleTime); c.cfg.AsOf().Before(entered); {
		if !sleep.For(ctx, settleTime) {
			return
		}
	}
	o.Unclear = o.Unclear || !p.Holds(c.cfg.View(), o)
	c.record(o, Proof{}, time.Now().Add(lifetime), attempts)
}

// record records where attempts began, and has other members told.
func (c *Client) record(o Origin, p Proof, until time.Time, attempts []string) {
	now := time.Now()
	for _, attempt := range attempts {
		s := StreamOf(attempt)
		c.table.Add(now, s, Record{Origin: o, Proof: p, Learned: now, Until: until})
		c.outbox.add(began{s, o, p, until})
	}
}

// learn records what another member told.
func (c *Client) learn(now time.Time, groups []told, from string) {
	for i := range groups {
		g := &groups[i]
		r := Record{Origin: g.Origin, Proof: g.Proof.proof(now), Learned: now, From: from, Until: now.Add(min(g.Left, MaxLifetime))}
		g.each(func(s Stream) { c.table.Add(now, s, r) })
	}
}

// Greet tells a member that has just connected of the streams that it is to hold: one that
// has restarted has lost them.
func (c *Client) Greet(conn *peer.Conn) {
	now := time.Now()
	name := conn.Peer().Process.Name
	members := c.holderNames(name)
	var batch batch
	left := maxGreeted
	c.table.Latest(now, func(s Stream, r Record) bool {
		for _, holder := range firstHolders(s, members, copies) {
			if holder == name {
				batch.add(began{s, r.Origin, r.Proof, r.Until})
				left--
			}
		}
		return left > 0
	})
	c.send(now, conn, &batch)
}

// holderNames returns the names of the members that hold streams, and the one given.
func (c *Client) holderNames(also string) []string {
	names := []string{also}
	for _, k := range c.currentKeepers() {
		if k.Name != also && !k.Leaving {
			names = append(names, k.Name)
		}
	}
	return names
}

// currentKeepers returns the other members that hold knowledge.
func (c *Client) currentKeepers() []fleet.Keeper {
	if c.cfg.Fleet == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.keepersAt) > keepersTTL {
		c.keepers, c.keepersAt = c.cfg.Fleet.Keepers(), now
		if len(c.keepers) > 0 {
			c.othersAt = now
		}
	}
	return c.keepers
}

// missesOthers reports whether this process reaches no other member, and reached one lately:
// it may be cut off from all of them.
func (c *Client) missesOthers() bool {
	alone := len(c.currentKeepers()) == 0
	c.mu.Lock()
	defer c.mu.Unlock()
	return alone && !c.othersAt.IsZero() && time.Since(c.othersAt) < missedPeriod
}

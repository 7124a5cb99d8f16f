// Package order gives orders to the engine beside an agent: which models to
// load and, later, which to drop. The agent is the engine's only giver of
// orders, and gives one at a time.
//
// A giver may be stopped and woken, and give an order that it decided on long
// ago, when a successor has taken its place. Engines that check fencing numbers
// refuse it, because the successor's numbers are higher. For engines that do
// not check, the giver's own guards remain: an order is given only within a
// second of its decision, judged immediately before it is written; after a pause
// nothing is decided before a newer bundle has had time to arrive and the
// engine's state has been read anew; and a giver whose VM leaves gives none.
//
// What these cannot prevent, on an engine that does not check, is an order that
// is stopped between the last check and the wire, and one of a predecessor that
// runs on, cut off from all peers and the platform, beside its successor. Such
// an order can load a model that is no longer wanted, which stays, because a
// giver drops only what a bundle known to it has dropped. It can drop a model
// only if a bundle known to that predecessor dropped it; if a newer one names
// the model again, the successor loads it after its next look. No request is
// lost by either, since an engine refuses a call for a model it lacks.
//
// Loads of the whole fleet share the weight store. Each engine has a slot of
// time of its own, so that their sum keeps to the bundle's pace without a word
// between the givers; see pace.
package order

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/endpoint"
)

const (
	// TickInterval is how often the shell calls Core.Tick.
	TickInterval = 100 * time.Millisecond
	// pauseLimit is the longest gap between events of a process that was
	// running, and the longest life of a decision.
	pauseLimit = time.Second
	// lookLife is how long a look at the engine's state is good for.
	lookLife = 3 * time.Second
	// loadPatience is how long an accepted load may take to show.
	loadPatience = 2 * time.Minute
	// retryAfter is the wait after an order that failed or may have been lost.
	retryAfter = 2 * time.Second
	// unloadAfter is how long a model is kept that the bundle no longer names:
	// requests keep the bundle that they began with.
	unloadAfter = 30 * time.Second
	// wakeWait is how long nothing is decided after a pause. A giver that wakes
	// still holds the bundle from before and would load what a newer one has
	// dropped; within this time a process that reaches any peer has the newer.
	wakeWait = 5 * time.Second
)

// CoreConfig is what a Core is made of.
type CoreConfig struct {
	Endpoint string
	Pool     string
	// Giver is the name and incarnation of this process.
	Giver string
	// Start is when this process began.
	Start time.Time
}

// Give asks the shell to give an order, after Core.Commit.
type Give struct {
	Order endpoint.Order
	// Reason says why, for logs.
	Reason string
}

// The reasons for orders.
const (
	reasonLoad   = "the bundle names the model and the engine lacks it"
	reasonUnload = "the bundle has dropped the model"
)

// Core decides on orders; it does no I/O.
type Core struct {
	cfg CoreConfig

	mu      sync.Mutex
	version uint64
	// named: the bundle in force has the pool; wanted are its models.
	named  bool
	wanted []string
	// dropped are the models that a bundle named and a later one did not. No
	// others are ever unloaded.
	dropped  map[string]bool
	draining bool
	leaving  bool
	orders   uint64
	pace     pace
	// lastTurn is the slot of the latest load.
	lastTurn time.Time

	lastEvent time.Time
	look      look
	// unwanted is since when a loaded model has not been wanted.
	unwanted map[string]time.Time
	// loading is when an accepted load began.
	loading map[string]time.Time

	pending   *endpoint.Order
	pendingAt time.Time
	waitUntil time.Time
	// superseded is the version under which an engine knew a later giver.
	superseded uint64
}

// look is the engine's state at one time.
type look struct {
	at     time.Time
	models []string
}

// NewCore returns a core that gives no orders before a bundle and a look.
func NewCore(cfg CoreConfig) *Core {
	return &Core{
		cfg:      cfg,
		dropped:  make(map[string]bool),
		unwanted: make(map[string]time.Time),
		loading:  make(map[string]time.Time),
	}
}

// Bundle takes the bundle in force.
func (c *Core) Bundle(b *bundle.Bundle) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.Version <= c.version {
		return
	}
	c.version = b.Version
	pool := b.Pool(c.cfg.Pool)
	c.named = pool != nil
	if pool == nil {
		return
	}
	for _, model := range c.wanted {
		c.dropped[model] = true
	}
	for _, model := range pool.Models {
		delete(c.dropped, model)
	}
	c.wanted = pool.Models
	c.pace = paceOf(b, c.cfg.Pool, c.cfg.Endpoint)
}

// Active tells whether there may be an order under the bundle in force.
func (c *Core) Active() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.named && len(c.wanted)+len(c.dropped) > 0
}

// SetLeaving notes whether the platform lists the own VM as leaving. Its
// successor at the engine gives the orders then.
func (c *Core) SetLeaving(leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = leaving
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Drain ends the giving of orders.
func (c *Core) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// Look takes the engine's state; asked is when it was asked for.
func (c *Core) Look(asked, now time.Time, h endpoint.Health) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.observe(now) || now.Sub(asked) > pauseLimit || !h.Up {
		return
	}
	c.look = look{at: now, models: h.Models}
	for _, model := range h.Models {
		delete(c.loading, model)
		if _, known := c.unwanted[model]; c.dropped[model] && !known {
			c.unwanted[model] = now
		}
	}
	for model := range c.unwanted {
		if !c.dropped[model] || !slices.Contains(h.Models, model) {
			delete(c.unwanted, model)
		}
	}
	for model := range c.dropped {
		if _, loading := c.loading[model]; !loading && !slices.Contains(h.Models, model) {
			delete(c.dropped, model)
		}
	}
}

// observe notes an event and tells whether the process was stopped before it.
// All that was seen and decided before a pause is dropped.
func (c *Core) observe(now time.Time) bool {
	last := c.lastEvent
	c.lastEvent = later(last, now)
	if last.IsZero() || elapsed(last, now) <= pauseLimit {
		return false
	}
	c.look = look{}
	c.pending = nil
	c.waitUntil = later(c.waitUntil, now.Add(wakeWait))
	return true
}

// elapsed is the larger of the monotonic and the wall clock's difference; the
// monotonic clock of a suspended VM may stand still.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Tick returns the order to give, if any. Another follows only after Done.
func (c *Core) Tick(now time.Time) (Give, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.observe(now) || !c.ready(now) {
		return Give{}, false
	}
	kind, model, reason := c.choose(now)
	if kind == "" {
		return Give{}, false
	}
	c.orders++
	c.pending = &endpoint.Order{
		Fence: fence(c.version, c.cfg.Start, c.orders),
		Kind:  kind,
		Model: model,
		Giver: c.cfg.Giver,
	}
	c.pendingAt = now
	return Give{Order: *c.pending, Reason: reason}, true
}

func (c *Core) ready(now time.Time) bool {
	switch {
	case c.draining || c.leaving || !c.named || c.pending != nil:
		return false
	case c.look.at.IsZero() || now.Sub(c.look.at) > lookLife:
		return false
	case c.superseded >= c.version:
		// A later giver has spoken to the engine under this version. Going
		// beyond its number would be to overtake it with old beliefs.
		return false
	default:
		return !now.Before(c.waitUntil)
	}
}

// choose loads what is missing before it drops anything.
func (c *Core) choose(now time.Time) (kind endpoint.OrderKind, model, reason string) {
	missing := false
	for _, model := range c.wanted {
		if slices.Contains(c.look.models, model) {
			continue
		}
		missing = true
		began, loading := c.loading[model]
		if loading && now.Sub(began) < loadPatience {
			continue
		}
		turn, open := c.pace.turn(now)
		if !open || turn.Equal(c.lastTurn) {
			return "", "", ""
		}
		return endpoint.OrderLoad, model, reasonLoad
	}
	if missing {
		return "", "", ""
	}
	for _, model := range c.look.models {
		since, unwanted := c.unwanted[model]
		if unwanted && now.Sub(since) >= unloadAfter {
			return endpoint.OrderUnload, model, reasonUnload
		}
	}
	return "", "", ""
}

// Commit is the last check, immediately before an order is written.
func (c *Core) Commit(now time.Time, o endpoint.Order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(now)
	if c.pending == nil || c.pending.Fence != o.Fence {
		return false
	}
	current := o.Fence>>versionShift == c.version
	if c.draining || c.leaving || !current || elapsed(c.pendingAt, now) > pauseLimit {
		c.pending = nil
		return false
	}
	if o.Kind == endpoint.OrderLoad {
		c.lastTurn, _ = c.pace.turn(c.pendingAt)
	}
	return true
}

// Done takes the outcome of an order that was given. An order that may have
// been lost is given again with a higher number if it still shows as needed;
// to load or drop a model twice does no more than once.
func (c *Core) Done(now time.Time, o endpoint.Order, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(now)
	if c.pending != nil && c.pending.Fence == o.Fence {
		c.pending = nil
	}
	// The look that led to the order says nothing of its effect.
	c.look = look{}
	var stale *endpoint.StaleFenceError
	switch {
	case err == nil && o.Kind == endpoint.OrderLoad:
		c.loading[o.Model] = now
	case err == nil:
	case errors.As(err, &stale):
		c.superseded = max(c.superseded, stale.Highest>>versionShift)
	default:
		c.waitUntil = now.Add(retryAfter)
	}
}

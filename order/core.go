// Package order sends orders to the engine beside an agent: which models to
// load and which to unload. Only the agent's controller sends orders to the
// engine, one at a time.
//
// A controller may be paused and, when it resumes, send an order that it
// decided on long before, although a successor has replaced it in the meantime.
// Engines that check fencing numbers refuse such an order, because the
// successor's numbers are higher. For engines that do not check them, the
// controller has safeguards of its own: an order is sent only within a second
// of its decision, which is checked immediately before the order is written;
// after a pause nothing is decided before a newer bundle has had time to arrive
// and the engine's state has been read again; and a controller whose VM is
// leaving sends no orders.
//
// On an engine that does not check fencing numbers, two cases remain: an order
// that is delayed between the last check and the wire, and an order of a
// predecessor that keeps running beside its successor, cut off from all peers
// and the platform. Such an order can load a model that is no longer wanted,
// and the model stays loaded, because a controller unloads only what a bundle
// known to it has dropped. It can unload a model only if a bundle known to that
// predecessor dropped it; if a newer bundle names the model again, the
// successor loads it after it has next read the engine's state. Neither case
// loses a request, since an engine refuses calls for a model that it does not
// have.
//
// Model loads of the whole fleet share the weight store. Each engine has a time
// slot of its own, so that the total rate stays within the bundle's limit
// without communication between the controllers; see pace.
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
	// TickInterval is how often Core.Tick must be called.
	TickInterval = 100 * time.Millisecond
	// pauseThreshold is the longest gap between two events of a process that
	// was not paused. It is also the longest time from a decision to its order,
	// and from a request for the engine's state to the answer.
	pauseThreshold = time.Second
	// stateMaxAge is how long decisions may be based on one reading of the
	// engine's state.
	stateMaxAge = 3 * time.Second
	// loadTimeout is how long an accepted load may take to show in the engine's
	// state before it is ordered again.
	loadTimeout = 2 * time.Minute
	// retryDelay is the wait after an order that failed or may have been lost.
	retryDelay = 2 * time.Second
	// unloadDelay is how long a model stays loaded that the bundle no longer
	// names, because requests keep the bundle with which they began.
	unloadDelay = 30 * time.Second
	// resumeDelay is how long nothing is decided after a pause. A controller
	// that resumes still holds the bundle from before the pause and would load
	// what a newer one has dropped; within this time a process that reaches any
	// peer receives the newer one.
	resumeDelay = 5 * time.Second
)

// CoreConfig configures a Core.
type CoreConfig struct {
	Endpoint string
	Pool     string
	// Controller is the name and incarnation of this process, which each order
	// carries.
	Controller string
	// Start is when this process began. Fencing numbers grow with it.
	Start time.Time
}

// Decision is an order to be sent, once Core.Commit has approved it.
type Decision struct {
	Order endpoint.Order
	// Reason is why the order is needed, for logs.
	Reason string
}

// The reasons for orders.
const (
	reasonLoad   = "the bundle names the model and the engine lacks it"
	reasonUnload = "the bundle has dropped the model"
)

// Core decides which orders to send. It does no I/O.
type Core struct {
	cfg CoreConfig

	mu sync.Mutex
	// version is the version of the bundle in force.
	version uint64
	// hasPool is true if the bundle in force has the pool. wanted are the
	// models that the latest bundle with the pool names for it.
	hasPool bool
	wanted  []string
	// dropped holds the models that a bundle named and a later one did not,
	// until the engine no longer has them. No other models are ever unloaded.
	dropped map[string]bool
	// draining is true once no more orders may be sent.
	draining bool
	// leaving is true while the platform lists this process's VM as leaving.
	leaving bool
	// orders is the number of orders decided on.
	orders uint64
	pace   pace
	// lastLoadSlot is the start of the slot of the latest load.
	lastLoadSlot time.Time

	// lastEvent is the latest time passed to any method that takes one.
	lastEvent   time.Time
	engineState engineState
	// unwantedSince maps each loaded model that has been dropped to the time
	// when that was first seen.
	unwantedSince map[string]time.Time
	// loadingSince maps each model whose load was accepted, but that is not
	// loaded yet, to the time of acceptance.
	loadingSince map[string]time.Time

	// pending is the order decided on, from Tick to Done; nil if there is none.
	pending *endpoint.Order
	// pendingAt is when pending was decided on.
	pendingAt time.Time
	// waitUntil is the time before which nothing is decided.
	waitUntil time.Time
	// supersededVersion is the bundle version of the highest fencing number
	// that the engine reported when it refused an order; a later controller has
	// sent orders under it.
	supersededVersion uint64
}

// engineState is the state of the engine as read at one time.
type engineState struct {
	at     time.Time
	models []string
}

// NewCore returns a core that decides nothing before it has a bundle and the
// engine's state.
func NewCore(cfg CoreConfig) *Core {
	return &Core{
		cfg:           cfg,
		dropped:       make(map[string]bool),
		unwantedSince: make(map[string]time.Time),
		loadingSince:  make(map[string]time.Time),
	}
}

// Bundle applies the bundle in force. A bundle that is not newer is ignored.
func (c *Core) Bundle(b *bundle.Bundle) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.Version <= c.version {
		return
	}
	c.version = b.Version
	pool := b.Pool(c.cfg.Pool)
	c.hasPool = pool != nil
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
	c.pace = newPace(b, c.cfg.Pool, c.cfg.Endpoint)
}

// Active tells whether the bundle in force may require orders.
func (c *Core) Active() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasPool && len(c.wanted)+len(c.dropped) > 0
}

// SetLeaving records whether the platform lists this process's VM as leaving.
// While it does, only the engine's next agent sends orders.
func (c *Core) SetLeaving(leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = leaving
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Drain stops the core for good: it decides on no more orders and commits none.
func (c *Core) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// RecordState records the engine's state, which was requested at requestedAt.
// It is ignored after a pause, if the answer took longer than pauseThreshold,
// or if the engine is not up.
func (c *Core) RecordState(requestedAt, now time.Time, h endpoint.Health) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.detectPause(now) || now.Sub(requestedAt) > pauseThreshold || !h.Up {
		return
	}
	c.engineState = engineState{at: now, models: h.Models}
	for _, model := range h.Models {
		delete(c.loadingSince, model)
		if _, known := c.unwantedSince[model]; c.dropped[model] && !known {
			c.unwantedSince[model] = now
		}
	}
	for model := range c.unwantedSince {
		if !c.dropped[model] || !slices.Contains(h.Models, model) {
			delete(c.unwantedSince, model)
		}
	}
	for model := range c.dropped {
		if _, loading := c.loadingSince[model]; !loading && !slices.Contains(h.Models, model) {
			delete(c.dropped, model)
		}
	}
}

// detectPause records an event and tells whether the process was paused before
// it. After a pause, the engine's state and the pending order are dropped.
func (c *Core) detectPause(now time.Time) bool {
	last := c.lastEvent
	c.lastEvent = latest(last, now)
	if last.IsZero() || elapsed(last, now) <= pauseThreshold {
		return false
	}
	c.engineState = engineState{}
	c.pending = nil
	c.waitUntil = latest(c.waitUntil, now.Add(resumeDelay))
	return true
}

// elapsed returns the larger of the differences by the monotonic clock and by
// the wall clock, because the monotonic clock of a suspended VM may stand
// still.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Tick returns the order to send, if there is one. The next follows only after
// Done.
func (c *Core) Tick(now time.Time) (Decision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.detectPause(now) || !c.ready(now) {
		return Decision{}, false
	}
	kind, model, reason := c.choose(now)
	if kind == "" {
		return Decision{}, false
	}
	c.orders++
	c.pending = &endpoint.Order{
		Fence:      fence(c.version, c.cfg.Start, c.orders),
		Kind:       kind,
		Model:      model,
		Controller: c.cfg.Controller,
	}
	c.pendingAt = now
	return Decision{Order: *c.pending, Reason: reason}, true
}

// ready tells whether an order may be decided on now.
func (c *Core) ready(now time.Time) bool {
	switch {
	case c.draining || c.leaving || !c.hasPool || c.pending != nil:
		return false
	case c.engineState.at.IsZero() || now.Sub(c.engineState.at) > stateMaxAge:
		return false
	case c.supersededVersion >= c.version:
		// A later controller has sent the engine an order under this version. A
		// higher number would overtake it with older information.
		return false
	default:
		return !now.Before(c.waitUntil)
	}
}

// choose returns the next order needed: loads of missing models come before any
// unload.
func (c *Core) choose(now time.Time) (kind endpoint.OrderKind, model, reason string) {
	missing := false
	for _, model := range c.wanted {
		if slices.Contains(c.engineState.models, model) {
			continue
		}
		missing = true
		began, loading := c.loadingSince[model]
		if loading && now.Sub(began) < loadTimeout {
			continue
		}
		slot, open := c.pace.currentSlot(now)
		if !open || slot.Equal(c.lastLoadSlot) {
			return "", "", ""
		}
		return endpoint.OrderLoad, model, reasonLoad
	}
	if missing {
		return "", "", ""
	}
	for _, model := range c.engineState.models {
		since, unwanted := c.unwantedSince[model]
		if unwanted && now.Sub(since) >= unloadDelay {
			return endpoint.OrderUnload, model, reasonUnload
		}
	}
	return "", "", ""
}

// Commit makes the last check immediately before an order is written, and tells
// whether it may be sent.
func (c *Core) Commit(now time.Time, o endpoint.Order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detectPause(now)
	if c.pending == nil || c.pending.Fence != o.Fence {
		return false
	}
	current := o.Fence>>versionShift == c.version
	if c.draining || c.leaving || !current || elapsed(c.pendingAt, now) > pauseThreshold {
		c.pending = nil
		return false
	}
	if o.Kind == endpoint.OrderLoad {
		c.lastLoadSlot, _ = c.pace.currentSlot(c.pendingAt)
	}
	return true
}

// Done records the outcome of an order that was sent. An order that may have
// been lost is sent again with a higher number if the engine's state still
// requires it; loading or unloading a model twice has no further effect.
func (c *Core) Done(now time.Time, o endpoint.Order, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detectPause(now)
	if c.pending != nil && c.pending.Fence == o.Fence {
		c.pending = nil
	}
	// The state that led to the order does not show its effect.
	c.engineState = engineState{}
	var stale *endpoint.StaleFenceError
	switch {
	case err == nil && o.Kind == endpoint.OrderLoad:
		c.loadingSince[o.Model] = now
	case err == nil:
	case errors.As(err, &stale):
		c.supersededVersion = max(c.supersededVersion, stale.Highest>>versionShift)
	default:
		c.waitUntil = now.Add(retryDelay)
	}
}

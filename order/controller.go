package order

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/internal/sleep"
)

const (
	// pollInterval is how often the engine's state is read.
	pollInterval = time.Second
	// orderTimeout and pollTimeout bound one call to the engine.
	orderTimeout = 5 * time.Second
	pollTimeout  = 500 * time.Millisecond
)

// Event names of the log lines.
const (
	logPlacement = "placement"
	logOrder     = "order"
	logOrderHeld = "order_held"
)

var (
	errs        = errorx.NewNamespace("order")
	errOutdated = errs.NewType("held")
)

// Engine is what a controller needs of an engine's client.
type Engine interface {
	endpoint.Orderer
	Health(ctx context.Context) (endpoint.Health, error)
}

// Config configures a controller and its Core.
type Config struct {
	Core   CoreConfig
	Engine Engine
	Log    zerolog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Controller sends the orders that a Core decides on.
type Controller struct {
	cfg  Config
	core *Core
	stop context.CancelFunc
	ctx  context.Context
	wg   sync.WaitGroup
}

// New returns a controller that is idle until Start.
func New(cfg Config) *Controller {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Core.Start.IsZero() {
		cfg.Core.Start = cfg.Now()
	}
	g := &Controller{cfg: cfg, core: NewCore(cfg.Core)}
	g.ctx, g.stop = context.WithCancel(context.Background())
	return g
}

// ApplyBundle applies the bundle in force.
func (g *Controller) ApplyBundle(v *bundle.Verified) { g.core.Bundle(v.Bundle) }

// SetLeaving records whether the platform lists this process's VM as leaving.
func (g *Controller) SetLeaving(leaving bool) { g.core.SetLeaving(leaving) }

// Start begins to read the engine's state and to send orders.
func (g *Controller) Start() {
	g.wg.Add(2)
	go g.runEvery(pollInterval, g.poll)
	go g.runEvery(TickInterval, g.tick)
}

// Stop prevents further orders, cancels the one in progress and waits for it to
// end.
func (g *Controller) Stop() {
	g.core.Drain()
	g.stop()
	g.wg.Wait()
}

// runEvery calls fn once per interval until Stop.
func (g *Controller) runEvery(interval time.Duration, fn func()) {
	defer g.wg.Done()
	sleep.Every(g.ctx, interval, func(time.Time) { fn() })
}

// poll reads the engine's state if the bundle may require orders. A failed read
// is ignored; the state then expires after stateMaxAge.
func (g *Controller) poll() {
	if !g.core.Active() {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, pollTimeout)
	defer cancel()
	requestedAt := g.cfg.Now()
	h, err := g.cfg.Engine.Health(ctx)
	if err != nil {
		return
	}
	g.core.RecordState(requestedAt, g.cfg.Now(), h)
}

// tick sends an order in a goroutine of its own, so that a slow engine is not
// taken for a pause of this process.
func (g *Controller) tick() {
	dispatch, ok := g.core.Tick(g.cfg.Now())
	if !ok {
		return
	}
	g.withOrderFields(g.cfg.Log.Info(), &dispatch.Order).Str("event", logPlacement).Str("reason", dispatch.Reason).Msg("placement")
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		g.dispatch(dispatch.Order)
	}()
}

// dispatch sends the order if it is still valid, and records the outcome.
func (g *Controller) dispatch(o endpoint.Order) {
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
	defer cancel()
	if !g.core.Commit(g.cfg.Now(), o) {
		g.withOrderFields(g.cfg.Log.Warn(), &o).Str("event", logOrderHeld).Msg("order not sent: no longer valid")
		return
	}
	// The client calls the guard again once it has a connection to write to.
	ctx = endpoint.WithGuard(ctx, func() error {
		if !g.core.Commit(g.cfg.Now(), o) {
			return errOutdated.New("the order is out of date")
		}
		return nil
	})
	err := g.cfg.Engine.Order(ctx, o)
	g.core.Done(g.cfg.Now(), o, err)
	event := g.cfg.Log.Info()
	if err != nil {
		event = g.cfg.Log.Warn().Err(err)
	}
	g.withOrderFields(event, &o).Str("event", logOrder).Msg("order")
}

func (g *Controller) withOrderFields(e *zerolog.Event, o *endpoint.Order) *zerolog.Event {
	return e.Str("endpoint", g.cfg.Core.Endpoint).
		Str("order", string(o.Kind)).
		Str("model", o.Model).
		Uint64("fence", o.Fence).
		Uint64("version", o.Fence>>versionShift)
}

package order

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/endpoint"
)

const (
	// lookInterval is how often the engine's state is read.
	lookInterval = time.Second
	orderTimeout = 5 * time.Second
	lookTimeout  = 500 * time.Millisecond
)

// Event names of the log lines.
const (
	logPlacement = "placement"
	logOrder     = "order"
	logHeld      = "order_held"
)

var (
	errs    = errorx.NewNamespace("order")
	errHeld = errs.NewType("held")
)

// Engine is what a Giver needs of an engine's client.
type Engine interface {
	endpoint.Orderer
	Health(ctx context.Context) (endpoint.Health, error)
}

// Config is what a Giver is made of.
type Config struct {
	Core   CoreConfig
	Engine Engine
	Log    zerolog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Giver carries out the decisions of a Core.
type Giver struct {
	cfg  Config
	core *Core
	stop context.CancelFunc
	ctx  context.Context
	wg   sync.WaitGroup
}

// New returns a giver that is idle until Start.
func New(cfg Config) *Giver {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Core.Start.IsZero() {
		cfg.Core.Start = cfg.Now()
	}
	g := &Giver{cfg: cfg, core: NewCore(cfg.Core)}
	g.ctx, g.stop = context.WithCancel(context.Background())
	return g
}

// ApplyBundle takes the bundle in force.
func (g *Giver) ApplyBundle(v *bundle.Verified) { g.core.Bundle(v.Bundle) }

// SetLeaving notes whether the platform lists the own VM as leaving.
func (g *Giver) SetLeaving(leaving bool) { g.core.SetLeaving(leaving) }

// Start begins to look at the engine and to give orders.
func (g *Giver) Start() {
	g.wg.Add(2)
	go g.every(lookInterval, g.look)
	go g.every(TickInterval, g.tick)
}

// Stop gives no further order and waits for the one under way.
func (g *Giver) Stop() {
	g.core.Drain()
	g.stop()
	g.wg.Wait()
}

func (g *Giver) every(interval time.Duration, fn func()) {
	defer g.wg.Done()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
			fn()
		}
	}
}

func (g *Giver) look() {
	if !g.core.Active() {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, lookTimeout)
	defer cancel()
	asked := g.cfg.Now()
	h, err := g.cfg.Engine.Health(ctx)
	if err != nil {
		return
	}
	g.core.Look(asked, g.cfg.Now(), h)
}

// tick gives an order in a goroutine of its own: a slow engine must not look
// like a pause of this process.
func (g *Giver) tick() {
	give, ok := g.core.Tick(g.cfg.Now())
	if !ok {
		return
	}
	g.event(g.cfg.Log.Info(), &give.Order).Str("event", logPlacement).Str("reason", give.Reason).Msg("placement")
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		g.give(give.Order)
	}()
}

func (g *Giver) give(o endpoint.Order) {
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
	defer cancel()
	if !g.core.Commit(g.cfg.Now(), o) {
		g.event(g.cfg.Log.Warn(), &o).Str("event", logHeld).Msg("order held back")
		return
	}
	// The client asks once more when it has a connection to write to.
	ctx = endpoint.WithGuard(ctx, func() error {
		if !g.core.Commit(g.cfg.Now(), o) {
			return errHeld.New("the order is out of date")
		}
		return nil
	})
	err := g.cfg.Engine.Order(ctx, o)
	g.core.Done(g.cfg.Now(), o, err)
	event := g.cfg.Log.Info()
	if err != nil {
		event = g.cfg.Log.Warn().Err(err)
	}
	g.event(event, &o).Str("event", logOrder).Msg("order")
}

func (g *Giver) event(e *zerolog.Event, o *endpoint.Order) *zerolog.Event {
	return e.Str("endpoint", g.cfg.Core.Endpoint).
		Str("order", string(o.Kind)).
		Str("model", o.Model).
		Uint64("fence", o.Fence).
		Uint64("version", o.Fence>>versionShift)
}

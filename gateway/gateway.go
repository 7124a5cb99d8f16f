package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/balance"
	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/internal/keepalive"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/retry"
	"github.com/mangostage/mangostage/scheduler"
	"github.com/mangostage/mangostage/warm"
)

const (
	// slackShare is the part of the fleet's slack for repeated sends that is
	// used; the rest is for members that are not seen.
	slackShare = 0.7
	// ratioShare is the same for the ratio.
	ratioShare = 0.8
	// notReadyRetry is when a client may come back to a process that does not
	// know the configuration yet.
	notReadyRetry = 500 * time.Millisecond
)

// Config is what a Gateway is made of.
type Config struct {
	Domain string
	Bounds platform.Bounds
	// View returns the present view of the deployment.
	View func() *catalog.View
	// Current returns the view that has what changed during a pause of the
	// process, and may take a moment for that; nil means View.
	Current func() *catalog.View
	// FleetSize returns the number of live gateways, this one included.
	FleetSize func() int
	Scheduler *scheduler.Client
	Transport *Transport
	Log       zerolog.Logger
	Metrics   *Metrics
	// OthersStay tells whether another gateway is live and not leaving.
	OthersStay func() bool
	// TellCrashes passes on crashes that this process saw; nil if there is
	// nobody to tell.
	TellCrashes func([]Crash)
}

// Gateway is the handler of client requests.
type Gateway struct {
	cfg     Config
	balance *balance.Balancer
	repeats *retry.Window
	ages    *ages
	crashes *crashes
	paces   *paces
	planned *planned
	// fleet remembers how many members there are, for the parts of what cold
	// endpoints bear; fleetMu guards it.
	fleetMu sync.Mutex
	fleet   warm.Fleet
	// inFlight is the number of requests that have no whole answer yet.
	inFlight atomic.Int64
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	if cfg.Current == nil {
		cfg.Current = cfg.View
	}
	return &Gateway{
		cfg:     cfg,
		balance: balance.New(cfg.Domain),
		ages:    newAges(),
		crashes: newCrashes(),
		paces:   newPaces(),
		planned: newPlanned(),
		repeats: retry.NewWindow(cfg.Bounds.RetryWindow, cfg.Bounds.RetryRatio*ratioShare),
	}
}

// SetView passes on a new view.
func (g *Gateway) SetView(view *catalog.View) {
	g.balance.Forget(view)
	g.cfg.Transport.SetView(view)
	g.findCrashes(view)
}

// findCrashes looks for endpoints that have ended under requests.
func (g *Gateway) findCrashes(view *catalog.View) {
	found := g.crashes.gone(time.Now(), view)
	for _, c := range found {
		g.cfg.Log.Warn().Str("event", logCrashed).Uint64("content", c.Content).Str("endpoint", c.Endpoint).
			Msg("an endpoint crashed under a request with this content")
	}
	if len(found) > 0 && g.cfg.TellCrashes != nil {
		g.cfg.TellCrashes(found)
	}
}

// HeardCrash takes a crash that another gateway saw; it tells whether it is news.
func (g *Gateway) HeardCrash(c Crash) bool { return g.crashes.heard(time.Now(), c) }

// Endpoints tells what the process believes of the endpoints of plain services.
func (g *Gateway) Endpoints() []balance.Stats { return g.balance.Stats(time.Now()) }

// ServeHTTP serves one request of a client.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	earlier := keepalive.Earlier(r.Context())
	req, p := g.admit(r)
	if g.planned.stopping() {
		w.Header().Set("Connection", "close")
	}
	if p == nil {
		defer req.cancel()
		p = g.takeWhileStopping(req, earlier)
	}
	if p == nil {
		p = g.readBody(w, req)
	}
	if p == nil {
		p = g.screen(req)
	}
	if p == nil {
		p = g.serve(w, req)
	}
	if p != nil {
		g.refuse(w, req, p)
	}
}

// screen refuses content that has crashed endpoint after endpoint.
func (g *Gateway) screen(req *request) *problem {
	req.content = contentOf(req)
	if left, refused := g.crashes.refused(time.Now(), req.content); refused {
		return unavailable("crashes_endpoints", left)
	}
	return nil
}

// serve sends the request and relays the answer; it returns a problem if it
// has answered nothing.
func (g *Gateway) serve(w http.ResponseWriter, req *request) *problem {
	if req.service != nil && req.service.Model != nil {
		return g.serveModel(w, req)
	}
	return g.servePlain(w, req)
}

// slack is this process's share of the fleet's slack for repeated sends.
func (g *Gateway) slack() float64 {
	return float64(g.cfg.Bounds.RetrySlack) * slackShare / float64(max(1, g.cfg.FleetSize()))
}

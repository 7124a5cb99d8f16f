package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/balance"
	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/retry"
	"github.com/mangostage/mangostage/scheduler"
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
	// FleetSize returns the number of live gateways, this one included.
	FleetSize func() int
	Scheduler *scheduler.Client
	Transport *Transport
	Log       zerolog.Logger
	Metrics   *Metrics
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
	// leftAt is when the process began to stop; nil until then.
	leftAt atomic.Pointer[time.Time]
	// inFlight is the number of requests that have no whole answer yet.
	inFlight atomic.Int64
	// stopping ends with Stop: requests that still wait for their stages are
	// refused then, so that those that run can end within the grace.
	stopping context.Context
	stop     context.CancelFunc
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	stopping, stop := context.WithCancel(context.Background())
	return &Gateway{
		stopping: stopping,
		stop:     stop,
		cfg:      cfg,
		balance:  balance.New(cfg.Domain),
		ages:     newAges(),
		crashes:  newCrashes(),
		repeats:  retry.NewWindow(cfg.Bounds.RetryWindow, cfg.Bounds.RetryRatio*ratioShare),
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

// Leave makes the process unready and lets clients open new connections elsewhere.
func (g *Gateway) Leave() {
	now := time.Now()
	g.leftAt.Store(&now)
}

// InFlight is the number of requests that have no whole answer yet.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Stop refuses the requests that still wait for their stages.
func (g *Gateway) Stop() { g.stop() }

// Ready answers the balancer's question whether to send new connections here.
func (g *Gateway) Ready(w http.ResponseWriter, _ *http.Request) {
	if g.leftAt.Load() != nil || !g.cfg.View().Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ServeHTTP serves one request of a client.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	earlier := earlierRequests(r.Context())
	req, p := g.admit(r)
	if left := g.leftAt.Load(); left != nil {
		w.Header().Set("Connection", "close")
		g.logTakenLate(req, *left, earlier)
	}
	if p == nil {
		defer req.cancel()
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

// logTakenLate writes the line for a request that came after the process had
// begun to stop: how long after, and whether its connection was an old one.
func (g *Gateway) logTakenLate(req *request, left time.Time, earlier int64) {
	g.cfg.Log.Info().Str("event", logTakenLate).Str("request", req.ID).Str("route", routeName(req)).
		Dur("stopping_ms", req.arrived.Sub(left)).Int64("earlier_on_connection", earlier).
		Msg("request came while stopping")
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

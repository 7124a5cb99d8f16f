package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/balance"
	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/internal/clientconn"
	"github.com/mangostage/mangostage/origin"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/quarantine"
	"github.com/mangostage/mangostage/quota"
	"github.com/mangostage/mangostage/retry"
	"github.com/mangostage/mangostage/retryafter"
	"github.com/mangostage/mangostage/scheduler"
	"github.com/mangostage/mangostage/warm"
)

const (
	// retrySlackShare is the part of the fleet's retry slack that the visible gateways
	// share; the rest is left for gateways that this process does not see.
	retrySlackShare = 0.7
	// retryRatioShare is the part of the configured ratio of retries to first sends
	// that is used, for the same reason.
	retryRatioShare = 0.8
	// notReadyRetryAfter is the Retry-After of a process that has no configuration yet.
	notReadyRetryAfter = 500 * time.Millisecond
)

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	Domain string
	Bounds platform.Bounds
	// View returns the current view of the deployment.
	View func() *catalog.View
	// FreshView returns a view that includes the changes made while this process was
	// paused, and may block briefly to fetch them. It defaults to View.
	FreshView func() *catalog.View
	// FleetSize returns the number of live gateways, this one included.
	FleetSize func() int
	Scheduler *scheduler.Client
	// Signals gets what endpoints say about themselves in their answers.
	Signals scheduler.SignalObserver
	// Quotas has the tokens of endpoints that name a request rate.
	Quotas *quota.Client
	// Backoffs holds the endpoints that want no requests of this process for a while.
	Backoffs  *retryafter.Table
	Transport *Transport
	Log       zerolog.Logger
	Metrics   *Metrics
	// OthersAvailable reports whether another gateway is live and not shutting down.
	OthersAvailable func() bool
	// OthersStay reports whether more of the other live gateways stay than shut down.
	OthersStay func() bool
	// Quarantine stops content that crashes endpoints.
	Quarantine *quarantine.Client
	// Origins knows where streams began.
	Origins *origin.Client
	// OnRefused, if set, is called with the Key of an endpoint that refuses a connection.
	OnRefused func(endpoint string)
}

// Gateway is the HTTP handler of client requests.
type Gateway struct {
	cfg               Config
	balance           *balance.Balancer
	retryBudget       *retry.Window
	ageEstimator      *ageEstimator
	durationEstimator *durationEstimator
	lifetimes         *lifetimes
	shutdown          *shutdown
	shares            *accountShares
	// fleet tracks the number of gateways, from which this process's share of the load
	// on cold endpoints follows; fleetMu guards it.
	fleetMu sync.Mutex
	fleet   warm.FleetSize
	// inFlight is the number of requests that have not been answered completely.
	inFlight atomic.Int64
}

// New returns a Gateway with the configuration.
func New(cfg Config) *Gateway {
	if cfg.FreshView == nil {
		cfg.FreshView = cfg.View
	}
	if cfg.OnRefused == nil {
		cfg.OnRefused = func(string) {}
	}
	return &Gateway{
		cfg:               cfg,
		balance:           balance.New(cfg.Domain),
		ageEstimator:      newAgeEstimator(),
		durationEstimator: newDurationEstimator(),
		lifetimes:         newLifetimes(),
		shutdown:          newShutdown(),
		shares:            newAccountShares(),
		retryBudget:       retry.NewWindow(cfg.Bounds.RetryWindow, cfg.Bounds.RetryRatio*retryRatioShare),
	}
}

// SetView passes a new view to the components that keep state per endpoint.
func (g *Gateway) SetView(view *catalog.View) {
	g.balance.Forget(view)
	g.shares.forget(view)
	g.cfg.Quotas.SetView(view)
	g.cfg.Backoffs.Expire(time.Now())
	g.cfg.Transport.SetView(view)
	g.cfg.Quarantine.SetView(view)
	g.cfg.Origins.SetView(view)
}

// EndpointStats returns the balancer's statistics of the endpoints that it sends to.
func (g *Gateway) EndpointStats() []balance.Stats { return g.balance.Stats(time.Now()) }

// ServeHTTP serves one request of a client.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	earlier := clientconn.EarlierRequests(r.Context())
	req, p := g.admit(r)
	if g.shutdown.stopping() {
		w.Header().Set("Connection", "close")
	}
	if p == nil {
		defer req.cancel()
		p = g.admitDuringShutdown(req, earlier)
	}
	if p == nil {
		p = g.readBody(w, req)
	}
	if p == nil {
		p = g.refuseQuarantined(req)
	}
	if p == nil {
		p = g.bindToOrigin(req)
	}
	if p == nil {
		defer req.endRun()
		p = g.serve(w, req)
	}
	if p != nil {
		g.refuse(w, req, p)
	}
}

// serve forwards the request and relays the answer. It returns a problem if nothing
// has been written to the client.
func (g *Gateway) serve(w http.ResponseWriter, req *request) *problem {
	if req.service != nil && req.service.Model != nil {
		return g.serveModel(w, req)
	}
	return g.servePlain(w, req)
}

// retrySlack is this process's share of the fleet's slack: the retries that are
// allowed beside those proportional to first sends.
func (g *Gateway) retrySlack() float64 {
	return float64(g.cfg.Bounds.RetrySlack) * retrySlackShare / float64(max(1, g.cfg.FleetSize()))
}

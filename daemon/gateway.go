package daemon

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/discovery"
	"github.com/mangostage/mangostage/fleet"
	"github.com/mangostage/mangostage/gateway"
	"github.com/mangostage/mangostage/internal/logsink"
	"github.com/mangostage/mangostage/kernel"
	"github.com/mangostage/mangostage/origin"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
	"github.com/mangostage/mangostage/quarantine"
	"github.com/mangostage/mangostage/quota"
	"github.com/mangostage/mangostage/retryafter"
	"github.com/mangostage/mangostage/scheduler"
	"github.com/mangostage/mangostage/settings"
)

const (
	// restShare is the part of the time for which leaving endpoints serve in which they may
	// be sent the rest of streams; the word that they leave takes some of it.
	restShare = 0.5
	// storeIdleTimeout is how long an idle connection to the store is kept between calls.
	storeIdleTimeout = 30 * time.Second
)

// Gateway is a running mangostage-gateway.
type Gateway struct {
	loaded     settings.LoadedGateway
	options    settings.Gateway
	log        zerolog.Logger
	sink       *logsink.Sink
	bus        *kernel.Bus
	follower   *discovery.Follower
	fleet      *fleet.Service
	scheduler  *scheduler.Scheduler
	quotas     *quota.Client
	backoffs   *retryafter.Table
	signals    *signals
	quarantine *quarantine.Client
	origins    *origin.Client
	gateway    *gateway.Gateway
	metrics    *gateway.Metrics
	frontend   *httpServer
	// auxServers serve readiness and metrics.
	auxServers []*httpServer
	// reloadSignals receives SIGHUP. It is registered before anything else starts,
	// because SIGHUP ends the process by default.
	reloadSignals chan os.Signal
	// grace is the time between SIGTERM and SIGKILL, in nanoseconds, by the newest settings.
	grace atomic.Int64
	// stop ends the goroutines of running.
	stop    context.CancelFunc
	running sync.WaitGroup
}

// StartGateway starts a gateway; options and loaded must have been checked. Log
// lines go to sink.
func StartGateway(options settings.Gateway, loaded settings.LoadedGateway, sink *logsink.Sink) (*Gateway, error) {
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	p := loaded.Platform
	log := zerolog.New(sink).Level(loaded.LogLevel).With().Timestamp().Str("process", p.Name).Logger()
	bus, err := kernel.NewBus(log)
	if err != nil {
		return nil, err
	}
	g := &Gateway{options: options, loaded: loaded, log: log, sink: sink, bus: bus, metrics: gateway.NewMetrics(), reloadSignals: reloadSignals}
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	g.grace.Store(int64(p.Bounds.Grace))
	boundHeap(p.MemoryBytes)
	g.assemble()
	g.runBus(ctx)
	if err := g.start(ctx); err != nil {
		stop()
		return nil, err
	}
	g.log.Info().Str("event", logStarted).Str("domain", p.Domain).Str("frontend", p.Frontend).
		Str("peer_address", p.Peer).Str("store", p.Store).Msg("listening")
	return g, nil
}

// assemble creates the components and connects them.
func (g *Gateway) assemble() {
	p := g.loaded.Platform
	mux := peer.NewMux()
	toStore, toEndpoints := storeTransport(), gateway.NewTransport()
	toEndpoints.MaxConns = maxEndpointConns(p)
	toEndpoints.OnStray = g.metrics.CountStray
	toEndpoints.BeforeRequest = func() { g.follower.CheckPause() }
	store := platform.NewStore(p.Store, &http.Client{Transport: toStore}, discovery.StoreTimeouts)
	stages := platform.NewStageClient(&http.Client{Transport: toEndpoints})
	g.fleet = fleet.New(g.fleetConfig(mux))
	g.quotas = quota.NewClient(quota.NewTable(g.quotaAllowance), g.fleet, g.log)
	g.follower = discovery.NewFollower(store, discovery.NewPeerRelay(g.fleet, g.log), p.Bounds.ConfigApply, g.log, g.publishView)
	g.follower.SetRestTime(time.Duration(restShare * float64(p.Bounds.Drain)))
	g.follower.OnWake(toStore.CloseIdleConnections)
	g.follower.OnWake(toEndpoints.CloseIdleConnections)
	g.backoffs = retryafter.NewTable()
	g.signals = newSignals(g.quotas, g.backoffs, g.follower, g.fleet, g.log)
	g.signals.departures.Serve(mux)
	g.signals.ends.Serve(mux)
	g.quarantine = quarantine.NewClient(quarantine.Config{
		Drain: p.Bounds.Drain, Fleet: g.fleet, CheckPause: g.follower.CheckPause, Log: g.log,
		OnCrashed: g.signals.ended,
	})
	g.follower.OnWake(g.quarantine.BeCautious)
	g.origins = origin.NewClient(origin.Config{
		Fleet: g.fleet, View: g.follower.View, SeenSince: g.follower.SeenSince, AsOf: g.follower.AsOf,
		Confirm: g.follower.Confirm, StoreSilent: g.follower.StoreSilent, Serves: toEndpoints.ServesSince, Log: g.log,
	})
	origin.Serve(mux, g.origins)
	g.scheduler = scheduler.New(p.Name, stages, g.quotas.Table(), g.backoffs, g.quarantine, g.signals, g.log)
	g.scheduler.SetCores(p.Cores)
	if g.options.QueueShares {
		g.scheduler.ShareAmongAccounts()
	}
	discovery.ServePeers(mux, g.follower)
	scheduler.Serve(mux, g.scheduler)
	quota.Serve(mux, g.quotas)
	g.gateway = gateway.New(g.gatewayConfig(toEndpoints))
	g.frontend = newHTTPServer(g.gateway, clientRoom(p), clientLimits(catalog.Limits{}))
	quarantine.Serve(mux, g.quarantine)
	kernel.Handle(g.bus, "scheduler", kernel.TopicView, func(kernel.ViewEvent) { g.scheduler.SetView(g.follower.View()) })
	kernel.Handle(g.bus, "gateway", kernel.TopicView, func(kernel.ViewEvent) { g.gateway.SetView(g.follower.View()) })
}

// fleetConfig returns the configuration of the fleet, whose calls mux serves.
func (g *Gateway) fleetConfig(mux *peer.Mux) fleet.Config {
	p := g.loaded.Platform
	return fleet.Config{
		Self:   fleet.Member{Name: p.Name, Addr: cmp.Or(g.options.Advertise, p.Peer), Domain: p.Domain, Cores: p.Cores},
		Listen: p.Peer,
		Seeds:  p.Seeds,
		Mux:    mux,
		Log:    g.log,

		MaxUnauthenticated: maxUnauthenticated(p),
		Store:              func() position.Knowledge { return g.follower.Knowledge() },

		StoreSteady: func() bool { return g.follower.Steady() },
		OnPromoted:  func(r fleet.Reach) { g.scheduler.BecomeOwner(r) },
		OnReach:     func(r fleet.Reach) { g.scheduler.SetReach(r) },
		OnDemoted:   func() { g.scheduler.HandOver() },
		OnPeer:      g.greet,
	}
}

// gatewayConfig returns the configuration of the gateway; the components that it names have
// been created.
func (g *Gateway) gatewayConfig(toEndpoints *gateway.Transport) gateway.Config {
	p := g.loaded.Platform
	return gateway.Config{
		Domain:          p.Domain,
		Bounds:          p.Bounds,
		View:            g.follower.View,
		FreshView:       g.follower.FreshView,
		FleetSize:       g.fleet.Size,
		OthersAvailable: g.fleet.OthersAvailable,
		OthersStay:      g.fleet.OthersStay,
		Scheduler:       scheduler.NewClient(g.scheduler, g.fleet, g.log),
		Signals:         g.signals,
		Quotas:          g.quotas,
		Backoffs:        g.backoffs,
		Transport:       toEndpoints,
		Log:             g.log,
		Metrics:         g.metrics,
		Quarantine:      g.quarantine,
		Origins:         g.origins,
		OnRefused:       g.signals.ended,
	}
}

// greet tells a member that has just connected what endpoints said about themselves, which content
// crashes them, and that this process makes calls for it.
func (g *Gateway) greet(conn *peer.Conn) {
	g.quotas.Greet(conn)
	g.signals.departures.Greet(conn)
	g.signals.ends.Greet(conn)
	g.quarantine.Greet(conn)
	g.origins.Greet(conn)
	g.scheduler.Offer(conn)
}

// quotaAllowance returns what this process may spend of the quotas of endpoints.
func (g *Gateway) quotaAllowance() quota.Allowance {
	share, since := g.fleet.Allowance()
	return quota.Allowance{Share: share, Since: since}
}

// storeTransport returns a transport for calls to the platform's store.
func storeTransport() *gateway.Transport {
	t := gateway.NewTransport()
	t.IdleConnTimeout = storeIdleTimeout
	return t
}

// publishView publishes a new view to the components that keep state per endpoint.
// Requests read the view directly from the follower, so that no request sees an
// older view than an earlier request.
func (g *Gateway) publishView(view *catalog.View) {
	if view.Index != nil {
		g.frontend.conns.SetLimits(clientLimits(view.Index.Config.Limits))
	}
	err := kernel.Publish(g.bus, kernel.TopicView, kernel.ViewEvent{Revision: view.Revision})
	if err != nil {
		g.log.Error().Str("event", logBusEnded).Err(err).Msg("failed to publish the view event")
	}
}

// runBus starts the event bus and waits until it runs.
func (g *Gateway) runBus(ctx context.Context) {
	g.running.Go(func() {
		if err := g.bus.Run(ctx); err != nil {
			g.log.Error().Str("event", logBusEnded).Err(err).Msg("event bus ended")
		}
	})
	<-g.bus.Running()
}

// start runs the components and opens the addresses, that of the clients last.
func (g *Gateway) start(ctx context.Context) error {
	p := g.loaded.Platform
	if err := g.fleet.Start(ctx); err != nil {
		return err
	}
	g.running.Go(func() { g.follower.Run(ctx) })
	g.running.Go(func() { g.scheduler.Run(ctx) })
	g.running.Go(func() { g.quarantine.Run(ctx) })
	g.running.Go(func() { g.origins.Run(ctx) })
	g.running.Go(func() { g.watchSettings(ctx) })
	ready := chi.NewRouter()
	ready.Get("/readyz", g.gateway.Ready)
	if err := g.serveAux(p.Ready, ready); err != nil {
		return err
	}
	if g.options.MetricsPort != 0 {
		metrics := chi.NewRouter()
		metrics.Get("/metrics", serveVars(g.vars()))
		if err := g.serveAux(net.JoinHostPort(p.IP, strconv.Itoa(g.options.MetricsPort)), metrics); err != nil {
			return err
		}
	}
	return g.frontend.listen(p.Frontend, g.log)
}

// serveAux serves handler on addr until the end of Stop.
func (g *Gateway) serveAux(addr string, handler http.Handler) error {
	server, err := serveHTTP(addr, handler, checksRoom, g.log)
	if err == nil {
		g.auxServers = append(g.auxServers, server)
	}
	return err
}

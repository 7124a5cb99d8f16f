package daemon

import (
	"cmp"
	"context"
	"expvar"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/discovery"
	"github.com/mangostage/mangostage/fleet"
	"github.com/mangostage/mangostage/gateway"
	"github.com/mangostage/mangostage/internal/keepalive"
	"github.com/mangostage/mangostage/internal/logsink"
	"github.com/mangostage/mangostage/internal/sleep"
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
	// maxBalancerWait is the longest time that a stopping gateway waits until the
	// balancer sends it no new connections: the balancer checks readiness once a
	// second and acts on the second failed check.
	maxBalancerWait = 2500 * time.Millisecond
	// inTransitWait is the time for connections to arrive that the balancer passed
	// on before it noticed: many times the network delay from the clients.
	inTransitWait = 100 * time.Millisecond
	// exitReserve is the part of the grace that is kept for the exit of the process;
	// finalAnswerTime is the part of exitReserve for the answers to requests that
	// are given up.
	exitReserve     = 700 * time.Millisecond
	finalAnswerTime = 200 * time.Millisecond
	// exitReserveDivisor limits the reserve of a short grace to grace/exitReserveDivisor.
	exitReserveDivisor = 6
	// idleCloseInterval is the interval at which a stopping gateway closes idle
	// connections, and so the time that a new connection has to send its request:
	// many times the network delay from the clients.
	idleCloseInterval = 50 * time.Millisecond
	// drainPollInterval is how often a stopping gateway checks whether it has drained.
	drainPollInterval = 10 * time.Millisecond
	// clientHeaderTimeout closes client connections that do not send their header.
	clientHeaderTimeout = 10 * time.Second
	// clientIdleTimeout is longer than any idle limit of the clients, so that the
	// gateway never closes a connection while a request is on its way.
	clientIdleTimeout = 90 * time.Second
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
	frontend   *http.Server
	// clientConns are the client connections of frontend.
	clientConns *keepalive.Conns
	// auxServers serve readiness and metrics.
	auxServers []*http.Server
	// reloadSignals receives SIGHUP. It is registered before anything else starts,
	// because SIGHUP ends the process by default.
	reloadSignals chan os.Signal
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
	toEndpoints.BeforeRequest = func() { g.follower.CheckPause() }
	store := platform.NewStore(p.Store, &http.Client{Transport: toStore}, discovery.StoreTimeouts)
	stages := platform.NewStageClient(&http.Client{Transport: toEndpoints})
	g.fleet = fleet.New(fleet.Config{
		Self:   fleet.Member{Name: p.Name, Addr: cmp.Or(g.options.Advertise, p.Peer), Domain: p.Domain, Cores: p.Cores},
		Listen: p.Peer,
		Seeds:  p.Seeds,
		Mux:    mux,
		Log:    g.log,
		Store:  func() position.Knowledge { return g.follower.Knowledge() },

		StoreSteady: func() bool { return g.follower.Steady() },
		OnPromoted:  func(r fleet.Reach) { g.scheduler.BecomeOwner(r) },
		OnReach:     func(r fleet.Reach) { g.scheduler.SetReach(r) },
		OnDemoted:   func() { g.scheduler.HandOver() },
		OnPeer:      g.greet,
	})
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
		Fleet: g.fleet, View: g.follower.View, SeenSince: g.follower.SeenSince, AsOf: g.follower.AsOf, Lag: g.follower.Lag, Log: g.log,
	})
	origin.Serve(mux, g.origins)
	g.scheduler = scheduler.New(p.Name, stages, g.quotas.Table(), g.backoffs, g.quarantine, g.signals, g.log)
	discovery.ServePeers(mux, g.follower)
	scheduler.Serve(mux, g.scheduler)
	quota.Serve(mux, g.quotas)
	g.gateway = gateway.New(gateway.Config{
		Domain:          p.Domain,
		Bounds:          p.Bounds,
		View:            g.follower.View,
		FreshView:       g.follower.FreshView,
		FleetSize:       g.fleet.Size,
		OthersAvailable: g.fleet.OthersAvailable,
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
	})
	quarantine.Serve(mux, g.quarantine)
	kernel.Handle(g.bus, "scheduler", kernel.TopicView, func(kernel.ViewEvent) { g.scheduler.SetView(g.follower.View()) })
	kernel.Handle(g.bus, "gateway", kernel.TopicView, func(kernel.ViewEvent) { g.gateway.SetView(g.follower.View()) })
}

// greet tells a member that has just connected what endpoints said about themselves, and
// which content crashes them.
func (g *Gateway) greet(conn *peer.Conn) {
	g.quotas.Greet(conn)
	g.signals.departures.Greet(conn)
	g.signals.ends.Greet(conn)
	g.quarantine.Greet(conn)
	g.origins.Greet(conn)
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

// storeReturns returns the counters of the store's returns from a copy.
func (g *Gateway) storeReturns() map[string]uint64 {
	returns, dropped := g.follower.StoreReturns()
	return map[string]uint64{"returns": returns, "items_dropped": dropped}
}

// publishView publishes a new view to the components that keep state per endpoint.
// Requests read the view directly from the follower, so that no request sees an
// older view than an earlier request.
func (g *Gateway) publishView(view *catalog.View) {
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
	return g.serveFrontend(p.Frontend)
}

// serveAux serves handler on addr until the end of Stop.
func (g *Gateway) serveAux(addr string, handler http.Handler) error {
	server, _, err := serveHTTP(addr, handler, g.log)
	if err == nil {
		g.auxServers = append(g.auxServers, server)
	}
	return err
}

// serveFrontend serves the clients on addr.
func (g *Gateway) serveFrontend(addr string) error {
	listener, err := listenHTTP(addr)
	if err != nil {
		return err
	}
	g.frontend = &http.Server{
		Handler:           g.gateway,
		ReadHeaderTimeout: clientHeaderTimeout,
		IdleTimeout:       clientIdleTimeout,
	}
	g.clientConns = keepalive.Attach(g.frontend)
	go serveOn(g.frontend, g.clientConns.Listener(listener), g.log)
	return nil
}

// watchSettings re-reads the platform's settings file on SIGHUP and logs whether
// it has changed. All values that the process uses are fixed while it runs, so a
// change is only logged and no request is cut.
func (g *Gateway) watchSettings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.reloadSignals:
			changed, findings := g.options.Changed(g.loaded)
			g.log.Info().Str("event", logSettingsRead).Bool("changed", changed).
				Err(findings.Err()).Msg("re-read the settings file")
		}
	}
}

// Stop drains the gateway: it makes the process unready and serves until the
// balancer has noticed and all requests in flight have ended, within the
// platform's grace.
//
// The gateway keeps listening until the end: if most gateways of a failure domain
// stop at once, the balancer still sends clients to them, and a request short
// enough to finish in time is better served than refused for want of a listener.
func (g *Gateway) Stop(ctx context.Context) error {
	began := time.Now()
	g.log.Info().Str("event", logDraining).Msg("stopping")
	end, last := stopTimes(ctx, began, g.loaded.Platform.Bounds.Grace)
	g.gateway.BeginShutdown(end)
	g.fleet.Leave()
	ctx, cancel := context.WithDeadline(ctx, last)
	defer cancel()
	g.awaitBalancer(ctx)
	g.gateway.OutOfRotation()
	// Idle connections are closed now, so that their clients send the next request
	// to a gateway that is not stopping.
	g.clientConns.CloseIdle()
	g.awaitDrained(ctx)
	err := g.shutdownFrontend(ctx)
	cut := g.gateway.InFlight()
	for _, server := range g.auxServers {
		_ = server.Close()
	}
	g.stop()
	// Peers that do not answer must not delay the exit of the process.
	go g.fleet.Close()
	g.log.Info().Str("event", logStopped).Dur("took_ms", time.Since(began)).Int64("cut", cut).Err(err).Msg("stopped")
	g.sink.Close(exitReserve / 2)
	return nil
}

// stopTimes returns the time end by which all requests must have ended, and the
// time last by which their final answers must have been written. If ctx's deadline
// is earlier than the end of the grace, it takes the place of the grace. Most of a
// short grace is left to the requests.
func stopTimes(ctx context.Context, began time.Time, grace time.Duration) (end, last time.Time) {
	if limit, ok := ctx.Deadline(); ok {
		grace = min(grace, limit.Sub(began))
	}
	reserve := min(exitReserve, grace/exitReserveDivisor)
	end = began.Add(grace - reserve)
	return end, end.Add(reserve * finalAnswerTime / exitReserve)
}

// awaitBalancer waits until the balancer sends new connections elsewhere, at most
// maxBalancerWait.
func (g *Gateway) awaitBalancer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxBalancerWait)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-g.gateway.UnreadyObserved():
		sleep.For(ctx, inTransitWait)
	}
}

// awaitDrained waits until no request is in flight, and until no stage runs that
// this process has started as the owner of the queue: requests of other gateways
// wait for those stages and would have to start again.
func (g *Gateway) awaitDrained(ctx context.Context) {
	for (g.gateway.InFlight() > 0 || g.scheduler.HasUnfinishedStages()) && ctx.Err() == nil {
		sleep.For(ctx, drainPollInterval)
	}
}

// shutdownFrontend shuts down the frontend server. Until it is done, new
// connections that carry no request are closed repeatedly, because the server
// itself would wait 5 s for them.
func (g *Gateway) shutdownFrontend(ctx context.Context) error {
	done, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		for done.Err() == nil {
			sleep.For(done, idleCloseInterval)
			g.clientConns.CloseIdle()
		}
	}()
	return g.frontend.Shutdown(ctx)
}

// vars returns the metrics of the process.
func (g *Gateway) vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("answers", g.metrics.Answers)
	m.Set("sends", g.metrics.Sends)
	m.Set("stream_ends", g.metrics.StreamEnds)
	m.Set("stream_origins", g.origins.Counters)
	m.Set("streams_held", expvar.Func(func() any { return g.origins.Stats() }))
	m.Set("latency_ms", expvar.Func(func() any { return g.metrics.Latency() }))
	m.Set("queues", expvar.Func(func() any { return g.scheduler.Stats() }))
	m.Set("endpoints", expvar.Func(func() any { return g.gateway.EndpointStats() }))
	m.Set("quota_changes", g.quotas.Counters)
	m.Set("quotas", expvar.Func(func() any { return g.quotas.Stats() }))
	m.Set("backoffs", expvar.Func(func() any { return g.backoffs.Stats(time.Now()) }))
	m.Set("content_changes", g.quarantine.Counters)
	m.Set("quarantine", expvar.Func(func() any { return g.quarantine.Table().Stats(time.Now()) }))
	m.Set("ownership", expvar.Func(func() any { return g.fleet.Ownership() }))
	m.Set("fleet_size", expvar.Func(func() any { return g.fleet.Size() }))
	m.Set("store_at", expvar.Func(func() any { return g.follower.At().Revision }))
	m.Set("store_era", expvar.Func(func() any { return g.follower.At().Era }))
	m.Set("store_returns", expvar.Func(func() any { return g.storeReturns() }))
	m.Set("store_healthy", expvar.Func(func() any { return g.follower.Healthy() }))
	m.Set("evacuated_domains", expvar.Func(func() any { return g.follower.Evacuated() }))
	m.Set("store_items_malformed", expvar.Func(func() any { return g.follower.Faults() }))
	m.Set("log_lines_dropped", expvar.Func(func() any { return g.sink.Dropped() }))
	m.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	if memstats := expvar.Get("memstats"); memstats != nil {
		m.Set("memstats", memstats)
	}
	return m
}

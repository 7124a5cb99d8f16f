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
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/scheduler"
	"github.com/mangostage/mangostage/settings"
)

const (
	// unreadyFor is how long a stopping gateway waits at most for the balancer to
	// notice: it asks once a second and acts on the second miss.
	unreadyFor = 2500 * time.Millisecond
	// noticeTravel is the time for connections that the balancer passed on
	// before it noticed: many times the way from the clients.
	noticeTravel = 100 * time.Millisecond
	// stopReserve is kept of the grace for the end of the process itself,
	// lastAnswers of that for the answers to requests that are given up.
	stopReserve = 700 * time.Millisecond
	lastAnswers = 200 * time.Millisecond
	// reserveShare is the part of a short grace, one in so many, that is kept.
	reserveShare = 6
	// lastRequests is how long a connection that came last has for its request:
	// many times the way from the clients.
	lastRequests = 50 * time.Millisecond
	// drainedEvery is how often a stopping gateway looks whether it is done.
	drainedEvery = 10 * time.Millisecond
	// clientHeaderTimeout ends connections that do not send their header.
	clientHeaderTimeout = 10 * time.Second
	// clientIdleTimeout is longer than any limit that clients keep to, so that
	// a request never crosses the end of its connection.
	clientIdleTimeout = 90 * time.Second
	// storeIdleTimeout keeps the connection to the store between calls.
	storeIdleTimeout = 30 * time.Second
)

// Gateway is a running mangostage-gateway.
type Gateway struct {
	loaded    settings.LoadedGateway
	own       settings.Gateway
	log       zerolog.Logger
	sink      *logsink.Sink
	bus       *kernel.Bus
	follower  *discovery.Follower
	fleet     *fleet.Service
	scheduler *scheduler.Scheduler
	gateway   *gateway.Gateway
	metrics   *gateway.Metrics
	front     *http.Server
	// clients are the connections of front.
	clients *keepalive.Conns
	side    []*http.Server
	// hups carries SIGHUP from the first moment on: its default ends the process.
	hups    chan os.Signal
	stop    context.CancelFunc
	running sync.WaitGroup
}

// StartGateway starts the process; log lines go to sink.
func StartGateway(own settings.Gateway, loaded settings.LoadedGateway, sink *logsink.Sink) (*Gateway, error) {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	p := loaded.Platform
	log := zerolog.New(sink).Level(loaded.LogLevel).With().Timestamp().Str("process", p.Name).Logger()
	bus, err := kernel.NewBus(log)
	if err != nil {
		return nil, err
	}
	g := &Gateway{own: own, loaded: loaded, log: log, sink: sink, bus: bus, metrics: gateway.NewMetrics(), hups: hups}
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

// assemble makes the parts and connects them.
func (g *Gateway) assemble() {
	p := g.loaded.Platform
	mux := peer.NewMux()
	toStore, toEndpoints := storeTransport(), gateway.NewTransport()
	toEndpoints.Check = func() { g.follower.CheckPause() }
	store := platform.NewStore(p.Store, &http.Client{Transport: toStore}, discovery.StorePatience)
	stages := platform.NewStages(&http.Client{Transport: toEndpoints})
	g.scheduler = scheduler.New(p.Name, stages, g.log)
	g.fleet = fleet.New(fleet.Config{
		Self:    fleet.Member{Name: p.Name, Addr: cmp.Or(g.own.Advertise, p.Peer), Domain: p.Domain, Cores: p.Cores},
		Listen:  p.Peer,
		Seeds:   p.Seeds,
		Mux:     mux,
		Log:     g.log,
		StoreAt: func() uint64 { return g.follower.At() },

		StoreSteady: func() bool { return g.follower.Steady() },
		OnPromoted:  g.scheduler.Promoted,
		OnReach:     g.scheduler.Reach,
		OnDemoted:   g.scheduler.HandOver,
	})
	g.follower = discovery.NewFollower(store, discovery.NewPeerRelay(g.fleet, g.log), p.Bounds.ConfigApply, g.log, g.viewChanged)
	g.follower.OnWake(toStore.CloseIdleConnections)
	g.follower.OnWake(toEndpoints.CloseIdleConnections)
	discovery.ServePeers(mux, g.follower)
	scheduler.Serve(mux, g.scheduler)
	g.gateway = gateway.New(gateway.Config{
		Domain:      p.Domain,
		Bounds:      p.Bounds,
		View:        g.follower.View,
		Current:     g.follower.Current,
		FleetSize:   g.fleet.Size,
		OthersStay:  g.fleet.OthersStay,
		Scheduler:   scheduler.NewClient(g.scheduler, g.fleet, g.log),
		Transport:   toEndpoints,
		Log:         g.log,
		Metrics:     g.metrics,
		TellCrashes: func(found []gateway.Crash) { g.fleet.Tell(methodCrashed, found) },
	})
	peer.HandleNote(mux, methodCrashed, func(_ *peer.Conn, found []gateway.Crash) { g.heardCrashes(found) })
	kernel.Handle(g.bus, "scheduler", kernel.TopicView, func(kernel.ViewEvent) { g.scheduler.SetView(g.follower.View()) })
	kernel.Handle(g.bus, "gateway", kernel.TopicView, func(kernel.ViewEvent) { g.gateway.SetView(g.follower.View()) })
}

// methodCrashed is the notification of endpoints that crashed under requests.
const methodCrashed = "gateway.crashed"

// heardCrashes takes crashes that another gateway saw. Where members are
// connected to a few others only, what is news is passed on.
func (g *Gateway) heardCrashes(found []gateway.Crash) {
	var news []gateway.Crash
	for _, c := range found {
		if g.gateway.HeardCrash(c) {
			news = append(news, c)
		}
	}
	if len(news) > 0 && !g.fleet.Mesh() {
		g.fleet.Tell(methodCrashed, news)
	}
}

func storeTransport() *gateway.Transport {
	t := gateway.NewTransport()
	t.IdleConnTimeout = storeIdleTimeout
	return t
}

// viewChanged tells the parts that keep state by endpoint. Requests read the
// view itself, so that no request sees an older one than another before it.
func (g *Gateway) viewChanged(view *catalog.View) {
	err := kernel.Publish(g.bus, kernel.TopicView, kernel.ViewEvent{Revision: view.Revision})
	if err != nil {
		g.log.Error().Str("event", logBusEnded).Err(err).Msg("view not passed on")
	}
}

func (g *Gateway) runBus(ctx context.Context) {
	g.running.Go(func() {
		if err := g.bus.Run(ctx); err != nil {
			g.log.Error().Str("event", logBusEnded).Err(err).Msg("event bus ended")
		}
	})
	<-g.bus.Running()
}

// start opens the addresses and lets the parts run.
func (g *Gateway) start(ctx context.Context) error {
	p := g.loaded.Platform
	if err := g.fleet.Start(ctx); err != nil {
		return err
	}
	g.running.Go(func() { g.follower.Run(ctx) })
	g.running.Go(func() { g.scheduler.Run(ctx) })
	g.running.Go(func() { g.watchSettings(ctx) })
	ready := chi.NewRouter()
	ready.Get("/readyz", g.gateway.Ready)
	if err := g.serveSide(p.Ready, ready); err != nil {
		return err
	}
	if g.own.MetricsPort != 0 {
		metrics := chi.NewRouter()
		metrics.Get("/metrics", serveVars(g.vars()))
		if err := g.serveSide(net.JoinHostPort(p.IP, strconv.Itoa(g.own.MetricsPort)), metrics); err != nil {
			return err
		}
	}
	return g.serveFront(p.Frontend)
}

func (g *Gateway) serveSide(addr string, handler http.Handler) error {
	server, _, err := serveHTTP(addr, handler, g.log)
	if err == nil {
		g.side = append(g.side, server)
	}
	return err
}

func (g *Gateway) serveFront(addr string) error {
	listener, err := listenHTTP(addr)
	if err != nil {
		return err
	}
	g.front = &http.Server{
		Handler:           g.gateway,
		ReadHeaderTimeout: clientHeaderTimeout,
		IdleTimeout:       clientIdleTimeout,
	}
	g.clients = keepalive.Attach(g.front)
	go serveOn(g.front, g.clients.Listener(listener), g.log)
	return nil
}

// watchSettings re-reads the platform's file at SIGHUP. Nothing in it can
// change while the process runs but what the process does not use; a change
// is logged and no request is cut.
func (g *Gateway) watchSettings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.hups:
			changed, findings := g.own.Changed(g.loaded)
			g.log.Info().Str("event", logSettingsRead).Bool("changed", changed).
				Err(findings.Err()).Msg("settings file read again")
		}
	}
}

// Stop makes the process unready, serves on until the balancer has noticed and
// all that is in flight has ended, within the platform's grace.
//
// It listens to the end: where most gateways of a failure domain stop at once,
// the balancer sends clients to them all the same, and a short request that
// still fits is better served than left without a listener.
func (g *Gateway) Stop(ctx context.Context) error {
	began := time.Now()
	g.log.Info().Str("event", logDraining).Msg("stopping")
	end, last := stopTimes(ctx, began, g.loaded.Platform.Bounds.Grace)
	g.gateway.Leave(end)
	g.fleet.Leave()
	ctx, cancel := context.WithDeadline(ctx, last)
	defer cancel()
	g.awaitNotice(ctx)
	g.gateway.OutOfRotation()
	// Connections without a request are closed now: their clients send the next
	// one to a gateway that stays.
	g.clients.CloseIdle()
	g.awaitDrained(ctx)
	err := g.shutdownFront(ctx)
	cut := g.gateway.InFlight()
	for _, server := range g.side {
		_ = server.Close()
	}
	g.stop()
	// Peers that do not answer must not hold up the end of the process.
	go g.fleet.Close()
	g.log.Info().Str("event", logStopped).Dur("took_ms", time.Since(began)).Int64("cut", cut).Err(err).Msg("stopped")
	g.sink.Close(stopReserve / 2)
	return nil
}

// stopTimes tells by when a stop has ended all requests, and by when their last
// answers must be out. A ctx that ends before the grace ends the process as well,
// and of a short grace most belongs to the requests.
func stopTimes(ctx context.Context, began time.Time, grace time.Duration) (end, last time.Time) {
	if limit, ok := ctx.Deadline(); ok {
		grace = min(grace, limit.Sub(began))
	}
	reserve := min(stopReserve, grace/reserveShare)
	end = began.Add(grace - reserve)
	return end, end.Add(reserve * lastAnswers / stopReserve)
}

// awaitNotice waits until the balancer sends new connections elsewhere.
func (g *Gateway) awaitNotice(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, unreadyFor)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-g.gateway.Noticed():
		sleep.For(ctx, noticeTravel)
	}
}

// awaitDrained waits until no request is in flight, and no stage that this
// process has begun as the owner of the queue: requests of other gateways wait
// for it, and would have to begin anew.
func (g *Gateway) awaitDrained(ctx context.Context) {
	for (g.gateway.InFlight() > 0 || g.scheduler.Holds()) && ctx.Err() == nil {
		sleep.For(ctx, drainedEvery)
	}
}

// shutdownFront ends the front. Connections that still come and carry no
// request are closed, again and again: the server itself would wait 5 s for them.
func (g *Gateway) shutdownFront(ctx context.Context) error {
	done, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		for done.Err() == nil {
			sleep.For(done, lastRequests)
			g.clients.CloseIdle()
		}
	}()
	return g.front.Shutdown(ctx)
}

// vars returns the metrics of the process.
func (g *Gateway) vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("answers", g.metrics.Answers)
	m.Set("sends", g.metrics.Sends)
	m.Set("latency_ms", expvar.Func(func() any { return g.metrics.Latency() }))
	m.Set("queues", expvar.Func(func() any { return g.scheduler.Stats() }))
	m.Set("endpoints", expvar.Func(func() any { return g.gateway.Endpoints() }))
	m.Set("ownership", expvar.Func(func() any { return g.fleet.Ownership() }))
	m.Set("fleet_size", expvar.Func(func() any { return g.fleet.Size() }))
	m.Set("store_at", expvar.Func(func() any { return g.follower.At() }))
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

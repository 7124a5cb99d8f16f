// Package daemon assembles an entry, an agent or a gateway into a process that
// the commands and tests can start and stop.
package daemon

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"runtime"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/kernel"
	"github.com/mangostage/mangostage/member"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/settings"
	"github.com/mangostage/mangostage/wire"
)

const (
	// platformTimeout bounds one call to the platform, for a watch beyond its wait.
	platformTimeout = 2 * time.Second
)

// Values of the log key "event".
const (
	logStarted    = "started"
	logDraining   = "draining"
	logStopped    = "stopped"
	logBusEnded   = "event_bus_ended"
	logHTTPEnded  = "http_ended"
	logNotApplied = "bundle_not_applied"
	// logClientsEnded is logged after a process has ended connections of clients, or refused
	// them, for what they take of it.
	logClientsEnded = "clients_ended"
	// logSettingsRead is logged when a gateway has re-read its settings file.
	logSettingsRead = "settings_read"
)

// timeFormat includes milliseconds, so that lines of several processes can be
// put in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// NewLog returns a logger that writes JSON lines to out with the process's name
// and failure domain.
func NewLog(out io.Writer, level zerolog.Level, process wire.Process) zerolog.Logger {
	return zerolog.New(out).Level(level).With().
		Timestamp().
		Str("process", process.Name).
		Str("domain", process.Domain).
		Logger()
}

// newProcess returns the identity of this run of a process, with a new incarnation.
func newProcess(name, domain string, role wire.Role) wire.Process {
	return wire.Process{Name: name, Incarnation: uuid.NewString(), Role: role, Domain: domain}
}

// base holds what entries and agents have in common.
type base struct {
	process wire.Process
	log     zerolog.Logger
	bus     *kernel.Bus
	holder  *bundle.Holder
	mux     *peer.Mux
	member  *member.Service
	// peerAddr is the address bound for peers.
	peerAddr net.Addr
	// debug serves metrics on a separate address; nil if none is configured.
	debug   *httpServer
	tls     *settings.TLS
	stopBus context.CancelFunc
}

func newBase(process wire.Process, loaded settings.Loaded, log zerolog.Logger) (*base, error) {
	bus, err := kernel.NewBus(log)
	if err != nil {
		return nil, err
	}
	return &base{
		process: process,
		log:     log,
		bus:     bus,
		holder:  bundle.NewHolder(loaded.BundleKeys),
		tls:     loaded.TLS,
		mux:     peer.NewMux(),
	}, nil
}

// memberConfig returns the part of the member configuration that does not depend
// on the role.
func (b *base) memberConfig(c settings.Common, loaded settings.Loaded) member.Config {
	return member.Config{
		Self:     b.process,
		VM:       c.VM,
		Listen:   c.PeerListen,
		TLS:      loaded.TLS.Config(),
		Mux:      b.mux,
		Platform: confsvc.NewClient(c.Platform, platformTimeout),
		Holder:   b.holder,
		Bus:      b.bus,
		Log:      b.log,

		FleetSize: c.FleetSize,
	}
}

// start starts the event bus and joins the fleet.
func (b *base) start(cfg member.Config) error {
	ctx, cancel := context.WithCancel(context.Background())
	b.stopBus = cancel
	go func() {
		if err := b.bus.Run(ctx); err != nil {
			b.log.Error().Str("event", logBusEnded).Err(err).Msg("event bus ended")
		}
	}()
	<-b.bus.Running()
	b.member = member.New(cfg)
	peers, err := b.member.Start(ctx)
	if err != nil {
		cancel()
		return errorx.Decorate(err, "join the fleet")
	}
	b.peerAddr = peers
	return nil
}

func (b *base) stop() {
	b.member.Stop()
	b.stopBus()
	_ = b.bus.Close()
	b.log.Info().Str("event", logStopped).Msg("stopped")
}

// serveDebug serves metrics and health on a separate address, if one is given.
func (b *base) serveDebug(address string, own *expvar.Map) error {
	if address == "" {
		return nil
	}
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/debug/vars", serveVars(b.vars(own)))
	var err error
	b.debug, err = serveHTTP(address, r, checksRoom, b.log)
	return err
}

func (b *base) stopDebug(ctx context.Context) {
	if b.debug != nil {
		_ = b.debug.Shutdown(ctx)
	}
}

// logStart logs the addresses on which the process listens; callers is nil for a
// process without a callers' API.
func (b *base) logStart(callers net.Addr) {
	event := b.log.Info().Str("event", logStarted).
		Str("incarnation", b.process.Incarnation).
		Stringer("peer_address", b.peerAddr).
		Bool("tls", b.tls != nil)
	if callers != nil {
		event.Stringer("address", callers)
	}
	if b.debug != nil {
		event.Stringer("debug_address", b.debug.addr)
	}
	event.Msg("listening")
}

// DebugAddr returns the address bound for metrics, or nil if there is none.
func (b *base) DebugAddr() net.Addr {
	if b.debug == nil {
		return nil
	}
	return b.debug.addr
}

// PeerAddr returns the address bound for peers.
func (b *base) PeerAddr() net.Addr { return b.peerAddr }

// vars returns the metrics of a process: those of its role in own, and those of
// fleet membership, bundle, TLS and the Go runtime.
func (b *base) vars(own *expvar.Map) *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set(string(b.process.Role), own)
	m.Set("member", expvar.Func(func() any { return b.member.Stats() }))
	m.Set("bundle", expvar.Func(func() any { return b.holder.Head() }))
	if b.tls != nil {
		m.Set("tls", expvar.Func(func() any { return b.tls.Stats(time.Now()) }))
	}
	m.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	if memstats := expvar.Get("memstats"); memstats != nil {
		m.Set("memstats", memstats)
	}
	return m
}

// serveVars returns a handler that answers with m as JSON.
func serveVars(m *expvar.Map) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(m.String()))
	}
}

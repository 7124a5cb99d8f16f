package daemon

import (
	"cmp"
	"context"
	"expvar"
	"net"
	"net/http"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/entry"
	"github.com/mangostage/mangostage/intake"
	"github.com/mangostage/mangostage/kernel"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/settings"
	"github.com/mangostage/mangostage/wire"
)

// Entry is a running entry process.
type Entry struct {
	*base
	settings settings.Entry
	entry    *entry.Entry
	server   *httpServer
}

// StartEntry starts an entry; s and loaded must have been checked.
func StartEntry(s settings.Entry, loaded settings.Loaded, log zerolog.Logger) (*Entry, error) {
	process := newProcess(s.VM, s.Domain, wire.RoleEntry)
	b, err := newBase(process, loaded, log)
	if err != nil {
		return nil, err
	}
	e := &Entry{base: b, settings: s}
	e.entry = entry.New(entry.Config{
		Process:      process,
		FleetKeys:    loaded.FleetKeys,
		Log:          log,
		Records:      ledger.NewStore(ledger.DefaultStoreConfig),
		MaxBody:      s.MaxBody,
		RefusalsOnly: loaded.RefusalsOnly,
	})
	e.entry.Register(b.mux)
	kernel.Handle(b.bus, "entry-view", kernel.TopicMember, func(kernel.MemberEvent) {
		e.entry.ApplyView(b.member.View())
	})
	cfg := b.memberConfig(s.Common, loaded)
	cfg.DialRoles = []wire.Role{wire.RoleAgent, wire.RoleEntry}
	cfg.OnReport = e.entry.ApplyReport
	cfg.OnBundle = e.applyBundle
	if err := b.start(cfg); err != nil {
		return nil, err
	}
	e.entry.Start(b.member)
	if err := e.serve(); err != nil {
		e.entry.Stop()
		b.stopDebug(context.Background())
		b.stop()
		return nil, err
	}
	b.logStart(e.server.addr)
	return e, nil
}

// serve serves the callers' API. Metrics are served with it only if they have no
// address of their own, because callers need not see other accounts' figures.
func (e *Entry) serve() error {
	all := e.vars(e.entry.Vars())
	all.Set("clients", expvar.Func(func() any { return e.server.conns.Stats() }))
	vars := serveVars(all)
	if e.settings.DebugListen != "" {
		vars = http.NotFound
	}
	var err error
	if e.server, err = serveHTTP(e.settings.Listen, e.entry.Handler(vars), callerRoom(e.settings), e.log); err != nil {
		return err
	}
	if err := e.serveDebug(e.settings.DebugListen, e.entry.Vars()); err != nil {
		_ = e.server.Close()
		return err
	}
	return nil
}

// callerRoom returns what the callers of an entry may hold of its process. Settings that were not
// parsed from flags may lack the defaults of these.
func callerRoom(s settings.Entry) intake.Limits {
	return intake.Limits{
		Conns: cmp.Or(s.MaxConns, settings.DefaultMaxConns),
		Bytes: cmp.Or(s.ClientMemoryMB, settings.DefaultClientMemoryMB) << 20,
	}
}

// applyBundle applies a bundle. A bundle whose policy this build does not know is
// logged and the one in force stays.
func (e *Entry) applyBundle(v *bundle.Verified) {
	if err := e.entry.ApplyBundle(v); err != nil {
		e.log.Error().Str("event", logNotApplied).Err(err).Uint64("version", v.Head.Version).Msg("bundle not applied")
	}
}

// Addr returns the address bound for callers.
func (e *Entry) Addr() net.Addr { return e.server.addr }

// Entry returns the entry itself.
func (e *Entry) Entry() *entry.Entry { return e.entry }

// Stop drains the entry: it reports unready first, then refuses new requests, and
// stops when the last request has its answer or ctx ends.
func (e *Entry) Stop(ctx context.Context) error {
	e.log.Info().Str("event", logDraining).Msg("draining")
	err := e.entry.Drain(ctx, e.settings.DrainWait)
	if shutdown := e.server.Shutdown(ctx); err == nil {
		err = shutdown
	}
	e.stopDebug(ctx)
	e.entry.Stop()
	e.stop()
	return err
}

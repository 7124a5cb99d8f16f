package daemon

import (
	"context"
	"net"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/agent"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/settings"
	"github.com/mangostage/mangostage/wire"
)

// Agent is a running agent process.
type Agent struct {
	*base
	agent  *agent.Agent
	server *http.Server
	debug  net.Addr
}

// StartAgent starts an agent; s and loaded have been checked. The process is
// named after its endpoint, which is how bindings and records refer to it.
func StartAgent(s settings.Agent, loaded settings.Loaded, log zerolog.Logger) (*Agent, error) {
	process := newProcess(s.Endpoint, s.Domain, wire.RoleAgent)
	b, err := newBase(process, loaded, log)
	if err != nil {
		return nil, err
	}
	protocol, err := endpoint.New(s.Protocol, s.EndpointURL)
	if err != nil {
		return nil, err
	}
	a := &Agent{base: b}
	a.agent = agent.New(agent.Config{
		Process:  process,
		Endpoint: s.Endpoint,
		Pool:     s.Pool,
		VM:       s.VM,
		Protocol: protocol,
		Log:      log,
		Records:  ledger.NewStore(ledger.DefaultStoreConfig),
		// The agent is started after member, which is therefore set here.
		DropConnections: func() { go a.member.DropConnections() },
	})
	a.agent.Register(b.mux)
	cfg := b.memberConfig(s.Common, loaded)
	cfg.DialRoles = []wire.Role{wire.RoleEntry}
	cfg.Report = a.agent.Report
	cfg.OnBundle = a.applyBundle
	cfg.OnLeaving = a.agent.SetLeaving
	if err := b.start(cfg); err != nil {
		return nil, err
	}
	a.agent.Start()
	if s.DebugListen != "" {
		if a.server, a.debug, err = serveHTTP(s.DebugListen, a.handler(), log); err != nil {
			b.stop()
			return nil, err
		}
	}
	return a, nil
}

// applyBundle tells the entries what changed: until a report says otherwise
// they route by the capacity of the bundle before.
func (a *Agent) applyBundle(v *bundle.Verified) {
	a.agent.ApplyBundle(v)
	a.member.Announce()
}

func (a *Agent) handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/debug/vars", serveVars(a.vars(a.agent.Vars())))
	return r
}

// Stop refuses new calls, announces it to the entries, finishes what was
// accepted, and ends.
func (a *Agent) Stop(ctx context.Context) error {
	err := a.agent.Drain(ctx)
	if a.server != nil {
		_ = a.server.Shutdown(ctx)
	}
	a.agent.Stop()
	a.stop()
	return err
}

package daemon

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/agent"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/order"
	"github.com/mangostage/mangostage/settings"
	"github.com/mangostage/mangostage/wire"
)

// Agent is a running agent process.
type Agent struct {
	*base
	agent *agent.Agent
	// giver is nil beside an endpoint that takes no orders.
	giver *order.Giver
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
		Process:      process,
		Endpoint:     s.Endpoint,
		Pool:         s.Pool,
		VM:           s.VM,
		Protocol:     protocol,
		Log:          log,
		Records:      ledger.NewStore(ledger.DefaultStoreConfig),
		RefusalsOnly: loaded.RefusalsOnly,
		// The agent is started after member, which is therefore set here.
		DropConnections: func() { go a.member.DropConnections() },
		Announce:        func() { a.member.Announce() },
	})
	if engine, ok := protocol.(order.Engine); ok {
		a.giver = newGiver(process, s, engine, log)
	}
	a.agent.Register(b.mux)
	cfg := b.memberConfig(s.Common, loaded)
	cfg.DialRoles = []wire.Role{wire.RoleEntry}
	cfg.Report = a.agent.Report
	cfg.OnBundle = a.applyBundle
	cfg.OnLeaving = a.setLeaving
	if err := b.start(cfg); err != nil {
		return nil, err
	}
	a.agent.Start()
	if a.giver != nil {
		a.giver.Start()
	}
	if err := b.serveDebug(s.DebugListen, a.agent.Vars()); err != nil {
		if a.giver != nil {
			a.giver.Stop()
		}
		a.agent.Stop()
		b.stop()
		return nil, err
	}
	b.logStart(nil)
	return a, nil
}

func newGiver(process wire.Process, s settings.Agent, engine order.Engine, log zerolog.Logger) *order.Giver {
	return order.New(order.Config{
		Core: order.CoreConfig{
			Endpoint: s.Endpoint,
			Pool:     s.Pool,
			Giver:    process.Name + "@" + process.Incarnation,
		},
		Engine: engine,
		Log:    log,
	})
}

// setLeaving ends the giving of orders too: the engine may get a new agent.
func (a *Agent) setLeaving(leaving bool) {
	a.agent.SetLeaving(leaving)
	if a.giver != nil {
		a.giver.SetLeaving(leaving)
	}
}

// applyBundle tells the entries what changed: until a report says otherwise
// they route by the capacity of the bundle before.
func (a *Agent) applyBundle(v *bundle.Verified) {
	a.agent.ApplyBundle(v)
	if a.giver != nil {
		a.giver.ApplyBundle(v)
	}
	a.member.Announce()
}

// Stop refuses new calls, announces it to the entries, finishes what was
// accepted, and ends.
func (a *Agent) Stop(ctx context.Context) error {
	if a.giver != nil {
		a.giver.Stop()
	}
	err := a.agent.Drain(ctx)
	a.stopDebug(ctx)
	a.agent.Stop()
	a.stop()
	return err
}

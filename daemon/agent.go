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
	// controller is nil if the endpoint's protocol takes no orders.
	controller *order.Controller
}

// StartAgent starts an agent; s and loaded must have been checked. The process is
// named after its endpoint, because bindings and records refer to it by that name.
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
		// member is nil here, but the agent is started after it has been set.
		DropConnections: func() { go a.member.DropConnections() },
		Announce:        func() { a.member.Announce() },
	})
	if engine, ok := protocol.(order.Engine); ok {
		a.controller = newController(process, s, engine, log)
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
	if a.controller != nil {
		a.controller.Start()
	}
	if err := b.serveDebug(s.DebugListen, a.agent.Vars()); err != nil {
		if a.controller != nil {
			a.controller.Stop()
		}
		a.agent.Stop()
		b.stop()
		return nil, err
	}
	b.logStart(nil)
	return a, nil
}

func newController(process wire.Process, s settings.Agent, engine order.Engine, log zerolog.Logger) *order.Controller {
	return order.New(order.Config{
		Core: order.CoreConfig{
			Endpoint:   s.Endpoint,
			Pool:       s.Pool,
			Controller: process.Name + "@" + process.Incarnation,
		},
		Engine: engine,
		Log:    log,
	})
}

// setLeaving sets whether the platform lists this VM as leaving. The controller
// gives no orders while it is, because the engine may get a new agent.
func (a *Agent) setLeaving(leaving bool) {
	a.agent.SetLeaving(leaving)
	if a.controller != nil {
		a.controller.SetLeaving(leaving)
	}
}

// applyBundle applies a new bundle and sends a report to the entries: until then
// they route by the capacity of the previous bundle.
func (a *Agent) applyBundle(v *bundle.Verified) {
	a.agent.ApplyBundle(v)
	if a.controller != nil {
		a.controller.ApplyBundle(v)
	}
	a.member.Announce()
}

// Stop refuses new calls, announces that to the entries, finishes the accepted
// calls and stops the process. It returns an error if ctx ends first.
func (a *Agent) Stop(ctx context.Context) error {
	if a.controller != nil {
		a.controller.Stop()
	}
	err := a.agent.Drain(ctx)
	a.stopDebug(ctx)
	a.agent.Stop()
	a.stop()
	return err
}

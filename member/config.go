// Package member implements the membership of a process in the fleet. It follows
// the platform's list of VMs and its configuration service, maintains connections
// to peers, adopts bundles, and distributes them by gossip. It needs no consensus
// between processes: each process has its own view, which may be out of date.
package member

import (
	"crypto/tls"
	"time"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/kernel"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/wire"
)

// Platform is the part of the platform that a Service reads: the configuration
// service and the list of VMs.
type Platform interface {
	confsvc.Config
	confsvc.Lister
}

// Config configures a Service. Callbacks may be nil; they must not block and
// must not call Stop.
type Config struct {
	// Self identifies this process.
	Self wire.Process
	// VM is the name of this process's VM in the platform's list; empty means Self.Name.
	VM string
	// Listen is the address on which peers connect.
	Listen string
	// TLS configures mutual authentication between peers; nil means plain TCP.
	TLS *tls.Config
	// Mux has the methods of the Service's owner, to which New adds its own; nil
	// means none.
	Mux      *peer.Mux
	Platform Platform
	// Holder decides which bundle is in force.
	Holder *bundle.Holder
	// Bus receives kernel.BundleEvent and kernel.MemberEvent; nil means that no
	// events are published.
	Bus *kernel.Bus
	Log zerolog.Logger
	// Report returns the agent's report on its endpoint; nil in an entry.
	Report func() wire.AgentReport
	// OnReport is called for each report received in a hello or notification of
	// an agent.
	OnReport func(wire.AgentReport)
	// OnBundle is called for each adopted bundle, in order.
	OnBundle func(*bundle.Verified)
	// OnLeaving is called when this process's VM starts or stops counting as leaving.
	OnLeaving func(leaving bool)
	// DialRoles are the roles of the VMs to keep connections to. An agent dials
	// them only when it starts and while it has no connection.
	DialRoles []wire.Role
	// FleetSize is the expected number of VMs. The first reads of the platform
	// are spread over a time proportional to it, for fleets whose processes all
	// start together; zero means a small fleet.
	FleetSize int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (c *Config) setDefaults() {
	if c.VM == "" {
		c.VM = c.Self.Name
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Mux == nil {
		c.Mux = peer.NewMux()
	}
}

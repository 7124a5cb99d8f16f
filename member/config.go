// Package member is how a process takes part in the fleet. It follows the
// platform's list of VMs and its configuration service, keeps connections to
// peers, and adopts and spreads bundles. Nothing in it needs an agreement
// between processes: each view is one process's own and may be out of date.
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

// Platform is what member reads of the platform.
type Platform interface {
	confsvc.Config
	confsvc.Lister
}

// Config is what a Service is made of. Callbacks may be nil; none may block,
// and none may call Stop.
type Config struct {
	Self wire.Process
	// VM is the own VM's name in the platform's list; empty means Self.Name.
	VM string
	// Listen is the address for peers.
	Listen string
	// TLS proves peers to each other; nil means plain TCP.
	TLS *tls.Config
	// Mux has the owner's methods; New adds member's own.
	Mux      *peer.Mux
	Platform Platform
	Holder   *bundle.Holder
	// Bus receives kernel.BundleEvent and kernel.MemberEvent; nil for none.
	Bus *kernel.Bus
	Log zerolog.Logger
	// Report returns an agent's report on its endpoint; nil for an entry.
	Report func() wire.AgentReport
	// OnReport is called for each report that an agent's hello or notification carries.
	OnReport func(wire.AgentReport)
	// OnBundle is called for each adopted bundle, in order.
	OnBundle func(*bundle.Verified)
	// OnLeaving is called when the own VM starts or stops being listed as leaving.
	OnLeaving func(leaving bool)
	// DialRoles are the roles of the VMs to keep connections to. An agent dials
	// them only while it has no connection.
	DialRoles []wire.Role
	// FleetSize is the expected number of VMs. It spreads the first reads of a
	// fleet that starts as one; zero means a small fleet.
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

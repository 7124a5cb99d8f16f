// Package confsvc reads what the platform publishes: the configuration
// service and the list of VMs. Both may lag, be stale or be down; nothing in
// them can be written.
package confsvc

import (
	"context"
	"time"

	"github.com/mangostage/mangostage/wire"
)

// Names of values in the configuration service.
const (
	// ValueBundle holds the signed bundle in force, or a manifest of its parts.
	ValueBundle = "mangostage/bundle"
)

// Value is one value of the configuration service at one revision.
type Value struct {
	Name string `json:"name"`
	// Revision grows with every change of the value.
	Revision uint64 `json:"revision"`
	Data     []byte `json:"data"`
}

// Config reads the configuration service. Every call counts against the
// service's limit, a waiting Watch as one.
type Config interface {
	// Read returns the present value.
	Read(ctx context.Context, name string) (Value, error)
	// Watch waits until the value's revision exceeds after, or wait has
	// passed, and returns the present value either way.
	Watch(ctx context.Context, name string, after uint64, wait time.Duration) (Value, error)
}

// VMState is a VM's state in the platform's list.
type VMState string

// The VM states.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one line of the platform's list. Address is where the product's
// process on that VM listens for its peers.
type VM struct {
	Name    string    `json:"name"`
	Role    wire.Role `json:"role"`
	Address string    `json:"address"`
	Domain  string    `json:"domain"`
	State   VMState   `json:"state"`
	// Endpoint and Pool are set for VMs that carry an endpoint.
	Endpoint string `json:"endpoint,omitempty"`
	Pool     string `json:"pool,omitempty"`
}

// Lister reads the platform's lagging list of VMs.
type Lister interface {
	List(ctx context.Context) ([]VM, error)
}

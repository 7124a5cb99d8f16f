// Package confsvc reads what the platform publishes: the values of its
// configuration service and its list of VMs. Both are read-only and may lag, be
// stale or be unavailable.
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

// Value is a value of the configuration service at one revision.
type Value struct {
	Name string `json:"name"`
	// Revision increases with every change of the value.
	Revision uint64 `json:"revision"`
	Data     []byte `json:"data"`
}

// Config reads the configuration service. Every call counts against the
// service's rate limit; a Watch counts as one call however long it waits.
type Config interface {
	// Read returns the current value.
	Read(ctx context.Context, name string) (Value, error)
	// Watch waits until the value's revision exceeds after or wait has passed, and
	// returns the current value in both cases.
	Watch(ctx context.Context, name string, after uint64, wait time.Duration) (Value, error)
}

// VMState is a VM's state in the platform's list.
type VMState string

// The VM states.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list. Address is the address on which the
// entry or agent on that VM listens for peers.
type VM struct {
	Name    string    `json:"name"`
	Role    wire.Role `json:"role"`
	Address string    `json:"address"`
	Domain  string    `json:"domain"`
	State   VMState   `json:"state"`
	// Endpoint and Pool are set for VMs that run an endpoint.
	Endpoint string `json:"endpoint,omitempty"`
	Pool     string `json:"pool,omitempty"`
}

// Lister reads the platform's list of VMs.
type Lister interface {
	// List returns the platform's list, which may lag behind the VMs' actual state.
	List(ctx context.Context) ([]VM, error)
}

// Package kernel holds the registry of plug-ins, their lifecycle and the
// event bus between the parts of one process.
package kernel

import (
	"sort"
	"strings"
	"sync"

	"github.com/joomcode/errorx"
)

// ModuleID names a plug-in. The part before the last dot is its namespace,
// as in "route.scorer.load".
type ModuleID string

// Namespace returns the part before the last dot.
func (id ModuleID) Namespace() string {
	i := strings.LastIndexByte(string(id), '.')
	if i < 0 {
		return ""
	}
	return string(id[:i])
}

// Module is a plug-in. New returns a fresh, unprovisioned instance.
type Module struct {
	ID  ModuleID
	New func() any
}

// Provisioner is called with the process's settings before anything starts.
type Provisioner interface {
	Provision() error
}

// Validator checks a provisioned module.
type Validator interface {
	Validate() error
}

// Starter begins a module's work; it must not block.
type Starter interface {
	Start() error
}

// Stopper ends a module's work and waits for it.
type Stopper interface {
	Stop() error
}

var (
	errs = errorx.NewNamespace("kernel")
	// ErrUnknownModule is returned for an ID that nothing registered.
	ErrUnknownModule = errs.NewType("unknown_module")
)

var registry = struct {
	sync.RWMutex
	modules map[ModuleID]Module
}{modules: make(map[ModuleID]Module)}

// Register adds a module, usually from an init function. It panics on a
// duplicate, which is a mistake in the build and not in any input.
func Register(m Module) {
	registry.Lock()
	defer registry.Unlock()
	if _, ok := registry.modules[m.ID]; ok {
		panic("kernel: module registered twice: " + string(m.ID))
	}
	registry.modules[m.ID] = m
}

// New returns a fresh instance of the module, provisioned and validated.
func New(id ModuleID) (any, error) {
	registry.RLock()
	m, ok := registry.modules[id]
	registry.RUnlock()
	if !ok {
		return nil, ErrUnknownModule.New("no module %q is registered", id)
	}
	instance := m.New()
	if p, ok := instance.(Provisioner); ok {
		if err := p.Provision(); err != nil {
			return nil, errorx.Decorate(err, "provision %s", id)
		}
	}
	if v, ok := instance.(Validator); ok {
		if err := v.Validate(); err != nil {
			return nil, errorx.Decorate(err, "validate %s", id)
		}
	}
	return instance, nil
}

// Load returns a fresh instance of the module as a T.
func Load[T any](id ModuleID) (T, error) {
	var zero T
	instance, err := New(id)
	if err != nil {
		return zero, err
	}
	typed, ok := instance.(T)
	if !ok {
		return zero, ErrUnknownModule.New("module %q is a %T, not a %T", id, instance, zero)
	}
	return typed, nil
}

// Modules lists the registered IDs of a namespace, sorted.
func Modules(namespace string) []ModuleID {
	registry.RLock()
	defer registry.RUnlock()
	var ids []ModuleID
	for id := range registry.modules {
		if id.Namespace() == namespace {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

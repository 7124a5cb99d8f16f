// Package kernel provides the registry of plug-in modules, the interfaces of
// their lifecycle, and the event bus between the parts of one process.
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

// Module is a plug-in. New returns a new instance that is not yet provisioned.
type Module struct {
	ID  ModuleID
	New func() any
}

// Provisioner is implemented by modules that prepare themselves before anything
// starts.
type Provisioner interface {
	Provision() error
}

// Validator is implemented by modules that check themselves after they have been
// provisioned.
type Validator interface {
	Validate() error
}

// Starter is implemented by modules that work in the background. Start begins
// the work and must not block.
type Starter interface {
	Start() error
}

// Stopper is implemented by modules whose work must be stopped. Stop ends the
// work and waits until it has ended.
type Stopper interface {
	Stop() error
}

var (
	errs = errorx.NewNamespace("kernel")
	// ErrUnknownModule means that no module of the expected type is registered
	// under an ID.
	ErrUnknownModule = errs.NewType("unknown_module")
)

var registry = struct {
	sync.RWMutex
	modules map[ModuleID]Module
}{modules: make(map[ModuleID]Module)}

// Register adds a module, usually from an init function. It panics if the ID is
// already registered, because that is a programming error that no input can cause.
func Register(m Module) {
	registry.Lock()
	defer registry.Unlock()
	if _, ok := registry.modules[m.ID]; ok {
		panic("kernel: module registered twice: " + string(m.ID))
	}
	registry.modules[m.ID] = m
}

// New returns a new instance of the module, provisioned and validated.
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

// Load returns a new instance of the module as a T. It returns ErrUnknownModule
// if the instance has another type.
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

// Modules returns the registered IDs of a namespace in sorted order.
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

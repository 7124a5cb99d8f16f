package order

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/endpoint"
)

var begin = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func models(version uint64, names ...string) *bundle.Bundle {
	return &bundle.Bundle{Version: version, Pools: []bundle.Pool{{Name: "llm", Endpoints: 1, Models: names}}}
}

// paced returns the bundle of models with a limit of rate loads a minute for
// the whole fleet.
func paced(rate float64, version uint64, names ...string) *bundle.Bundle {
	b := models(version, names...)
	b.Policy.ModelLoadsPerMinute = rate
	return b
}

// engine is a fake engine that loads models immediately.
type engine struct {
	mu       sync.Mutex
	fencing  bool
	highest  uint64
	models   []string
	accepted []endpoint.Order
	ordered  chan struct{}
}

func (e *engine) Order(_ context.Context, o endpoint.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fencing && o.Fence < e.highest {
		return &endpoint.StaleFenceError{Highest: e.highest}
	}
	e.highest = max(e.highest, o.Fence)
	e.accepted = append(e.accepted, o)
	e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == o.Model })
	if o.Kind == endpoint.OrderLoad {
		e.models = append(e.models, o.Model)
	}
	if e.ordered != nil {
		close(e.ordered)
	}
	return nil
}

func (e *engine) Health(context.Context) (endpoint.Health, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return endpoint.Health{Up: true, Models: slices.Clone(e.models)}, nil
}

func newCore(start time.Time) *Core {
	return NewCore(CoreConfig{Endpoint: "llm-1", Pool: "llm", Controller: "agent", Start: start})
}

// runCore runs a core against an engine for the duration d and returns the time
// at the end.
func runCore(c *Core, e *engine, from time.Time, d time.Duration) time.Time {
	now := from
	for ; now.Before(from.Add(d)); now = now.Add(TickInterval) {
		h, _ := e.Health(context.Background())
		c.RecordState(now, now, h)
		if decision, ok := c.Tick(now); ok && c.Commit(now, decision.Order) {
			c.Done(now, decision.Order, e.Order(context.Background(), decision.Order))
		}
	}
	return now
}

func TestLoadsArePacedAndUnloadsWait(t *testing.T) {
	e, c := &engine{}, newCore(begin)
	c.Bundle(paced(6, 1, "a", "b"))
	now := runCore(c, e, begin, 10*time.Second)
	assert.DeepEqual(t, e.models, []string{"a"})
	now = runCore(c, e, now, 10*time.Second)
	assert.DeepEqual(t, e.models, []string{"a", "b"})
	c.Bundle(paced(6, 2, "b", "c"))
	now = runCore(c, e, now, 20*time.Second)
	assert.DeepEqual(t, e.models, []string{"a", "b", "c"})
	runCore(c, e, now, 20*time.Second)
	assert.DeepEqual(t, e.models, []string{"b", "c"})
	assert.Equal(t, len(e.accepted), 4)
}

// Guards against unloading a model that no bundle known to this controller has
// named: somebody else loaded it.
func TestOnlyDroppedModelsAreUnloaded(t *testing.T) {
	e, c := &engine{models: []string{"strange", "a"}}, newCore(begin)
	c.Bundle(models(1, "a"))
	now := runCore(c, e, begin, time.Minute)
	assert.Equal(t, len(e.accepted), 0)
	c.Bundle(models(2))
	runCore(c, e, now, time.Minute)
	assert.DeepEqual(t, e.models, []string{"strange"})
}

// Guards against a burst of loads when a bundle names a new model, or all
// engines restart with nothing loaded. Whatever the time of the event, no
// minute has more loads than the limit and one for its edges, and no engine
// waits for more than one interval per load.
func TestFleetKeepsThePace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 40).Draw(t, "engines")
		rate := float64(rapid.SampledFrom([]int{7, 30, 60, 240}).Draw(t, "rate"))
		now := begin.Add(time.Duration(rapid.IntRange(0, 100_000).Draw(t, "offset")) * time.Millisecond)
		b := paced(rate, 1, "a", "b")
		b.Pools[0].Endpoints = engines
		var loads []time.Time
		for i := range engines {
			c := NewCore(CoreConfig{Endpoint: fmt.Sprint("llm-", i+1), Pool: "llm", Start: begin})
			c.Bundle(b)
			e := &engine{}
			at := now
			for range 2 {
				for before := len(e.models); len(e.models) == before; {
					at = runCore(c, e, at, TickInterval)
				}
				loads = append(loads, at)
			}
			assert.Assert(t, at.Sub(now) <= 2*time.Duration(float64(engines)/rate*float64(time.Minute))+time.Second)
		}
		slices.SortFunc(loads, time.Time.Compare)
		for i := range loads {
			within := 0
			for _, at := range loads[i:] {
				if at.Before(loads[i].Add(time.Minute)) {
					within++
				}
			}
			assert.Assert(t, within <= int(rate)+1, "%d loads in a minute", within)
		}
	})
}

// Guards against an agent that was paused while a bundle dropped a model. When
// it resumes, the engine lacks a model that the agent's own bundle still names.
// It must give the newer bundle time to arrive before it decides anything.
func TestResumedControllerWaitsForBundles(t *testing.T) {
	e, c := &engine{models: []string{"a"}}, newCore(begin)
	c.Bundle(models(1, "a"))
	now := runCore(c, e, begin, 2*time.Second).Add(time.Minute)
	e.models = nil
	now = runCore(c, e, now, resumeDelay-TickInterval)
	assert.Equal(t, len(e.accepted), 0)
	c.Bundle(models(2, "b"))
	runCore(c, e, now, 2*time.Second)
	assert.DeepEqual(t, e.models, []string{"b"})
}

func TestLeavingControllerSendsNoOrders(t *testing.T) {
	e, c := &engine{}, newCore(begin)
	c.Bundle(models(1, "a"))
	c.SetLeaving(true)
	now := runCore(c, e, begin, time.Minute)
	assert.Equal(t, len(e.accepted), 0)
	c.SetLeaving(false)
	runCore(c, e, now, time.Second)
	assert.DeepEqual(t, e.models, []string{"a"})
}

// Guards against an agent that is paused between the decision and the sending
// of an order, while its VM is replaced and the successor loads what a newer
// bundle names. When the agent resumes, its order must have no effect, on
// engines that check fencing numbers and on those that do not.
func TestResumedControllerSendsNothing(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		e := &engine{fencing: fencing}
		old, fresh := newCore(begin), newCore(begin.Add(time.Minute))
		old.Bundle(models(1, "a"))
		h, _ := e.Health(context.Background())
		old.RecordState(begin, begin, h)
		late, ok := old.Tick(begin)
		assert.Assert(t, ok)
		resumedAt := begin.Add(time.Minute)
		fresh.Bundle(models(2, "b"))
		resumedAt = runCore(fresh, e, resumedAt, time.Second)
		assert.Assert(t, !old.Commit(resumedAt, late.Order))
		assert.DeepEqual(t, e.models, []string{"b"})
		if fencing {
			assert.Assert(t, e.Order(context.Background(), late.Order) != nil, "the engine accepted a stale order")
			runCore(old, e, resumedAt, time.Minute)
			assert.DeepEqual(t, e.models, []string{"b"})
		}
	}
}

// Checks that, with any sequence of pauses, lost replies and bundles, an engine
// that checks fencing numbers executes no order of a predecessor unless its
// bundle is newer than each under which an order of the successor was executed.
func TestFencesOnlyGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &engine{fencing: true}
		now := begin
		cores := []*Core{newCore(begin), newCore(begin.Add(time.Millisecond * time.Duration(rapid.IntRange(1000, 5000).Draw(t, "later"))))}
		pending := make([]*endpoint.Order, len(cores))
		var executed uint64 // the highest version under which an order of the successor was executed
		for range 60 {
			i := rapid.IntRange(0, 1).Draw(t, "giver")
			c := cores[i]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				now = now.Add(rapid.SampledFrom([]time.Duration{TickInterval, 5 * time.Second}).Draw(t, "pass"))
			case 1:
				c.Bundle(models(uint64(rapid.IntRange(1, 3).Draw(t, "version")), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model")))
			case 2:
				h, _ := e.Health(context.Background())
				c.RecordState(now, now, h)
			case 3:
				if decision, ok := c.Tick(now); ok {
					pending[i] = &decision.Order
				}
			case 4:
				if pending[i] == nil || !c.Commit(now, *pending[i]) {
					break
				}
				err := e.Order(context.Background(), *pending[i])
				version := pending[i].Fence >> versionShift
				if err == nil && i == 1 {
					executed = max(executed, version)
				}
				assert.Assert(t, err != nil || i == 1 || version > executed, "the engine executed an order of the predecessor")
				if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					err = &endpoint.Error{Written: true, Lost: true, Err: errors.New("lost")}
				}
				c.Done(now, *pending[i], err)
				pending[i] = nil
			}
		}
	})
}

func TestControllerLoadsModel(t *testing.T) {
	e := &engine{ordered: make(chan struct{})}
	g := New(Config{Core: CoreConfig{Endpoint: "ep-1", Pool: "llm"}, Engine: e, Log: zerolog.Nop()})
	g.ApplyBundle(&bundle.Verified{Bundle: models(1, "a")})
	g.Start()
	defer g.Stop()
	select {
	case <-e.ordered:
	case <-time.After(10 * time.Second):
		t.Fatal("not loaded")
	}
	h, _ := e.Health(context.Background())
	assert.DeepEqual(t, h.Models, []string{"a"})
}

package order

import (
	"context"
	"errors"
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
	return &bundle.Bundle{Version: version, Pools: []bundle.Pool{{Name: "llm", Models: names}}}
}

// engine is an engine that loads at once.
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

func newCore(start time.Time, interval time.Duration) *Core {
	return NewCore(CoreConfig{Endpoint: "ep-1", Pool: "llm", Giver: "agent", Start: start, LoadInterval: interval})
}

// live lets a core run for a while against an engine.
func live(c *Core, e *engine, from time.Time, d time.Duration) time.Time {
	now := from
	for ; now.Before(from.Add(d)); now = now.Add(TickInterval) {
		h, _ := e.Health(context.Background())
		c.Look(now, now, h)
		if give, ok := c.Tick(now); ok && c.Commit(now, give.Order) {
			c.Done(now, give.Order, e.Order(context.Background(), give.Order))
		}
	}
	return now
}

func TestLoadsArePacedAndUnloadsWait(t *testing.T) {
	e, c := &engine{}, newCore(begin, 10*time.Second)
	c.Bundle(begin, models(1, "a", "b"))
	now := live(c, e, begin, 15*time.Second)
	assert.DeepEqual(t, e.models, []string{"a"})
	now = live(c, e, now, 10*time.Second)
	assert.DeepEqual(t, e.models, []string{"a", "b"})
	c.Bundle(now, models(2, "b", "c"))
	now = live(c, e, now, 20*time.Second)
	assert.DeepEqual(t, e.models, []string{"a", "b", "c"})
	live(c, e, now, 20*time.Second)
	assert.DeepEqual(t, e.models, []string{"b", "c"})
	assert.Equal(t, len(e.accepted), 4)
}

// An agent is stopped with an order in its hands, its VM is replaced, and the
// successor has loaded what a newer bundle wants. When the first one wakes, its
// order must do nothing, on engines that check numbers and on those that don't.
func TestWokenGiverDoesNothing(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		e := &engine{fencing: fencing}
		old, fresh := newCore(begin, 0), newCore(begin.Add(time.Minute), 0)
		old.Bundle(begin, models(1, "a"))
		h, _ := e.Health(context.Background())
		old.Look(begin, begin, h)
		late, ok := old.Tick(begin)
		assert.Assert(t, ok)
		wake := begin.Add(time.Minute)
		fresh.Bundle(wake, models(2, "b"))
		wake = live(fresh, e, wake, time.Second)
		assert.Assert(t, !old.Commit(wake, late.Order))
		assert.DeepEqual(t, e.models, []string{"b"})
		if fencing {
			assert.Assert(t, e.Order(context.Background(), late.Order) != nil, "nor past the last check")
			live(old, e, wake, time.Minute)
			assert.DeepEqual(t, e.models, []string{"b"})
		}
	}
}

// Whatever stops, lost replies and bundles come between, a fencing engine never
// obeys a predecessor after its successor under the same bundle.
func TestFencesOnlyGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &engine{fencing: true}
		now := begin
		givers := []*Core{newCore(begin, 0), newCore(begin.Add(time.Millisecond*time.Duration(rapid.IntRange(1000, 5000).Draw(t, "later"))), 0)}
		held := make([]*endpoint.Order, len(givers))
		var obeyed uint64 // the highest version under which the successor was obeyed
		for range 60 {
			i := rapid.IntRange(0, 1).Draw(t, "giver")
			c := givers[i]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				now = now.Add(rapid.SampledFrom([]time.Duration{TickInterval, 5 * time.Second}).Draw(t, "pass"))
			case 1:
				c.Bundle(now, models(uint64(rapid.IntRange(1, 3).Draw(t, "version")), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model")))
			case 2:
				h, _ := e.Health(context.Background())
				c.Look(now, now, h)
			case 3:
				if give, ok := c.Tick(now); ok {
					held[i] = &give.Order
				}
			case 4:
				if held[i] == nil || !c.Commit(now, *held[i]) {
					break
				}
				err := e.Order(context.Background(), *held[i])
				version := held[i].Fence >> versionShift
				if err == nil && i == 1 {
					obeyed = max(obeyed, version)
				}
				assert.Assert(t, err != nil || i == 1 || version > obeyed, "a predecessor was obeyed")
				if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					err = &endpoint.Error{Written: true, Lost: true, Err: errors.New("lost")}
				}
				c.Done(now, *held[i], err)
				held[i] = nil
			}
		}
	})
}

func TestGiverLoadsOverItsShell(t *testing.T) {
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

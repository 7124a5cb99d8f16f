package agent

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/wire"
)

// toggledProtocol is an endpoint that the test can take down.
type toggledProtocol struct{ down atomic.Bool }

func (p *toggledProtocol) Run(context.Context, endpoint.Call, func(int, string)) (endpoint.Result, error) {
	return endpoint.Result{}, &endpoint.Error{Err: errors.New("not used")}
}

func (p *toggledProtocol) Health(context.Context) (endpoint.Health, error) {
	if p.down.Load() {
		return endpoint.Health{}, errors.New("down")
	}
	return endpoint.Health{Up: true}, nil
}

// An endpoint crashes and comes back, and later its VM leaves. Each change must
// be announced to entries that send it nothing meanwhile; otherwise they refuse
// clients although the endpoint is back, or learn from a refused call that it
// is leaving.
func TestChangesOfAvailabilityAreAnnounced(t *testing.T) {
	p := &toggledProtocol{}
	announced := make(chan struct{}, 16)
	a := New(Config{
		Process: wire.Process{Name: "ep-1", Incarnation: "i1", Role: wire.RoleAgent}, Endpoint: "ep-1", Pool: "orders",
		Protocol: p, Log: zerolog.Nop(), Announce: func() { announced <- struct{}{} },
	})
	a.ApplyBundle(&bundle.Verified{Bundle: testBundle(1), Head: wire.BundleHead{Version: 1}})
	a.Start()
	defer a.Stop()
	await := func(what string, condition func(wire.AgentReport) bool) {
		t.Helper()
		limit := time.After(testWait)
		for {
			select {
			case <-announced:
				if condition(a.Report()) {
					return
				}
			case <-limit:
				t.Fatal("not announced: " + what)
			}
		}
	}
	p.down.Store(true)
	await("down", func(r wire.AgentReport) bool { return r.Down })
	p.down.Store(false)
	await("back", func(r wire.AgentReport) bool { return !r.Down })
	a.SetLeaving(true)
	await("leaving", func(r wire.AgentReport) bool { return r.Draining })
	assert.Equal(t, len(announced), 0, "announced without a change of availability")
}

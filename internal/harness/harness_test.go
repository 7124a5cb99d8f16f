package harness_test

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/fake"
	"github.com/mangostage/mangostage/internal/harness"
)

const (
	catalogue   = "catalogue"
	waitTimeout = 30 * time.Second
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

func TestFaultsShowAndHeal(t *testing.T) {
	fleet := harness.Start(t, harness.Config{
		Pools:          map[string]int{catalogue: 1},
		ProxyPeers:     true,
		ProxyEndpoints: true,
		ProxyPlatform:  true,
	})
	send := func(marker string) *harness.Reply {
		return fleet.Send(t.Context(), 0, harness.Call{
			Pipeline: catalogue, Input: harness.Marker(marker), Timeout: time.Second,
		})
	}
	answered := func(marker string) {
		t.Helper()
		reply := send(marker)
		assert.NilError(t, reply.Err)
		assert.Equal(t, reply.Outcome(), api.OutcomeAnswered, "%s", reply.Body)
		assert.Equal(t, string(reply.Answer.Output), string(harness.Expect(fleet.Bundle, catalogue, harness.Marker(marker))))
		assert.Equal(t, fleet.Runs(marker), 1)
	}
	answered("first")

	toAgent := fleet.Link("entry-1", "catalogue-1")
	toAgent.Cut()
	assert.Equal(t, send("cut off").Outcome(), api.OutcomeRefused)
	assert.Equal(t, fleet.Runs("cut off"), 0)
	toAgent.Heal()
	fleet.WaitEntry(0, waitTimeout)

	toEndpoint := fleet.EndpointLink("catalogue-1")
	toEndpoint.Drop(harness.Downstream)
	assert.Assert(t, send("unanswered").Outcome() != api.OutcomeAnswered)
	toEndpoint.Heal()
	fleet.WaitEntry(0, waitTimeout)

	fleet.Entry(0).Kill()
	assert.Assert(t, send("dead").Err != nil)
	fleet.Entry(0).Restart()
	fleet.WaitEntry(0, waitTimeout)
	answered("last")
}

func TestEndpointsInSeparateProcess(t *testing.T) {
	fleet := harness.Start(t, harness.Config{
		Pools:             map[string]int{catalogue: 2, "encoders": 1, "retrievers": 1, "fitting-engines": 1},
		SeparateEndpoints: true,
		ProxyEndpoints:    true,
	})
	for _, pipeline := range []string{catalogue, "fitting-notes"} {
		input := harness.Marker(pipeline)
		reply := fleet.Send(t.Context(), 1, harness.Call{Pipeline: pipeline, Input: input})
		assert.Equal(t, reply.Outcome(), api.OutcomeAnswered, "%s", reply.Body)
		assert.Equal(t, fleet.Runs(pipeline), len(fleet.Bundle.Pipeline(pipeline).Stages))
	}
	stalled := true
	fleet.Endpoint("catalogue-1").Apply(fake.Control{Stall: &stalled})
	fleet.EndpointsProcess().Stop()
	fleet.EndpointsProcess().Cont()
}

func TestProcessesObeySignals(t *testing.T) {
	fleet := harness.Start(t, harness.Config{Pools: map[string]int{catalogue: 2}, ProxyPlatform: true})
	fleet.PlatformLink("entry-1").Cut()
	agent := fleet.Agent("catalogue-1")
	agent.Stop()
	agent.Cont()
	agent.Term()
	assert.Equal(t, agent.WaitExit(waitTimeout), 0)
	assert.Assert(t, agent.LogHas(`"message":"draining"`))
	agent.Restart()
	fleet.PlatformLink("entry-1").Heal()
	fleet.WaitReady(waitTimeout)

	fleet.SetVMState("vm-catalogue-1", confsvc.VMLeaving)
	harness.Wait(t, waitTimeout, func() error { return fleet.CheckUnusable(0, "catalogue-1") })
	fleet.Endpoint("catalogue-2").Apply(fake.Control{Crash: true})
	assert.Equal(t, fleet.Endpoint("catalogue-2").Counts().Crashes, 1)
	fleet.Publish(fleet.YAML(nil))
	harness.Wait(t, waitTimeout, func() error { return fleet.CheckBundleVersion(fleet.Bundle.Version + 1) })
}

package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/fake"
	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/internal/testwait"
)

const (
	// baseModel is the model that the pipelines of the example need.
	baseModel = "fitting-notes-13b"
	oldModel  = "old-model"
	newModel  = "new-model"
	// agentPause is long enough for the agent to detect the pause, and shorter than the
	// time after which it gives up a connection.
	agentPause = 1400 * time.Millisecond
	// loadsPerMinute is a rate of one load a second.
	loadsPerMinute = 60
)

// loadedModels returns the models that an engine reports as loaded.
func loadedModels(t *testing.T, e *harness.Endpoint) ([]string, error) {
	client, err := endpoint.New(string(bundle.ProtocolEngine), e.URL())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	h, err := client.Health(ctx)
	return h.Models, err
}

// awaitModel waits until an engine has loaded a model.
func awaitModel(t *testing.T, e *harness.Endpoint, model string) {
	t.Helper()
	harness.Wait(t, waitTimeout, func() error {
		models, err := loadedModels(t, e)
		if err == nil && !slices.Contains(models, model) {
			err = errorx.IllegalState.New("%s has loaded %v", e.Name, models)
		}
		return err
	})
}

// bundleWithModels returns a bundle with the version and these models of the engines.
func bundleWithModels(fleet *harness.Fleet, version uint64, models ...string) []byte {
	return fleet.YAML(func(b *bundle.Bundle) {
		b.Version = version
		b.Pool(poolEngines).Models = models
	})
}

// orderLine is a log line of an agent's controller about an order to its engine.
type orderLine struct {
	Message  string `json:"message"`
	Process  string `json:"process"`
	Endpoint string `json:"endpoint"`
	Order    string `json:"order"`
	Model    string `json:"model"`
	// Error says why the order was not sent.
	Error string `json:"error"`
}

// Messages of order lines: the decision on an order, and its result.
const (
	decisionMessage = "placement"
	orderMessage    = "order"
)

// orderLines returns the order lines with the message in the log of a process.
func orderLines(p *harness.Process, message string) []orderLine {
	var list []orderLine
	for text := range bytes.Lines(p.Log()) {
		var line orderLine
		if json.Unmarshal(text, &line) == nil && line.Message == message {
			list = append(list, line)
		}
	}
	return list
}

// TestModelLoadsKeepToTheRate guards against model loads that overload the weight
// store. Six engines start at the same time without the model that the bundle names.
// If all loaded at once, the store would reject most of them. The loads must come one
// by one at the bundle's rate, one for each engine, ordered by the agent of the
// engine and with a log line for the decision.
func TestModelLoadsKeepToTheRate(t *testing.T) {
	const engines = 6
	began := time.Now()
	fleet := harness.Start(t, harness.Config{
		Pools:  map[string]int{poolEngines: engines},
		Edit:   func(b *bundle.Bundle) { b.Policy.ModelLoadsPerMinute = loadsPerMinute },
		Engine: func(_ *bundle.Pool, s *fake.EngineSettings) { s.Models, s.RequireModel = nil, true },
	})
	var loads []time.Time
	harness.Wait(t, waitTimeout, func() error {
		now, n := time.Now(), 0
		for _, e := range fleet.PoolEndpoints(poolEngines) {
			n += e.Counts().OrdersToLoad
		}
		for len(loads) < n {
			loads = append(loads, now)
		}
		if n < engines {
			return errorx.IllegalState.New("%d loads", n)
		}
		return nil
	})
	for _, e := range fleet.PoolEndpoints(poolEngines) {
		awaitModel(t, e, baseModel)
		agent := fleet.Agent(e.Name)
		decided, sent := orderLines(agent, decisionMessage), orderLines(agent, orderMessage)
		assert.Equal(t, len(decided), 1)
		assert.Equal(t, len(sent), 1)
		assert.Equal(t, sent[0].Endpoint, e.Name)
		assert.Equal(t, sent[0].Process, e.Name)
		assert.Equal(t, e.Counts().OrdersToLoad, 1)
	}
	last := loads[len(loads)-1].Sub(loads[0])
	t.Logf("%d loads, %v from the first to the last, %v after the start", len(loads), last, loads[len(loads)-1].Sub(began))
	// There are five intervals between six loads; a load may be late within its own.
	assert.Assert(t, last >= (engines-2)*time.Minute/loadsPerMinute, "%v from the first load to the last", last)
}

// engineFleet starts a fleet with one engine, and a gate through which the agent
// reaches the engine.
func engineFleet(t *testing.T, ignoreFence bool) (*harness.Fleet, *harness.Gate) {
	gate := harness.NewGate(t)
	fleet := harness.Start(t, harness.Config{
		Pools:      map[string]int{poolEngines: 1},
		Edit:       func(b *bundle.Bundle) { b.Policy.ModelLoadsPerMinute = loadsPerMinute },
		Engine:     func(_ *bundle.Pool, s *fake.EngineSettings) { s.IgnoreFence = ignoreFence },
		AgentFlags: []string{"--endpoint-url=" + gate.URL()},
		NoWait:     true,
	})
	engine, err := url.Parse(fleet.Endpoint(engineName).URL())
	assert.NilError(t, err)
	gate.SetUpstream(engine.Host)
	fleet.WaitReady(waitTimeout)
	return fleet, gate
}

const engineName = poolEngines + "-1"

// awaitDecision waits until the agent has decided to load a model.
func awaitDecision(t *testing.T, agent *harness.Process, model string) {
	t.Helper()
	harness.Wait(t, waitTimeout, func() error {
		for _, line := range orderLines(agent, decisionMessage) {
			if line.Model == model {
				return nil
			}
		}
		return errorx.IllegalState.New("no decision on %s", model)
	})
}

// TestWokenAgentWithholdsStaleOrder guards against outdated orders after a freeze. An
// agent decides on an order and is frozen before it has a connection to write it to.
// Meanwhile the bundle changes, so that the order is wrong. The connection is ready
// when the agent wakes, and the engine does not check fencing numbers. The agent itself
// must withhold the order and follow the new bundle.
func TestWokenAgentWithholdsStaleOrder(t *testing.T) {
	fleet, gate := engineFleet(t, true)
	agent, engine := fleet.Agent(engineName), fleet.Endpoint(engineName)
	gate.Fill()
	fleet.Publish(bundleWithModels(fleet, 2, baseModel, oldModel))
	awaitDecision(t, agent, oldModel)
	agent.Stop()
	stopped := time.Now()
	gate.Open()
	fleet.Publish(bundleWithModels(fleet, 3, baseModel, newModel))
	// The kernel completes the connection of the frozen process.
	harness.Wait(t, waitTimeout, gate.CheckConnected)
	waitUntil(stopped, agentPause)
	agent.Cont()
	awaitModel(t, engine, newModel)
	assert.Equal(t, engine.Counts().OrdersToLoad, 1, "the old order was sent too")
	withheld := slices.DeleteFunc(orderLines(agent, orderMessage), func(l orderLine) bool { return l.Error == "" })
	assert.Equal(t, len(withheld), 1)
	t.Logf("withheld: %s", withheld[0].Error)
	models, err := loadedModels(t, engine)
	assert.NilError(t, err)
	assert.DeepEqual(t, models, []string{baseModel, newModel})
}

// TestDelayedOrderIsFenced guards against old orders that arrive late. An agent has
// written an order, which the network delays; the agent is frozen and its VM is
// replaced. The successor has sent orders under a newer bundle when the old order
// arrives. An engine that checks fencing numbers refuses it. One that does not check
// them obeys it and keeps an unneeded model, because no process can withhold the order
// any more; this case remains possible.
func TestDelayedOrderIsFenced(t *testing.T) {
	for _, ignoreFence := range []bool{false, true} {
		t.Run(fmt.Sprintf("ignoreFence=%v", ignoreFence), func(t *testing.T) {
			fleet, gate := engineFleet(t, ignoreFence)
			agent, engine := fleet.Agent(engineName), fleet.Endpoint(engineName)
			gate.Hold()
			fleet.Publish(bundleWithModels(fleet, 2, baseModel, oldModel))
			awaitDecision(t, agent, oldModel)
			harness.Wait(t, waitTimeout, gate.CheckWaiting)
			agent.Stop()
			fleet.Publish(bundleWithModels(fleet, 3, baseModel, newModel))
			fleet.ReplaceAgent(engineName)
			awaitModel(t, engine, newModel)
			gate.Open()
			harness.Wait(t, waitTimeout, func() error {
				if c := engine.Counts(); c.StaleRefused+c.StaleAccepted == 0 {
					return errorx.IllegalState.New("the old order has not arrived")
				}
				return nil
			})
			counts := engine.Counts()
			t.Logf("old orders refused by the engine: %d, obeyed: %d", counts.StaleRefused, counts.StaleAccepted)
			if ignoreFence {
				assert.Equal(t, counts.StaleAccepted, 1)
				return
			}
			assert.Equal(t, counts.StaleRefused, 1)
			agent.Cont()
			fleet.WaitReady(waitTimeout)
			models, err := loadedModels(t, engine)
			assert.NilError(t, err)
			assert.DeepEqual(t, models, []string{baseModel, newModel})
			assert.Equal(t, engine.Counts().OrdersToLoad, 1)
		})
	}
}

// TestLeavingAgentGivesNoOrders guards against engines with two controllers. An
// engine's VM leaves the fleet, and the bundle then names another model. The agent of
// the leaving VM must send no more orders; only its successor at the engine does.
func TestLeavingAgentGivesNoOrders(t *testing.T) {
	fleet := harness.Start(t, harness.Config{
		Pools:  map[string]int{poolEngines: 1},
		Edit:   func(b *bundle.Bundle) { b.Policy.ModelLoadsPerMinute = loadsPerMinute },
		Engine: func(_ *bundle.Pool, s *fake.EngineSettings) { s.IgnoreFence = true },
	})
	leaving := fleet.Agent(engineName)
	fleet.SetVMState(leaving.VM, confsvc.VMLeaving)
	harness.Wait(t, waitTimeout, func() error { return fleet.CheckUnusable(0, engineName) })
	fleet.Publish(bundleWithModels(fleet, 2, baseModel, newModel))
	harness.Wait(t, waitTimeout, func() error { return fleet.CheckBundleVersion(2) })
	// Wait for the time of three loads.
	waitUntil(time.Now(), 3*time.Minute/loadsPerMinute)
	assert.Equal(t, len(orderLines(leaving, decisionMessage)), 0)
	old := fleet.ReplaceAgent(engineName)
	awaitModel(t, fleet.Endpoint(engineName), newModel)
	assert.Equal(t, len(orderLines(old, decisionMessage)), 0)
	// The agent writes the line when the engine has answered, shortly after the
	// engine reports the model as loaded.
	testwait.For(t, waitTimeout, func() bool { return len(orderLines(fleet.Agent(engineName), orderMessage)) > 0 })
	assert.Equal(t, len(orderLines(fleet.Agent(engineName), orderMessage)), 1)
}

package slopes

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/agent"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/limit"
	"github.com/mangostage/mangostage/pipeline"
	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/wire"
)

// newAgentCore returns a core that takes calls, with the bundle in force.
func newAgentCore(b *bundle.Bundle) *agent.Core {
	core := agent.NewCore(agent.CoreConfig{
		Process:  wire.Process{Name: endpointName(0), Incarnation: incarnation, Role: wire.RoleAgent, Domain: domainName(0)},
		Endpoint: endpointName(0), Pool: poolName(0), Start: epoch.Add(-time.Hour),
	})
	core.Configure(epoch, b)
	return core
}

func testBundle(tb testing.TB, accounts int) *bundle.Bundle {
	tb.Helper()
	b, err := bundle.Check("bundle", bundleYAML(accounts))
	assert.NilError(tb, err)
	return b
}

// runCall carries a call from its arrival to its answer and tells whether it ran.
func runCall(core *agent.Core, token agent.Token, call wire.StageCall, now time.Time) bool {
	for _, effect := range core.Arrive(now, token, call) {
		start, ok := effect.(agent.Start)
		if !ok {
			continue
		}
		if _, ok, _ := core.Commit(now, start.Run); !ok {
			return false
		}
		core.Finish(now, start.Run, endpoint.Result{Output: text(1024)}, nil)
		return true
	}
	return false
}

// BenchmarkAgentCall is one call through the agent's core, by the number of
// calls that it remembers.
func BenchmarkAgentCall(b *testing.B) {
	for _, held := range []int{0, 10_000, 60_000} {
		b.Run(fmt.Sprint(held), func(b *testing.B) {
			core := newAgentCore(testBundle(b, 10))
			for i := range held {
				core.Revoke(epoch, wire.Revoke{ID: stageCall(i, 64).ID, Until: epoch.Add(time.Minute), Incarnation: incarnation})
			}
			calls := make([]wire.StageCall, 4096)
			for i := range calls {
				calls[i] = stageCall(i, 1024)
			}
			b.ReportAllocs()
			ran := 0
			i := 0
			for b.Loop() {
				call := calls[i%len(calls)]
				call.ID.Attempt = 1 + i/len(calls)
				call.Identity.Value = call.ID.Request[4:]
				if i%len(calls) == 0 {
					b.StopTimer()
					core = refilled(b, held, core, i)
					b.StartTimer()
				}
				if runCall(core, agent.Token(i), call, epoch) {
					ran++
				}
				i++
			}
			assert.Equal(b, ran, i)
		})
	}
}

// refilled replaces a core whose tables hold the calls of one round.
func refilled(b *testing.B, held int, core *agent.Core, i int) *agent.Core {
	if i == 0 {
		return core
	}
	core = newAgentCore(testBundle(b, 10))
	for k := range held {
		core.Revoke(epoch, wire.Revoke{ID: stageCall(k, 64).ID, Until: epoch.Add(time.Minute), Incarnation: incarnation})
	}
	return core
}

// BenchmarkLimiter is one admission and its end, by the number of accounts that
// have asked within the last second.
func BenchmarkLimiter(b *testing.B) {
	idle := limit.Demand{Pool: poolName(0), Occupancy: route.Occupancy{Endpoints: 100, Capacity: 1600}, Hold: time.Second}
	full := idle
	full.Occupancy.InFlight, full.Occupancy.Queued, full.Occupancy.Service = 1600, 3200, 500*time.Millisecond
	for name, demand := range map[string]limit.Demand{"idle": idle, "saturated": full} {
		for _, size := range accountSizes {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				accounts := testBundle(b, size).Accounts
				limiter, err := limit.New(bundle.Policy{Name: bundle.PolicyAdaptive})
				assert.NilError(b, err)
				ask := func(i int) {
					account := &accounts[i%size]
					if limiter.Admit(epoch, account, entriesFull, demand).OK {
						limiter.Done(account, demand.Pool, epoch)
					}
				}
				for i := range size {
					ask(i)
				}
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					ask(i)
					i++
				}
			})
		}
	}
}

// BenchmarkBundle decodes, checks and verifies a published bundle.
func BenchmarkBundle(b *testing.B) {
	for _, size := range accountSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			keys, signed := signedBundle(b, size)
			b.ReportAllocs()
			for b.Loop() {
				_, err := bundle.Verify(keys, signed)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(signed)), "signed-B")
		})
	}
}

// BenchmarkTokenCores is one streamed token through the cores of an agent and
// an entry, without the wire.
func BenchmarkTokenCores(b *testing.B) {
	core := pipeline.New(pipeline.Config{Entry: "entry-001/" + incarnation, Picker: onePicker{}})
	a := admission(testBundle(b, 10), 0)
	a.Stream = true
	var id wire.CallID
	for _, effect := range core.Handle(epoch, a) {
		if call, ok := effect.(pipeline.Call); ok {
			id = call.ID
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		core.Handle(epoch, pipeline.StageChunk{StageChunk: wire.StageChunk{ID: id, Seq: i, Text: " word"}})
	}
}

// onePicker sends each attempt to the same endpoint.
type onePicker struct{}

// Pick implements pipeline.Picker.
func (onePicker) Pick(time.Time, *bundle.Policy, *route.Request) route.Decision {
	return route.Decision{Endpoint: &route.Endpoint{Name: endpointName(0)}, Candidates: 1, Considered: 1}
}

// admission is one request for a pipeline of a single stage.
func admission(b *bundle.Bundle, i int) pipeline.Admit {
	id := requestID(i)
	return pipeline.Admit{
		RequestID: id, Ref: uint64(i + 1),
		Identity: wire.Identity{Kind: wire.IdentityMinted, Value: id, BodyHash: hash(id)},
		Account:  &b.Accounts[0], Bundle: b,
		Pipeline: &bundle.Pipeline{Name: pipelineName(0), Stages: b.Pipelines[0].Stages[:1]},
		Deadline: epoch.Add(4 * time.Second), Input: text(1024),
	}
}

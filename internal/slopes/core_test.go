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

// newAgentCore returns an agent's core that has applied the bundle and accepts
// calls.
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

// runCall takes a call through the core from its arrival to its result and
// reports whether it ran.
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

// BenchmarkAgentCall measures one call through the agent's core, by the number
// of revoked calls that the core remembers.
func BenchmarkAgentCall(b *testing.B) {
	for _, revoked := range []int{0, 10_000, 60_000} {
		b.Run(fmt.Sprint(revoked), func(b *testing.B) {
			core := newAgentCore(testBundle(b, 10))
			for i := range revoked {
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
					core = renewCore(b, revoked, core, i)
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

// renewCore replaces the core after each round of calls, so that the calls of
// earlier rounds do not fill its tables. The first round (i is 0) keeps the core.
func renewCore(b *testing.B, revoked int, core *agent.Core, i int) *agent.Core {
	if i == 0 {
		return core
	}
	core = newAgentCore(testBundle(b, 10))
	for k := range revoked {
		core.Revoke(epoch, wire.Revoke{ID: stageCall(k, 64).ID, Until: epoch.Add(time.Minute), Incarnation: incarnation})
	}
	return core
}

// BenchmarkLimiter measures the admission of a request and its release, by the
// number of accounts that have sent requests within the last second.
func BenchmarkLimiter(b *testing.B) {
	idle := limit.Demand{Pool: poolName(0), Occupancy: route.Occupancy{Endpoints: 100, Capacity: 1600}, ServiceTime: time.Second}
	full := idle
	full.Occupancy.InFlight, full.Occupancy.Queued, full.Occupancy.Service = 1600, 3200, 500*time.Millisecond
	for name, demand := range map[string]limit.Demand{"idle": idle, "saturated": full} {
		for _, size := range accountSizes {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				accounts := testBundle(b, size).Accounts
				limiter, err := limit.New(bundle.Policy{Name: bundle.PolicyAdaptive})
				assert.NilError(b, err)
				admit := func(i int) {
					account := &accounts[i%size]
					if limiter.Admit(epoch, account, entriesFull, demand).OK {
						limiter.Done(account, demand.Pool, epoch)
					}
				}
				for i := range size {
					admit(i)
				}
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					admit(i)
					i++
				}
			})
		}
	}
}

// BenchmarkBundle measures the decoding, check and verification of a published
// bundle, by the number of its accounts.
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

// BenchmarkTokenCores measures one streamed token through the core of an entry,
// without the network.
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

// onePicker picks the same endpoint for each attempt.
type onePicker struct{}

// Pick implements pipeline.Picker.
func (onePicker) Pick(time.Time, *bundle.Policy, *route.Request) route.Decision {
	return route.Decision{Endpoint: &route.Endpoint{Name: endpointName(0)}, Candidates: 1, Considered: 1}
}

// admission returns the admission of a request for a pipeline with one stage.
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

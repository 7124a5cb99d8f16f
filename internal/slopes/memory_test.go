package slopes

import (
	"context"
	"fmt"
	"runtime"
	"runtime/metrics"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mangostage/mangostage/agent"
	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/limit"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/pipeline"
	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/wire"
)

const loopback = "127.0.0.1:0"

// reportGrowth reports the memory growth per item, for n items of the given unit.
func reportGrowth(b *testing.B, growth usage, n int, unit string) {
	b.ReportMetric(growth.bytes/float64(n), "B/"+unit)
	b.ReportMetric(0, "ns/op")
}

// BenchmarkMemoryConnection measures the memory and goroutines of one end of an
// idle connection between two nodes, by the number of connections.
func BenchmarkMemoryConnection(b *testing.B) {
	for _, secure := range []bool{false, true} {
		for _, size := range []int{10, 40, 160} {
			b.Run(fmt.Sprintf("tls=%t/%d", secure, size), func(b *testing.B) {
				var cfg peer.Config
				if secure {
					cfg.TLS = mutualTLS(b)
				}
				for range b.N {
					from, to := newNode(b, cfg), newNode(b, cfg)
					growth := measureGrowth(func() any { return connect(b, from, to, size) })
					reportGrowth(b, growth, 2*size, "end")
					b.ReportMetric(growth.goroutines/float64(2*size), "goroutines/end")
					from.node.Close()
					to.node.Close()
				}
			})
		}
	}
}

// BenchmarkConnect measures the processor time that both ends together need to
// establish a connection, by the number of connections.
func BenchmarkConnect(b *testing.B) {
	for _, secure := range []bool{false, true} {
		for _, size := range []int{10, 40, 160} {
			b.Run(fmt.Sprintf("tls=%t/%d", secure, size), func(b *testing.B) {
				var cfg peer.Config
				if secure {
					cfg.TLS = mutualTLS(b)
				}
				from, to := newNode(b, cfg), newNode(b, cfg)
				cpu := startCPU()
				connect(b, from, to, size)
				cpu.report(b, size)
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkMemoryPeak measures the peak growth of the heap while a bundle is
// verified, by the number of its accounts.
func BenchmarkMemoryPeak(b *testing.B) {
	for _, size := range accountSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			keys, signed := signedBundle(b, size)
			for range b.N {
				peak := peakHeapGrowth(func() {
					_, err := bundle.Verify(keys, signed)
					assert.NilError(b, err)
				})
				b.ReportMetric(peak, "peak-B")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// peakHeapGrowth samples the heap every millisecond while work runs and returns
// its peak growth in bytes.
func peakHeapGrowth(work func()) float64 {
	runtime.GC()
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	read := func() float64 {
		metrics.Read(sample)
		return float64(sample[0].Value.Uint64())
	}
	start := read()
	peak := start
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return max(peak, read()) - start
		case <-ticker.C:
			peak = max(peak, read())
		}
	}
}

// testNode is a listening node and its address.
type testNode struct {
	node    *peer.Node
	address string
}

func newNode(tb testing.TB, cfg peer.Config) testNode {
	tb.Helper()
	cfg.Hello = hello
	n := peer.NewNode(cfg, methods())
	address, err := n.Listen(loopback)
	assert.NilError(tb, err)
	tb.Cleanup(n.Close)
	return testNode{node: n, address: address.String()}
}

func hello() wire.Hello {
	r := agentReport(1)
	return wire.Hello{Process: r.Process, VM: "vm-" + r.Endpoint, Bundle: wire.BundleHead{Version: 1200, Hash: hash("bundle")}, Report: r}
}

// connect dials n connections and waits until the other node has accepted all.
func connect(tb testing.TB, from, to testNode, n int) []*peer.Conn {
	tb.Helper()
	conns := make([]*peer.Conn, n)
	for i := range conns {
		conn, err := from.node.Dial(context.Background(), to.address)
		assert.NilError(tb, err)
		conns[i] = conn
	}
	awaitConns(tb, to, n)
	return conns
}

func awaitConns(tb testing.TB, node testNode, n int) {
	tb.Helper()
	poll.WaitOn(tb, func(poll.LogT) poll.Result {
		if len(node.node.Conns()) == n {
			return poll.Success()
		}
		return poll.Continue("%d of %d connections", len(node.node.Conns()), n)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// BenchmarkMemoryRecord measures the memory of one request in the ledger, by the
// number of its records: three at an agent, eight at an entry for a pipeline of
// three stages, fourteen for one of six.
func BenchmarkMemoryRecord(b *testing.B) {
	for _, recordsPerRequest := range []int{3, 8, 14} {
		for _, size := range []int{1000, 8000, 64_000} {
			b.Run(fmt.Sprintf("records=%d/%d", recordsPerRequest, size), func(b *testing.B) {
				for range b.N {
					growth := measureGrowth(func() any { return filledLedger(size, recordsPerRequest) })
					reportGrowth(b, growth, size, "request")
				}
			})
		}
	}
}

func filledLedger(requests, recordsPerRequest int) *ledger.Store {
	store := ledger.NewStore(ledger.StoreConfig{MaxRequests: 4 * requests, MaxAge: time.Hour})
	for i := range requests {
		r := ledger.Record{
			Request: requestID(i), At: epoch, Process: "entry-001", Kind: ledger.KindFinished, Account: accountName(1),
			Pipeline: pipelineName(1), Stage: "stage-0", Endpoint: endpointName(i), Attempt: 1,
			State: api.StageDone, Duration: time.Second, Cost: time.Second,
		}
		for range recordsPerRequest {
			store.Add(r)
		}
	}
	return store
}

// BenchmarkMemoryAgent measures the memory that an agent's core keeps for a call
// that it ran, for an unrepeatable call that it ran ("order") and for a call that
// was revoked before it arrived ("tombstone").
func BenchmarkMemoryAgent(b *testing.B) {
	config := testBundle(b, 10)
	fill := map[string]func(core *agent.Core, i int){
		"call": func(core *agent.Core, i int) { runCall(core, agent.Token(i), stageCall(i, 64), epoch) },
		"order": func(core *agent.Core, i int) {
			call := stageCall(i, 64)
			call.Unrepeatable = true
			call.Binding = &wire.Binding{Agent: endpointName(0), Incarnation: incarnation}
			runCall(core, agent.Token(i), call, epoch)
		},
		"tombstone": func(core *agent.Core, i int) {
			core.Revoke(epoch, wire.Revoke{ID: stageCall(i, 64).ID, Until: epoch.Add(time.Minute), Incarnation: incarnation})
		},
	}
	for kind, add := range fill {
		for _, size := range []int{500, 1000, 3000} {
			b.Run(fmt.Sprintf("%s/%d", kind, size), func(b *testing.B) {
				for range b.N {
					core := newAgentCore(config)
					growth := measureGrowth(func() any {
						for i := range size {
							add(core, i)
						}
						return core
					})
					reportGrowth(b, growth, size, kind)
				}
			})
		}
	}
}

// BenchmarkMemoryAccount measures the memory of an account in a verified bundle
// and in a limiter.
func BenchmarkMemoryAccount(b *testing.B) {
	for _, size := range accountSizes {
		b.Run(fmt.Sprintf("bundle/%d", size), func(b *testing.B) {
			keys, signed := signedBundle(b, size)
			for range b.N {
				verify := func() any {
					v, err := bundle.Verify(keys, signed)
					assert.NilError(b, err)
					return v
				}
				verify()
				growth := measureGrowth(func() any { return []any{verify(), verify(), verify(), verify()} })
				reportGrowth(b, growth, 4*size, "account")
				b.ReportMetric(growth.bytes/4, "B/bundle")
			}
		})
		b.Run(fmt.Sprintf("limiter/%d", size), func(b *testing.B) {
			accounts := testBundle(b, size).Accounts
			demand := limit.Demand{Pool: poolName(0), ServiceTime: time.Second}
			for range b.N {
				growth := measureGrowth(func() any {
					limiter, err := limit.New(bundle.Policy{Name: bundle.PolicyAdaptive})
					assert.NilError(b, err)
					for i := range accounts {
						limiter.Admit(epoch, &accounts[i], entriesFull, demand)
					}
					return limiter
				})
				reportGrowth(b, growth, size, "account")
			}
		})
	}
}

// BenchmarkMemoryEndpoint measures the memory of an endpoint in a routing
// snapshot, including the agent's report.
func BenchmarkMemoryEndpoint(b *testing.B) {
	for _, size := range []int{100, 700, endpointsFull} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				growth := measureGrowth(func() any {
					endpoints := make([]*route.Endpoint, size)
					for i := range endpoints {
						r := agentReport(i)
						endpoints[i] = &route.Endpoint{
							Name: r.Endpoint, Pool: r.Pool, Domain: r.Process.Domain, Report: r, ReportedAt: epoch, Load: new(route.Load),
						}
					}
					return route.NewPool(poolName(0), "entry-001", endpoints)
				})
				reportGrowth(b, growth, size, "endpoint")
			}
		})
	}
}

// BenchmarkMemoryRequest measures the memory of an in-flight request with 1 KiB
// of input in the entry's core.
func BenchmarkMemoryRequest(b *testing.B) {
	config := testBundle(b, 10)
	for _, size := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				core := pipeline.New(pipeline.Config{Entry: "entry-001/" + incarnation, Picker: onePicker{}})
				growth := measureGrowth(func() any {
					for i := range size {
						core.Handle(epoch, admission(config, i))
					}
					return core
				})
				assert.Equal(b, core.InFlight(), size)
				reportGrowth(b, growth, size, "request")
			}
		})
	}
}

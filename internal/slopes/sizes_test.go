package slopes

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/examples"
	"github.com/mangostage/mangostage/wire"
)

const (
	// The fleet size that the system is designed for.
	entriesFull   = 360
	domainsFull   = 11
	accountsFull  = 2300
	modelsFull    = 21
	pipelinesFull = 20
	endpointsFull = 2100
	// poolsFull assumes one pool for each model.
	poolsFull = modelsFull
)

var (
	epoch        = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	accountSizes = []int{100, 800, accountsFull}
)

// usage is the memory in use, in bytes, and the number of goroutines.
type usage struct {
	bytes      float64
	goroutines float64
}

// measureGrowth returns the growth of memory and goroutines caused by build, whose
// result is kept alive. Memory is the heap after a garbage collection plus stacks.
func measureGrowth(build func() any) usage {
	before, count := inUse(), runtime.NumGoroutine()
	value := build()
	after := inUse()
	growth := usage{bytes: after - before, goroutines: float64(runtime.NumGoroutine() - count)}
	runtime.KeepAlive(value)
	return growth
}

// inUse returns the live heap and the stacks in bytes.
func inUse() float64 {
	// The second collection frees the objects released by finalizers that the
	// first one triggered.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) + float64(m.StackInuse)
}

// bundleYAML returns a bundle with the given number of accounts and with the
// pools, models and pipelines of the full size.
func bundleYAML(accounts int) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "version: 1\noperators:\n  - {name: operator, credential_sha256: [%s]}\naccounts:\n", hash("operator"))
	for i := range accounts {
		name := accountName(i)
		fmt.Fprintf(&text, "  - name: %s\n    credential_sha256: [%s]\n    weight: %d\n    priority: %d\n"+
			"    limit: {requests_per_second: 100, burst: 200, in_flight: 200}\n    pipelines: [%s, %s]\n",
			name, hash(name), 1+i%8, 10*(i%10), pipelineName(i), pipelineName(i+7))
	}
	text.WriteString("pools:\n")
	for i := range poolsFull {
		fmt.Fprintf(&text, "  - {name: %s, protocol: engine, endpoints: %d, concurrency: 16, queue: 64, models: [model-%d]}\n",
			poolName(i), endpointsFull/poolsFull, i)
	}
	text.WriteString("pipelines:\n")
	for i := range pipelinesFull {
		fmt.Fprintf(&text, "  - name: %s\n    deadline: 4s\n    stages:\n", pipelineName(i))
		for k := range 3 + i%4 {
			pool := (i + k) % poolsFull
			fmt.Fprintf(&text, "      - {name: stage-%d, pool: %s, model: model-%d, max_tokens: 512, typical: 150ms}\n", k, poolName(pool), pool)
		}
	}
	return []byte(text.String())
}

func accountName(i int) string  { return fmt.Sprintf("account-%04d", i) }
func poolName(i int) string     { return fmt.Sprintf("engines-%02d", i) }
func pipelineName(i int) string { return fmt.Sprintf("pipeline-%02d", i%pipelinesFull) }

func hash(name string) string {
	sum := sha256.Sum256([]byte(examples.CredentialPrefix + name))
	return hex.EncodeToString(sum[:])
}

// signedBundle returns a signed bundle and the public key to verify it.
func signedBundle(tb testing.TB, accounts int) ([]ed25519.PublicKey, []byte) {
	tb.Helper()
	public, private, err := bundle.GenerateKey()
	assert.NilError(tb, err)
	signed, err := bundle.Sign(private, bundleYAML(accounts))
	assert.NilError(tb, err)
	return []ed25519.PublicKey{public}, signed
}

// requestID returns a random request ID of the same length as an entry's.
func requestID(i int) string {
	random := make([]byte, 48)
	_, _ = rand.Read(random)
	return fmt.Sprintf("mr1.%s%08d", hex.EncodeToString(random), i)
}

// stageCall returns a call of a repeatable stage with an input of that many bytes.
func stageCall(i, input int) wire.StageCall {
	id := requestID(i)
	return wire.StageCall{
		ID:            wire.CallID{Request: id, Stage: "stage-0", Entry: "entry-001/" + incarnation, Attempt: 1},
		Identity:      wire.Identity{Kind: wire.IdentityMinted, Value: id, BodyHash: hash(id)},
		Account:       accountName(i % accountsFull),
		Pipeline:      pipelineName(i),
		Pool:          poolName(0),
		BundleVersion: 1,
		Weight:        1,
		Deadline:      epoch.Add(4 * time.Second),
		Budget:        4 * time.Second,
		Fingerprint:   hash(id),
		Input:         text(input),
	}
}

const incarnation = "0b1f3f0e-6d0c-4a55-8f0e-8c5d4f1c2a11"

// text returns a JSON string of that many bytes, quotes included.
func text(size int) []byte {
	return []byte(`"` + strings.Repeat("x", max(0, size-2)) + `"`)
}

// agentReport returns an agent's report on the i-th endpoint.
func agentReport(i int) wire.AgentReport {
	return wire.AgentReport{
		Process:  wire.Process{Name: endpointName(i), Incarnation: incarnation, Role: wire.RoleAgent, Domain: domainName(i)},
		Endpoint: endpointName(i), Pool: poolName(0), Seq: 123456, Capacity: 16, InFlight: 9, Queued: 1,
		P50: 412 * time.Millisecond, P95: 1031 * time.Millisecond, Models: []string{"model-0"},
	}
}

func endpointName(i int) string { return fmt.Sprintf("engines-00-%04d", i) }
func domainName(i int) string   { return fmt.Sprintf("domain-%02d", i%domainsFull) }

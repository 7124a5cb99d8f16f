package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/bundle"
)

// prefixEndpoints returns the chosen endpoint for each of a hundred prefixes.
func prefixEndpoints(t *testing.T, snap *Snapshot, seed uint64) map[uint64]string {
	t.Helper()
	r := newTestRouter(t, bundle.PolicyAdaptive)
	rng := rand.New(rand.NewPCG(seed, 1))
	chosen := map[uint64]string{}
	for hash := uint64(1); hash <= 100; hash++ {
		chosen[hash] = r.Pick(snap, &Request{Pool: "llm", AffinityHash: hash}, start, rng).Endpoint.Name
	}
	return chosen
}

// Cache events of engines arrive late and with gaps, so routing must not need
// them. Guards against a prefix that maps to different engines depending on the
// entry or the random source, and against the loss of one engine moving
// prefixes that were not mapped to it.
func TestPrefixStaysWithoutCacheEvents(t *testing.T) {
	endpoints := testEndpoints(12)
	before := prefixEndpoints(t, testSnapshot(endpoints), 1)
	other := &Snapshot{Domain: "domain-2", Pools: map[string]*Pool{"llm": NewPool("llm", "entry-2", endpoints)}}
	assert.DeepEqual(t, prefixEndpoints(t, other, 2), before)
	endpoints[4].State = StateEjected
	used := map[string]bool{}
	for hash, name := range prefixEndpoints(t, testSnapshot(endpoints), 3) {
		used[name] = true
		assert.Assert(t, name == before[hash] || before[hash] == endpoints[4].Name)
	}
	assert.Assert(t, len(used) >= 10, "%d engines used", len(used))
}

func TestPrefixYieldsToQueue(t *testing.T) {
	endpoints := testEndpoints(12)
	preferred := prefixEndpoints(t, testSnapshot(endpoints), 1)[1]
	for _, e := range endpoints {
		if e.Name == preferred {
			e.Report.InFlight = 12
		}
	}
	assert.Assert(t, prefixEndpoints(t, testSnapshot(endpoints), 1)[1] != preferred)
}

func TestRequestSentAgainMeetsItsEndpoint(t *testing.T) {
	r := newTestRouter(t, bundle.PolicyAdaptive)
	endpoints := testEndpoints(12)
	for _, e := range endpoints {
		e.Domain = "domain-0"
	}
	snap := testSnapshot(endpoints)
	req := &Request{ID: "request", Pool: "llm"}
	first := r.Pick(snap, req, start, rand.New(rand.NewPCG(1, 1))).Endpoint
	for seed := range uint64(20) {
		assert.Equal(t, r.Pick(snap, req, start, rand.New(rand.NewPCG(seed, 2))).Endpoint, first)
	}
}

// Guards against calls that queue on the full endpoints of an entry's subset
// while other endpoints of a large pool are idle.
func TestSubsetIsWidenedWhenFull(t *testing.T) {
	endpoints := testEndpoints(210)
	snap := testSnapshot(endpoints)
	for _, e := range Subset("entry-1", endpoints, subsetMin) {
		e.Report.InFlight = 8
	}
	r := newTestRouter(t, bundle.PolicyAdaptive)
	rng := rand.New(rand.NewPCG(1, 1))
	widened := 0
	for range 100 {
		d := r.Pick(snap, &Request{Pool: "llm", Remaining: time.Second}, start, rng)
		if d.Reason == ReasonWidened {
			assert.Equal(t, d.Endpoint.Report.InFlight, 0)
			widened++
		}
	}
	assert.Assert(t, widened >= 98, "%d of 100", widened)
}

func BenchmarkOccupancy(b *testing.B) {
	snap := testSnapshot(testEndpoints(2100))
	b.ReportAllocs()
	for b.Loop() {
		snap.Occupancy("llm", start.Add(time.Second))
	}
}

func BenchmarkRefresh(b *testing.B) {
	endpoints := testEndpoints(2100)
	b.Run("new", func(b *testing.B) {
		for b.Loop() {
			NewPool("llm", "entry-1", endpoints)
		}
	})
	b.Run("refresh", func(b *testing.B) {
		pool := NewPool("llm", "entry-1", endpoints)
		for b.Loop() {
			pool.Refresh("entry-1", endpoints)
		}
	})
}

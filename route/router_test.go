package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/wire"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func newTestRouter(t testing.TB, policy bundle.PolicyName) Router {
	t.Helper()
	r, err := NewRouter(bundle.Policy{Name: policy, Affinity: 0.5})
	assert.NilError(t, err)
	return r
}

// testEndpoints returns live, idle endpoints spread over three failure domains.
func testEndpoints(n int) []*Endpoint {
	endpoints := make([]*Endpoint, n)
	for i := range endpoints {
		endpoints[i] = &Endpoint{
			Name:       fmt.Sprintf("llm-%04d", i),
			Pool:       "llm",
			Domain:     fmt.Sprintf("domain-%d", i%3),
			Report:     wire.AgentReport{Capacity: 8, P50: 400 * time.Millisecond},
			ReportedAt: start,
			Load:       &Load{},
		}
	}
	return endpoints
}

func testSnapshot(endpoints []*Endpoint) *Snapshot {
	return &Snapshot{
		At:     start,
		Domain: "domain-0",
		Pools:  map[string]*Pool{"llm": NewPool("llm", "entry-1", endpoints)},
	}
}

func TestNewRouterUnknownPolicy(t *testing.T) {
	_, err := NewRouter(bundle.Policy{Name: "clever"})
	assert.ErrorContains(t, err, "clever")
}

func TestPickReasons(t *testing.T) {
	tests := map[string]struct {
		change func(endpoints []*Endpoint)
		req    Request
		name   string
		reason string
	}{
		"unknown pool":     {req: Request{Pool: "other"}, reason: ReasonUnknownPool},
		"local when idle":  {req: Request{Pool: "llm"}, name: "llm-0000", reason: ReasonLocal},
		"bound":            {req: Request{Pool: "llm", BoundTo: "llm-0002"}, name: "llm-0002", reason: ReasonBound},
		"bound to nothing": {req: Request{Pool: "llm", BoundTo: "llm-0009"}, reason: ReasonBoundUnavailable},
		"bound and ejected": {
			change: func(e []*Endpoint) { e[2].State = StateEjected },
			req:    Request{Pool: "llm", BoundTo: "llm-0002"}, name: "llm-0002", reason: ReasonBound,
		},
		"bound and leaving": {
			change: func(e []*Endpoint) { e[2].State = StateLeaving },
			req:    Request{Pool: "llm", BoundTo: "llm-0002"}, reason: ReasonBoundUnavailable,
		},
		"spills before it queues": {
			change: func(e []*Endpoint) { e[0].Report.InFlight, e[1].Report.InFlight = 7, 8 },
			req:    Request{Pool: "llm"}, name: "llm-0002", reason: ReasonRemote,
		},
		"stays local when all are as full": {
			change: func(e []*Endpoint) {
				for i := range e {
					e[i].Report.InFlight = 7
				}
			},
			req: Request{Pool: "llm"}, name: "llm-0000", reason: ReasonLocal,
		},
		"other model": {
			change: func(e []*Endpoint) {
				e[0].Report.Models, e[1].Report.Models, e[2].Report.Models = []string{"a"}, []string{"b"}, []string{"a"}
			},
			req: Request{Pool: "llm", Model: "b"}, name: "llm-0001", reason: ReasonRemote,
		},
		"straggler is avoided": {
			change: func(e []*Endpoint) {
				e[0].Report.P50 *= 10
				e[1].Report.InFlight = 4
			},
			req: Request{Pool: "llm"}, name: "llm-0002", reason: ReasonRemote,
		},
		"probation probe": {
			change: func(e []*Endpoint) { e[1].State = StateProbation },
			req:    Request{Pool: "llm", Remaining: 4 * time.Second}, name: "llm-0001", reason: ReasonProbation,
		},
		"no probe without slack": {
			change: func(e []*Endpoint) { e[1].State = StateProbation },
			req:    Request{Pool: "llm", Remaining: time.Second}, name: "llm-0000", reason: ReasonLocal,
		},
		"last resort": {
			change: func(e []*Endpoint) {
				e[0].State, e[1].State, e[2].State = StateEjected, StateLeaving, StateLeaving
			},
			req: Request{Pool: "llm"}, name: "llm-0000", reason: ReasonLastResort,
		},
		"all tried": {
			req:    Request{Pool: "llm", Tried: []Tried{{Endpoint: "llm-0000"}, {Endpoint: "llm-0001"}, {Endpoint: "llm-0002"}}},
			reason: ReasonAllTried,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			endpoints := testEndpoints(3)
			if test.change != nil {
				test.change(endpoints)
			}
			r := newTestRouter(t, bundle.PolicyAdaptive)
			// With this seed the draws reach each of the three endpoints.
			d := r.Pick(testSnapshot(endpoints), &test.req, start, rand.New(rand.NewPCG(1, 3)))
			assert.Equal(t, d.Reason, test.reason)
			if test.name == "" {
				assert.Assert(t, d.Endpoint == nil)
				return
			}
			assert.Equal(t, d.Endpoint.Name, test.name)
		})
	}
}

// drawEndpoints returns a pool of endpoints in random states.
func drawEndpoints(t *rapid.T) []*Endpoint {
	endpoints := testEndpoints(rapid.IntRange(0, 60).Draw(t, "size"))
	for _, e := range endpoints {
		e.State = rapid.SampledFrom([]State{StateLive, StateLive, StateLive, StateProbation, StateEjected, StateLeaving}).Draw(t, "state")
		e.Report.Down = rapid.IntRange(0, 9).Draw(t, "down") == 0
		e.Report.Draining = rapid.IntRange(0, 9).Draw(t, "draining") == 0
		e.Report.Capacity = rapid.IntRange(0, 16).Draw(t, "capacity")
		e.Report.InFlight = rapid.IntRange(0, 20).Draw(t, "in flight")
		e.Report.P50 = time.Duration(rapid.IntRange(0, 2000).Draw(t, "p50")) * time.Millisecond
		e.ReportedAt = start.Add(-time.Duration(rapid.IntRange(0, 40000).Draw(t, "age")) * time.Millisecond)
		e.Load.InFlight.Store(int64(rapid.IntRange(0, 10).Draw(t, "own")))
		e.Load.SentSinceReport.Store(int64(rapid.IntRange(0, 10).Draw(t, "sent")))
	}
	return endpoints
}

// TestPickAgainstFullScan checks each decision against an examination of every
// endpoint.
func TestPickAgainstFullScan(t *testing.T) {
	for _, policy := range []bundle.PolicyName{bundle.PolicyAdaptive, bundle.PolicyNaive} {
		t.Run(string(policy), func(t *testing.T) {
			r := newTestRouter(t, policy)
			rapid.Check(t, func(t *rapid.T) { checkPick(t, r.(*router), policy) })
		})
	}
}

func checkPick(t *rapid.T, r *router, policy bundle.PolicyName) {
	endpoints := drawEndpoints(t)
	snap := testSnapshot(endpoints)
	req := &Request{
		ID:           rapid.SampledFrom([]string{"", "r-1", "r-2"}).Draw(t, "id"),
		Pool:         "llm",
		AffinityHash: rapid.Uint64Range(0, 9).Draw(t, "affinity"),
		Remaining:    time.Duration(rapid.IntRange(0, 9000).Draw(t, "remaining")) * time.Millisecond,
	}
	for _, e := range endpoints {
		if rapid.IntRange(0, 5).Draw(t, "exclude") == 0 {
			tried := Tried{Endpoint: e.Name}
			if rapid.Bool().Draw(t, "lost") {
				tried.LostAt = start.Add(-20 * time.Second)
			}
			req.Tried = append(req.Tried, tried)
		}
	}
	if rapid.IntRange(0, 5).Draw(t, "heard") == 0 {
		req.ReportedAfter = start.Add(-20 * time.Second)
	}
	seed := rapid.Uint64().Draw(t, "seed")
	d := r.Pick(snap, req, start, rand.New(rand.NewPCG(seed, 1)))
	usable := map[State]int{}
	for _, e := range endpoints {
		if mayUse(e, req) {
			usable[e.State]++
		}
	}
	total := usable[StateLive] + usable[StateProbation] + usable[StateEjected]
	assert.Equal(t, d.Endpoint == nil, total == 0, "%+v", usable)
	if d.Endpoint == nil {
		return
	}
	assert.Assert(t, mayUse(d.Endpoint, req))
	if policy == bundle.PolicyNaive {
		return
	}
	if d.Endpoint.State == StateEjected {
		assert.Equal(t, usable[StateLive]+usable[StateProbation], 0)
	}
	if d.Endpoint.State == StateLive {
		checkBest(t, r, snap, req, d, seed)
	}
}

// mayUse tells, without the filters, whether e may be used for the request.
func mayUse(e *Endpoint, req *Request) bool {
	silent := !req.ReportedAfter.IsZero() && !req.ReportedAfter.Before(e.ReportedAt)
	if e.State == StateLeaving || e.Report.Down || e.Report.Draining || silent {
		return false
	}
	for _, t := range req.Tried {
		back := !t.LostAt.IsZero() && t.LostAt.Before(e.ReportedAt)
		if t.Endpoint == e.Name && !back {
			return false
		}
	}
	return true
}

// checkBest repeats the decision on a query whose sample is kept, and checks
// that no candidate has a lower plainScore than the chosen endpoint.
func checkBest(t *rapid.T, r *router, snap *Snapshot, req *Request, d Decision, seed uint64) {
	q := &Query{Snapshot: snap, Pool: snap.Pools["llm"], Request: req, Now: start, Rand: rand.New(rand.NewPCG(seed, 1))}
	again := r.picker.Pick(q, &r.chain)
	assert.Equal(t, again.Endpoint, d.Endpoint)
	sample := q.sample.candidates[:q.sample.size]
	known, sum := 0, time.Duration(0)
	for i := range sample {
		if p50 := sample[i].Endpoint.Report.P50; p50 > 0 {
			known, sum = known+1, sum+p50
		}
	}
	pool := 0.02
	if known > 0 {
		pool = sum.Seconds() / float64(known)
	}
	chosen := plainScore(q, d.Endpoint, pool)
	for i := range sample {
		score := plainScore(q, sample[i].Endpoint, pool)
		assert.Assert(t, chosen <= score+1e-9, "%s %v, %s %v", d.Endpoint.Name, chosen, sample[i].Endpoint.Name, score)
	}
}

// plainScore computes the score in one place, without plug-ins.
func plainScore(q *Query, e *Endpoint, pool float64) float64 {
	service := pool
	age := start.Sub(e.ReportedAt).Seconds()
	if p50 := e.Report.P50.Seconds(); p50 > 0 {
		keep := min(1, max(0, (30-age)/25))
		service = p50*keep + pool*(1-keep)
	}
	capacity := max(1, float64(e.Report.Capacity))
	reported := float64(e.Report.InFlight)
	if age > service {
		reported = max(0, reported-(age-service)*capacity/service/2)
	}
	load := max(reported+float64(e.Load.SentSinceReport.Load()), float64(e.Load.InFlight.Load()))
	busy := (load + 1) / capacity
	score := service * (1 + 1.5*min(1, busy) + max(0, busy-1))
	crossing := 0.002 + service/20
	if e.Domain != q.Snapshot.Domain {
		score += crossing
	}
	score += crossing * min(1, max(0, busy-0.75)*4)
	if e == q.prefixEndpoint && busy <= 1 {
		score -= service / 2
	}
	if e == q.identityEndpoint {
		score -= service / 20
	}
	return score
}

func TestRoundRobinTakesTurns(t *testing.T) {
	r := newTestRouter(t, bundle.PolicyNaive)
	snap := testSnapshot(testEndpoints(3))
	counts := map[string]int{}
	for range 9 {
		counts[r.Pick(snap, &Request{Pool: "llm"}, start, nil).Endpoint.Name]++
	}
	assert.DeepEqual(t, counts, map[string]int{"llm-0000": 3, "llm-0001": 3, "llm-0002": 3})
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []int{12, 210, 2100} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r := newTestRouter(b, bundle.PolicyAdaptive)
			endpoints := testEndpoints(size)
			for i, e := range endpoints {
				e.Report.InFlight = i % 8
			}
			snap := testSnapshot(endpoints)
			snap.Pools["llm"].Subset = SubsetSize(size, 3)
			rng := rand.New(rand.NewPCG(1, 2))
			req := &Request{ID: "request", Pool: "llm", Remaining: 4 * time.Second}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				req.AffinityHash = uint64(i)
				r.Pick(snap, req, start.Add(time.Second), rng)
			}
		})
	}
}

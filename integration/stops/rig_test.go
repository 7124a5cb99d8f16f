package stops

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
)

// stopsConfig has streams with long deadlines, plain requests that their deadline bounds, and
// plain requests with long deadlines.
const stopsConfig = `{"version":1,"routes":[
{"name":"stream","host":"shop.example","prefix":"/stream/","route_kind":"streaming","timeout_ms":15000,"slo_ms":2000,"service":"llm","max_attempts":2},
{"name":"bounded","host":"shop.example","prefix":"/bounded/","route_kind":"non_idempotent","timeout_ms":1500,"slo_ms":300,"service":"shop","max_attempts":2},
{"name":"report","host":"shop.example","prefix":"/report/","route_kind":"idempotent","timeout_ms":20000,"slo_ms":2000,"service":"shop","max_attempts":2}],
"services":[{"name":"llm","engine":{"slots":64,"kv_capacity":1000000}},{"name":"shop"}],
"tenants":[{"name":"acme","api_keys":["k1"]}]}`

// kinds are the routes of the clients.
var kinds = []string{"stream", "bounded", "report"}

const (
	stopGrace = 8 * time.Second
	// clientDeadline is the deadline that clients name.
	clientDeadline = 12 * time.Second
	// clientsPerGateway is the number of clients for each gateway, thinkTime their longest
	// pause between two requests.
	clientsPerGateway = 12
	thinkTime         = 300 * time.Millisecond
	// usualWork and longWork bound how long an endpoint works; one of longShare requests on
	// a route with a long deadline takes longWork.
	usualWork = 400 * time.Millisecond
	longWork  = 4500 * time.Millisecond
	longShare = 25
	// probeInterval is that of the balancer's readiness checks, maxMisses the number of failed
	// ones after which it sends a gateway no new connections.
	probeInterval = time.Second
	maxMisses     = 2
	startTimeout  = 30 * time.Second
)

// rig is a fleet of gateways behind a balancer, before endpoints that work for as long as a
// request's body says.
type rig struct {
	t        *testing.T
	gateways []*gateway

	mu sync.Mutex
	// ran holds the requests that an endpoint has run.
	ran map[string]bool
}

// gateway is one gateway process.
type gateway struct {
	*harness.Process
	frontend, ready string

	mu sync.Mutex
	// misses counts the failed readiness checks in a row; stopped is when the latest planned
	// stop began.
	misses  int
	stopped time.Time
}

func newRig(t *testing.T, n int) *rig {
	r := &rig{t: t, ran: make(map[string]bool)}
	store := standin.NewStore()
	storeAddr := harness.ServeHTTP(t, store)
	store.Put(platform.KeyConfig, []byte(stopsConfig))
	for i := range 3 {
		for _, service := range []string{"llm", "shop"} {
			id := fmt.Sprintf("%s-%d", service, i)
			e := &standin.Endpoint{ID: id, Answer: r.answer}
			store.PutEndpoint(id, standin.Entry{Service: service, Addr: harness.ServeHTTP(t, e), Domain: "z0", Slots: 64, State: "ready"})
		}
	}
	peers := make([]string, n)
	for i := range peers {
		peers[i] = harness.FreePort(t)
	}
	for i, peer := range peers {
		g := &gateway{frontend: harness.FreePort(t), ready: harness.FreePort(t)}
		g.Process = harness.StartGateway(t, platform.Settings{
			Name: fmt.Sprintf("g%d", i+1), Frontend: g.frontend, Ready: g.ready, Peer: peer, Store: storeAddr,
			Seeds: peers[:min(3, n)], Bounds: harness.GatewayBounds(stopGrace),
		})
		r.gateways = append(r.gateways, g)
	}
	for _, g := range r.gateways {
		testwait.For(t, startTimeout, g.isReady)
	}
	return r
}

// answer works for as long as the body says, and streams meanwhile.
func (r *rig) answer(w http.ResponseWriter, run standin.Run) {
	r.mu.Lock()
	r.ran[run.ID] = true
	r.mu.Unlock()
	d, _ := time.ParseDuration(string(run.Body))
	standin.Seal(w)
	if strings.HasPrefix(run.Target, "/stream/") {
		standin.WriteEvents(w, 1, 1)
		<-time.After(d)
		standin.WriteEvents(w, 2, 2)
		return
	}
	<-time.After(d)
	_, _ = io.WriteString(w, "done")
}

// hasRun reports whether an endpoint has run a request.
func (r *rig) hasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}

// isReady checks the readiness of the gateway.
func (g *gateway) isReady() bool { return harness.IsReady(g.ready) }

// probe checks the gateway's readiness until done is closed, as the balancer does.
func (g *gateway) probe(done <-chan struct{}) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		ready := g.isReady()
		g.mu.Lock()
		g.misses++
		if ready {
			g.misses = 0
		}
		g.mu.Unlock()
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

// chosen reports whether the balancer sends new connections to the gateway.
func (g *gateway) chosen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.misses < maxMisses
}

// sinceStop returns how long ago the latest planned stop began.
func (g *gateway) sinceStop() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped.IsZero() {
		return 0
	}
	return time.Since(g.stopped)
}

// balance chooses the gateway of a new connection: one in rotation, or any if there is none; another
// one than avoid, which may be nil, if there is one.
func (r *rig) balance(avoid *gateway) *gateway {
	var chosen, others []*gateway
	for _, g := range r.gateways {
		if g == avoid {
			continue
		}
		others = append(others, g)
		if g.chosen() {
			chosen = append(chosen, g)
		}
	}
	switch {
	case len(others) == 0:
		return avoid
	case len(chosen) == 0:
		chosen = others
	}
	return chosen[rand.IntN(len(chosen))]
}

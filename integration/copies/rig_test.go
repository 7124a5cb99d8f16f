package copies

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
)

// copiesConfig has requests that may run once: plain ones, streams, and streams with a stage.
const copiesConfig = `{"version":1,"routes":[
{"name":"staged","host":"shop.example","prefix":"/staged/","route_kind":"streaming","timeout_ms":6000,"slo_ms":2000,"service":"llm","max_attempts":2,"stages":[{"service":"stage","byte_count":100}]},
{"name":"stream","host":"shop.example","prefix":"/stream/","route_kind":"streaming","timeout_ms":6000,"slo_ms":2000,"service":"llm","max_attempts":2},
{"name":"order","host":"shop.example","prefix":"/order/","route_kind":"non_idempotent","timeout_ms":6000,"slo_ms":300,"service":"shop","max_attempts":2}],
"services":[{"name":"llm","engine":{"slots":64,"kv_capacity":1000000}},{"name":"shop"},
{"name":"stage","segments":{"slots":1,"queue":2,"batch":8,"call_ms":10,"item_ms":1,"headroom_mb":1,"handle_ttl_s":30}}],
"tenants":[{"name":"acme","api_keys":["k1"]}]}`

const (
	gatewayGrace = 8 * time.Second
	startTimeout = 30 * time.Second
	// refusals is how often a request is refused.
	refusals = 1
	// pieces is the number of pieces of a staged request, streamEvents that of a stream's events.
	pieces        = 3
	streamEvents  = 3
	runTime       = 5 * time.Millisecond
	clientTimeout = 10 * time.Second
)

// rig is gateways before endpoints that refuse each request once and send answers a second time.
type rig struct {
	t         *testing.T
	frontends []string
	listeners []*standin.CopyListener

	mu sync.Mutex
	// refused counts the refusals, runs the runs by request; foreign are the runs with inputs of
	// another request.
	refused, runs map[string]int
	foreign       []string
	// handles counts the results of stages.
	handles int
}

// newRig starts n gateways.
func newRig(t *testing.T, n int) *rig {
	r := &rig{t: t, refused: make(map[string]int), runs: make(map[string]int)}
	store := standin.NewStore()
	store.Put(platform.KeyConfig, []byte(copiesConfig))
	storeAddr := harness.ServeHTTP(t, store)
	for service, count := range map[string]int{"llm": 1, "shop": 2, "stage": 2} {
		for i := range count {
			id := fmt.Sprintf("%s-%d", service, i)
			handler := http.HandlerFunc(r.serveStage)
			if service != "stage" {
				handler = r.endpoint(id)
			}
			store.PutEndpoint(id, standin.Entry{Service: service, Addr: r.serveCopying(handler), Domain: "z0", Slots: 64, State: "ready"})
		}
	}
	peers := make([]string, n)
	for i := range peers {
		peers[i] = harness.FreePort(t)
	}
	for i, peer := range peers {
		frontend, ready := harness.FreePort(t), harness.FreePort(t)
		harness.StartGateway(t, platform.Settings{
			Name: fmt.Sprintf("g%d", i+1), Frontend: frontend, Ready: ready, Peer: peer, Store: storeAddr,
			Seeds: peers, Bounds: harness.GatewayBounds(gatewayGrace),
		})
		r.frontends = append(r.frontends, frontend)
		testwait.For(t, startTimeout, func() bool { return harness.IsReady(ready) })
	}
	return r
}

// serveCopying serves an endpoint that sends each second answer twice.
func (r *rig) serveCopying(h http.Handler) string {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	var mu sync.Mutex
	answers := 0
	listener := &standin.CopyListener{Listener: inner, Copies: func() bool {
		mu.Lock()
		defer mu.Unlock()
		answers++
		return answers%2 == 0
	}}
	r.listeners = append(r.listeners, listener)
	server := &http.Server{Handler: h, ReadHeaderTimeout: clientTimeout}
	go func() { _ = server.Serve(listener) }()
	r.t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String()
}

// endpoint returns an endpoint that refuses a request at first, and then runs it.
func (r *rig) endpoint(id string) http.HandlerFunc {
	inner := &standin.Endpoint{ID: id, Answer: r.run}
	return func(w http.ResponseWriter, req *http.Request) {
		request := req.Header.Get("Mangostage-Attempt-Id")
		if !r.refuses(request) {
			inner.ServeHTTP(w, req)
			return
		}
		w.Header().Set("Mangostage-Attempt-Id", request)
		status := http.StatusServiceUnavailable
		if req.Header.Get("Mangostage-Inputs") != "" {
			status = http.StatusConflict
		}
		standin.Refuse(w, status)
	}
}

// refuses reports whether a request is refused.
func (r *rig) refuses(request string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[request]++
	return r.refused[request] <= refusals
}

// run records a run and answers it.
func (r *rig) run(w http.ResponseWriter, run standin.Run) {
	r.mu.Lock()
	r.runs[run.ID]++
	for _, handle := range run.Inputs {
		if !strings.HasPrefix(handle, "s/"+run.ID+".") {
			r.foreign = append(r.foreign, fmt.Sprintf("%s runs with %s", run.ID, handle))
		}
	}
	r.mu.Unlock()
	<-time.After(runTime)
	standin.Seal(w)
	if strings.HasPrefix(run.Target, "/order/") {
		_, _ = io.WriteString(w, "done")
		return
	}
	standin.WriteEvents(w, 1, streamEvents)
}

// serveStage answers calls with results that name their request.
func (r *rig) serveStage(w http.ResponseWriter, req *http.Request) {
	var message struct{ Entries []standin.Piece }
	if json.NewDecoder(req.Body).Decode(&message) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	<-time.After(runTime)
	if len(message.Entries) == 0 {
		return
	}
	entries := make([]map[string]string, len(message.Entries))
	r.mu.Lock()
	for i, p := range message.Entries {
		r.handles++
		entries[i] = map[string]string{"handle": fmt.Sprintf("s/%s.%d", p.ID, r.handles)}
	}
	r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"entries": entries})
}

// Package soak runs real gateways as processes against stand-ins and injects
// faults from outside: proxies that cut, silence, delay and reset connections,
// signals that freeze, kill and stop processes, and changes of the
// configuration and the list of endpoints. Clients and endpoints check the
// product's promises while it runs.
//
//	go test ./soak -race                                  a few seeds, as in CI
//	go test ./soak -args -soak.seeds 50 -soak.first 100   fifty seeds from 100 on
//	go test ./soak -timeout 30m -args -soak.gateways 100 -soak.seeds 1
package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
)

const (
	// events is the length of a stream, eventTime what an engine takes for one.
	events    = 6
	eventTime = 5 * time.Millisecond
	// longTime is the same on the route "long", whose answers take most of their
	// deadline: they are still under way when a planned stop ends.
	longTime = 620 * time.Millisecond
	// patience bounds each wait.
	patience = 20 * time.Second
	key      = "k1"
	// domains is the number of failure domains of the endpoints.
	domains = 2
)

// endpoint is one server; it may be started anew, also under its ID.
type endpoint struct {
	service string
	domain  string
	link    *harness.Link
	addr    string

	mu      sync.Mutex
	id      string
	reject  bool
	leftAt  time.Time
	started int
	// born is the start of the present process in Unix milliseconds.
	born int64
	// down is set from a crash until the next process starts.
	down bool
}

// gateway is one process.
type gateway struct {
	*harness.Process
	name, frontend, ready string
	toStore               *harness.Link
	// toPeer is the way of the other gateways to this one.
	toPeer *harness.Link

	mu sync.Mutex
	// version is the highest configuration seen in force in this incarnation.
	version int
	// inRotation is what the balancer believes.
	inRotation bool
	// life numbers the incarnations.
	life int
	// down is set from a kill until the restart.
	down bool
}

// rig is a deployment.
type rig struct {
	t         *testing.T
	rng       *rand.Rand
	store     *standin.Store
	endpoints []*endpoint
	gateways  []*gateway
	book      *book

	mu      sync.Mutex
	version int
	// added is the number of routes that serve nobody and make the
	// configuration large.
	added int
	// emptied holds the evacuated failure domains, and since when.
	emptied map[string]time.Time
}

func newRig(t *testing.T, seed uint64) *rig {
	r := &rig{t: t, rng: rand.New(rand.NewPCG(seed, seed)), store: standin.NewStore(), book: newBook(), emptied: make(map[string]time.Time)}
	r.publish()
	for _, service := range []string{"plain", "plain", "plain", "model", "model", "model", "stage", "stage"} {
		r.addEndpoint(service)
	}
	r.trap()
	storeAddr := r.serve(r.store)
	var seeds []string
	var links []*harness.Link
	var listens []string
	for i := range *gateways {
		listens = append(listens, harness.FreePort(t))
		link, addr := harness.NewLink(t, fmt.Sprintf("peer-%d", i), listens[i])
		links = append(links, link)
		seeds = append(seeds, addr)
	}
	for i := range *gateways {
		r.addGateway(i, listens[i], seeds, storeAddr)
		r.gateways[i].toPeer = links[i]
	}
	r.awaitReady()
	return r
}

func (r *rig) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	r.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

// publish writes the next configuration. Each version has a route of its own.
func (r *rig) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	route := func(name, kind, service, more string) string {
		return fmt.Sprintf(`{"name":%q,"host":"a.example","prefix":"/%s/","route_kind":%q,"timeout_ms":4000,"slo_ms":1500,
			"service":%q,"max_attempts":2%s}`, name, name, kind, service, more)
	}
	routes := []string{
		route("once", "non_idempotent", "plain", ""),
		route("idem", "idempotent", "plain", ""),
		route("stream", "streaming", "model", `,"sticky":true`),
		route("long", "streaming", "model", `,"sticky":true`),
		route("resume", "streaming", "model", `,"sticky":true,"resumable":true`),
		route("staged", "streaming", "model", `,"sticky":true,"stages":[{"service":"stage","byte_count":1000},{"service":"stage","after":[0],"byte_count":100}]`),
	}
	for v := 1; v <= r.version; v++ {
		routes = append(routes, route("v"+strconv.Itoa(v), "idempotent", "plain", ""))
	}
	for n := range r.added {
		routes = append(routes, route(fmt.Sprintf("added-%08x", n*0x9e3779b1), "idempotent", "plain", ""))
	}
	r.store.Put(platform.KeyConfig, fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[
		{"name":"plain"},{"name":"model","engine":{"slots":16,"kv_capacity":100000}},
		{"name":"stage","segments":{"slots":1,"queue":2,"batch":8,"call_ms":20,"item_ms":2,"headroom_mb":1,"handle_ttl_s":3}}],
		"limits":{"max_body_bytes":65536},"tenants":[{"name":"acme","api_keys":[%q]}]}`,
		r.version, strings.Join(routes, ","), key))
}

func (r *rig) currentVersion() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

func (r *rig) addEndpoint(service string) {
	e := &endpoint{service: service, domain: fmt.Sprintf("z%d", len(r.endpoints)%domains)}
	e.link, e.addr = harness.NewLink(r.t, fmt.Sprintf("%s-%d", service, len(r.endpoints)), r.serve(r.handler(e)))
	r.endpoints = append(r.endpoints, e)
	r.register(e)
}

// register starts a process under a new ID and lists it.
func (r *rig) register(e *endpoint) {
	e.mu.Lock()
	e.start()
	e.id = fmt.Sprintf("i-%s-%s-%d", e.service, e.addr[strings.LastIndex(e.addr, ":")+1:], e.started)
	e.leftAt = time.Time{}
	e.mu.Unlock()
	r.list(e, "ready")
}

// start begins a process that holds nothing of the one before.
func (e *endpoint) start() {
	e.started++
	e.born = max(e.born+1, time.Now().UnixMilli())
	e.down = false
}

func (r *rig) list(e *endpoint, state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.listLocked(e, state)
}

func (r *rig) listLocked(e *endpoint, state string) {
	r.store.List(e.id, standin.Entry{
		Service: e.service, Addr: e.addr, Domain: e.domain, Slots: 8, State: state, Born: e.born,
	})
}

// gone tells whether one of the handles is of a process that has ended.
func (r *rig) gone(handles []string) bool {
	for _, h := range handles {
		addr, name, _ := strings.Cut(h, "/")
		for _, e := range r.endpoints {
			e.mu.Lock()
			ended := e.addr == addr && !strings.HasSuffix(name, "."+strconv.Itoa(e.started))
			e.mu.Unlock()
			if ended {
				return true
			}
		}
	}
	return false
}

// handler is the endpoint's server, for whatever incarnation it is.
func (r *rig) handler(e *endpoint) http.Handler {
	if e.service == "stage" {
		return r.stageHandler(e)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		e.mu.Lock()
		id, reject, leftAt, down := e.id, e.reject, e.leftAt, e.down
		e.mu.Unlock()
		if down {
			standin.Break()
		}
		if inputs := req.Header.Get("Mangostage-Inputs"); inputs != "" && r.gone(strings.Split(inputs, ",")) {
			w.Header().Set("Mangostage-Attempt-Id", req.Header.Get("Mangostage-Attempt-Id"))
			w.Header().Set("Mangostage-Not-Executed", "1")
			w.WriteHeader(http.StatusConflict)
			return
		}
		inner := &standin.Endpoint{ID: id, Answer: func(w http.ResponseWriter, run standin.Run) {
			r.book.ran(run, id, leftAt)
			r.arrived(run.ID, e)
			answer(w, run, e.service)
		}}
		inner.Reject(reject)
		inner.ServeHTTP(w, req)
	})
}

// answer writes what the run's client expects.
func answer(w http.ResponseWriter, run standin.Run, service string) {
	standin.Seal(w)
	if service == "plain" {
		_, _ = io.WriteString(w, plainBody(run.ID, string(run.Body)))
		return
	}
	last := 0
	if text := run.Header.Get("Last-Event-Id"); text != "" {
		last, _ = strconv.Atoi(text)
	}
	pace := eventTime
	if strings.HasPrefix(run.Target, "/long/") {
		pace = longTime
	}
	flusher := http.NewResponseController(w)
	for i := last + 1; i <= events; i++ {
		_, _ = io.WriteString(w, event(run.ID, i))
		if flusher.Flush() != nil {
			return
		}
		wait(pace)
	}
}

func plainBody(id, body string) string { return "answer to " + id + ": " + body }

func event(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", i, id, i) }

// stageHandler makes pieces whose handles name their request, and checks that
// the inputs of a piece are the request's own.
func (r *rig) stageHandler(e *endpoint) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		e.mu.Lock()
		id, addr, life, down := e.id, e.addr, e.started, e.down
		e.mu.Unlock()
		if down {
			standin.Break()
		}
		if req.Header.Get("Mangostage-Expect-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var message struct {
			Entries []standin.Piece `json:"entries"`
		}
		if err := json.NewDecoder(req.Body).Decode(&message); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.arrived("a call for pieces", e)
		entries := make([]map[string]string, len(message.Entries))
		for i, p := range message.Entries {
			r.book.piece(p)
			if r.gone(p.Inputs) {
				entries[i] = map[string]string{"reason": "gone"}
				continue
			}
			entries[i] = map[string]string{"handle": fmt.Sprintf("%s/%s.%d.%d.%d", addr, p.ID, p.Phase, p.Segment, life)}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"entries": entries})
	})
}

// maxSeeds is how many addresses of others a process is told at its start.
const maxSeeds = 3

func (r *rig) addGateway(i int, listen string, peers []string, storeAddr string) {
	g := &gateway{name: fmt.Sprintf("g%d", i), frontend: harness.FreePort(r.t), ready: harness.FreePort(r.t), life: 1}
	var toStore string
	g.toStore, toStore = harness.NewLink(r.t, "store-"+g.name, storeAddr)
	text := standin.NodeFile(platform.Settings{
		Name: g.name, Domain: "z0", IP: "127.0.0.1", Cores: 1, Seeds: peers[:min(maxSeeds, len(peers))],
		Frontend: g.frontend, Ready: g.ready, Peer: listen, Store: toStore,
		Bounds: platform.Bounds{
			Drain: 2 * time.Second, Grace: 8 * time.Second, ConfigApply: 2 * time.Second,
			RetryRatio: 0.5, RetryWindow: 10 * time.Second, RetrySlack: 200,
		},
	})
	file := filepath.Join(r.t.TempDir(), "boot.toml")
	assert.NilError(r.t, os.WriteFile(file, []byte(text), 0o600))
	g.Process = harness.NewProcess(r.t, g.name, harness.Binary(r.t, "mangostage-gateway", true),
		[]string{"--metrics-port", "0", "--advertise", peers[i]}, []string{platform.SettingsVariable + "=" + file})
	r.gateways = append(r.gateways, g)
}

// awaitReady waits until all gateways are ready.
func (r *rig) awaitReady() {
	r.t.Helper()
	for _, g := range r.gateways {
		harness.Wait(r.t, patience, func() error {
			if !g.probe() {
				return fmt.Errorf("%s is not ready", g.name)
			}
			return nil
		})
	}
}

var probes = &http.Client{
	Timeout:   500 * time.Millisecond,
	Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: 300 * time.Millisecond}).DialContext},
}

// probe asks as the balancer does.
func (g *gateway) probe() bool {
	resp, err := probes.Get("http://" + g.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	g.mu.Lock()
	g.inRotation = resp.StatusCode == http.StatusOK
	g.mu.Unlock()
	return resp.StatusCode == http.StatusOK
}

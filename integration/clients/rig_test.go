// Package clients tests processes before clients that nobody controls: they send what is over the
// limits or without end, keep connections open, and do not read their answers. Its tests run one
// at a time and apart from other packages.
package clients

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
)

// Limits that the settings of the tests name, which are below those of any deployment, and the size
// of the crowds. By hand both are played as large as deployments have them.
var (
	memoryMB    = flag.Int64("clients.memory-mb", 96, "memory in the settings, in MB")
	descriptors = flag.Int("clients.descriptors", 400, "descriptors in the settings")
	factor      = flag.Int("clients.factor", 1, "by how much crowds are larger")
)

// memoryLimit returns the memory in the settings, in bytes.
func memoryLimit() int64 { return *memoryMB << 20 }

// crowdSize returns the number of clients of most crowds.
func crowdSize() int { return 48 * *factor }

// manyConns returns a number of connections that the descriptors do not suffice for.
func manyConns() int { return 260 * *factor }

// fileDescriptors is the part of the descriptors that files have; sockets and pipes have the rest.
const fileDescriptors = 200

// Limits on requests in the configuration of the tests.
const (
	headLimit = 16384
	bodyLimit = 4 << 20
)

const (
	// largeAnswer is the length in bytes of the answers under /large/.
	largeAnswer = 4 << 20

	startTimeout = 30 * time.Second
	grace        = 8 * time.Second
	// serveTimeout is how long an ordinary client goes on asking, askInterval its pause.
	serveTimeout = 20 * time.Second
	askInterval  = 50 * time.Millisecond
)

// configFormat has the version and the limits on heads and bodies in place of %d.
const configFormat = `{"version":%d,"routes":[
{"name":"plain","host":"shop.example","prefix":"/plain/","route_kind":"idempotent","timeout_ms":20000,"slo_ms":300,"service":"plain","max_attempts":2},
{"name":"once","host":"shop.example","prefix":"/once/","route_kind":"non_idempotent","timeout_ms":20000,"slo_ms":300,"service":"plain","max_attempts":1},
{"name":"open","host":"shop.example","prefix":"/open/","route_kind":"idempotent","timeout_ms":20000,"slo_ms":300,"service":"plain","max_attempts":2,"public":true},
{"name":"large","host":"shop.example","prefix":"/large/","route_kind":"idempotent","timeout_ms":20000,"slo_ms":300,"service":"plain","max_attempts":2}],
"services":[{"name":"plain"}],
"limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"acme","api_keys":["k1"]},{"name":"bolt","api_keys":["k2"]},{"name":"corp","api_keys":["k3"]}]}`

// rig is one gateway process with its stand-ins.
type rig struct {
	t        *testing.T
	store    *standin.Store
	endpoint *endpoint
	process  *harness.Process
	usage    *usage

	frontend, ready, metrics, peer string

	// number numbers the requests.
	number atomic.Int64
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{
		t: t, store: standin.NewStore(), endpoint: newEndpoint(),
		frontend: harness.FreePort(t), ready: harness.FreePort(t), metrics: harness.FreePort(t), peer: harness.FreePort(t),
	}
	r.configure(1, headLimit, bodyLimit)
	endpointAddr := harness.ServeHTTP(t, r.endpoint)
	r.store.PutEndpoint("plain-0", standin.Entry{Service: "plain", Addr: endpointAddr, Domain: "z0", Slots: 64, State: "ready"})
	storeAddr := harness.ServeHTTP(t, r.store)
	r.process = harness.StartGateway(t, platform.Settings{
		Name: "g1", Frontend: r.frontend, Ready: r.ready, Peer: r.peer, Store: storeAddr,
		MemoryBytes: memoryLimit(), MaxDescriptors: *descriptors, Bounds: harness.GatewayBounds(grace),
	}, "--metrics-port", portOf(t, r.metrics))
	testwait.For(t, startTimeout, func() bool { return harness.IsReady(r.ready) })
	r.usage = watchUsage(t, r.process, []string{r.frontend, r.ready, r.metrics, r.peer}, []string{endpointAddr, storeAddr})
	return r
}

// portOf returns the port of an address.
func portOf(t *testing.T, addr string) string {
	t.Helper()
	_, port, err := net.SplitHostPort(addr)
	assert.NilError(t, err)
	return port
}

// configure stores a configuration with limits on heads and bodies, in bytes.
func (r *rig) configure(version, head, body int) {
	r.store.Put(platform.KeyConfig, fmt.Appendf(nil, configFormat, version, head, body))
}

// newID returns a new request ID.
func (r *rig) newID() string { return fmt.Sprintf("%016x", r.number.Add(1)) }

// head returns the beginning of a request: the lines that every request has. More lines and the
// empty line follow.
func (r *rig) head(path, key string) string {
	head := "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nMangostage-Attempt-Id: " + r.newID() + "\r\nMangostage-Deadline-Ms: 20000\r\n"
	if key != "" {
		head += "Authorization: Token " + key + "\r\n"
	}
	return head
}

// ask sends an ordinary request and returns its status and whether the answer is the endpoint's.
// The status is 0 if there is no whole answer.
func (r *rig) ask(client *http.Client, path, key string, body []byte) (id string, status int) {
	ctx, cancel := context.WithTimeout(r.t.Context(), serveTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.frontend+path, bytes.NewReader(body))
	if err != nil {
		return "", 0
	}
	id = r.newID()
	req.Host = "shop.example"
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Mangostage-Attempt-Id", id)
	req.Header.Set("Mangostage-Deadline-Ms", strconv.FormatInt(serveTimeout.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return id, 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return id, 0
	}
	return id, resp.StatusCode
}

// mustServe asks until an ordinary request with the body is served over the client's connections.
func (r *rig) mustServe(client *http.Client, path, key string, body []byte) {
	r.t.Helper()
	last := 0
	for end := time.Now().Add(serveTimeout); time.Now().Before(end); time.Sleep(askInterval) {
		if _, last = r.ask(client, path, key, body); last == http.StatusOK {
			return
		}
		if !r.process.Running() {
			break
		}
	}
	r.t.Errorf("no ordinary request to %s is served: status %d, the process lives: %t", path, last, r.process.Running())
}

// mustServeOrdinary asks until an ordinary request is served over a new connection.
func (r *rig) mustServeOrdinary() {
	r.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r.mustServe(client, "/plain/x", "k2", []byte("ordinary"))
}

// check checks that the process lived on within its limits.
func (r *rig) check() {
	r.t.Helper()
	assert.Check(r.t, r.process.Running(), "the process has ended")
	r.usage.check()
	for id, run := range r.endpoint.allRuns() {
		assert.Check(r.t, run.whole, "request %q ran with a body that is not whole", id)
	}
}

// run is a request that the endpoint has run.
type run struct {
	path   string
	length int64
	whole  bool
}

// endpoint serves all requests and keeps what it ran, but no bodies.
type endpoint struct {
	mu   sync.Mutex
	runs map[string]run
}

func newEndpoint() *endpoint { return &endpoint{runs: make(map[string]run)} }

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Mangostage-Attempt-Id")
	length, err := io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	e.runs[id] = run{path: r.URL.Path, length: length, whole: err == nil}
	e.mu.Unlock()
	w.Header().Set("Mangostage-Attempt-Id", id)
	standin.Seal(w)
	if len(r.URL.Path) < len("/large/") || r.URL.Path[:len("/large/")] != "/large/" {
		_, _ = io.WriteString(w, "ok")
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(largeAnswer))
	piece := make([]byte, 64<<10)
	for range largeAnswer / len(piece) {
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
}

// allRuns returns the runs so far by request ID.
func (e *endpoint) allRuns() map[string]run {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make(map[string]run, len(e.runs))
	for id, r := range e.runs {
		all[id] = r
	}
	return all
}

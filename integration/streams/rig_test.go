package streams

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
)

// streamConfig has streaming routes to model engines and to a plain service, that may be
// resumed or not.
const streamConfig = `{"version":1,"routes":[
{"name":"model","host":"shop.example","prefix":"/model/","route_kind":"streaming","timeout_ms":8000,"slo_ms":2000,"service":"llm","max_attempts":3,"sticky":true},
{"name":"model-resume","host":"shop.example","prefix":"/model-resume/","route_kind":"streaming","resumable":true,"timeout_ms":8000,"slo_ms":2000,"service":"llm","max_attempts":3,"sticky":true},
{"name":"plain","host":"shop.example","prefix":"/plain/","route_kind":"streaming","timeout_ms":8000,"slo_ms":2000,"service":"feed","max_attempts":3},
{"name":"plain-resume","host":"shop.example","prefix":"/plain-resume/","route_kind":"streaming","resumable":true,"timeout_ms":8000,"slo_ms":2000,"service":"feed","max_attempts":3}],
"services":[{"name":"llm","engine":{"slots":16,"kv_capacity":100000}},{"name":"feed"}],
"tenants":[{"name":"acme","api_keys":["k1"]}]}`

const (
	// rigMembers is the number of gateways.
	rigMembers = 3
	// streamLength is the number of events of a stream.
	streamLength = 8
)

// rig is a fleet of gateways before endpoints that stream.
type rig struct {
	t         *testing.T
	store     *standin.Store
	storeAddr string
	members   []*member
	// pace is the time that an endpoint takes for an event, in nanoseconds.
	pace atomic.Int64

	mu        sync.Mutex
	endpoints map[string]*endpoint
	// broken holds the requests whose first run was broken off as they asked.
	broken map[string]bool
}

// member is one gateway process.
type member struct {
	*harness.Process
	frontend, peer string
	// toStore and toPeer are the links to the store and from the other gateways; nil for
	// gateways without links.
	toStore, toPeer *harness.Link
}

// endpoint is a server at one address, whose processes may crash and start again.
type endpoint struct {
	*standin.CrashServer
	service, id, version string
	// born is the start of the current process in Unix milliseconds; 0 if it does not say.
	born int64

	mu sync.Mutex
	// open holds the answers under way of the current process.
	open map[*standin.Unframed]struct{}
}

// track notes that an answer is under way until done is called.
func (e *endpoint) track(u *standin.Unframed) (done func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open == nil {
		e.open = make(map[*standin.Unframed]struct{})
	}
	e.open[u] = struct{}{}
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.open, u)
	}
}

// crash ends the process with all its connections.
func (e *endpoint) crash() {
	e.Crash()
	e.mu.Lock()
	defer e.mu.Unlock()
	for u := range e.open {
		u.Reset()
	}
	e.open = nil
}

func newRig(t *testing.T, pace time.Duration) *rig {
	t.Helper()
	r := &rig{t: t, store: standin.NewStore(), endpoints: make(map[string]*endpoint), broken: make(map[string]bool)}
	r.pace.Store(int64(pace))
	r.storeAddr = harness.ServeHTTP(t, r.store)
	r.store.Put(platform.KeyConfig, []byte(streamConfig))
	return r
}

// startMembers starts the gateways and waits until they serve.
func (r *rig) startMembers() {
	peers := make([]string, rigMembers)
	for i := range peers {
		peers[i] = harness.FreePort(r.t)
	}
	for i, peer := range peers {
		m := &member{peer: peer, frontend: harness.FreePort(r.t)}
		m.Process = harness.StartGateway(r.t, platform.Settings{
			Name: fmt.Sprintf("g%d", i+1), Frontend: m.frontend, Peer: peer, Store: r.storeAddr, Seeds: peers,
			Bounds: harness.GatewayBounds(memberGrace),
		})
		r.members = append(r.members, m)
	}
	r.t.Cleanup(r.terminate)
	for _, m := range r.members {
		for _, route := range []string{"model", "plain"} {
			testwait.For(r.t, recoveryTimeout, func() bool { return r.send(m, call{route: route}).complete })
		}
	}
}

// terminate lets all gateways stop at the same time.
func (r *rig) terminate() {
	for _, m := range r.members {
		if m.Running() {
			m.Term()
		}
	}
}

// addEndpoint starts an endpoint of a software version and lists it.
func (r *rig) addEndpoint(service, id, version string) *endpoint {
	e := &endpoint{CrashServer: &standin.CrashServer{Addr: harness.FreePort(r.t)}, service: service, id: id, version: version}
	r.startProcess(e)
	r.list(e, "ready")
	r.t.Cleanup(e.crash)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints[id] = e
	return e
}

// startProcess starts a process of the endpoint.
func (r *rig) startProcess(e *endpoint) {
	version := e.version
	handler := &standin.Endpoint{ID: e.id, Answer: func(w http.ResponseWriter, run standin.Run) { r.answer(w, run, e, version) }}
	if err := e.Start(handler); err != nil {
		r.t.Errorf("endpoint %s: %v", e.id, err)
	}
}

// list writes the entry of the endpoint's process.
func (r *rig) list(e *endpoint, state string) {
	r.store.PutEndpoint(e.id, standin.Entry{
		Service: e.service, Addr: e.Addr, Domain: "z0", Slots: 16, Version: e.version, State: state, Born: e.born,
	})
}

// removeEndpoint ends an endpoint and removes its entry.
func (r *rig) removeEndpoint(e *endpoint) {
	e.crash()
	r.store.RemoveEndpoint(e.id)
}

// breakOff is how a request asks for its first run to be broken off.
type breakOff struct {
	// after is the number of whole events before the break.
	after int
	// rest is the part of the next event before the break.
	rest string
	// reset ends the connection by a reset.
	reset bool
}

// body returns the body of a request that asks for b.
func (b breakOff) body() string { return fmt.Sprintf("%d|%t|%s", b.after, b.reset, b.rest) }

// parseBreak reads a body; ok is false if it asks for no break.
func parseBreak(body string) (b breakOff, ok bool) {
	parts := strings.SplitN(body, "|", 3)
	if len(parts) != 3 {
		return b, false
	}
	after, err := strconv.Atoi(parts[0])
	return breakOff{after: after, reset: parts[1] == "true", rest: parts[2]}, err == nil
}

// eventText returns one event of a stream.
func eventText(i int, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", i, version, i)
}

// wholeStream returns a stream of one version.
func wholeStream(version string) string {
	var b strings.Builder
	for i := 1; i <= streamLength; i++ {
		b.WriteString(eventText(i, version))
	}
	return b.String()
}

// answer streams with neither a length nor chunks, from the event after Last-Event-Id.
func (r *rig) answer(w http.ResponseWriter, run standin.Run, e *endpoint, version string) {
	standin.Seal(w)
	w.Header().Set("Content-Type", "text/event-stream")
	u, err := standin.BeginUnframed(w, "HTTP/1.1", http.StatusOK)
	if err != nil {
		return
	}
	defer e.track(u)()
	from, _ := strconv.Atoi(run.Header.Get("Last-Event-Id"))
	b, breaks := parseBreak(string(run.Body))
	breaks = breaks && r.firstRun(run.ID)
	for i := from + 1; i <= streamLength; i++ {
		if breaks && i == b.after+1 {
			_, _ = u.Write([]byte(b.rest))
			break
		}
		if _, err := u.Write([]byte(eventText(i, version))); err != nil {
			break
		}
		waitFor(time.Duration(r.pace.Load()))
	}
	if breaks && b.reset {
		u.Reset()
		return
	}
	u.End()
}

// firstRun reports whether a request has not run before.
func (r *rig) firstRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := !r.broken[id]
	r.broken[id] = true
	return first
}

// waitFor takes the time that an endpoint works.
func waitFor(d time.Duration) {
	timer := time.NewTimer(d)
	<-timer.C
}

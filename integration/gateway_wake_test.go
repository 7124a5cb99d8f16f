package integration

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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

const (
	// wakeRoute is the format of a route to a plain service, wakeConfig of a
	// configuration.
	wakeRoute  = `{"name":%q,"host":"shop.example","prefix":"/%s/","route_kind":%q,"timeout_ms":15000,"slo_ms":1400,"service":"orders","max_attempts":2}`
	wakeConfig = `{"version":%d,"routes":[%s],"services":[{"name":"orders"}],"tenants":[{"name":"acme","api_keys":["k1"]}]}`
	// freezeTime is how long a gateway is frozen: longer than a long poll of the
	// store, shorter than idle connections to endpoints are kept.
	freezeTime = 2500 * time.Millisecond
	// longPollTime is longer than a long poll of the store waits for a change.
	longPollTime = time.Second
	// storeLatency is the time in which a slow store answers.
	storeLatency = 50 * time.Millisecond
	// requestsWhileFrozen is how many requests wait in the socket buffers of a
	// frozen gateway.
	requestsWhileFrozen = 20
	// maxWakeLatency bounds the time from the end of a freeze to the last answer;
	// the endpoints answer at once.
	maxWakeLatency = 1500 * time.Millisecond
)

// wakeRig is a gateway process with plain fake endpoints.
type wakeRig struct {
	t        *testing.T
	store    *standin.Store
	gateway  *harness.Process
	frontend string
	ready    string
	version  int
	sent     atomic.Int64
}

func startWakeRig(t *testing.T, endpoints ...*wakeEndpoint) *wakeRig {
	t.Helper()
	r := &wakeRig{t: t, store: standin.NewStore(), frontend: harness.FreePort(t), ready: harness.FreePort(t)}
	r.publish("idem", "once")
	for _, e := range endpoints {
		e.serve(t)
		r.list(e, "ready")
	}
	r.gateway = startGateway(t, platform.Settings{
		Name: "g1", Frontend: r.frontend, Ready: r.ready, Peer: harness.FreePort(t), Store: harness.ServeHTTP(t, r.store),
	})
	testwait.For(t, recoveryTimeout, (&stopRig{ready: r.ready}).isReady)
	return r
}

// publish writes the next configuration with these routes.
func (r *wakeRig) publish(routes ...string) {
	r.version++
	lines := make([]string, len(routes))
	for i, name := range routes {
		kind := "idempotent"
		if name == "once" {
			kind = "non_idempotent"
		}
		lines[i] = fmt.Sprintf(wakeRoute, name, name, kind)
	}
	r.store.Put(platform.KeyConfig, fmt.Appendf(nil, wakeConfig, r.version, strings.Join(lines, ",")))
}

func (r *wakeRig) list(e *wakeEndpoint, state string) {
	r.store.Put(platform.PrefixEndpoints+e.ID, fmt.Appendf(nil,
		`{"service":"orders","address":%q,"zone":"z0","slots":16,"state":%q}`, e.addr, state))
}

// slowStore delays the answers of the store by storeLatency, as if it were a few
// hundred kilometres away.
func (r *wakeRig) slowStore() {
	r.store.SetBeforeCall(func(string) bool {
		waitUntil(time.Now(), storeLatency)
		return true
	})
}

// send sends one request over a new connection.
func (r *wakeRig) send(route string) (status int, err error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: recoveryTimeout}
	req, err := http.NewRequest(http.MethodPost, "http://"+r.frontend+"/"+route+"/", strings.NewReader("x"))
	assert.NilError(r.t, err)
	req.Host = "shop.example"
	req.Header.Set("Authorization", "Token k1")
	req.Header.Set("Mangostage-Attempt-Id", fmt.Sprintf("%s-%d", route, r.sent.Add(1)))
	req.Header.Set("Mangostage-Deadline-Ms", "10000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// sendMany sends requestsWhileFrozen requests at the same time and counts the answers
// by status, -1 for errors.
func (r *wakeRig) sendMany(route string) map[int]int {
	statuses := make(chan int, requestsWhileFrozen)
	var wg sync.WaitGroup
	for range requestsWhileFrozen {
		wg.Go(func() {
			status, err := r.send(route)
			if err != nil {
				status = -1
			}
			statuses <- status
		})
	}
	wg.Wait()
	close(statuses)
	counts := make(map[int]int)
	for status := range statuses {
		counts[status]++
	}
	return counts
}

// freeze freezes the gateway, calls meanwhile, sends requests that wait in its socket
// buffers, and wakes it after freezeTime. It returns the number of answers by status,
// and the time from the wake to the last of them.
func (r *wakeRig) freeze(route string, meanwhile func()) (statuses map[int]int, latency time.Duration) {
	r.gateway.Stop()
	began := time.Now()
	// By then the store has answered the polls from before the freeze.
	waitUntil(began, longPollTime)
	meanwhile()
	answers := make(chan map[int]int)
	go func() { answers <- r.sendMany(route) }()
	waitUntil(began, freezeTime)
	r.gateway.Cont()
	woke := time.Now()
	statuses = <-answers
	return statuses, time.Since(woke)
}

// wakeEndpoint is an endpoint whose existing connections can go silent for good,
// without a reset, while new ones work.
type wakeEndpoint struct {
	standin.Endpoint
	addr string
	// silencedAt is set once connections are silenced: those accepted before it get
	// no answer.
	silencedAt atomic.Pointer[time.Time]
}

// acceptedAtKey is the context key of the time at which a connection was accepted.
type acceptedAtKey struct{}

func (e *wakeEndpoint) serve(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(e.handle), ReadHeaderTimeout: recoveryTimeout,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, acceptedAtKey{}, time.Now())
		}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	e.addr = listener.Addr().String()
}

func (e *wakeEndpoint) handle(w http.ResponseWriter, r *http.Request) {
	acceptedAt, _ := r.Context().Value(acceptedAtKey{}).(time.Time)
	if at := e.silencedAt.Load(); at != nil && acceptedAt.Before(*at) {
		<-r.Context().Done()
		return
	}
	e.ServeHTTP(w, r)
}

func (e *wakeEndpoint) silenceConnections() {
	now := time.Now()
	e.silencedAt.Store(&now)
}

func newWakeEndpoint(id string) *wakeEndpoint {
	return &wakeEndpoint{Endpoint: standin.Endpoint{ID: id}}
}

// TestWokenGatewayKnowsTheNewRoute guards against "no such route" answers after a
// freeze. A gateway's VM is frozen for seconds, and a route is added meanwhile. On
// waking, the gateway answered waiting requests for the new route from its old
// configuration, a moment before it read the new one; such clients do not retry.
func TestWokenGatewayKnowsTheNewRoute(t *testing.T) {
	r := startWakeRig(t, newWakeEndpoint("i-1"), newWakeEndpoint("i-2"))
	statuses, took := r.freeze("new", func() {
		r.slowStore()
		r.publish("idem", "once", "new")
	})
	assert.DeepEqual(t, statuses, map[int]int{http.StatusOK: requestsWhileFrozen})
	assert.Assert(t, took < maxWakeLatency, "%v", took)
}

// TestWokenGatewaySendsNothingToALeavingEndpoint guards against requests that are
// lost with a leaving endpoint. The endpoint begins to leave while the gateway is
// frozen. On waking, the gateway sent it the waiting orders, though it may exit at any
// moment; the orders may run only once, so they cannot be retried.
func TestWokenGatewaySendsNothingToALeavingEndpoint(t *testing.T) {
	leaving, stays := newWakeEndpoint("i-1"), newWakeEndpoint("i-2")
	r := startWakeRig(t, leaving, stays)
	assert.DeepEqual(t, r.sendMany("once"), map[int]int{http.StatusOK: requestsWhileFrozen})
	before := len(leaving.Runs())
	assert.Assert(t, before > 0)
	statuses, took := r.freeze("once", func() {
		r.slowStore()
		r.list(leaving, "draining")
	})
	assert.DeepEqual(t, statuses, map[int]int{http.StatusOK: requestsWhileFrozen})
	assert.Equal(t, len(leaving.Runs())-before, 0)
	assert.Assert(t, took < maxWakeLatency, "%v", took)
}

// TestWokenGatewaySendsNothingOnKeptConnections guards against requests that are sent
// over dead connections. While a gateway's VM is frozen, its connections to endpoints
// go silent, as when a router on the path drops their state. On waking, the gateway
// sent orders that may run only once over the idle connections; the clients waited
// until their deadlines and never learned whether the orders ran.
func TestWokenGatewaySendsNothingOnKeptConnections(t *testing.T) {
	e := newWakeEndpoint("i-1")
	r := startWakeRig(t, e)
	assert.DeepEqual(t, r.sendMany("once"), map[int]int{http.StatusOK: requestsWhileFrozen})
	statuses, took := r.freeze("once", e.silenceConnections)
	assert.DeepEqual(t, statuses, map[int]int{http.StatusOK: requestsWhileFrozen})
	assert.Assert(t, took < maxWakeLatency, "%v", took)
}

// TestWokenGatewayServesWithoutTheStore guards against a gateway that waits for an
// unreachable store on waking. It must serve requests from what it knew before the
// freeze, also those that may run only once.
func TestWokenGatewayServesWithoutTheStore(t *testing.T) {
	for _, route := range []string{"idem", "once"} {
		t.Run(route, func(t *testing.T) {
			r := startWakeRig(t, newWakeEndpoint("i-1"))
			released := make(chan struct{})
			t.Cleanup(func() { close(released) })
			statuses, took := r.freeze(route, func() {
				r.store.SetBeforeCall(func(string) bool {
					<-released
					return false
				})
			})
			assert.DeepEqual(t, statuses, map[int]int{http.StatusOK: requestsWhileFrozen})
			assert.Assert(t, took < maxWakeLatency, "%v", took)
		})
	}
}

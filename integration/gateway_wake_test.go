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
	// wakeRoute is one route of a plain service, wakeConfig a configuration.
	wakeRoute  = `{"name":%q,"host":"shop.example","prefix":"/%s/","route_kind":%q,"timeout_ms":15000,"slo_ms":1400,"service":"orders","max_attempts":2}`
	wakeConfig = `{"version":%d,"routes":[%s],"services":[{"name":"orders"}],"tenants":[{"name":"acme","api_keys":["k1"]}]}`
	// frozenFor is how long a gateway stands still: longer than a read of the
	// store stands, shorter than kept connections to endpoints are kept.
	frozenFor = 2500 * time.Millisecond
	// standingRead is longer than a read of the store waits for a change.
	standingRead = time.Second
	// storeTime is what a slow store takes for an answer.
	storeTime = 50 * time.Millisecond
	// whileFrozen is how many requests wait in the socket buffers of a frozen gateway.
	whileFrozen = 20
	// wakeAnswer bounds the time from a wake to an answer; the endpoints take none.
	wakeAnswer = 1500 * time.Millisecond
)

// wakeRig is a gateway process before plain endpoints.
type wakeRig struct {
	t        *testing.T
	store    *standin.Store
	process  *harness.Process
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
	r.process = startGateway(t, platform.Settings{
		Name: "g1", Frontend: r.frontend, Ready: r.ready, Peer: harness.FreePort(t), Store: listenHTTP(t, r.store),
	})
	testwait.For(t, patience, (&stopRig{ready: r.ready}).isReady)
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

// slowStore has the store take its time, as one a few hundred kilometres away.
func (r *wakeRig) slowStore() {
	r.store.Before(func(string) bool {
		after(time.Now(), storeTime)
		return true
	})
}

// ask sends one request over a connection of its own.
func (r *wakeRig) ask(route string) (status int, err error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
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

// askMany sends requests at the same time and counts the answers by status.
func (r *wakeRig) askMany(route string) map[int]int {
	statuses := make(chan int, whileFrozen)
	var wg sync.WaitGroup
	for range whileFrozen {
		wg.Go(func() {
			status, err := r.ask(route)
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

// freeze has requests wait in the socket buffers of a frozen gateway, and wakes
// it. It returns the answers by status, and how long they took from the wake.
func (r *wakeRig) freeze(route string, meanwhile func()) (statuses map[int]int, took time.Duration) {
	r.process.Stop()
	began := time.Now()
	// What it asked the store before the freeze has its answer by then.
	after(began, standingRead)
	meanwhile()
	answers := make(chan map[int]int)
	go func() { answers <- r.askMany(route) }()
	after(began, frozenFor)
	r.process.Cont()
	woke := time.Now()
	statuses = <-answers
	return statuses, time.Since(woke)
}

// wakeEndpoint is an endpoint whose connections can go silent for good, without
// a reset, while new ones work.
type wakeEndpoint struct {
	standin.Endpoint
	addr string
	// silencedAt is when the connections of that time fell silent.
	silencedAt atomic.Pointer[time.Time]
}

type bornKey struct{}

func (e *wakeEndpoint) serve(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(e.handle), ReadHeaderTimeout: patience,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, bornKey{}, time.Now())
		}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	e.addr = listener.Addr().String()
}

func (e *wakeEndpoint) handle(w http.ResponseWriter, r *http.Request) {
	born, _ := r.Context().Value(bornKey{}).(time.Time)
	if at := e.silencedAt.Load(); at != nil && born.Before(*at) {
		<-r.Context().Done()
		return
	}
	e.ServeHTTP(w, r)
}

func (e *wakeEndpoint) silence() {
	now := time.Now()
	e.silencedAt.Store(&now)
}

func newWakeEndpoint(id string) *wakeEndpoint {
	return &wakeEndpoint{Endpoint: standin.Endpoint{ID: id}}
}

// A gateway's VM is frozen for seconds, and a route is added meanwhile. Customers
// of the new route whose requests waited at the frozen gateway read that there is
// no such route, and don't come back: on waking it answered by the configuration
// that it knew, a moment before it had read the new one.
func TestWokenGatewayKnowsTheNewRoute(t *testing.T) {
	r := startWakeRig(t, newWakeEndpoint("i-1"), newWakeEndpoint("i-2"))
	statuses, took := r.freeze("new", func() {
		r.slowStore()
		r.publish("idem", "once", "new")
	})
	assert.DeepEqual(t, statuses, map[int]int{http.StatusOK: whileFrozen})
	assert.Assert(t, took < wakeAnswer, "%v", took)
}

// An endpoint begins to leave while a gateway is frozen. The gateway wakes and
// sends it the orders that waited, though it may end at any moment and take them
// along; they may run once only, so nobody can send them again.
func TestWokenGatewaySendsNothingToALeavingEndpoint(t *testing.T) {
	leaving, stays := newWakeEndpoint("i-1"), newWakeEndpoint("i-2")
	r := startWakeRig(t, leaving, stays)
	assert.DeepEqual(t, r.askMany("once"), map[int]int{http.StatusOK: whileFrozen})
	before := len(leaving.Runs())
	assert.Assert(t, before > 0)
	statuses, took := r.freeze("once", func() {
		r.slowStore()
		r.list(leaving, "draining")
	})
	assert.DeepEqual(t, statuses, map[int]int{http.StatusOK: whileFrozen})
	assert.Equal(t, len(leaving.Runs())-before, 0)
	assert.Assert(t, took < wakeAnswer, "%v", took)
}

// While a gateway's VM is frozen its connections to endpoints fall silent, as
// when the way between them forgets them. On waking it sends orders that may run
// once only over the kept connections; the customers wait until their deadlines
// and never learn whether the orders ran.
func TestWokenGatewaySendsNothingOnKeptConnections(t *testing.T) {
	e := newWakeEndpoint("i-1")
	r := startWakeRig(t, e)
	assert.DeepEqual(t, r.askMany("once"), map[int]int{http.StatusOK: whileFrozen})
	statuses, took := r.freeze("once", e.silence)
	assert.DeepEqual(t, statuses, map[int]int{http.StatusOK: whileFrozen})
	assert.Assert(t, took < wakeAnswer, "%v", took)
}

// The store is away when a gateway wakes. It must not wait for it: requests are
// served by what the gateway knew, those that may run once as well.
func TestWokenGatewayServesWithoutTheStore(t *testing.T) {
	for _, route := range []string{"idem", "once"} {
		t.Run(route, func(t *testing.T) {
			r := startWakeRig(t, newWakeEndpoint("i-1"))
			released := make(chan struct{})
			t.Cleanup(func() { close(released) })
			statuses, took := r.freeze(route, func() {
				r.store.Before(func(string) bool {
					<-released
					return false
				})
			})
			assert.DeepEqual(t, statuses, map[int]int{http.StatusOK: whileFrozen})
			assert.Assert(t, took < wakeAnswer, "%v", took)
		})
	}
}

package integration

import (
	"fmt"
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
	// restoreMembers is the number of gateways of a restoreRig.
	restoreMembers = 3
	// applyLimit is the time within which a change must be in force.
	applyLimit = 2 * time.Second
)

// restoreRig is a fleet of gateways whose store can return from a copy, before endpoints of
// one service in two failure domains.
type restoreRig struct {
	t         *testing.T
	store     *standin.Store
	storeAddr string
	// links are the gateways' connections to the store.
	links     []*harness.Link
	members   []*harness.Process
	frontends []string
	peers     []string
	endpoints map[string]*standin.Endpoint
	addrs     map[string]string
	version   int
	sent      atomic.Int64
}

func newRestoreRig(t *testing.T) *restoreRig {
	t.Helper()
	r := &restoreRig{t: t, store: standin.NewStore(), endpoints: make(map[string]*standin.Endpoint), addrs: make(map[string]string)}
	r.storeAddr = listenHTTP(t, r.store)
	r.publish("k1", "k2")
	r.list("p-1", "ready")
	r.list("p-2", "ready")
	for range restoreMembers {
		r.peers = append(r.peers, harness.FreePort(t))
	}
	for range restoreMembers {
		r.start()
	}
	r.within(time.Now(), recoveryTimeout, "the fleet serves", func(i int) bool { return r.send(i, "base", "k1") == http.StatusOK })
	return r
}

// start starts the next gateway.
func (r *restoreRig) start() {
	n := len(r.members)
	link, addr := harness.NewLink(r.t, fmt.Sprintf("%s-store-%d", r.t.Name(), n), r.storeAddr)
	for len(r.peers) <= n {
		r.peers = append(r.peers, harness.FreePort(r.t))
	}
	r.links = append(r.links, link)
	r.frontends = append(r.frontends, harness.FreePort(r.t))
	r.members = append(r.members, startMember(r.t, fmt.Sprintf("g%d", n+1), r.peers[n], r.frontends[n], addr, r.peers[:restoreMembers]...))
}

// publish writes the next version of the configuration, with a route of its number and
// these keys, and returns its number.
func (r *restoreRig) publish(keys ...string) int {
	r.version++
	route := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"host":"shop.example","prefix":"/%s/","route_kind":"idempotent","timeout_ms":4000,"slo_ms":1000,"service":"shop","max_attempts":2}`, name, name)
	}
	r.store.Put(platform.KeyConfig, fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s],"services":[{"name":"shop"}],"tenants":[{"name":"acme","api_keys":["%s"]}]}`,
		r.version, route("base"), route(fmt.Sprintf("v%d", r.version)), strings.Join(keys, `","`)))
	return r.version
}

// list writes the entry of an endpoint, and starts the endpoint if it is new. The last
// character of its ID names its failure domain.
func (r *restoreRig) list(id, state string) {
	if r.endpoints[id] == nil {
		r.endpoints[id] = &standin.Endpoint{ID: id}
		r.addrs[id] = listenHTTP(r.t, r.endpoints[id])
	}
	r.store.PutEndpoint(id, standin.Entry{Service: "shop", Addr: r.addrs[id], Domain: "z" + id[len(id)-1:], Slots: 16, State: state})
}

// send sends one request on a route through gateway i and returns its status, 0 if there
// is no answer.
func (r *restoreRig) send(i int, route, key string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.frontends[i]+"/"+route+"/", strings.NewReader("x"))
	if err != nil {
		return 0
	}
	req.Host = "shop.example"
	req.Header.Set("Mangostage-Attempt-Id", fmt.Sprintf("%s-%d", r.t.Name(), r.sent.Add(1)))
	req.Header.Set("Mangostage-Deadline-Ms", "4000")
	req.Header.Set("Authorization", "Token "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// within waits until all gateways meet the condition, for at most limit after since.
func (r *restoreRig) within(since time.Time, limit time.Duration, what string, met func(gateway int) bool) {
	r.t.Helper()
	for i := range r.members {
		for !met(i) {
			if time.Since(since) > limit {
				r.t.Fatalf("%s: not at gateway %d after %v", what, i+1, limit)
			}
			waitUntil(time.Now(), 10*time.Millisecond)
		}
	}
}

// serves returns a condition for within: a request on the route with the key gets the
// status.
func (r *restoreRig) serves(route, key string, status int) func(gateway int) bool {
	return func(i int) bool { return r.send(i, route, key) == status }
}

// load sends requests through all gateways for d and returns the numbers by status.
func (r *restoreRig) load(d time.Duration) map[int]int {
	var mu sync.Mutex
	var senders sync.WaitGroup
	statuses := make(map[int]int)
	until := time.Now().Add(d)
	for i := range r.members {
		senders.Go(func() {
			for time.Now().Before(until) {
				status := r.send(i, "base", "k1")
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	senders.Wait()
	return statuses
}

// gets returns the number of requests that reach an endpoint while the gateways are under
// load for d.
func (r *restoreRig) gets(id string, d time.Duration) int {
	began := time.Now()
	statuses := r.load(d)
	assert.Equal(r.t, len(statuses), 1, "all are served: %v", statuses)
	return arrivalsAfter(&r.endpoints[id].Signals, began)
}

// advance writes n configurations that change nothing but their version, and waits until
// the last one is in force.
func (r *restoreRig) advance(n int) {
	for range n {
		r.publish("k1", "k2")
	}
	route := fmt.Sprintf("v%d", r.version)
	r.within(time.Now(), applyLimit, route+" is in force", r.serves(route, "k1", http.StatusOK))
}

// Guards against a revoked key that still works after the store has returned from a copy:
// the revisions since are given out again, so that the change looks old or is never read.
func TestRevokedKeyAfterStoreReturnsFromCopy(t *testing.T) {
	t.Parallel()
	r := newRestoreRig(t)
	r.store.Save()
	r.advance(5)
	r.store.Restore()
	r.publish("k1")
	revoked := time.Now()
	r.within(revoked, applyLimit, "the key is revoked", r.serves("base", "k2", http.StatusUnauthorized))
	r.within(revoked, applyLimit, "the other key works", r.serves("base", "k1", http.StatusOK))
}

// Guards against requests to an endpoint that leaves after the store has returned from a
// copy: its entry is written at a revision that the fleet has passed before, and by the
// time at which the store is watched again its count has overtaken the fleet's revision.
func TestLeavingAfterStoreReturnsFromCopy(t *testing.T) {
	t.Parallel()
	r := newRestoreRig(t)
	r.list("p-3", "ready")
	r.advance(1)
	assert.Assert(t, r.gets("p-1", time.Second) > 0)
	r.store.Save()
	r.advance(3)
	r.store.Restore()
	r.list("p-1", "draining")
	left := time.Now()
	for range 5 {
		r.publish("k1", "k2")
	}
	waitUntil(left, applyLimit)
	assert.Equal(t, r.gets("p-1", 2*time.Second), 0, "requests reach an endpoint that leaves")
	testwait.For(t, recoveryTimeout, func() bool { return r.send(0, "base", "k1") == http.StatusOK })
}

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// straySteps: one client in so many stays with a gateway that stops.
const straySteps = 4

// clientTimeout is a little more than the clients' deadline.
const clientTimeout = 5 * time.Second

// client sends requests one after the other until ctx ends. It keeps its
// connections open, as the users' clients do.
func (r *rig) client(ctx context.Context, n int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	transport := &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}
	defer transport.CloseIdleConnections()
	var g *gateway
	for i := 0; ctx.Err() == nil; i++ {
		// Some clients stay with their gateway and its connections, whatever
		// the balancer says, until it is gone.
		if stays := n%straySteps == 0 && g != nil && g.Running(); !stays {
			g = r.choose(rng)
		}
		if g == nil {
			wait(20 * time.Millisecond)
			continue
		}
		if g.out() {
			// As much as such a client honours of when it may come back.
			wait(20 * time.Millisecond)
		}
		route := []string{"once", "idem", "stream", "resume", "staged", "staged", "version", "long"}[rng.IntN(8)]
		r.ask(transport, g, route, fmt.Sprintf("c%d-%d-%d", seed, n, i))
	}
}

// out tells whether the balancer sends no clients to the gateway.
func (g *gateway) out() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.inRotation
}

// choose returns a gateway that the balancer sends clients to; nil if there is none.
func (r *rig) choose(rng *rand.Rand) *gateway {
	var usable []*gateway
	for _, g := range r.gateways {
		g.mu.Lock()
		if g.inRotation {
			usable = append(usable, g)
		}
		g.mu.Unlock()
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[rng.IntN(len(usable))]
}

// ask sends one request and checks its answer.
func (r *rig) ask(transport http.RoundTripper, g *gateway, route, id string) {
	g.mu.Lock()
	life, version := g.life, g.version
	g.mu.Unlock()
	if route == "version" {
		version = max(1, r.currentVersion())
		route = "v" + strconv.Itoa(version)
	}
	body := strings.Repeat("x", len(id)%7)
	stray := g.out()
	began := time.Now()
	status, answer, err := send(transport, g.frontend, route, id, body)
	ended := time.Now()
	r.book.ended(id, route, status)
	switch {
	case err != nil && stray:
		if r.book.calm(began, ended) {
			r.book.unanswered(id)
		}
	case err != nil:
		if r.book.calm(began, ended) {
			r.book.breaks("%s on %s at %s: no whole answer: %v", id, route, g.name, err)
		}
	case status == http.StatusOK:
		if want := wanted(route, id, body); answer != want {
			r.book.breaks("%s on %s: got %q, want %q", id, route, answer, want)
		}
		g.saw(life, version, route)
	case status == http.StatusNotFound:
		r.checkRegress(g, life, route)
	case status == http.StatusUnauthorized:
		r.book.breaks("%s: a known key was refused", id)
	}
}

// saw notes that a version was in force.
func (g *gateway) saw(life, version int, route string) {
	if !strings.HasPrefix(route, "v") {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.life == life {
		g.version = max(g.version, version)
	}
}

// checkRegress tells whether a route is missing that was in force before in the
// same incarnation.
func (r *rig) checkRegress(g *gateway, life int, route string) {
	version, err := strconv.Atoi(strings.TrimPrefix(route, "v"))
	if err != nil {
		r.book.breaks("route %s is unknown at %s", route, g.name)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.life == life && version < g.version {
		r.book.breaks("%s went back behind version %d: %s is unknown", g.name, g.version, route)
	}
}

func wanted(route, id, body string) string {
	if route == "once" || route == "idem" || strings.HasPrefix(route, "v") {
		return plainBody(id, body)
	}
	var b strings.Builder
	for i := 1; i <= events; i++ {
		b.WriteString(event(id, i))
	}
	return b.String()
}

// send makes one request; err is set if no whole answer came.
func send(transport http.RoundTripper, addr, route, id, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+route+"/x", io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return 0, "", err
	}
	req.ContentLength = int64(len(body))
	req.Host = "a.example"
	req.Header.Set("Mangostage-Attempt-Id", id)
	req.Header.Set("Mangostage-Deadline-Ms", "4000")
	req.Header.Set("Authorization", "Token "+key)
	if route == "staged" {
		req.Header.Set("Mangostage-Segments", "3,2")
		req.Header.Set("Mangostage-Segment-Key", "key-"+id)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer), err
}

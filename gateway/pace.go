package gateway

import (
	"sync"
	"time"
)

// pacesKept is how many of a route's latest requests an estimate rests on. The
// longest of 32 is passed by about one request in 33.
const pacesKept = 32

// recent keeps the latest durations of one kind.
type recent struct {
	kept [pacesKept]time.Duration
	n    int
}

func (r *recent) add(d time.Duration) {
	r.kept[r.n%pacesKept] = d
	r.n++
}

// longest is the longest of the durations kept; 0 without any.
func (r *recent) longest() time.Duration {
	var longest time.Duration
	for _, d := range r.kept {
		longest = max(longest, d)
	}
	return longest
}

// timing is how one answered request went.
type timing struct {
	// toFirst is from arrival to the first byte, prompt from the choice of the
	// engine to the first byte, rest from there to the end.
	toFirst, prompt, rest time.Duration
	// tokens is the most that the request may generate.
	tokens int
}

// pace is how fast the latest requests of a route were served.
type pace struct {
	toFirst, prompt, perToken recent
}

// paces estimate how long requests last, from the latest ones of their route.
type paces struct {
	mu     sync.Mutex
	routes map[string]*pace
}

func newPaces() *paces { return &paces{routes: make(map[string]*pace)} }

// served notes a request that was answered whole, and with success.
func (p *paces) served(route string, t timing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routes[route]
	if r == nil {
		if len(p.routes) >= maxRoutes {
			clear(p.routes)
		}
		r = &pace{}
		p.routes[route] = r
	}
	r.toFirst.add(t.toFirst)
	r.prompt.add(t.prompt)
	r.perToken.add(t.rest / time.Duration(max(1, t.tokens)))
}

// need is an upper estimate of how long a request lasts from its arrival to
// the end of its answer, and of the part of it after the choice of its engine.
// ok is false if no request of the route was served yet.
func (p *paces) need(route string, tokens int) (whole, engine time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routes[route]
	if r == nil {
		return 0, 0, false
	}
	rest := r.perToken.longest() * time.Duration(max(1, tokens))
	return r.toFirst.longest() + rest, r.prompt.longest() + rest, true
}

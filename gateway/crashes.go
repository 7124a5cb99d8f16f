package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/catalog"
)

const (
	// maxCrashes is how many endpoints one content may crash until it is
	// refused. Fewer would refuse requests that were only beside the cause.
	maxCrashes = 3
	// crashGap is the least time between two crashes that count: endpoints that
	// crash together have another cause than a request that is sent again.
	crashGap = 300 * time.Millisecond
	// crashSpan is how long after a broken connection its endpoint has to be
	// gone for a crash: three heartbeats of the endpoint and a margin.
	crashSpan = 6 * time.Second
	// convictedFor is how long content is refused, counted from its last crash.
	convictedFor = time.Minute
	// maxContents bounds the contents and the broken sends that are remembered.
	maxContents = 1024
)

// Crash says that an endpoint crashed while it ran a request with the content.
type Crash struct {
	Content uint64 `json:"content"`
	// Endpoint is the Key: each start under one ID can crash once.
	Endpoint string `json:"endpoint"`
}

// crashes counts the endpoints that crashed under a request, by its content:
// its client sends it again under other IDs and to other gateways.
//
// The failure that it guards against: a request crashes each engine that begins
// to run it, and with the engine all requests beside it; its client and our own
// retries carry it from engine to engine. A crash is a connection that broke
// under the request and whose endpoint is gone from the list soon after, or has
// started again under its ID. Any
// whole answer clears the content, so content that was only beside the cause
// is not refused.
type crashes struct {
	mu sync.Mutex
	// broken holds the sends whose connection broke, until it is known whether
	// their endpoint has gone.
	broken map[Crash]time.Time
	counts map[uint64]*crashCount
}

type crashCount struct {
	endpoints map[string]bool
	crashes   int
	last      time.Time
}

func newCrashes() *crashes {
	return &crashes{broken: make(map[Crash]time.Time), counts: make(map[uint64]*crashCount)}
}

// contentOf is what stays the same when a client sends a request again.
func contentOf(req *request) uint64 {
	h := xxhash.New()
	for _, part := range []string{req.http.Method, req.http.Host, req.http.RequestURI, req.accountName()} {
		// A digest takes all bytes and has no errors.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(req.body)
	return h.Sum64()
}

// broke notes that a connection broke under a request.
func (c *crashes) broke(now time.Time, content uint64, e *catalog.Endpoint) {
	if e.Leaving {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.broken) >= maxContents {
		c.forgetBrokenLocked(now)
	}
	if len(c.broken) < maxContents {
		c.broken[Crash{Content: content, Endpoint: e.Key()}] = now
	}
}

// forgetBrokenLocked drops the sends whose endpoints have lived on.
func (c *crashes) forgetBrokenLocked(now time.Time) {
	for crash, at := range c.broken {
		if now.Sub(at) > crashSpan {
			delete(c.broken, crash)
		}
	}
}

// served clears a content.
func (c *crashes) served(content uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.counts, content)
}

// gone looks which endpoints of broken connections are no longer listed, and
// returns the crashes that this shows.
func (c *crashes) gone(now time.Time, view *catalog.View) []Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetBrokenLocked(now)
	var found []Crash
	for crash := range c.broken {
		if view.Endpoint(crash.Endpoint) != nil {
			continue
		}
		delete(c.broken, crash)
		if c.countLocked(now, crash) {
			found = append(found, crash)
		}
	}
	return found
}

// heard takes a crash that another gateway saw; it tells whether it is news.
func (c *crashes) heard(now time.Time, crash Crash) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.countLocked(now, crash)
}

func (c *crashes) countLocked(now time.Time, crash Crash) bool {
	n := c.counts[crash.Content]
	if n == nil || now.Sub(n.last) > convictedFor {
		if len(c.counts) >= maxContents {
			c.forgetLocked(now)
		}
		n = &crashCount{endpoints: make(map[string]bool)}
		c.counts[crash.Content] = n
	}
	if n.endpoints[crash.Endpoint] {
		return false
	}
	n.endpoints[crash.Endpoint] = true
	if n.crashes == 0 || now.Sub(n.last) >= crashGap {
		n.crashes++
	}
	n.last = now
	return true
}

// forgetLocked makes room: what is old goes, or everything.
func (c *crashes) forgetLocked(now time.Time) {
	for content, n := range c.counts {
		if now.Sub(n.last) > convictedFor {
			delete(c.counts, content)
		}
	}
	if len(c.counts) >= maxContents {
		clear(c.counts)
	}
}

// refused tells whether the content is refused, and for how long.
func (c *crashes) refused(now time.Time, content uint64) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.counts[content]
	if n == nil || n.crashes < maxCrashes {
		return 0, false
	}
	left := convictedFor - now.Sub(n.last)
	return left, left > 0
}

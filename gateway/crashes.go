package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/catalog"
)

const (
	// crashLimit is the number of crashes after which content is refused. A lower
	// limit would refuse requests that merely ran beside the cause of a crash.
	crashLimit = 3
	// minCrashGap is the minimum time between two crashes that count separately:
	// endpoints that crash together have a common cause, not a request that is retried.
	minCrashGap = 300 * time.Millisecond
	// crashDetectionWindow is how long after a broken connection the endpoint's
	// disappearance counts as a crash: three heartbeats of the endpoint and a margin.
	crashDetectionWindow = 6 * time.Second
	// refusalDuration is how long content is refused after its last crash.
	refusalDuration = time.Minute
	// maxContents bounds both the contents and the broken sends that are remembered.
	maxContents = 1024
)

// Crash says that an endpoint crashed while it ran a request with the content.
type Crash struct {
	// Content is the hash of the request's content.
	Content uint64 `json:"content"`
	// Endpoint is the endpoint's Key, which differs for each start under one ID, so
	// that each start can crash once.
	Endpoint string `json:"endpoint"`
}

// crashTracker counts the endpoints that crashed under requests with the same
// content. It identifies a request by its content because the client retries it
// under other IDs and at other gateways.
//
// The failure that it guards against: a request crashes each engine that begins to
// run it, together with all other requests on that engine, and retries by the client
// and by the gateway carry it from engine to engine. A crash is a connection that
// broke under the request and whose endpoint soon afterwards is no longer listed, or
// is listed as restarted under its ID. Any complete answer clears the content, so
// that content which merely ran beside the cause is not refused.
type crashTracker struct {
	mu sync.Mutex
	// brokenSends maps sends whose connection broke to the time at which it did, until
	// it is known whether the endpoint has gone.
	brokenSends map[Crash]time.Time
	counts      map[uint64]*crashCount
}

// crashCount counts the crashes of one content.
type crashCount struct {
	// endpoints holds the Keys of the endpoints that crashed.
	endpoints map[string]bool
	// crashes is the number of crashes, without those that followed the one before within
	// minCrashGap.
	crashes int
	// last is the time of the latest crash.
	last time.Time
}

func newCrashTracker() *crashTracker {
	return &crashTracker{brokenSends: make(map[Crash]time.Time), counts: make(map[uint64]*crashCount)}
}

// hashContent hashes the parts of a request that stay the same when a client
// retries it.
func hashContent(req *request) uint64 {
	h := xxhash.New()
	for _, part := range []string{req.http.Method, req.http.Host, req.http.RequestURI, req.accountName()} {
		// A digest takes all bytes and has no errors.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(req.body)
	return h.Sum64()
}

// addBroken records that a connection broke under a request. It ignores endpoints
// that are leaving, which end without a crash.
func (c *crashTracker) addBroken(now time.Time, content uint64, e *catalog.Endpoint) {
	if e.Leaving {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.brokenSends) >= maxContents {
		c.expireBrokenLocked(now)
	}
	if len(c.brokenSends) < maxContents {
		c.brokenSends[Crash{Content: content, Endpoint: e.Key()}] = now
	}
}

// expireBrokenLocked removes broken sends older than crashDetectionWindow, whose
// endpoints have not crashed.
func (c *crashTracker) expireBrokenLocked(now time.Time) {
	for crash, at := range c.brokenSends {
		if now.Sub(at) > crashDetectionWindow {
			delete(c.brokenSends, crash)
		}
	}
}

// recordServed clears the crashes of content that was answered completely.
func (c *crashTracker) recordServed(content uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.counts, content)
}

// detect returns the new crashes: broken sends whose endpoint is no longer listed, or
// is listed as restarted and therefore under another Key.
func (c *crashTracker) detect(now time.Time, view *catalog.View) []Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireBrokenLocked(now)
	var found []Crash
	for crash := range c.brokenSends {
		if view.Endpoint(crash.Endpoint) != nil {
			continue
		}
		delete(c.brokenSends, crash)
		if c.countLocked(now, crash) {
			found = append(found, crash)
		}
	}
	return found
}

// addRemote records a crash that another gateway detected and reports whether it
// was unknown here.
func (c *crashTracker) addRemote(now time.Time, crash Crash) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.countLocked(now, crash)
}

// countLocked counts a crash and reports whether it was unknown.
func (c *crashTracker) countLocked(now time.Time, crash Crash) bool {
	n := c.counts[crash.Content]
	if n == nil || now.Sub(n.last) > refusalDuration {
		if len(c.counts) >= maxContents {
			c.evictLocked(now)
		}
		n = &crashCount{endpoints: make(map[string]bool)}
		c.counts[crash.Content] = n
	}
	if n.endpoints[crash.Endpoint] {
		return false
	}
	n.endpoints[crash.Endpoint] = true
	if n.crashes == 0 || now.Sub(n.last) >= minCrashGap {
		n.crashes++
	}
	n.last = now
	return true
}

// evictLocked removes contents that are no longer refused, or all of them if that
// does not make room.
func (c *crashTracker) evictLocked(now time.Time) {
	for content, n := range c.counts {
		if now.Sub(n.last) > refusalDuration {
			delete(c.counts, content)
		}
	}
	if len(c.counts) >= maxContents {
		clear(c.counts)
	}
}

// refused reports whether the content is refused, and for how much longer.
func (c *crashTracker) refused(now time.Time, content uint64) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.counts[content]
	if n == nil || n.crashes < crashLimit {
		return 0, false
	}
	left := refusalDuration - now.Sub(n.last)
	return left, left > 0
}

package fake

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/internal/sleep"
)

// Limits of the configuration service.
const (
	// MaxValue is the size limit of a value in bytes.
	MaxValue = 1 << 20
	// DefaultConfigLimit is the default rate limit in calls a second; the
	// service refuses the calls above it.
	DefaultConfigLimit = 2000

	maxWatchWait = time.Minute
)

// ConfigControl injects faults into the configuration service; unset fields
// leave their setting unchanged.
type ConfigControl struct {
	// Down closes every connection without a reply.
	Down *bool `json:"down,omitempty"`
	// Stale keeps serving the values published before it was set.
	Stale *bool `json:"stale,omitempty"`
	// HalfWritten serves only the first half of each value's data.
	HalfWritten *bool `json:"half_written,omitempty"`
	// DelayMS delays each reply by this many milliseconds.
	DelayMS *int `json:"delay_ms,omitempty"`
}

// CallCounts counts the calls to one service of the platform.
type CallCounts struct {
	// Total counts every call; a long-polling watch counts as one.
	Total int `json:"total"`
	// MaxPerSecond is the highest number of calls within any one second.
	MaxPerSecond int `json:"max_per_second"`
	// Waiting is the number of watches that are blocked now.
	Waiting int `json:"waiting"`
	// Refused is the number of calls refused by the rate limit.
	Refused int `json:"refused"`
}

// Config stands in for the configuration service. Its clients can only read;
// operators store values with Publish.
type Config struct {
	limit   int
	rate    rateCounter
	waiting atomic.Int64
	refused atomic.Int64

	mu     sync.Mutex
	values map[string]confsvc.Value
	// stale, if set, is served in place of values.
	stale   map[string]confsvc.Value
	down    bool
	half    bool
	delay   time.Duration
	changed chan struct{}
}

func newConfig(limit int) *Config {
	if limit == 0 {
		limit = DefaultConfigLimit
	}
	return &Config{limit: limit, values: make(map[string]confsvc.Value), changed: make(chan struct{})}
}

// Publish stores a value and returns its new revision.
func (c *Config) Publish(name string, data []byte) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := confsvc.Value{Name: name, Revision: c.values[name].Revision + 1, Data: data}
	c.values[name] = v
	c.signal()
	return v.Revision
}

// Apply changes the injected faults.
func (c *Config) Apply(control ConfigControl) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set(&c.down, control.Down)
	set(&c.half, control.HalfWritten)
	if control.DelayMS != nil {
		c.delay = time.Duration(*control.DelayMS) * time.Millisecond
	}
	if control.Stale != nil {
		c.setStale(*control.Stale)
	}
	c.signal()
}

func (c *Config) setStale(on bool) {
	if !on {
		c.stale = nil
		return
	}
	if c.stale != nil {
		return
	}
	c.stale = make(map[string]confsvc.Value, len(c.values))
	for name, v := range c.values {
		c.stale[name] = v
	}
}

// Counts returns the counts of calls to the service.
func (c *Config) Counts() CallCounts {
	total, maxPerSecond := c.rate.totals()
	return CallCounts{
		Total:        total,
		MaxPerSecond: maxPerSecond,
		Waiting:      int(c.waiting.Load()),
		Refused:      int(c.refused.Load()),
	}
}

// signal wakes the blocked watches. The lock is held.
func (c *Config) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// readResult is a value and the faults that apply to a reply with it.
type readResult struct {
	value confsvc.Value
	found bool
	down  bool
	delay time.Duration
	// changed is closed at the next publication or change of faults.
	changed <-chan struct{}
}

func (c *Config) read(name string) readResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	values := c.values
	if c.stale != nil {
		values = c.stale
	}
	v, found := values[name]
	if c.half {
		v.Data = v.Data[:len(v.Data)/2]
	}
	return readResult{value: v, found: found, down: c.down, delay: c.delay, changed: c.changed}
}

func (c *Config) routes(r chi.Router) {
	r.Get("/v1/values/{name}", c.serveRead)
	r.Put("/control/values/{name}", c.servePublish)
	r.Post("/control/config", serveApply(c.Apply))
}

func valueName(r *http.Request) (string, error) { return url.PathUnescape(chi.URLParam(r, "name")) }

func (c *Config) serveRead(w http.ResponseWriter, r *http.Request) {
	if c.rate.add(time.Now()) > c.limit {
		c.refused.Add(1)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	name, err := valueName(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	after, wait, err := watchParams(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v := c.awaitRevision(r.Context(), name, after, wait)
	if !sleep.For(r.Context(), v.delay) || v.down {
		abort()
	}
	if !v.found {
		http.Error(w, "no such value", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, v.value)
}

// watchParams returns the parameters of a watch; both are zero for a plain read.
func watchParams(r *http.Request) (after uint64, wait time.Duration, err error) {
	query := r.URL.Query()
	if !query.Has("wait_ms") {
		return 0, 0, nil
	}
	after, err = strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return 0, 0, err
	}
	ms, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		return 0, 0, err
	}
	return after, min(time.Duration(ms)*time.Millisecond, maxWatchWait), nil
}

// awaitRevision blocks until the value's revision exceeds after, the service
// goes down, wait has passed or ctx ends, and returns the value of that moment.
func (c *Config) awaitRevision(ctx context.Context, name string, after uint64, wait time.Duration) readResult {
	v := c.read(name)
	if wait <= 0 {
		return v
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	c.waiting.Add(1)
	defer c.waiting.Add(-1)
	for v.value.Revision <= after && !v.down {
		select {
		case <-v.changed:
			v = c.read(name)
		case <-timer.C:
			return c.read(name)
		case <-ctx.Done():
			return v
		}
	}
	return v
}

func (c *Config) servePublish(w http.ResponseWriter, r *http.Request) {
	name, err := valueName(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, MaxValue+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(data) > MaxValue {
		http.Error(w, "value is over the limit", http.StatusRequestEntityTooLarge)
		return
	}
	writeJSON(w, http.StatusOK, confsvc.Value{Name: name, Revision: c.Publish(name, data)})
}

// serveApply returns a handler that decodes a control message and applies it.
func serveApply[T any](apply func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var control T
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
		if err == nil {
			err = json.Unmarshal(body, &control)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		apply(control)
		w.WriteHeader(http.StatusNoContent)
	}
}

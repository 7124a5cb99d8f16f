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
)

// Limits of the configuration service.
const (
	// MaxValue is the largest value in bytes.
	MaxValue = 1 << 20
	// DefaultConfigLimit is the number of calls a second above which the
	// service refuses.
	DefaultConfigLimit = 2000

	maxWatch = time.Minute
)

// ConfigControl makes the configuration service fail; unset fields stay.
type ConfigControl struct {
	// Down cuts every connection without a reply.
	Down *bool `json:"down,omitempty"`
	// Stale keeps serving what was published before it was set.
	Stale *bool `json:"stale,omitempty"`
	// HalfWritten serves the first half of each value's data.
	HalfWritten *bool `json:"half_written,omitempty"`
	// DelayMS holds each reply back.
	DelayMS *int `json:"delay_ms,omitempty"`
}

// CallCounts is what a service of the platform has seen.
type CallCounts struct {
	// Total counts every call; a watch that waits is one.
	Total int `json:"total"`
	// MaxPerSecond is the most calls in any one second.
	MaxPerSecond int `json:"max_per_second"`
	// Waiting is the number of watches that wait now.
	Waiting int `json:"waiting"`
	// Refused is the number of calls over the limit.
	Refused int `json:"refused"`
}

// Config stands in for the configuration service. Its users can only read;
// Publish is the operator's side.
type Config struct {
	limit   int
	rate    rateCounter
	waiting atomic.Int64
	refused atomic.Int64

	mu     sync.Mutex
	values map[string]confsvc.Value
	// stale, if set, is what is served in place of values.
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

// Apply changes how the service fails.
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

// Counts returns what the service has seen.
func (c *Config) Counts() CallCounts {
	total, most := c.rate.figures()
	return CallCounts{
		Total:        total,
		MaxPerSecond: most,
		Waiting:      int(c.waiting.Load()),
		Refused:      int(c.refused.Load()),
	}
}

// signal wakes the watches. The lock is held.
func (c *Config) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// served is the service's state as one reader sees it.
type served struct {
	value   confsvc.Value
	found   bool
	down    bool
	delay   time.Duration
	changed <-chan struct{}
}

func (c *Config) look(name string) served {
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
	return served{value: v, found: found, down: c.down, delay: c.delay, changed: c.changed}
}

func (c *Config) routes(r chi.Router) {
	r.Get("/v1/values/{name}", c.serveRead)
	r.Put("/control/values/{name}", c.servePublish)
	r.Post("/control/config", serveApply(c.Apply))
}

func nameOf(r *http.Request) (string, error) { return url.PathUnescape(chi.URLParam(r, "name")) }

func (c *Config) serveRead(w http.ResponseWriter, r *http.Request) {
	if c.rate.add(time.Now()) > c.limit {
		c.refused.Add(1)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	name, err := nameOf(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	after, wait, err := watchOf(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v := c.await(r.Context(), name, after, wait)
	if !sleep(r.Context(), v.delay) || v.down {
		abort()
	}
	if !v.found {
		http.Error(w, "no such value", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, v.value)
}

// watchOf reads the parameters of a watch, both zero for a plain read.
func watchOf(r *http.Request) (after uint64, wait time.Duration, err error) {
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
	return after, min(time.Duration(ms)*time.Millisecond, maxWatch), nil
}

// await returns when the revision exceeds after, the service goes down, or
// wait has passed.
func (c *Config) await(ctx context.Context, name string, after uint64, wait time.Duration) served {
	v := c.look(name)
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
			v = c.look(name)
		case <-timer.C:
			return c.look(name)
		case <-ctx.Done():
			return v
		}
	}
	return v
}

func (c *Config) servePublish(w http.ResponseWriter, r *http.Request) {
	name, err := nameOf(r)
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

// serveApply decodes a control message and applies it.
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

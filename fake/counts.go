package fake

import (
	"encoding/json"
	"maps"
	"sync"
)

// Counts holds what an endpoint's stand-in has received and run. The counts
// survive crashes: they are the ground truth against which tests compare the
// outcomes that clients were given.
type Counts struct {
	// Arrivals is the number of requests that asked for a run or a resumption.
	Arrivals int `json:"arrivals"`
	// Starts and Finishes count runs by the marker of their input; runs
	// without a marker count only in the totals.
	Starts        map[string]int `json:"starts"`
	Finishes      map[string]int `json:"finishes"`
	TotalStarts   int            `json:"total_starts"`
	TotalFinishes int            `json:"total_finishes"`
	// StageStarts counts starts by stage, then marker.
	StageStarts map[string]map[string]int `json:"stage_starts"`
	// Cancelled is the number of runs and queued calls ended by a cancel
	// request, or by the end of the resume window of a generation without a
	// reader.
	Cancelled int `json:"cancelled"`
	Refused   int `json:"refused"`
	Resumed   int `json:"resumed"`
	Crashes   int `json:"crashes"`
	// OrdersToLoad is the number of accepted orders to load a model.
	OrdersToLoad int `json:"orders_to_load"`
	// StaleRefused and StaleAccepted count orders whose fencing number was
	// below the highest one seen.
	StaleRefused  int `json:"stale_refused"`
	StaleAccepted int `json:"stale_accepted"`
	// CacheHits and CacheMisses count prefix blocks.
	CacheHits   int `json:"cache_hits"`
	CacheMisses int `json:"cache_misses"`
}

// counter is a Counts guarded by a mutex.
type counter struct {
	mu sync.Mutex
	c  Counts
}

func newCounter() *counter {
	return &counter{c: Counts{
		Starts:      make(map[string]int),
		Finishes:    make(map[string]int),
		StageStarts: make(map[string]map[string]int),
	}}
}

func (c *counter) update(f func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.c)
}

func (c *counter) start(stage, marker string) {
	c.update(func(n *Counts) {
		n.TotalStarts++
		if marker == "" {
			return
		}
		n.Starts[marker]++
		if n.StageStarts[stage] == nil {
			n.StageStarts[stage] = make(map[string]int)
		}
		n.StageStarts[stage][marker]++
	})
}

func (c *counter) finish(marker string) {
	c.update(func(n *Counts) {
		n.TotalFinishes++
		if marker != "" {
			n.Finishes[marker]++
		}
	})
}

// snapshot returns a deep copy.
func (c *counter) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.c
	out.Starts = maps.Clone(out.Starts)
	out.Finishes = maps.Clone(out.Finishes)
	out.StageStarts = make(map[string]map[string]int, len(c.c.StageStarts))
	for stage, starts := range c.c.StageStarts {
		out.StageStarts[stage] = maps.Clone(starts)
	}
	return out
}

// markedInput is the part of an input that identifies it in Counts.
type markedInput struct {
	Order  string `json:"order"`
	Marker string `json:"marker"`
}

// markerOf returns the input's "order", else its "marker", else an empty string.
func markerOf(input json.RawMessage) string {
	var m markedInput
	if err := json.Unmarshal(input, &m); err != nil {
		return ""
	}
	if m.Order != "" {
		return m.Order
	}
	return m.Marker
}

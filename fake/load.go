package fake

import (
	"sync"
	"time"
)

type loadSample struct {
	at               time.Time
	inFlight, queued int
}

// loadHistory reports load as it was some time ago.
type loadHistory struct {
	lag time.Duration

	mu               sync.Mutex
	inFlight, queued int
	// samples are in order of time; the first is the latest that is older
	// than lag.
	samples []loadSample
}

func newLoadHistory(lag time.Duration) *loadHistory { return &loadHistory{lag: lag} }

// add changes the load by the given amounts.
func (h *loadHistory) add(inFlight, queued int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set(h.inFlight+inFlight, h.queued+queued)
}

// replace sets the load.
func (h *loadHistory) replace(inFlight, queued int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set(inFlight, queued)
}

func (h *loadHistory) set(inFlight, queued int) {
	h.inFlight, h.queued = inFlight, queued
	if h.lag == 0 {
		return
	}
	now := time.Now()
	h.samples = append(h.samples, loadSample{at: now, inFlight: inFlight, queued: queued})
	h.prune(now)
}

// prune drops samples that a later one older than the lag replaces.
func (h *loadHistory) prune(now time.Time) {
	keep := 0
	for i, s := range h.samples {
		if s.at.After(now.Add(-h.lag)) {
			break
		}
		keep = i
	}
	h.samples = h.samples[keep:]
}

// reported returns the load as it was a lag ago.
func (h *loadHistory) reported() (inFlight, queued int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lag == 0 {
		return h.inFlight, h.queued
	}
	now := time.Now()
	h.prune(now)
	if len(h.samples) == 0 || h.samples[0].at.After(now.Add(-h.lag)) {
		return 0, 0
	}
	return h.samples[0].inFlight, h.samples[0].queued
}

// waiting returns the number of calls waiting now.
func (h *loadHistory) waiting() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.queued
}

package fake

import (
	"sync"
	"time"
)

type loadSample struct {
	at               time.Time
	inFlight, queued int
}

// loadHistory reports the load with a fixed delay.
type loadHistory struct {
	lag time.Duration

	mu               sync.Mutex
	inFlight, queued int
	// samples are ordered by time; after prune the first is the latest one
	// that is at least lag old, if there is one.
	samples []loadSample
}

func newLoadHistory(lag time.Duration) *loadHistory { return &loadHistory{lag: lag} }

// add changes the load by the given amounts.
func (h *loadHistory) add(inFlight, queued int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record(h.inFlight+inFlight, h.queued+queued)
}

// replace sets the load.
func (h *loadHistory) replace(inFlight, queued int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record(inFlight, queued)
}

// record sets the load and adds a sample if lag is not zero. The lock is held.
func (h *loadHistory) record(inFlight, queued int) {
	h.inFlight, h.queued = inFlight, queued
	if h.lag == 0 {
		return
	}
	now := time.Now()
	h.samples = append(h.samples, loadSample{at: now, inFlight: inFlight, queued: queued})
	h.prune(now)
}

// prune drops the samples before the latest one that is at least lag old. The
// lock is held.
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

// reported returns the load delayed by lag; it is zero until lag after the
// first change.
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

// waiting returns the number of calls queued now, without lag.
func (h *loadHistory) waiting() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.queued
}

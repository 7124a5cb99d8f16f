package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets of a window. The oldest bucket expires
// as a whole, so the counts cover at most the window and at least all but one
// bucket of it; first sends are never counted beyond the window.
const windowBuckets = 10

// Window bounds the repeated sends to each service in a sliding window: at most
// ratio times the first sends, plus slack.
//
// It guards against retry storms: answers are lost, each process of the fleet
// sends its requests again, and the service gets many times its load just when
// its capacity is lowest. Each process keeps to its share of the fleet's bound,
// so that the sum holds without coordination.
type Window struct {
	span  time.Duration
	ratio float64

	mu       sync.Mutex
	services map[string]*serviceWindow
	// epoch is the first time seen; buckets are counted from it on the
	// monotonic clock, which does not jump when the wall clock is set.
	epoch time.Time
}

// serviceWindow holds the counts for one service; bucket is the number of the
// current bucket since the epoch.
type serviceWindow struct {
	bucket  int64
	first   [windowBuckets]int
	repeats [windowBuckets]int
}

// minSpan is the shortest window: its buckets must have a length.
const minSpan = windowBuckets * time.Millisecond

// NewWindow returns a Window of length span, minSpan at least; ratio is the number of repeated
// sends allowed per first send.
func NewWindow(span time.Duration, ratio float64) *Window {
	return &Window{span: max(span, minSpan), ratio: ratio, services: make(map[string]*serviceWindow)}
}

// CountFirst counts the first send of a request.
func (w *Window) CountFirst(service string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := w.advance(service, now)
	counts.first[counts.bucket%windowBuckets]++
}

// TryRepeat counts a repeated send and reports whether the bound allows it; a send
// that is not allowed is not counted. slack is this process's share of the
// fleet's slack.
func (w *Window) TryRepeat(service string, slack float64, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := w.advance(service, now)
	first, repeats := 0, 0
	for i := range windowBuckets {
		first += counts.first[i]
		repeats += counts.repeats[i]
	}
	if float64(repeats+1) > w.ratio*float64(first)+slack {
		return false
	}
	counts.repeats[counts.bucket%windowBuckets]++
	return true
}

// advance moves the service's window to now, clears the buckets that have
// expired and returns the counts.
func (w *Window) advance(service string, now time.Time) *serviceWindow {
	if w.epoch.IsZero() {
		w.epoch = now
	}
	bucket := int64(now.Sub(w.epoch) / (w.span / windowBuckets))
	c := w.services[service]
	if c == nil {
		c = &serviceWindow{bucket: bucket}
		w.services[service] = c
	}
	if bucket-c.bucket >= windowBuckets {
		*c = serviceWindow{bucket: bucket}
	}
	for c.bucket < bucket {
		c.bucket++
		c.first[c.bucket%windowBuckets] = 0
		c.repeats[c.bucket%windowBuckets] = 0
	}
	return c
}

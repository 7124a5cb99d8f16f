package retry

import (
	"sync"
	"time"
)

// windowParts is into how many parts a window is divided: the oldest part
// leaves as a whole, so the count errs by at most one part, to the safe side.
const windowParts = 10

// Window bounds the repeated sends to each service in a sliding window:
// at most ratio x first sends + slack.
//
// The failure that it guards against: answers are lost, each process of the
// fleet sends its requests again, and the service gets many times its load
// while it has least room. Each process keeps to its share of the fleet's
// bound, so that the sum holds without any message between them.
type Window struct {
	span  time.Duration
	ratio float64

	mu       sync.Mutex
	services map[string]*windowCount
	// epoch is the first time seen; parts are counted from it on the
	// monotonic clock, which does not jump with the time of day.
	epoch time.Time
}

type windowCount struct {
	part    int64
	first   [windowParts]int
	repeats [windowParts]int
}

// NewWindow returns a bound over span; ratio is the share of first sends that
// may be sent again.
func NewWindow(span time.Duration, ratio float64) *Window {
	return &Window{span: span, ratio: ratio, services: make(map[string]*windowCount)}
}

// First counts the first send of a request.
func (w *Window) First(service string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.count(service, now)
	c.first[c.part%windowParts]++
}

// Take counts one more send, if the bound allows it; slack is this process's
// share of the fleet's.
func (w *Window) Take(service string, slack float64, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.count(service, now)
	first, repeats := 0, 0
	for i := range windowParts {
		first += c.first[i]
		repeats += c.repeats[i]
	}
	if float64(repeats+1) > w.ratio*float64(first)+slack {
		return false
	}
	c.repeats[c.part%windowParts]++
	return true
}

// count moves the service's window to now.
func (w *Window) count(service string, now time.Time) *windowCount {
	if w.epoch.IsZero() {
		w.epoch = now
	}
	part := int64(now.Sub(w.epoch) / (w.span / windowParts))
	c := w.services[service]
	if c == nil {
		c = &windowCount{part: part}
		w.services[service] = c
	}
	if part-c.part >= windowParts {
		*c = windowCount{part: part}
	}
	for c.part < part {
		c.part++
		c.first[c.part%windowParts] = 0
		c.repeats[c.part%windowParts] = 0
	}
	return c
}

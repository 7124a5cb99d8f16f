package fake

import (
	"sync"
	"time"
)

const (
	rateSlots = 20
	rateSlot  = time.Second / rateSlots
)

// rateCounter counts the calls of the last second in a sliding window, and
// keeps the highest count of any second and the total.
type rateCounter struct {
	mu    sync.Mutex
	slots [rateSlots]int
	// latest is the number of the newest slot, counted from the Unix epoch.
	latest int64
	sum    int
	max    int
	total  int
}

// add counts a call at now and returns the number of calls in the second that
// ends now.
func (r *rateCounter) add(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now.UnixNano() / int64(rateSlot))
	r.slots[r.latest%rateSlots]++
	r.sum++
	r.total++
	r.max = max(r.max, r.sum)
	return r.sum
}

// advance clears the slots that have left the window. The lock is held.
func (r *rateCounter) advance(slot int64) {
	steps := min(slot-r.latest, rateSlots)
	for i := range steps {
		at := (slot - i) % rateSlots
		r.sum -= r.slots[at]
		r.slots[at] = 0
	}
	r.latest = max(r.latest, slot)
}

// totals returns the total and the highest count of any one second.
func (r *rateCounter) totals() (total, maxPerSecond int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total, r.max
}

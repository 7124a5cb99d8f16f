package fake

import (
	"sync"
	"time"
)

const (
	rateSlots = 20
	rateSlot  = time.Second / rateSlots
)

// rateCounter counts calls over the last second, and the most that any second
// has seen.
type rateCounter struct {
	mu    sync.Mutex
	slots [rateSlots]int
	// latest is the number of the slot that was last written.
	latest int64
	sum    int
	max    int
	total  int
}

// add counts a call at now and returns the calls of the second that ends now.
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

// advance empties the slots that have gone out of the second.
func (r *rateCounter) advance(slot int64) {
	steps := min(slot-r.latest, rateSlots)
	for i := range steps {
		at := (slot - i) % rateSlots
		r.sum -= r.slots[at]
		r.slots[at] = 0
	}
	r.latest = max(r.latest, slot)
}

// figures returns the total and the most in any one second.
func (r *rateCounter) figures() (total, maxPerSecond int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total, r.max
}

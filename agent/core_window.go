package agent

import (
	"slices"
	"time"
)

// windowSize is the number of recent times that quantiles are taken of.
const windowSize = 128

// window holds the latest times on the endpoint. It is guarded by its owner.
type window struct {
	times []time.Duration
	next  int
	sum   time.Duration
	// typical stands in until a time was measured.
	typical  time.Duration
	dirty    bool
	p50, p95 time.Duration
}

func (w *window) add(d time.Duration) {
	w.dirty = true
	w.sum += d
	if len(w.times) < windowSize {
		w.times = append(w.times, d)
		return
	}
	w.sum -= w.times[w.next]
	w.times[w.next] = d
	w.next = (w.next + 1) % windowSize
}

func (w *window) mean() time.Duration {
	if len(w.times) == 0 {
		return w.typical
	}
	return w.sum / time.Duration(len(w.times))
}

// refresh computes the quantiles; it is called on ticks and not for each reply.
func (w *window) refresh() {
	if !w.dirty {
		return
	}
	w.dirty = false
	sorted := slices.Clone(w.times)
	slices.Sort(sorted)
	w.p50 = sorted[len(sorted)/2]
	w.p95 = sorted[len(sorted)*95/100]
}

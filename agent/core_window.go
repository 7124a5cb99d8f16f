package agent

import (
	"slices"
	"time"
)

// windowSize is the number of recent run times that the quantiles are computed
// from.
const windowSize = 128

// window holds the latest run times on the endpoint. Its owner guards it.
type window struct {
	times []time.Duration
	next  int
	sum   time.Duration
	// typical is returned as the mean until a time has been measured.
	typical time.Duration
	// dirty means that times were added since the last refreshQuantiles.
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

// refreshQuantiles computes the quantiles. It runs once per tick and not for
// each reply, because it sorts the window.
func (w *window) refreshQuantiles() {
	if !w.dirty {
		return
	}
	w.dirty = false
	sorted := slices.Clone(w.times)
	slices.Sort(sorted)
	w.p50 = sorted[len(sorted)/2]
	w.p95 = sorted[len(sorted)*95/100]
}

package delegation

import "time"

// rateWindow is the time over which calls are counted.
const rateWindow = time.Second

// rate tells whether the rate of calls is high, by the latest whole window.
type rate struct {
	// windowEnd is the end of the window in which calls are counted now.
	windowEnd time.Time
	counted   float64
	// perSecond is the rate in the window before.
	perSecond float64
	isHigh    bool
}

// count counts a call.
func (r *rate) count(now time.Time) {
	if now.After(r.windowEnd) {
		r.perSecond = r.counted / rateWindow.Seconds()
		if now.Sub(r.windowEnd) > rateWindow {
			r.perSecond = 0
		}
		r.counted = 0
		r.windowEnd = now.Add(rateWindow)
	}
	r.counted++
}

// high reports whether the rate has reached a bound, and has not fallen far below it since.
func (r *rate) high(bound float64) bool {
	perSecond := max(r.perSecond, r.counted/rateWindow.Seconds())
	switch {
	case bound <= 0:
		r.isHigh = false
	case perSecond >= bound:
		r.isHigh = true
	case perSecond < endShare*bound:
		r.isHigh = false
	}
	return r.isHigh
}

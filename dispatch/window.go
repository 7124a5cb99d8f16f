package dispatch

import (
	"math"
	"time"

	"github.com/mangostage/mangostage/internal/health"
)

const (
	// crowdedShare is the part of the calls of one round that were refused beyond
	// which the endpoints are taken to be shared with another owner of the queue.
	crowdedShare = 0.2
	// windowGrowth is what a window is multiplied by after a round, until the
	// first that was crowded; from then on it grows by one call a round.
	windowGrowth = 2
	// windowPauseMax bounds the pause after calls refused in a row.
	windowPauseMax = time.Second
	// unbounded is the window of an owner that hears the whole fleet.
	unbounded = math.MaxInt
)

// window bounds the calls that a pool has under way at a time. An owner of the
// queue that hears the whole fleet needs none. One that does not begins with few
// calls, and has more with each round in which few are refused; while the
// endpoints refuse them, it takes no more than they granted in the last round.
//
// The failure that it guards against: a hundred processes start as one, each
// calls all endpoints, is refused by most and asks again, and the connections and
// refusals keep the endpoints and the processes from their work for seconds.
type window struct {
	limit    int
	underway int
	// began is when the present round began, ended and refused count its calls.
	began          time.Time
	ended, refused int
	crowded        bool
	// pause is under way after a refused call.
	pause health.Pause
}

// full tells whether no further call may start now.
func (w *window) full(now time.Time) bool { return w.underway >= w.limit || w.pause.Active(now) }

// bound sets the limit to a share of the places.
func (w *window) bound(share float64, places int) {
	w.limit = unbounded
	if share < 1 {
		w.limit = max(1, int(math.Ceil(share*float64(places))))
	}
}

// widen raises the limit to a share of the places, if it is lower.
func (w *window) widen(share float64, places int) {
	limit := w.limit
	w.crowded = false
	w.bound(share, places)
	w.limit = max(limit, w.limit)
}

// end takes in the end of a call; round is the usual time of one, places is how
// many calls the endpoints take at a time.
func (w *window) end(refused bool, round time.Duration, places int, now time.Time) {
	w.underway--
	if w.limit == unbounded {
		return
	}
	w.ended++
	if refused {
		w.refused++
		w.pause.Fail(pauseRefused, windowPauseMax, now)
	} else {
		w.pause.Clear()
	}
	if now.Sub(w.began) < round {
		return
	}
	switch {
	case float64(w.refused) > crowdedShare*float64(w.ended):
		w.limit = max(1, w.ended-w.refused)
		w.crowded = true
	case w.limit >= places:
		w.limit = unbounded
	case w.crowded:
		w.limit++
	default:
		w.limit *= windowGrowth
	}
	w.began, w.ended, w.refused = now, 0, 0
}

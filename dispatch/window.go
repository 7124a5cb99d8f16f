package dispatch

import (
	"math"
	"time"

	"github.com/mangostage/mangostage/internal/health"
)

const (
	// contendedShare is the fraction of refused calls in a round above which the
	// endpoints are considered shared with another queue owner.
	contendedShare = 0.2
	// windowGrowth is the factor by which a window grows after a round, until the
	// first contended round; after that it grows by one call a round.
	windowGrowth = 2
	// windowPauseMax bounds the pause after consecutive refused calls.
	windowPauseMax = time.Second
	// unbounded is the limit of an owner that is in contact with the whole fleet.
	unbounded = math.MaxInt
)

// callWindow bounds the calls that a pool has in flight. A queue owner that is in
// contact with the whole fleet needs no bound. Any other starts with few calls and
// gets more with each round in which few are refused; after a round with many
// refusals the limit is the number of calls that were not refused.
//
// It guards against this failure: a hundred processes start at once and each
// considers itself the owner, calls all endpoints, is refused by most and retries;
// the connections and refusals keep endpoints and processes from their work for
// seconds.
type callWindow struct {
	limit    int
	inFlight int
	// roundStart is when the current round began; roundEnded and roundRefused count
	// its calls.
	roundStart               time.Time
	roundEnded, roundRefused int
	// contended is true from the first contended round on; raiseLimit resets it.
	contended bool
	// pause is active after a refused call.
	pause health.Backoff
}

// full reports whether no further call may start now.
func (w *callWindow) full(now time.Time) bool { return w.inFlight >= w.limit || w.pause.Active(now) }

// setLimit sets the limit to a share of the call slots; there is no limit if share
// is 1.
func (w *callWindow) setLimit(share float64, slots int) {
	w.limit = unbounded
	if share < 1 {
		w.limit = max(1, int(math.Ceil(share*float64(slots))))
	}
}

// raiseLimit raises the limit to a share of the call slots, unless it is higher
// already.
func (w *callWindow) raiseLimit(share float64, slots int) {
	limit := w.limit
	w.contended = false
	w.setLimit(share, slots)
	w.limit = max(limit, w.limit)
}

// callEnded accounts for the end of a call. round is the average call time, slots
// the number of calls that the endpoints take at a time.
func (w *callWindow) callEnded(refused bool, round time.Duration, slots int, now time.Time) {
	w.inFlight--
	if w.limit == unbounded {
		return
	}
	w.roundEnded++
	if refused {
		w.roundRefused++
		w.pause.RecordFailure(refusalPause, windowPauseMax, now)
	} else {
		w.pause.ResetFailures()
	}
	if now.Sub(w.roundStart) < round {
		return
	}
	switch {
	case float64(w.roundRefused) > contendedShare*float64(w.roundEnded):
		w.limit = max(1, w.roundEnded-w.roundRefused)
		w.contended = true
	case w.limit >= slots:
		w.limit = unbounded
	case w.contended:
		w.limit++
	default:
		w.limit *= windowGrowth
	}
	w.roundStart, w.roundEnded, w.roundRefused = now, 0, 0
}

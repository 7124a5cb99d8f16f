package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/internal/health"
	"github.com/mangostage/mangostage/warm"
)

const (
	// speedWeight is the share of the newest call in a worker's speed. Three
	// calls move it by half, so that a slow endpoint shows within a second.
	speedWeight = 0.25
	// speedMax bounds the factor, so that one stalled call is forgotten in a few good ones.
	speedMax = 8
	// pauseFirst and pauseMax bound the time without calls after a failure;
	// it doubles with each one in a row.
	pauseFirst = 100 * time.Millisecond
	pauseMax   = 2 * time.Second
	// pauseRefused is shorter: the endpoint is alive and busy with somebody
	// else's call, which takes about this long.
	pauseRefused = 60 * time.Millisecond
	// refusedDoublings is how often it doubles with refusals in a row.
	refusedDoublings = 3
	// ttlMargin is added to the time after which an endpoint drops a result by
	// itself, so that room is not counted as free before it is.
	ttlMargin = 200 * time.Millisecond
)

// worker is the state of one endpoint of a stage's service.
type worker struct {
	endpoint *catalog.Endpoint
	// key is the endpoint's Key.
	key string
	// hash is that of the key.
	hash  uint64
	spec  *catalog.Batch
	calls map[uint64]*call
	// used is the memory of results that are kept, made or expected, in bytes.
	used    int64
	results map[*result]struct{}
	// firstExpiry is not after the earliest end of a booking.
	firstExpiry time.Time
	// speed is the measured time of a call over the expected one.
	speed float64
	// suspect is set from a call that did not come back in time until one does.
	suspect bool
	// pause is under way after failed and refused calls.
	pause health.Pause
	// refusals counts the calls refused since one succeeded.
	refusals int
	// pace is what was sent to the endpoint while it is cold.
	pace warm.Pace
	gone bool
}

// call is one call in flight.
type call struct {
	id      uint64
	worker  *worker
	pieces  []placed
	bytes   int64
	sentAt  time.Time
	expects time.Duration
}

// placed is a piece in a call.
type placed struct {
	stage *stage
	index int
}

func newWorker(e *catalog.Endpoint, spec *catalog.Batch) *worker {
	return &worker{
		endpoint: e,
		key:      e.Key(),
		hash:     xxhash.Sum64String(e.Key()),
		spec:     spec,
		calls:    make(map[uint64]*call),
		results:  make(map[*result]struct{}),
		speed:    1,
	}
}

// idle tells whether the worker takes a call at now.
func (w *worker) idle(now time.Time) bool {
	return w.usable() && len(w.calls) < w.spec.Slots && !w.pause.Active(now) &&
		w.pace.Allows(now, w.endpoint, warm.OwnerShare, 0)
}

// usable tells whether the worker may get calls at all.
func (w *worker) usable() bool { return !w.gone && w.endpoint.TakesWork() }

// room is the memory that is free for results, in bytes, if only a share of all
// of it can be used.
func (w *worker) room(share float64) int64 {
	return int64(share*float64(w.spec.Room)) - w.used
}

// expect is how long a call with n pieces should take at the nominal speed.
func (w *worker) expect(n int) time.Duration {
	return w.spec.CallTime + time.Duration(n)*w.spec.ItemTime
}

// refused keeps calls off for a while, longer with each refusal in a row: those
// of other owners fill the endpoint.
func (w *worker) refused(now time.Time) {
	w.pause.Hold(pauseRefused<<min(w.refusals, refusedDoublings), now)
	w.refusals++
}

// answered notes that the endpoint has answered a call.
func (w *worker) answered() {
	w.pause.Clear()
	w.refusals = 0
}

// learn takes the time of a call in which the endpoint worked on some pieces. One
// that had room for none, or to which all came too late, is back at once and says
// nothing of the endpoint's speed. A call that came back in time clears a suspect.
func (w *worker) learn(took time.Duration, worked int) {
	if worked == 0 {
		return
	}
	factor := min(speedMax, float64(took)/float64(w.expect(worked)))
	w.speed += speedWeight * (factor - w.speed)
	w.suspect = w.suspect && factor > timeoutFactor
}

// overdue notes a call that was given up: it takes at least the time that has
// passed, and until one comes back in time the endpoint gets a piece at a time.
func (w *worker) overdue(cl *call, now time.Time) {
	w.pause.Fail(pauseFirst, pauseMax, now)
	least := min(speedMax, float64(now.Sub(cl.sentAt))/float64(cl.expects))
	w.speed = max(w.speed, least)
	w.suspect = true
}

// places is how many pieces the worker gets in a call.
func (w *worker) places() int {
	if w.suspect {
		return 1
	}
	return w.spec.Items
}

// keep books a result until it is released or the endpoint drops it by itself.
// The memory was reserved with the call.
func (w *worker) keep(r *result, now time.Time) {
	r.worker = w
	r.until = now.Add(w.spec.ResultTTL + ttlMargin)
	if len(w.results) == 0 || r.until.Before(w.firstExpiry) {
		w.firstExpiry = r.until
	}
	w.results[r] = struct{}{}
}

// keeps tells whether a result is booked.
func (w *worker) keeps(r *result) bool {
	_, ok := w.results[r]
	return ok
}

// release ends a result's booking, if it is still booked.
func (w *worker) release(r *result) {
	if !w.keeps(r) {
		return
	}
	delete(w.results, r)
	w.used -= r.bytes
}

// expire ends the bookings of results that the endpoint has dropped by itself.
// Without it, results of lost calls would fill the books for good and the
// worker would stand idle while work waits. It looks at the bookings only once
// the first of them can have run out.
func (w *worker) expire(now time.Time) {
	if now.Before(w.firstExpiry) {
		return
	}
	first := true
	for r := range w.results {
		if !now.Before(r.until) {
			w.release(r)
			continue
		}
		if first || r.until.Before(w.firstExpiry) {
			w.firstExpiry = r.until
		}
		first = false
	}
}

package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/internal/health"
	"github.com/mangostage/mangostage/quota"
	"github.com/mangostage/mangostage/retryafter"
	"github.com/mangostage/mangostage/warm"
)

const (
	// speedWeight is the weight of the newest call in a worker's speed. Three calls
	// move it by half, so that a slow endpoint shows within a second.
	speedWeight = 0.25
	// speedMax bounds the speed factor of one call, so that a few good calls outweigh
	// one that stalled.
	speedMax = 8
	// pauseMin and pauseMax bound the pause after a failed call; it doubles with each
	// consecutive failure.
	pauseMin = 100 * time.Millisecond
	pauseMax = 2 * time.Second
	// refusalPause is shorter than pauseMin: the endpoint is alive and busy with
	// another owner's call, which takes about this long.
	refusalPause = 60 * time.Millisecond
	// maxRefusalDoublings is how often the pause doubles with consecutive refusals.
	maxRefusalDoublings = 3
	// ttlMargin is added to the time after which an endpoint drops a result by itself,
	// so that its memory is not counted as free too early.
	ttlMargin = 200 * time.Millisecond
)

// worker is the state of one endpoint of a stage service.
type worker struct {
	endpoint *catalog.Endpoint
	// key is the endpoint's Key.
	key string
	// hash is the hash of the key.
	hash  uint64
	spec  *catalog.Batch
	calls map[uint64]*call
	// usedMemory is the memory of results that are kept, in production or reserved for
	// lost calls, in bytes.
	usedMemory int64
	results    map[*result]struct{}
	// gathered are the results that will be freed together.
	gathered gathered
	// earliestExpiry is a lower bound of the expiry times of the results.
	earliestExpiry time.Time
	// speed is the moving average of measured over expected call time; 1 is nominal,
	// larger is slower.
	speed float64
	// suspect is true from a lost call, or the loss of contact with the failure
	// domain, until a call returns in time.
	suspect bool
	// pause is active after failed and refused calls.
	pause health.Backoff
	// consecutiveRefusals counts the calls refused since the last one that was
	// answered.
	consecutiveRefusals int
	// coldLimit limits the calls to the endpoint while it is cold.
	coldLimit warm.Limiter
	// quotas holds the request rate that the endpoint names; each piece counts as a
	// request.
	quotas *quota.Table
	// backoffs holds whether the endpoint asked this process for a backoff.
	backoffs *retryafter.Table
	// removed is true if the endpoint is not listed, or another process answers at its
	// address.
	removed bool
}

// call is a call in flight.
type call struct {
	id           uint64
	worker       *worker
	pieces       []callPiece
	bytes        int64
	sentAt       time.Time
	expectedTime time.Duration
}

// callPiece is a piece in a call.
type callPiece struct {
	stage *stage
	index int
}

func newWorker(e *catalog.Endpoint, spec *catalog.Batch, quotas *quota.Table, backoffs *retryafter.Table) *worker {
	return &worker{
		quotas:   quotas,
		backoffs: backoffs,
		endpoint: e,
		key:      e.Key(),
		hash:     xxhash.Sum64String(e.Key()),
		spec:     spec,
		calls:    make(map[uint64]*call),
		results:  make(map[*result]struct{}),
		speed:    1,
	}
}

// idle reports whether the worker can take a call at now.
func (w *worker) idle(now time.Time) bool {
	return w.usable() && len(w.calls) < w.spec.Slots && !w.pause.Active(now) &&
		w.coldLimit.Allow(now, w.endpoint, warm.OwnerShare, 0) && w.quotas.Available(now, w.key) > 0 &&
		!w.backoffs.Active(now, w.key)
}

// usable reports whether the worker may get calls at all.
func (w *worker) usable() bool { return !w.removed && w.endpoint.TakesWork() }

// freeMemory returns the free memory for results, in bytes, if only the given
// share of the total may be used.
func (w *worker) freeMemory(share float64) int64 {
	return int64(share*float64(w.spec.Room)) - w.usedMemory
}

// callRefused pauses calls to the worker, for longer with each consecutive
// refusal: calls of other owners fill the endpoint.
func (w *worker) callRefused(now time.Time) {
	w.pause.BlockFor(refusalPause<<min(w.consecutiveRefusals, maxRefusalDoublings), now)
	w.consecutiveRefusals++
}

// callAnswered notes that the endpoint has answered a call.
func (w *worker) callAnswered() {
	w.pause.ResetFailures()
	w.consecutiveRefusals = 0
}

// learn updates the speed from a call of which the endpoint worked on some pieces.
// A call whose pieces all lacked memory or came too late returns at once and says
// nothing about speed. A call that returns in time ends the suspicion.
func (w *worker) learn(took time.Duration, worked int) {
	if worked == 0 {
		return
	}
	factor := min(speedMax, float64(took)/float64(w.spec.CallTimeFor(worked)))
	w.speed += speedWeight * (factor - w.speed)
	w.suspect = w.suspect && factor > timeoutFactor
}

// callLost notes a call without a usable answer. It would have taken at least the
// time that has passed. Until a call returns in time the endpoint gets one piece a
// call.
func (w *worker) callLost(cl *call, now time.Time) {
	w.pause.RecordFailure(pauseMin, pauseMax, now)
	least := min(speedMax, float64(now.Sub(cl.sentAt))/float64(cl.expectedTime))
	w.speed = max(w.speed, least)
	w.suspect = true
}

// callAbandoned notes that nobody hears the end of a call. The endpoint may work on it until it
// would have ended.
func (w *worker) callAbandoned(cl *call, now time.Time) {
	if left := cl.sentAt.Add(cl.expectedTime).Sub(now); left > 0 {
		w.pause.BlockFor(left, now)
	}
}

// places returns how many pieces the worker may get in one call.
func (w *worker) places() int {
	if w.suspect {
		return 1
	}
	return w.spec.Items
}

// addResult records a result until it is released or expires. The caller has
// counted its memory in usedMemory.
func (w *worker) addResult(r *result, now time.Time) {
	r.worker = w
	r.expiresAt = now.Add(w.spec.ResultTTL + ttlMargin)
	if len(w.results) == 0 || r.expiresAt.Before(w.earliestExpiry) {
		w.earliestExpiry = r.expiresAt
	}
	w.results[r] = struct{}{}
}

// hasResult reports whether a result is recorded.
func (w *worker) hasResult(r *result) bool {
	_, ok := w.results[r]
	return ok
}

// release removes a result, if it is still recorded, and its memory.
func (w *worker) release(r *result) {
	if !w.hasResult(r) {
		return
	}
	delete(w.results, r)
	w.usedMemory -= r.bytes
}

// expire releases the results that the endpoint has dropped by itself. Without it,
// results of lost calls would occupy memory forever, and the worker would stay
// idle while work waits. It scans the results only once the earliest of them can
// have expired.
func (w *worker) expire(now time.Time) {
	if now.Before(w.earliestExpiry) {
		return
	}
	first := true
	for r := range w.results {
		if !now.Before(r.expiresAt) {
			w.release(r)
			continue
		}
		if first || r.expiresAt.Before(w.earliestExpiry) {
			w.earliestExpiry = r.expiresAt
		}
		first = false
	}
}

package dispatch

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/dispatch/appointment"
	"github.com/mangostage/mangostage/share"
)

const (
	// timeoutFactor times the expected time of a call, plus timeoutSlack, is its
	// timeout, which is longer at endpoints known to be slow. Endpoints of one service
	// differ in speed by less than this factor.
	timeoutFactor = 2.2
	// timeoutSlack is added to each timeout for connecting and for fetching inputs.
	timeoutSlack = 150 * time.Millisecond
	// startTolerance is how much later than startBy a stage may start for its job to
	// count as able to meet its objective.
	startTolerance = 50 * time.Millisecond
	// maxFailedTries bounds the failed tries of one stage of a job.
	maxFailedTries = 4
)

// pool is a stage service with its queue.
type pool struct {
	name    string
	spec    *catalog.Batch
	workers []*worker
	// callMode returns in which calls the pieces of a job may run.
	callMode func(*job, time.Time) callMode
	// usable counts the usable workers; domains are their failure domains.
	usable  int
	domains map[string]bool
	// domainWaits caches the waits for the failure domains.
	domainWaits domainWaits
	// shrunk is true if usable has fallen since the last tick.
	shrunk bool
	// lostCapacity is the capacity that quotas and backoffs take away, in workers.
	lostCapacity float64
	// backoffEnd is when the first usable endpoint takes calls again if all are in
	// backoff, else zero.
	backoffEnd time.Time
	// changed is true if a piece may now fit an idle worker that it did not fit
	// before. Each tick sets it too, because the passage of time can do the same.
	changed bool
	// largestResult is the size of the largest result that a stage asked for, in bytes.
	largestResult int64
	// queuedSizes counts the queued stages by the size of their results.
	queuedSizes map[int64]int
	// queue holds the stages with waiting pieces, sorted by startBy.
	queue []*stage
	// waiting counts the waiting pieces of the queued stages.
	waiting int
	// avgCallTime is the moving average of the duration of calls.
	avgCallTime time.Duration
	// avgHoldTime is the moving average of the time from the call that produces a
	// result until its memory is free again.
	avgHoldTime time.Duration
	// forecastError is the moving average of how much later than forecast stages
	// start.
	forecastError time.Duration
	// admitted counts the pieces of jobs on time, by priority.
	admitted admittedPieces
	// calendar holds the appointments of refused clients.
	calendar appointment.Calendar
	// forecastErrorAsOf is when forecastError was last updated.
	forecastErrorAsOf time.Time
	// memoryShare is the fraction of the endpoints' memory that calls may reserve. The
	// sizes of results are only known approximately, so memory that is reserved to the
	// last byte overflows, and a piece that finds no memory costs an extra call.
	memoryShare float64
	demand      demand
	// shares has what client accounts ask of the pool, in pieces.
	shares     *share.Table
	callWindow callWindow
}

const (
	// memoryShareMin is the lower bound of memoryShare, which also holds while results
	// of an earlier queue owner occupy memory: part of each call still fits.
	memoryShareMin = 0.8
	// memoryShareLoss is subtracted from memoryShare after a call in which a piece
	// found no memory, and memoryShareGain is added after a call without such a piece.
	memoryShareLoss = 0.01
	memoryShareGain = 0.0005
)

// callTimeWeight is the weight of the newest call in a pool's average call time.
const callTimeWeight = 0.125

// learnCallTime updates the average call time. Calls in which the endpoint skipped
// pieces are ignored: they are shorter than the calls that admission assumes.
func (p *pool) learnCallTime(took time.Duration, worked, pieces int) {
	if worked < pieces {
		return
	}
	p.avgCallTime += time.Duration(callTimeWeight * float64(took-p.avgCallTime))
}

// learnMemoryShare updates memoryShare; without is the number of pieces of a call
// that found no memory.
func (p *pool) learnMemoryShare(without int) {
	if without > 0 {
		p.memoryShare = max(memoryShareMin, p.memoryShare-memoryShareLoss)
		return
	}
	p.memoryShare = min(1, p.memoryShare+memoryShareGain)
}

func newPool(name string, spec *catalog.Batch) *pool {
	fullCall := spec.CallTimeFor(spec.Items)
	return &pool{
		name: name, spec: spec, avgCallTime: fullCall, avgHoldTime: 2 * fullCall, memoryShare: 1, demand: newDemand(), shares: share.NewTable(),
		domains: make(map[string]bool), queuedSizes: make(map[int64]int), callWindow: callWindow{limit: unbounded},
		callMode: func(*job, time.Time) callMode { return callShared },
	}
}

// push queues the waiting pieces of s.
func (p *pool) push(s *stage) {
	if s.queued || len(s.waiting) == 0 {
		return
	}
	s.queued = true
	p.changed = true
	p.queuedSizes[s.ResultBytes]++
	p.largestResult = max(p.largestResult, s.ResultBytes)
	p.waiting += len(s.waiting)
	at := sort.Search(len(p.queue), func(i int) bool { return p.queue[i].startBy.After(s.startBy) })
	p.queue = append(p.queue, nil)
	copy(p.queue[at+1:], p.queue[at:])
	p.queue[at] = s
}

// remove takes s out of the queue.
func (p *pool) remove(s *stage) {
	if !s.queued {
		return
	}
	p.markDequeued(s)
	p.waiting -= len(s.waiting)
	for i, q := range p.queue {
		if q == s {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return
		}
	}
}

// markDequeued notes that a stage is no longer queued.
func (p *pool) markDequeued(s *stage) {
	s.queued = false
	p.queuedSizes[s.ResultBytes]--
	if p.queuedSizes[s.ResultBytes] == 0 {
		delete(p.queuedSizes, s.ResultBytes)
	}
}

// smallestResult returns the size of the smallest result among the queued stages,
// in bytes.
func (p *pool) smallestResult() int64 {
	least := int64(math.MaxInt64)
	for bytes := range p.queuedSizes {
		least = min(least, bytes)
	}
	return least
}

// countWorkers updates usable and domains.
func (p *pool) countWorkers() {
	before := p.usable
	p.usable = 0
	clear(p.domains)
	for _, w := range p.workers {
		if w.usable() {
			p.usable++
			p.domains[w.endpoint.Domain] = true
		}
	}
	p.shrunk = p.shrunk || p.usable < before
	p.changed = true
}

// callSlots returns how many calls the usable endpoints take at a time.
func (p *pool) callSlots() int { return p.usable * p.spec.Slots }

// allowedWorkers returns how many endpoints the owner may use at a time.
func (p *pool) allowedWorkers() int {
	return min(p.usable, max(1, p.callWindow.limit/max(1, p.spec.Slots)))
}

// nextBatch takes pieces off the queue for one call to w. Jobs that can still meet
// their objective, or that have started, go before those that cannot:
// half-finished jobs hold memory at endpoints, and delaying them stalls
// everything.
func (p *pool) nextBatch(w *worker, now time.Time) []callPiece {
	builder := batchBuilder{pool: p, worker: w, now: now, freeMemory: w.freeMemory(p.memoryShare), places: min(w.places(), w.quotas.Available(now, w.key))}
	if builder.freeMemory < p.smallestResult() {
		return nil
	}
	if w.suspect {
		builder.takeProbe()
		return builder.pieces
	}
	first := sort.Search(len(p.queue), func(i int) bool { return !p.queue[i].startBy.Add(startTolerance).Before(now) })
	missed, attainable := p.queue[:first], p.queue[first:]
	builder.takeMatching(missed, func(s *stage) bool { return s.job.started && !now.Before(s.lastStart) })
	builder.takeMatching(attainable, func(s *stage) bool { return !s.job.late })
	builder.takeMatching(attainable, func(s *stage) bool { return s.job.late })
	builder.takeMatching(missed, func(s *stage) bool { return s.job.started })
	builder.takeMatching(missed, func(s *stage) bool { return !s.job.started })
	builder.removeEmptyStages()
	return builder.pieces
}

// batchBuilder collects the pieces of one call.
type batchBuilder struct {
	pool       *pool
	worker     *worker
	now        time.Time
	freeMemory int64
	places     int
	pieces     []callPiece
}

// takeMatching takes pieces of the stages in a part of the queue that want accepts
// and that fit the worker.
func (b *batchBuilder) takeMatching(queue []*stage, want func(*stage) bool) {
	for _, s := range queue {
		if b.places == 0 {
			return
		}
		if want(s) && b.canTake(s) {
			b.take(s)
		}
	}
}

// fits reports whether pieces of s may join those that the call has.
func (b *batchBuilder) fits(s *stage) bool {
	switch b.pool.callMode(s.job, b.now) {
	case callShared:
		return true
	case callHeld:
		return false
	}
	return len(b.pieces) == 0
}

// takeProbe takes one piece for a suspect worker. It takes the one with the latest
// startBy, which can best afford a delay.
func (b *batchBuilder) takeProbe() {
	for _, s := range slices.Backward(b.pool.queue) {
		if !b.canTake(s) {
			continue
		}
		b.take(s)
		break
	}
	b.removeEmptyStages()
}

// canTake reports whether pieces of s may run at the worker now.
func (b *batchBuilder) canTake(s *stage) bool {
	if len(s.waiting) == 0 || s.ResultBytes > b.freeMemory {
		return false
	}
	if s.avoidKey == b.worker.key && b.pool.usable > 1 {
		return false
	}
	return s.mayRunIn(b.worker.endpoint.Domain, b.pool, b.now) && b.fits(s)
}

// take moves waiting pieces of s into the call.
func (b *batchBuilder) take(s *stage) {
	n := min(len(s.waiting), b.places)
	if s.ResultBytes > 0 {
		n = min(n, int(b.freeMemory/s.ResultBytes))
	}
	for _, index := range s.waiting[:n] {
		b.pieces = append(b.pieces, callPiece{stage: s, index: index})
	}
	s.waiting = s.waiting[n:]
	s.updateDemand()
	b.pool.waiting -= n
	b.places -= n
	if b.pool.callMode(s.job, b.now) != callShared {
		b.places = 0
	}
	b.freeMemory -= int64(n) * s.ResultBytes
	if len(s.waiting) == 0 {
		b.pool.learnForecastError(s, b.now)
		return
	}
	s.pinDomain(b.worker.endpoint.Domain)
}

// removeEmptyStages removes stages without waiting pieces from the queue.
func (b *batchBuilder) removeEmptyStages() {
	if len(b.pieces) == 0 {
		return
	}
	kept := b.pool.queue[:0]
	for _, s := range b.pool.queue {
		if len(s.waiting) > 0 {
			kept = append(kept, s)
			continue
		}
		b.pool.markDequeued(s)
	}
	clear(b.pool.queue[len(kept):])
	b.pool.queue = kept
}

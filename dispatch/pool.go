package dispatch

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/mangostage/mangostage/catalog"
)

const (
	// timeoutFactor over its expected time makes a call overdue; endpoints of
	// one service differ in speed by less.
	timeoutFactor = 2.2
	// timeoutSlack is added for connections and the fetch of inputs.
	timeoutSlack = 150 * time.Millisecond
	// startTolerance is how much later than planned a stage may start for its
	// job to count as one that can still meet its objective.
	startTolerance = 50 * time.Millisecond
	// maxTries bounds how often pieces of one stage of a job may fail.
	maxTries = 4
)

// pool is one service that runs stages, with its queue.
type pool struct {
	name    string
	spec    *catalog.Batch
	workers []*worker
	// usable counts the workers that may get calls, domains are theirs.
	usable  int
	domains map[string]bool
	// changed is set when a piece may fit an idle worker that did not before. Time
	// that passes is looked at with each tick.
	changed bool
	// sizes counts the queued stages by the size of their results.
	sizes map[int64]int
	// queue holds the stages with waiting pieces, by startBy.
	queue []*stage
	// waiting counts the waiting pieces.
	waiting int
	// took is a moving average of the time that calls take.
	took time.Duration
	// hold is a moving average of the time from the call that makes a result
	// until its memory is free again.
	hold time.Duration
	// bias is a moving average of how much later than forecast stages start.
	bias time.Duration
	// taken is the decaying count of pieces of jobs in time, as of takenFrom.
	taken     float64
	takenFrom time.Time
	// biasFrom is when bias was last learned.
	biasFrom time.Time
	// roomShare is the part of the endpoints' memory that calls may book. The
	// sizes of results are only about known, so books that are full to the last
	// byte overflow, and a piece that finds no room is made one call later.
	roomShare float64
	demand    demand
	window    window
}

const (
	// roomShareMin bounds how far the share falls, also while results of an
	// earlier owner of the queue take up memory: part of each call still fits.
	roomShareMin = 0.8
	// roomShareLoss is what a piece that finds no room takes off the share, and
	// roomShareGain what a call without one gives back.
	roomShareLoss = 0.01
	roomShareGain = 0.0005
)

// tookWeight is the share of the newest call in the pool's time of a call.
const tookWeight = 0.125

// learnTook takes the time of a call of some pieces. Calls in which the endpoint
// left pieces out are shorter than those that admission counts on.
func (p *pool) learnTook(took time.Duration, worked, pieces int) {
	if worked < pieces {
		return
	}
	p.took += time.Duration(tookWeight * float64(took-p.took))
}

// learnRoom takes how many pieces of a call found no room.
func (p *pool) learnRoom(without int) {
	if without > 0 {
		p.roomShare = max(roomShareMin, p.roomShare-roomShareLoss)
		return
	}
	p.roomShare = min(1, p.roomShare+roomShareGain)
}

func newPool(name string, spec *catalog.Batch) *pool {
	return &pool{
		name: name, spec: spec, took: fullCall(spec), hold: 2 * fullCall(spec), roomShare: 1, demand: newDemand(),
		domains: make(map[string]bool), sizes: make(map[int64]int), window: window{limit: unbounded},
	}
}

// fullCall is the nominal time of a call with all its places taken.
func fullCall(spec *catalog.Batch) time.Duration {
	return spec.CallTime + time.Duration(spec.Items)*spec.ItemTime
}

// push queues the waiting pieces of s.
func (p *pool) push(s *stage) {
	if s.queued || len(s.waiting) == 0 {
		return
	}
	s.queued = true
	p.changed = true
	p.sizes[s.ResultBytes]++
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
	p.left(s)
	p.waiting -= len(s.waiting)
	for i, q := range p.queue {
		if q == s {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return
		}
	}
}

// left notes that a stage is queued no longer.
func (p *pool) left(s *stage) {
	s.queued = false
	p.sizes[s.ResultBytes]--
	if p.sizes[s.ResultBytes] == 0 {
		delete(p.sizes, s.ResultBytes)
	}
}

// smallest is the size of the smallest result that is waited for, in bytes.
func (p *pool) smallest() int64 {
	least := int64(math.MaxInt64)
	for bytes := range p.sizes {
		least = min(least, bytes)
	}
	return least
}

// countWorkers brings up to date which workers may get calls.
func (p *pool) countWorkers() {
	p.usable = 0
	clear(p.domains)
	for _, w := range p.workers {
		if w.usable() {
			p.usable++
			p.domains[w.endpoint.Domain] = true
		}
	}
	p.changed = true
}

// places is how many calls the endpoints take at a time.
func (p *pool) places() int { return p.usable * p.spec.Slots }

// width is how many of the endpoints the owner may use at a time.
func (p *pool) width() int {
	return min(p.usable, max(1, p.window.limit/max(1, p.spec.Slots)))
}

// batch takes pieces off the queue for one call to w. Jobs that can still meet
// their objective, or have pieces made already, go before those that cannot:
// half-made jobs hold room at endpoints, and to put them off stalls everything.
func (p *pool) batch(w *worker, now time.Time) []placed {
	pick := picker{pool: p, worker: w, now: now, room: w.room(p.roomShare), places: w.places()}
	if pick.room < p.smallest() {
		return nil
	}
	if w.suspect {
		pick.probe()
		return pick.taken
	}
	first := sort.Search(len(p.queue), func(i int) bool { return !p.queue[i].startBy.Add(startTolerance).Before(now) })
	hopeless, hopeful := p.queue[:first], p.queue[first:]
	pick.pass(hopeful, func(s *stage) bool { return !s.job.late })
	pick.pass(hopeful, func(s *stage) bool { return s.job.late })
	pick.pass(hopeless, func(s *stage) bool { return s.job.started })
	pick.pass(hopeless, func(s *stage) bool { return !s.job.started })
	pick.sweep()
	return pick.taken
}

// picker fills one call.
type picker struct {
	pool   *pool
	worker *worker
	now    time.Time
	room   int64
	places int
	taken  []placed
}

// pass walks a part of the queue once for the stages that fit.
func (k *picker) pass(queue []*stage, want func(*stage) bool) {
	for _, s := range queue {
		if k.places == 0 {
			return
		}
		if want(s) && k.fits(s) {
			k.take(s)
		}
	}
}

// probe takes one piece that can bear to be made late: of those in time the one
// with the most time to spare.
func (k *picker) probe() {
	for _, s := range slices.Backward(k.pool.queue) {
		if !k.fits(s) {
			continue
		}
		k.take(s)
		break
	}
	k.sweep()
}

// fits tells whether pieces of s may be made at the worker now.
func (k *picker) fits(s *stage) bool {
	if len(s.waiting) == 0 || s.ResultBytes > k.room {
		return false
	}
	if s.avoid == k.worker.key && k.pool.usable > 1 {
		return false
	}
	return s.mayRunIn(k.worker.endpoint.Domain, k.pool, k.now)
}

// take moves waiting pieces of s into the call.
func (k *picker) take(s *stage) {
	n := min(len(s.waiting), k.places)
	if s.ResultBytes > 0 {
		n = min(n, int(k.room/s.ResultBytes))
	}
	for _, index := range s.waiting[:n] {
		k.taken = append(k.taken, placed{stage: s, index: index})
	}
	s.waiting = s.waiting[n:]
	s.book()
	k.pool.waiting -= n
	k.places -= n
	k.room -= int64(n) * s.ResultBytes
	if len(s.waiting) == 0 {
		k.pool.began(s, k.now)
		return
	}
	s.settle(k.worker.endpoint.Domain)
}

// sweep drops stages from the queue that have no waiting pieces left.
func (k *picker) sweep() {
	if len(k.taken) == 0 {
		return
	}
	kept := k.pool.queue[:0]
	for _, s := range k.pool.queue {
		if len(s.waiting) > 0 {
			kept = append(kept, s)
			continue
		}
		k.pool.left(s)
	}
	clear(k.pool.queue[len(kept):])
	k.pool.queue = kept
}

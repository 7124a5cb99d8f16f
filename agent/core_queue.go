package agent

import (
	"sort"
	"sync"
	"time"

	"github.com/mangostage/mangostage/wire"
)

// admission bounds the calls on the endpoint and orders those that wait. Its
// lock is the innermost of the core's.
type admission struct {
	mu          sync.Mutex
	concurrency int
	limit       int
	running     int
	// alone: the one call on the endpoint wants no company.
	alone bool
	// down: the endpoint does not answer; nothing starts.
	down      bool
	crashLoad int
	queue     []*Run
	fair      map[int]*fairClock
	arrivals  uint64
	reports   uint64
	times     window
	share     costShare
}

// place is a run's place in the queue; it is guarded by admission.mu.
type place struct {
	state    placeState
	priority int
	account  string
	alone    bool
	// start and finish are the tags of start-time fair queueing.
	start, finish float64
	arrival       uint64
	// beside is the number of runs on the endpoint once this one had started.
	beside int
}

type placeState uint8

const (
	placeNone placeState = iota
	placeQueued
	placeSlot
)

// fairClock is the virtual time of one priority. A call's start tag is the
// later of the virtual time and its account's previous finish tag; the finish
// tag lies 1/weight later. Serving by start tag gives each account with waiting
// calls its share by weight, however many calls it has sent.
type fairClock struct {
	virtual float64
	finish  map[string]float64
	waiting int
}

func newAdmission() *admission {
	return &admission{fair: make(map[int]*fairClock)}
}

// offer is the outcome of offering a run to the queue.
type offer struct {
	started bool
	queued  bool
	// displaced is the run that lost its place to this one.
	displaced *Run
	// wait is the expected time until the start.
	wait time.Duration
	// late: the run would start too late for its deadline.
	late bool
	// down: the endpoint does not answer.
	down bool
}

// offer starts the run, queues it or refuses it. A run that would wait beyond
// remaining is refused now rather than when it is too late to go elsewhere.
func (a *admission) offer(run *Run, weight int, remaining time.Duration) offer {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return offer{down: true}
	}
	if len(a.queue) == 0 && a.fits(run) {
		a.occupy(run)
		return offer{started: true}
	}
	a.tag(run, weight)
	at := a.position(run)
	result := offer{wait: a.expectedWait(at)}
	if result.wait+a.times.mean() > remaining {
		result.late = true
		a.untag(run)
		return result
	}
	if len(a.queue) >= a.limit {
		if at >= len(a.queue) {
			a.untag(run)
			return result
		}
		result.displaced = a.queue[len(a.queue)-1]
		a.unqueue(len(a.queue) - 1)
	}
	a.queue = append(a.queue, nil)
	copy(a.queue[at+1:], a.queue[at:])
	a.queue[at] = run
	run.place.state = placeQueued
	result.queued = true
	return result
}

// leave frees the slot or the place of a run and returns the runs that start
// in its stead.
func (a *admission) leave(run *Run) []*Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.vacate(run)
	return a.startNext()
}

// finished frees the slot of a run that was on the endpoint for took. Failures
// are often fast and say nothing of how long a call takes.
func (a *admission) finished(run *Run, took time.Duration, complete bool) []*Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	if complete {
		a.times.add(took)
	}
	a.vacate(run)
	return a.startNext()
}

// hopeless tells whether a call with that much time left is better not started.
// Calls that were expected to come in time may have been passed in the queue; run
// to their deadline, most of them would take a place for nothing from those that
// wait. While nobody waits, even an unlikely answer is worth a try.
func (a *admission) hopeless(remaining time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.queue) > 0 && remaining < a.times.p50
}

// complete takes in what the endpoint charged for a run that was on it for took.
func (a *admission) complete(run *Run, took, cost time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.share.add(took, cost, a.beside(run))
}

// charge is the cost of a run that did not complete after took on the endpoint.
func (a *admission) charge(run *Run, took time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.share.of(took, a.beside(run))
}

// beside is about how many runs were on the endpoint during this one, itself
// included: the mean of its beginning and now.
func (a *admission) beside(run *Run) float64 {
	return max(1, float64(run.place.beside+a.running)/2)
}

func (a *admission) vacate(run *Run) {
	switch run.place.state {
	case placeQueued:
		for i, queued := range a.queue {
			if queued == run {
				a.unqueue(i)
				break
			}
		}
	case placeSlot:
		a.running--
		a.alone = false
	}
	run.place.state = placeNone
}

// flush empties the queue and returns what was in it.
func (a *admission) flush() []*Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	flushed := a.queue
	a.queue = nil
	for _, run := range flushed {
		run.place.state = placeNone
	}
	a.fair = make(map[int]*fairClock)
	return flushed
}

// resize applies new bounds; it returns the runs that start and those that no
// longer have a place.
func (a *admission) resize(concurrency, limit int) (started, displaced []*Run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.concurrency, a.limit = concurrency, limit
	started = a.startNext()
	for len(a.queue) > limit {
		last := len(a.queue) - 1
		displaced = append(displaced, a.queue[last])
		a.unqueue(last)
	}
	return started, displaced
}

func (a *admission) fits(run *Run) bool {
	switch {
	case a.down || a.alone:
		return false
	case run.place.alone:
		return a.running == 0
	default:
		return a.running < a.concurrency
	}
}

func (a *admission) occupy(run *Run) {
	a.running++
	a.alone = run.place.alone
	run.place.state = placeSlot
	run.place.beside = a.running
}

// startNext starts from the front of the queue. A call that wants the endpoint
// for itself holds back those behind it, or it would wait for ever.
func (a *admission) startNext() []*Run {
	var started []*Run
	for len(a.queue) > 0 && a.fits(a.queue[0]) {
		run := a.queue[0]
		if clock := a.fair[run.place.priority]; clock != nil {
			clock.virtual = max(clock.virtual, run.place.start)
		}
		a.removeAt(0)
		a.occupy(run)
		started = append(started, run)
	}
	return started
}

func (a *admission) unqueue(i int) {
	run := a.queue[i]
	a.untag(run)
	a.queue = append(a.queue[:i], a.queue[i+1:]...)
	run.place.state = placeNone
}

func (a *admission) removeAt(i int) {
	run := a.queue[i]
	a.queue = append(a.queue[:i], a.queue[i+1:]...)
	a.retire(run.place.priority)
}

func (a *admission) tag(run *Run, weight int) {
	p := &run.place
	clock, ok := a.fair[p.priority]
	if !ok {
		clock = &fairClock{finish: make(map[string]float64)}
		a.fair[p.priority] = clock
	}
	a.arrivals++
	p.arrival = a.arrivals
	p.start = max(clock.virtual, clock.finish[p.account])
	p.finish = p.start + 1/float64(max(1, weight))
	clock.finish[p.account] = p.finish
	clock.waiting++
}

// untag gives back the share that a run has not used.
func (a *admission) untag(run *Run) {
	p := &run.place
	clock := a.fair[p.priority]
	if clock == nil {
		return
	}
	if clock.finish[p.account] == p.finish {
		clock.finish[p.account] = p.start
	}
	a.retire(p.priority)
}

// retire drops the clock of a priority that has no waiting call: without a
// queue everybody gets all it asks for, and the map stays as small as the queue.
func (a *admission) retire(priority int) {
	clock := a.fair[priority]
	if clock == nil {
		return
	}
	clock.waiting--
	if clock.waiting <= 0 {
		delete(a.fair, priority)
	}
}

// position is the index at which run belongs.
func (a *admission) position(run *Run) int {
	return sort.Search(len(a.queue), func(i int) bool {
		return before(&run.place, &a.queue[i].place)
	})
}

func before(p, q *place) bool {
	switch {
	case p.priority != q.priority:
		return p.priority > q.priority
	case p.start != q.start:
		return p.start < q.start
	default:
		return p.arrival < q.arrival
	}
}

// expectedWait is the time until a call with that many before it starts.
func (a *admission) expectedWait(ahead int) time.Duration {
	return a.times.mean() * time.Duration(ahead+1) / time.Duration(max(1, a.concurrency))
}

// drainTime is when a newcomer can expect a free place.
func (a *admission) drainTime() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.expectedWait(len(a.queue))
}

func (a *admission) setTypical(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times.typical = d
}

func (a *admission) refresh() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times.refresh()
}

// setDown stops starts and returns the runs that waited.
func (a *admission) setDown() []*Run {
	a.mu.Lock()
	if !a.down {
		a.down = true
		a.crashLoad = a.running
	}
	a.mu.Unlock()
	return a.flush()
}

// up allows starts again.
func (a *admission) up() []*Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = false
	return a.startNext()
}

// crashed notes that the endpoint went down under a call and returns the
// number of other calls on it at that time. The calls that it takes along end
// one after the other; all of them count those that were there at the first.
func (a *admission) crashed() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.down {
		a.down = true
		a.crashLoad = a.running
	}
	return max(0, a.crashLoad-1)
}

// load returns the numbers of waiting and running calls.
func (a *admission) load() (queued, running int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.queue), a.running
}

// report fills in the load. The sequence number is drawn under the lock, so
// that a later number never carries an older load.
func (a *admission) report(r *wire.AgentReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reports++
	r.Seq = a.reports
	r.Capacity = a.concurrency
	r.InFlight = a.running
	r.Queued = len(a.queue)
	r.P50, r.P95 = a.times.p50, a.times.p95
	r.Down = a.down
}

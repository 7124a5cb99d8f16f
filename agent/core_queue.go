package agent

import (
	"sort"
	"sync"
	"time"

	"github.com/mangostage/mangostage/wire"
)

// admission limits the concurrent calls on the endpoint and orders the queue.
// Its lock is the last that the core acquires.
type admission struct {
	mu          sync.Mutex
	concurrency int
	queueLimit  int
	running     int
	// exclusive means that the only running call must not share the endpoint.
	exclusive bool
	// down means that the endpoint does not answer; no run starts.
	down bool
	// runningAtCrash is the number of runs on the endpoint when it went down.
	runningAtCrash int
	queue          []*Run
	// clocks holds the fair queueing clock of each priority that has waiting
	// runs.
	clocks       map[int]*fairClock
	arrivalCount uint64
	reportSeq    uint64
	// times holds the recent run times; costs models what runs are charged.
	times window
	costs costModel
}

// schedState is the scheduling state of a run; it is guarded by admission.mu.
type schedState struct {
	slot     slotState
	priority int
	account  string
	// exclusive means that the run must not share the endpoint with other runs.
	exclusive bool
	// startTag and finishTag are the tags of start-time fair queueing.
	startTag, finishTag float64
	arrivalSeq          uint64
	// concurrentRuns is the number of runs on the endpoint, this one included,
	// when it started.
	concurrentRuns int
}

// slotState says whether a run is queued or holds a slot on the endpoint.
type slotState uint8

const (
	slotNone slotState = iota
	slotQueued
	slotHeld
)

// fairClock is the virtual time of one priority for start-time fair queueing. A
// call's start tag is the later of the virtual time and its account's previous
// finish tag; its finish tag is 1/weight later. Serving by start tag gives each
// account with waiting calls its share by weight, however many calls it has
// sent.
type fairClock struct {
	virtualTime float64
	finishTag   map[string]float64
	waiting     int
}

func newAdmission() *admission {
	return &admission{clocks: make(map[int]*fairClock)}
}

// offerResult is the result of offering a run to the queue. The run was refused
// if it neither started nor was queued.
type offerResult struct {
	started bool
	queued  bool
	// displaced is the queued run that was removed to make room for this one.
	displaced *Run
	// wait is the expected time until the start.
	wait time.Duration
	// tooLate means that the run was refused because it would end after its
	// deadline.
	tooLate bool
	// down means that the run was refused because the endpoint does not answer.
	down bool
}

// offer starts the run, queues it or refuses it. A run that could not complete
// within remaining is refused at once, while its sender still has time to use
// another endpoint.
func (a *admission) offer(run *Run, weight int, remaining time.Duration) offerResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return offerResult{down: true}
	}
	if len(a.queue) == 0 && a.canStart(run) {
		a.takeSlot(run)
		return offerResult{started: true}
	}
	a.tag(run, weight)
	at := a.insertIndex(run)
	result := offerResult{wait: a.expectedWait(at)}
	if result.wait+a.times.mean() > remaining {
		result.tooLate = true
		a.refundTag(run)
		return result
	}
	if len(a.queue) >= a.queueLimit {
		if at >= len(a.queue) {
			a.refundTag(run)
			return result
		}
		result.displaced = a.queue[len(a.queue)-1]
		a.withdrawAt(len(a.queue) - 1)
	}
	a.queue = append(a.queue, nil)
	copy(a.queue[at+1:], a.queue[at:])
	a.queue[at] = run
	run.schedState.slot = slotQueued
	result.queued = true
	return result
}

// remove releases the slot or the queue position of a run and returns the runs
// that start instead.
func (a *admission) remove(run *Run) []*Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.release(run)
	return a.startQueued()
}

// finish releases the slot of a run that was on the endpoint for duration, and
// returns the runs that start instead. The times of incomplete runs are not
// counted: failures are often fast and say nothing about how long a call takes.
func (a *admission) finish(run *Run, duration time.Duration, complete bool) []*Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	if complete {
		a.times.add(duration)
	}
	a.release(run)
	return a.startQueued()
}

// tooLateToStart reports whether a call with this time left should not be
// started. Calls that were expected to meet their deadline may have been
// overtaken in the queue; if they started, most would time out and waste the
// slots that other queued calls need. While the queue is empty, even an
// unlikely success is worth the attempt.
func (a *admission) tooLateToStart(remaining time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.queue) > 0 && remaining < a.times.p50
}

// recordCost updates the cost model with a completed run that was on the
// endpoint for duration.
func (a *admission) recordCost(run *Run, duration, cost time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.costs.add(duration, cost, a.concurrentRuns(run))
}

// incompleteCost returns the cost of a run that did not complete after duration
// on the endpoint.
func (a *admission) incompleteCost(run *Run, duration time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.costs.estimate(duration, a.concurrentRuns(run))
}

// concurrentRuns estimates the number of runs on the endpoint during this one,
// itself included: the mean of the numbers at its start and now.
func (a *admission) concurrentRuns(run *Run) float64 {
	return max(1, float64(run.schedState.concurrentRuns+a.running)/2)
}

func (a *admission) release(run *Run) {
	switch run.schedState.slot {
	case slotQueued:
		for i, queued := range a.queue {
			if queued == run {
				a.withdrawAt(i)
				break
			}
		}
	case slotHeld:
		a.running--
		a.exclusive = false
	}
	run.schedState.slot = slotNone
}

// flush empties the queue and returns the runs that were in it.
func (a *admission) flush() []*Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	flushed := a.queue
	a.queue = nil
	for _, run := range flushed {
		run.schedState.slot = slotNone
	}
	a.clocks = make(map[int]*fairClock)
	return flushed
}

// resize applies new limits; it returns the runs that start and those that no
// longer fit into the queue.
func (a *admission) resize(concurrency, limit int) (started, displaced []*Run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.concurrency, a.queueLimit = concurrency, limit
	started = a.startQueued()
	for len(a.queue) > limit {
		last := len(a.queue) - 1
		displaced = append(displaced, a.queue[last])
		a.withdrawAt(last)
	}
	return started, displaced
}

// canStart reports whether a run may start now.
func (a *admission) canStart(run *Run) bool {
	switch {
	case a.down || a.exclusive:
		return false
	case run.schedState.exclusive:
		return a.running == 0
	default:
		return a.running < a.concurrency
	}
}

func (a *admission) takeSlot(run *Run) {
	a.running++
	a.exclusive = run.schedState.exclusive
	run.schedState.slot = slotHeld
	run.schedState.concurrentRuns = a.running
}

// startQueued starts runs from the front of the queue while they may start. An
// exclusive run at the front blocks those behind it, or it might never start.
func (a *admission) startQueued() []*Run {
	var started []*Run
	for len(a.queue) > 0 && a.canStart(a.queue[0]) {
		run := a.queue[0]
		if clock := a.clocks[run.schedState.priority]; clock != nil {
			clock.virtualTime = max(clock.virtualTime, run.schedState.startTag)
		}
		a.dequeueAt(0)
		a.takeSlot(run)
		started = append(started, run)
	}
	return started
}

// withdrawAt removes a queued run that will not start.
func (a *admission) withdrawAt(i int) {
	run := a.queue[i]
	a.refundTag(run)
	a.queue = append(a.queue[:i], a.queue[i+1:]...)
	run.schedState.slot = slotNone
}

// dequeueAt removes a queued run that is about to start.
func (a *admission) dequeueAt(i int) {
	run := a.queue[i]
	a.queue = append(a.queue[:i], a.queue[i+1:]...)
	a.releaseClock(run.schedState.priority)
}

// tag assigns the fair queueing tags of a run.
func (a *admission) tag(run *Run, weight int) {
	p := &run.schedState
	clock, ok := a.clocks[p.priority]
	if !ok {
		clock = &fairClock{finishTag: make(map[string]float64)}
		a.clocks[p.priority] = clock
	}
	a.arrivalCount++
	p.arrivalSeq = a.arrivalCount
	p.startTag = max(clock.virtualTime, clock.finishTag[p.account])
	p.finishTag = p.startTag + 1/float64(max(1, weight))
	clock.finishTag[p.account] = p.finishTag
	clock.waiting++
}

// refundTag returns the share of a run that leaves the queue without starting.
func (a *admission) refundTag(run *Run) {
	p := &run.schedState
	clock := a.clocks[p.priority]
	if clock == nil {
		return
	}
	if clock.finishTag[p.account] == p.finishTag {
		clock.finishTag[p.account] = p.startTag
	}
	a.releaseClock(p.priority)
}

// releaseClock removes the clock of a priority that has no more waiting calls.
// Shares matter only while calls wait, and the map stays as small as the queue.
func (a *admission) releaseClock(priority int) {
	clock := a.clocks[priority]
	if clock == nil {
		return
	}
	clock.waiting--
	if clock.waiting <= 0 {
		delete(a.clocks, priority)
	}
}

// insertIndex returns the index in the queue at which run belongs.
func (a *admission) insertIndex(run *Run) int {
	return sort.Search(len(a.queue), func(i int) bool {
		return runsBefore(&run.schedState, &a.queue[i].schedState)
	})
}

func runsBefore(p, q *schedState) bool {
	switch {
	case p.priority != q.priority:
		return p.priority > q.priority
	case p.startTag != q.startTag:
		return p.startTag < q.startTag
	default:
		return p.arrivalSeq < q.arrivalSeq
	}
}

// expectedWait returns the expected time until a call with ahead calls before
// it starts.
func (a *admission) expectedWait(ahead int) time.Duration {
	return a.times.mean() * time.Duration(ahead+1) / time.Duration(max(1, a.concurrency))
}

// newArrivalWait returns the expected queueing time of a call that arrives now.
func (a *admission) newArrivalWait() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.expectedWait(len(a.queue))
}

func (a *admission) setTypical(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times.typical = d
}

func (a *admission) refreshQuantiles() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times.refreshQuantiles()
}

// markDown stops starts and returns the runs that were queued.
func (a *admission) markDown() []*Run {
	a.mu.Lock()
	if !a.down {
		a.down = true
		a.runningAtCrash = a.running
	}
	a.mu.Unlock()
	return a.flush()
}

// markUp allows starts again and returns the runs that start.
func (a *admission) markUp() []*Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = false
	return a.startQueued()
}

// recordCrash marks the endpoint as down after a call was lost in a crash, and
// returns the number of other calls that were on it. The calls lost in one
// crash end one after the other; each gets the number at the time of the first.
func (a *admission) recordCrash() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.down {
		a.down = true
		a.runningAtCrash = a.running
	}
	return max(0, a.runningAtCrash-1)
}

// load returns the numbers of queued and running calls.
func (a *admission) load() (queued, running int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.queue), a.running
}

// fillReport sets the load in r. The sequence number is assigned under the
// lock, so that a higher number never carries an older load.
func (a *admission) fillReport(r *wire.AgentReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reportSeq++
	r.Seq = a.reportSeq
	r.Capacity = a.concurrency
	r.InFlight = a.running
	r.Queued = len(a.queue)
	r.P50, r.P95 = a.times.p50, a.times.p95
	r.Down = a.down
}

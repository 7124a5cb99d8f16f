package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// lateWait is how long a job that has missed its objective may wait for
	// its first piece; then it is refused, while its client can still come back.
	lateWait = 250 * time.Millisecond
	// lateGiveUp is the part of the deadline for which a job that has missed
	// its objective may wait for its first piece.
	lateGiveUp = 0.3
	// deadlineShare is the part of the deadline after which stages are given up.
	deadlineShare = 0.6
	// retryShare is the part of its deadline after which a refused client may
	// come back at the earliest: a job that finds no place now finds none
	// sooner than a burst lasts, and its client has only one try left.
	retryShare = 0.3
)

// Core is the state of all jobs, stages and endpoints. It is not safe for
// concurrent use; its shell serializes events.
type Core struct {
	jobs  map[string]*job
	pools map[string]*pool
	// byName are the pools in the order of their names.
	byName  []*pool
	engines map[string]*engines
	calls   map[uint64]*call
	// frees are the results given up whose endpoints have not answered yet.
	frees map[uint64][]*result
	// sizes is the usual size of the jobs of each route, in weighted tokens.
	sizes  map[string]float64
	nextID uint64
	// share is the part of the fleet that gives its jobs to this owner, as far as
	// it knows; salt tells its choices from those of other owners.
	share float64
	salt  uint64
	// lag is a moving average of how late events are handled.
	lag time.Duration
	// unreached are the failure domains that the owner does not reach.
	unreached []string
	// handedOver is set while another process owns the queue.
	handedOver bool
	// nextStage numbers the stages in the demand of the pools.
	nextStage uint64
	effects   []Effect
}

// New returns a Core that knows no endpoints; name is that of its process.
func New(name string) *Core {
	return &Core{
		share:   1,
		salt:    xxhash.Sum64String(name),
		jobs:    make(map[string]*job),
		pools:   make(map[string]*pool),
		engines: make(map[string]*engines),
		calls:   make(map[uint64]*call),
		frees:   make(map[uint64][]*result),
		sizes:   make(map[string]float64),
	}
}

// Promoted notes that this process has come to own the queue, and which part of
// the fleet it hears. An owner that hears few begins with as few endpoints: the
// rest of the fleet may have owners of its own.
func (c *Core) Promoted(share float64) {
	c.share = share
	c.handedOver = false
	for _, p := range c.pools {
		p.window.bound(share, p.places())
	}
}

// Share notes that the owner hears another part of the fleet. One that hears
// less goes on as before: those that it has lost may be gone, and if they have an
// owner of their own, the endpoints' refusals say so.
func (c *Core) Share(share float64) {
	c.handedOver = false
	if share <= c.share {
		return
	}
	c.share = share
	for _, p := range c.pools {
		p.window.widen(share, p.places())
	}
}

// Effects returns what the shell has to do since the last call.
func (c *Core) Effects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// Submit takes a job. It is granted or refused by a later effect.
func (c *Core) Submit(now time.Time, j Job) error {
	if _, ok := c.jobs[j.Ticket]; ok {
		return ErrDuplicate.New("ticket %s", j.Ticket)
	}
	state := newJob(j, now)
	c.jobs[j.Ticket] = state
	if !c.plan(state, now) {
		return nil
	}
	c.advance(state, now)
	c.dispatch(now)
	return nil
}

// plan checks that the job can be done at all and sets the times and domains
// of its stages.
func (c *Core) plan(j *job, now time.Time) bool {
	if !c.engines[j.Service].usable() {
		c.refuseUnserved(j, j.Service, now)
		return false
	}
	j.first = c.engines[j.Service].times.of(promptTokens(j))
	if e := c.engines[j.Service].choose(j, nil, now); e != nil {
		j.home = e.endpoint.Domain
		j.first = e.times.of(e.unread(j))
	}
	for _, s := range j.stages {
		if s.Pieces == 0 {
			continue
		}
		p := c.pools[s.Service]
		if p == nil {
			c.refuse(j, ReasonUnknownStage, now)
			return false
		}
		if p.usable == 0 {
			c.refuseUnserved(j, p.name, now)
			return false
		}
	}
	for _, s := range j.stages {
		s.startBy = j.aimAt.Add(-c.remaining(j, s.index) - j.first)
		c.nextStage++
		s.booking.pool, s.booking.id = c.pools[s.Service], c.nextStage
		s.book()
	}
	c.weigh(j)
	if !c.admit(j, now) {
		c.refuse(j, ReasonOverload, now)
		return false
	}
	return true
}

// remaining is the expected time from the start of stage i to the end of the
// last stage that depends on it.
func (c *Core) remaining(j *job, i int) time.Duration {
	var longest time.Duration
	for _, s := range j.stages {
		for _, a := range s.After {
			if a == i {
				longest = max(longest, c.remaining(j, s.index))
			}
		}
	}
	s := j.stages[i]
	if s.Pieces == 0 {
		return longest
	}
	if p := c.pools[s.Service]; p != nil {
		longest += p.took
	}
	return longest
}

// advance queues the stages that have become ready, and grants the job once
// all are done.
func (c *Core) advance(j *job, now time.Time) {
	if j.stagesDone() {
		c.grant(j, now)
		return
	}
	for _, s := range j.stages {
		if s.queued || s.since != (time.Time{}) || s.Pieces == 0 || !j.ready(s) {
			continue
		}
		s.since = now
		s.inputs = j.collectInputs(s)
		s.home = c.home(j, s)
		c.pools[s.Service].push(s)
	}
}

// awaitsEngine tells whether a job is kept although its service has no engine
// that takes work. Engines that were lost are back within seconds, and the
// stages of a job that has begun would have to run again; giveUp bounds the wait.
// Engines that leave do not come back.
func (c *Core) awaitsEngine(j *job) bool {
	es := c.engines[j.Service]
	return j.started && es != nil && len(es.all) == 0
}

// grant chooses the model engine, now that the results are there. While all
// engines are cold and have got what they bear, the job waits for the next tick.
func (c *Core) grant(j *job, now time.Time) {
	inputs := make(map[string]int64)
	for _, s := range j.stages {
		if j.consumers(s.index) > 0 {
			continue
		}
		for _, r := range s.results {
			inputs[r.worker.endpoint.Domain] += r.bytes
		}
	}
	e := c.engines[j.Service].choose(j, inputs, now)
	if e == nil {
		if !c.engines[j.Service].usable() && !c.awaitsEngine(j) {
			c.refuseUnserved(j, j.Service, now)
		}
		return
	}
	e.pace.Sent(now, e.endpoint)
	j.engine = e
	j.granted = now
	c.engines[j.Service].read(e, j)
	c.emit(Grant{
		Ticket:   j.Ticket,
		Endpoint: e.key,
		Addr:     e.endpoint.Addr,
		Inputs:   j.finalInputs(),
		Sources:  j.sources(),
		Waited:   now.Sub(j.submitted),
		Slack:    j.aimAt.Sub(now) - j.first,
		Late:     j.late,
	})
}

// FirstEvent notes that the model engine has begun to answer: it has read the
// prompt and fetched its inputs, so their room is free for others.
func (c *Core) FirstEvent(now time.Time, ticket string) {
	j := c.jobs[ticket]
	if j == nil || j.engine == nil {
		return
	}
	j.engine.firstEvent(ticket, now.Sub(j.granted), now)
	c.freeAll(j, now)
	c.dispatch(now)
}

// Done ends a granted job; served says whether the engine did its part.
func (c *Core) Done(now time.Time, ticket string, served bool) {
	j := c.jobs[ticket]
	if j == nil {
		return
	}
	if j.engine != nil {
		j.engine.learn(served, now)
	}
	c.end(j, now)
	c.dispatch(now)
}

// Cancel ends a job whose client has left, or whose entry has.
func (c *Core) Cancel(now time.Time, ticket string) {
	if j := c.jobs[ticket]; j != nil {
		c.end(j, now)
		c.dispatch(now)
	}
}

// refuse ends a job that is not granted.
func (c *Core) refuse(j *job, reason Reason, now time.Time) {
	if j.ended {
		return
	}
	c.emit(Refuse{Ticket: j.Ticket, Reason: reason, RetryAfter: c.retryAfter(j), Queue: j.queue, Short: j.short, Behind: j.behind})
	c.end(j, now)
}

// refuseUnserved ends a job for lack of endpoints of a service.
func (c *Core) refuseUnserved(j *job, service string, now time.Time) {
	j.queue, j.short = service, ResourceEndpoints
	c.refuse(j, ReasonNoEndpoint, now)
}

// retryAfter is about when the queues of the job's stages will have been worked off.
func (c *Core) retryAfter(j *job) time.Duration {
	wait := time.Duration(retryShare * float64(j.Deadline))
	for _, s := range j.stages {
		p := c.pools[s.Service]
		if p == nil || s.Pieces == 0 {
			continue
		}
		places := max(1, p.width()) * p.spec.Items
		wait = max(wait, time.Duration(float64(p.took)*float64(p.waiting)/float64(places)))
	}
	return wait
}

// end forgets a job and gives up all that it holds.
func (c *Core) end(j *job, now time.Time) {
	if j.ended {
		return
	}
	j.ended = true
	delete(c.jobs, j.Ticket)
	for _, s := range j.stages {
		if p := c.pools[s.Service]; p != nil {
			p.remove(s)
		}
	}
	j.book()
	if j.engine != nil {
		j.engine.end(j.Ticket)
	}
	c.freeAll(j, now)
}

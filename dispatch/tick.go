package dispatch

import (
	"sort"
	"time"

	"github.com/mangostage/mangostage/catalog"
)

// Tick ends what has waited in vain, drops bookings that have run out, and
// starts calls at workers whose pause is over. The shell calls it about every
// 20 ms while there are jobs.
func (c *Core) Tick(now time.Time) {
	for _, p := range c.pools {
		for _, w := range p.workers {
			w.expire(now)
		}
	}
	for _, es := range c.engines {
		for _, e := range es.all {
			e.expire(now)
		}
	}
	for _, j := range c.tickets() {
		if j.engine == nil && j.stagesDone() {
			c.grant(j, now)
		}
		c.giveUp(j, now)
	}
	c.dispatch(now)
}

// Idle tells whether no time has to pass: there are no jobs and no calls.
func (c *Core) Idle() bool { return len(c.jobs) == 0 && len(c.calls) == 0 }

// tickets lists the jobs in a fixed order, so that a run can be repeated.
func (c *Core) tickets() []*job {
	jobs := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].Ticket < jobs[b].Ticket })
	return jobs
}

// giveUp refuses a job that has no hope left. To hold it until its deadline
// would serve nobody: its client could come back meanwhile.
func (c *Core) giveUp(j *job, now time.Time) {
	if j.engine != nil {
		if now.After(j.deadlineAt.Add(runMargin)) {
			// Its entry is gone and will not tell.
			c.end(j, now)
		}
		return
	}
	limit := j.deadlineAt.Add(-time.Duration((1 - deadlineShare) * float64(j.Deadline)))
	if now.After(limit) {
		c.refuse(j, ReasonDeadline, now)
		return
	}
	if j.started {
		return
	}
	if j.late {
		if now.Sub(j.submitted) > time.Duration(lateGiveUp*float64(j.Deadline)) {
			c.refuse(j, ReasonOverload, now)
		}
		return
	}
	for _, s := range j.stages {
		if s.queued && now.Sub(s.startBy) > lateWait && now.Sub(s.since) > lateWait {
			c.refuse(j, ReasonOverload, now)
			return
		}
	}
}

// Holds tells whether a call is under way, or results are kept that only this
// process can give up.
func (c *Core) Holds() bool {
	if len(c.calls) > 0 || len(c.frees) > 0 {
		return true
	}
	for _, j := range c.jobs {
		if j.holds() {
			return true
		}
	}
	return false
}

// HandOver gives the jobs without any piece made to the next owner. Two queues
// for the same endpoints fill each other's calls badly; jobs that have begun
// end here, since only this process knows their results.
func (c *Core) HandOver(now time.Time) {
	for _, j := range c.tickets() {
		if j.engine == nil && !j.started {
			c.emit(Move{Ticket: j.Ticket})
			c.end(j, now)
		}
	}
}

// Placed notes what engines have read by the word of the entries, for an owner
// that takes over.
func (c *Core) Placed(placements []Placement) {
	for _, p := range placements {
		es := c.engines[p.Service]
		if es == nil || es.byKey[p.Endpoint] == nil {
			continue
		}
		es.keep(es.byKey[p.Endpoint], p.Prefix)
	}
}

// SetView takes a new configuration or list of endpoints. Endpoints that are
// gone lose their calls' pieces to others; the jobs go on. One that has started
// again under its ID counts as gone, and another one as added.
func (c *Core) SetView(now time.Time, view *catalog.View) {
	if view.Index == nil {
		return
	}
	for i := range view.Index.Config.Services {
		s := &view.Index.Config.Services[i]
		if s.Batch != nil {
			c.setPool(s, view)
		}
		if s.Model != nil {
			c.setEngines(s, view)
		}
	}
	for _, w := range c.replaced(view) {
		c.lose(w, now)
	}
	c.refuseEvacuated(now)
	c.dispatch(now)
}

func (c *Core) setPool(s *catalog.Service, view *catalog.View) {
	p := c.pools[s.Name]
	if p == nil {
		p = newPool(s.Name, s.Batch)
		c.pools[s.Name] = p
	}
	p.spec = s.Batch
	var workers []*worker
	for _, e := range view.Endpoints(s.Name) {
		w := p.worker(e.Key())
		if w == nil {
			w = newWorker(e, s.Batch)
		}
		w.endpoint = e
		w.spec = s.Batch
		w.gone = false
		workers = append(workers, w)
	}
	for _, w := range p.workers {
		if view.Endpoint(w.key) == nil {
			w.gone = true
		}
	}
	p.workers = workers
}

func (c *Core) setEngines(s *catalog.Service, view *catalog.View) {
	known := c.engines[s.Name]
	if known == nil {
		known = &engines{times: newPromptTimes()}
	}
	next := &engines{times: known.times, byKey: make(map[string]*engine), readers: make(map[string][]*engine)}
	for _, ep := range view.Endpoints(s.Name) {
		e := known.byKey[ep.Key()]
		if e == nil {
			e = newEngine(ep, s.Model)
		}
		e.endpoint = ep
		e.spec = s.Model
		e.times = next.times
		e.gone = false
		next.byKey[e.key] = e
		next.all = append(next.all, e)
	}
	for _, e := range known.all {
		e.gone = next.byKey[e.key] == nil
	}
	for part, readers := range known.readers {
		for _, e := range readers {
			if !e.gone {
				next.remember(part, e)
			}
		}
	}
	c.engines[s.Name] = next
}

package dispatch

import (
	"slices"
	"time"

	"github.com/mangostage/mangostage/catalog"
)

// SetView applies a new configuration or list of endpoints. Endpoints that are no
// longer listed get no more calls or requests. An endpoint that restarted under
// its ID counts as removed and added again; the calls of the old process end as
// lost, and results that jobs still need are produced again.
func (c *Core) SetView(now time.Time, view *catalog.View) {
	if view.Index == nil {
		return
	}
	c.sharesRoom = c.sharesAllowed && len(view.Index.Config.Accounts) >= minAccounts
	for i := range view.Index.Config.Services {
		s := &view.Index.Config.Services[i]
		if s.Batch != nil {
			c.setPool(s, view)
		}
		if s.Model != nil {
			c.setEngines(s, view)
		}
	}
	for _, w := range c.replacedWorkers(view) {
		c.discardWorker(w, now)
	}
	c.refuseWithdrawn(now)
	c.dispatch(now)
}

// setPool updates the pool of a stage service and its workers from a view.
func (c *Core) setPool(s *catalog.Service, view *catalog.View) {
	p := c.pools[s.Name]
	first := p == nil
	if first {
		p = newPool(s.Name, s.Batch)
		p.callMode = c.callMode
		c.pools[s.Name] = p
		c.sortPools()
	}
	p.spec = s.Batch
	known := make(map[string]*worker, len(p.workers))
	for _, w := range p.workers {
		known[w.key] = w
	}
	var workers []*worker
	for _, e := range view.Endpoints(s.Name) {
		w := known[e.Key()]
		if w == nil {
			w = newWorker(e, s.Batch, c.quotas, c.backoffs)
		}
		w.endpoint = e
		w.spec = s.Batch
		w.removed = false
		workers = append(workers, w)
	}
	for _, w := range p.workers {
		if view.Endpoint(w.key) == nil {
			w.removed = true
		}
	}
	p.workers = workers
	p.countWorkers()
	if first {
		p.callWindow.setLimit(c.fleetShare, p.callSlots())
	}
}

// setEngines updates the engines of a model service from a view.
func (c *Core) setEngines(s *catalog.Service, view *catalog.View) {
	known := c.modelEngines[s.Name]
	if known == nil {
		known = newModelEngines(c.quotas)
	}
	next := &modelEngines{
		times: known.times, eventTimes: known.eventTimes, byKey: make(map[string]*engine), readers: known.readers,
		awaiting: known.awaiting, quotas: known.quotas,
	}
	for _, ep := range view.Endpoints(s.Name) {
		e := known.byKey[ep.Key()]
		if e == nil {
			e = newEngine(ep, s.Model, c.quotas)
		}
		e.endpoint = ep
		e.spec = s.Model
		e.times, e.eventTimes = next.times, next.eventTimes
		e.removed = false
		e.unreached = slices.Contains(c.unreached, ep.Domain)
		next.byKey[e.key] = e
		next.all = append(next.all, e)
	}
	anyRemoved := false
	for _, e := range known.all {
		e.removed = next.byKey[e.key] == nil
		anyRemoved = anyRemoved || e.removed
	}
	if anyRemoved {
		next.dropRemovedReaders()
	}
	c.modelEngines[s.Name] = next
}

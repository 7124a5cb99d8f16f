package dispatch

import (
	"slices"
	"time"

	"github.com/mangostage/mangostage/catalog"
)

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
	first := p == nil
	if first {
		p = newPool(s.Name, s.Batch)
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
	p.countWorkers()
	if first {
		p.window.bound(c.share, p.places())
	}
}

func (c *Core) setEngines(s *catalog.Service, view *catalog.View) {
	known := c.engines[s.Name]
	if known == nil {
		known = &engines{times: newPromptTimes(), readers: make(map[string][]*engine)}
	}
	next := &engines{times: known.times, byKey: make(map[string]*engine), readers: known.readers}
	for _, ep := range view.Endpoints(s.Name) {
		e := known.byKey[ep.Key()]
		if e == nil {
			e = newEngine(ep, s.Model)
		}
		e.endpoint = ep
		e.spec = s.Model
		e.times = next.times
		e.gone = false
		e.unreached = slices.Contains(c.unreached, ep.Domain)
		next.byKey[e.key] = e
		next.all = append(next.all, e)
	}
	left := false
	for _, e := range known.all {
		e.gone = next.byKey[e.key] == nil
		left = left || e.gone
	}
	if left {
		next.forgetGone()
	}
	c.engines[s.Name] = next
}

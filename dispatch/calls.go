package dispatch

import "time"

// start sends one call.
func (c *Core) start(p *pool, w *worker, pieces []placed, now time.Time) {
	c.nextID++
	cl := &call{id: c.nextID, worker: w, pieces: pieces, sentAt: now, expects: w.expect(len(pieces))}
	effect := StartCall{
		Call: cl.id, Service: p.name, Waiting: p.waiting, Endpoint: w.endpoint.ID, Addr: w.endpoint.Addr,
		Speed: w.speed, Suspect: w.suspect,
	}
	for _, placed := range pieces {
		s := placed.stage
		s.job.started = true
		s.job.underway++
		cl.bytes += s.ResultBytes
		piece := Piece{
			Request:   s.job.Request,
			Stage:     s.index,
			Index:     placed.index,
			Inputs:    s.inputs,
			Remaining: s.job.deadlineAt.Sub(now),
		}
		if len(s.After) == 0 {
			piece.Key = s.job.PieceKey
		}
		effect.Pieces = append(effect.Pieces, piece)
	}
	w.used += cl.bytes
	w.pace.Sent(now, w.endpoint)
	w.calls[cl.id] = cl
	p.window.underway++
	c.calls[cl.id] = cl
	slow := max(1, min(w.speed, timeoutFactor))
	effect.Timeout = time.Duration(float64(cl.expects)*timeoutFactor*slow) + timeoutSlack
	c.emit(effect)
}

// CallEnded takes the answer to a StartCall; outcomes are in the order of its
// pieces and only read if fault is CallOK.
func (c *Core) CallEnded(now time.Time, id uint64, fault CallFault, outcomes []Outcome) {
	cl := c.calls[id]
	if cl == nil {
		return
	}
	delete(c.calls, id)
	w := cl.worker
	delete(w.calls, id)
	w.used -= cl.bytes
	cl.ended(fault == CallOK || fault == CallLost)
	if p := c.pools[w.endpoint.Service]; p != nil {
		p.changed = true
		p.window.end(fault == CallRefused, p.took, p.places(), now)
	}
	switch fault {
	case CallOK:
		c.callDone(cl, outcomes, now)
	case CallRefused:
		w.refused(now)
		c.notRun(cl, now)
	case CallOther:
		c.loseWorker(w)
		c.notRun(cl, now)
	case CallLost:
		c.bookLost(cl, now)
		w.overdue(cl, now)
		c.requeue(cl, now, true)
	}
	c.dispatch(now)
}

// loseWorker notes that an endpoint is no longer the one that is listed.
func (c *Core) loseWorker(w *worker) {
	w.gone = true
	if p := c.pools[w.endpoint.Service]; p != nil {
		p.countWorkers()
	}
}

// ended counts the pieces of a call off.
func (cl *call) ended(mayHaveRun bool) {
	for _, placed := range cl.pieces {
		j := placed.stage.job
		j.underway--
		j.mayHaveRun = j.mayHaveRun || mayHaveRun
	}
}

// notRun puts the pieces of a call back that the endpoint did not run. Jobs of
// which nothing has run have not started: they may give way again, and go to the
// present owner of the queue if that is another process.
func (c *Core) notRun(cl *call, now time.Time) {
	c.requeue(cl, now, false)
	for _, placed := range cl.pieces {
		j := placed.stage.job
		if j.ended || !j.started || j.underway > 0 || j.mayHaveRun {
			continue
		}
		j.started = false
		switch {
		case c.handedOver:
			c.move(j, now)
		case !j.late:
			c.mayGiveWay(j)
		}
	}
}

// bookLost keeps the room of a call that may still run: its results take
// memory that nobody can free, until the endpoint drops them.
func (c *Core) bookLost(cl *call, now time.Time) {
	r := &result{bytes: cl.bytes}
	cl.worker.used += cl.bytes
	cl.worker.keep(r, now.Add(cl.expects))
}

// callDone takes the results of a call and moves their jobs on.
func (c *Core) callDone(cl *call, outcomes []Outcome, now time.Time) {
	w := cl.worker
	took := now.Sub(cl.sentAt)
	n := worked(outcomes)
	w.answered()
	w.learn(took, n)
	if p := c.pools[cl.pieces[0].stage.Service]; p != nil {
		p.learnTook(took, n, len(outcomes))
		p.learnRoom(withoutRoom(outcomes))
	}
	var touched []*job
	for i, placed := range cl.pieces {
		s := placed.stage
		if outcomes[i].Fault == FaultInputs && cl.sentAt.Before(s.job.lostAt) {
			// Its inputs were lost meanwhile and are made again.
			c.wait(s, []int{placed.index})
			continue
		}
		if outcomes[i].Fault != FaultNone {
			c.pieceFailed(w, placed, outcomes[i].Fault, now)
			continue
		}
		c.pieceDone(w, placed, outcomes[i].Handle, cl.sentAt, now)
		if n := len(touched); n == 0 || touched[n-1] != s.job {
			touched = append(touched, s.job)
		}
	}
	for _, j := range touched {
		if j.ended || j.engine != nil {
			continue
		}
		c.freeConsumed(j, now)
		c.advance(j, now)
	}
}

// worked counts the pieces that the endpoint worked on, with success or not.
func worked(outcomes []Outcome) int {
	n := 0
	for _, o := range outcomes {
		if o.Fault == FaultNone || o.Fault == FaultWork {
			n++
		}
	}
	return n
}

func withoutRoom(outcomes []Outcome) int {
	n := 0
	for _, o := range outcomes {
		if o.Fault == FaultRoom {
			n++
		}
	}
	return n
}

// pieceDone keeps one result, or gives it up if its job has ended.
func (c *Core) pieceDone(w *worker, p placed, handle string, sentAt, now time.Time) {
	s := p.stage
	r := &result{handle: handle, bytes: s.ResultBytes, since: sentAt}
	w.used += r.bytes
	w.keep(r, now)
	if s.job.ended || s.results[p.index] != nil {
		c.free([]*result{r}, now)
		return
	}
	s.results[p.index] = r
	s.left--
}

// pieceFailed queues a piece again or ends its job.
func (c *Core) pieceFailed(w *worker, p placed, fault Fault, now time.Time) {
	s := p.stage
	if s.job.ended {
		return
	}
	s.tries++
	switch {
	case fault == FaultInputs || s.tries > maxTries:
		c.refuse(s.job, ReasonStageFailed, now)
		return
	case fault == FaultLate:
		s.job.lacks(s.booking.pool, ResourceCalls)
		c.refuse(s.job, ReasonDeadline, now)
		return
	case fault == FaultRoom:
		// The books are off: somebody else's results lie there. It counts as a
		// try: after a loss of all gateways that lasts for seconds, and jobs that
		// are kept until they can be served hold up those after them.
		w.pause.Hold(pauseRefused, now)
	case fault == FaultWork:
		s.avoid = w.key
	}
	c.wait(s, []int{p.index})
}

// wait puts pieces of s back into the queue, if their inputs are there.
func (c *Core) wait(s *stage, indices []int) {
	p := c.pools[s.Service]
	if p == nil {
		return
	}
	p.remove(s)
	s.waiting = append(s.waiting, indices...)
	s.book()
	if !s.since.IsZero() {
		p.push(s)
	}
}

// requeue puts all pieces of a call back; tried says that the endpoint may
// have run them, which counts as a try and lets another endpoint go first.
func (c *Core) requeue(cl *call, now time.Time, tried bool) {
	back := make(map[*stage][]int)
	var order []*stage
	for _, p := range cl.pieces {
		if back[p.stage] == nil {
			order = append(order, p.stage)
		}
		back[p.stage] = append(back[p.stage], p.index)
	}
	for _, s := range order {
		if s.job.ended {
			continue
		}
		if tried {
			s.tries++
			s.avoid = cl.worker.key
		}
		if s.tries > maxTries {
			c.refuse(s.job, ReasonStageFailed, now)
			continue
		}
		c.wait(s, back[s])
	}
}

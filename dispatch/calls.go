package dispatch

import "time"

// startCall emits one call with the given pieces.
func (c *Core) startCall(p *pool, w *worker, pieces []callPiece, now time.Time) {
	c.lastEffectID++
	cl := &call{id: c.lastEffectID, worker: w, pieces: pieces, sentAt: now, expectedTime: w.spec.CallTimeFor(len(pieces))}
	mode := c.callMode(pieces[0].stage.job, now)
	effect := StartCall{
		Call: cl.id, Service: p.name, Waiting: p.waiting, Endpoint: w.endpoint.ID, Key: w.key, Addr: w.endpoint.Addr, Domain: w.endpoint.Domain,
		Speed: w.speed, Suspect: w.suspect, Trial: mode == callTrial, Watched: mode != callShared,
	}
	for _, callPiece := range pieces {
		s := callPiece.stage
		s.job.started = true
		s.job.inFlight++
		cl.bytes += s.ResultBytes
		piece := Piece{
			Request:   s.job.Request,
			Content:   s.job.Content,
			Stage:     s.index,
			Index:     callPiece.index,
			Inputs:    s.inputs,
			Remaining: s.job.deadlineAt.Sub(now),
		}
		if len(s.DependsOn) == 0 {
			piece.Key = s.job.PieceKey
		}
		effect.Pieces = append(effect.Pieces, piece)
	}
	w.usedMemory += cl.bytes
	w.coldLimit.Record(now, w.endpoint)
	w.quotas.Take(now, w.key, len(pieces))
	w.calls[cl.id] = cl
	p.callWindow.inFlight++
	c.calls[cl.id] = cl
	slow := max(1, min(w.speed, timeoutFactor))
	effect.Timeout = time.Duration(float64(cl.expectedTime)*timeoutFactor*slow) + timeoutSlack
	c.emit(effect)
}

// CallEnded handles the answer to a StartCall. outcomes has one entry for each
// piece, in their order, and is only read if fault is CallOK.
func (c *Core) CallEnded(now time.Time, id uint64, fault CallFault, outcomes []Outcome) {
	cl := c.calls[id]
	if cl == nil {
		return
	}
	delete(c.calls, id)
	w := cl.worker
	delete(w.calls, id)
	w.usedMemory -= cl.bytes
	cl.countEnded(fault == CallOK || fault == CallLost || fault == CallAbandoned)
	if p := c.pools[w.endpoint.Service]; p != nil {
		p.changed = true
		p.callWindow.callEnded(fault == CallRefused, p.avgCallTime, p.callSlots(), now)
	}
	switch fault {
	case CallOK:
		c.callSucceeded(cl, outcomes, now)
	case CallRefused:
		w.callRefused(now)
		if p := c.pools[w.endpoint.Service]; p != nil {
			c.updateLostCapacity(p, now)
		}
		c.requeueNotRun(cl, now)
	case CallOtherIncarnation:
		c.markRemoved(w)
		c.requeueNotRun(cl, now)
	case CallLost:
		c.reserveLost(cl, now)
		w.callLost(cl, now)
		c.requeueCall(cl, now, true)
	case CallAbandoned:
		c.reserveLost(cl, now)
		w.callAbandoned(cl, now)
		c.requeueCall(cl, now, true)
	}
	c.dispatch(now)
}

// markRemoved notes that another process now answers at an endpoint's address.
func (c *Core) markRemoved(w *worker) {
	w.removed = true
	if p := c.pools[w.endpoint.Service]; p != nil {
		p.countWorkers()
	}
}

// countEnded updates the jobs' counts of pieces in flight when a call ends.
func (cl *call) countEnded(mayHaveRun bool) {
	for _, piece := range cl.pieces {
		j := piece.stage.job
		j.inFlight--
		j.mayHaveRun = j.mayHaveRun || mayHaveRun
	}
}

// requeueNotRun requeues the pieces of a call that the endpoint did not run. A job
// of which nothing has run counts as not started: it may be displaced again, and
// is moved if another process owns the queue now.
func (c *Core) requeueNotRun(cl *call, now time.Time) {
	c.requeueCall(cl, now, false)
	for _, piece := range cl.pieces {
		j := piece.stage.job
		if j.ended || !j.started || j.inFlight > 0 || j.mayHaveRun {
			continue
		}
		j.started = false
		switch {
		case c.handedOver:
			c.move(j, now)
		case !j.late:
			c.addDisplaceable(j)
		}
	}
}

// reserveLost keeps the memory of a lost call reserved. The call may still run,
// and its results then occupy memory that nobody can free until the endpoint drops
// them.
func (c *Core) reserveLost(cl *call, now time.Time) {
	r := &result{bytes: cl.bytes}
	cl.worker.usedMemory += cl.bytes
	cl.worker.addResult(r, now.Add(cl.expectedTime))
}

// callSucceeded processes the outcomes of a call and advances its jobs.
func (c *Core) callSucceeded(cl *call, outcomes []Outcome, now time.Time) {
	w := cl.worker
	took := now.Sub(cl.sentAt)
	n := countExecuted(outcomes)
	w.callAnswered()
	w.learn(took, n)
	if p := c.pools[cl.pieces[0].stage.Service]; p != nil {
		p.learnCallTime(took, n, len(outcomes))
		p.learnMemoryShare(countNoMemory(outcomes))
	}
	var touched []*job
	for i, piece := range cl.pieces {
		s := piece.stage
		if outcomes[i].Fault == FaultInputsGone && cl.sentAt.Before(s.job.lostAt) {
			// Its inputs were lost after the call was sent and are being produced again.
			c.requeuePieces(s, []int{piece.index})
			continue
		}
		if outcomes[i].Fault != FaultNone {
			c.pieceFailed(cl, piece, outcomes[i].Fault, now)
			continue
		}
		c.pieceDone(w, piece, outcomes[i].Handle, cl.sentAt, now)
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

// countExecuted counts the pieces that the endpoint worked on, successfully or
// not.
func countExecuted(outcomes []Outcome) int {
	n := 0
	for _, o := range outcomes {
		if o.Fault == FaultNone || o.Fault == FaultWorkFailed {
			n++
		}
	}
	return n
}

// countNoMemory counts the pieces for whose results the endpoint had no memory.
func countNoMemory(outcomes []Outcome) int {
	n := 0
	for _, o := range outcomes {
		if o.Fault == FaultNoMemory {
			n++
		}
	}
	return n
}

// pieceDone records the result of a piece, or frees it if the job has ended or the
// piece has one already.
func (c *Core) pieceDone(w *worker, p callPiece, handle string, sentAt, now time.Time) {
	s := p.stage
	r := &result{handle: handle, bytes: s.ResultBytes, reservedAt: sentAt}
	w.usedMemory += r.bytes
	w.addResult(r, now)
	if s.job.ended || s.results[p.index] != nil {
		c.free([]*result{r}, now)
		return
	}
	s.results[p.index] = r
	s.missing--
}

// pieceFailed requeues a piece or refuses its job.
func (c *Core) pieceFailed(cl *call, p callPiece, fault Fault, now time.Time) {
	w, call, s := cl.worker, cl.id, p.stage
	if s.job.ended {
		return
	}
	if s.failedCall != call {
		// The pieces of one call fail together: they are one try.
		s.failedCall = call
		s.failedTries++
	}
	switch {
	case fault == FaultInputsGone || s.failedTries > maxFailedTries:
		c.refuseStageFailed(s, shortageOf(fault), now)
		return
	case fault == FaultLate:
		s.job.recordShortage(s.demandEntry.pool, ResourceCalls)
		c.refuse(s.job, ReasonDeadline, now)
		return
	case fault == FaultNoMemory:
		// The memory accounting is off: the endpoint keeps results that this owner does
		// not know of. It counts as a failed try: after a loss of all gateways this lasts
		// for seconds, and jobs that are kept until they can be served delay those after
		// them.
		w.pause.BlockFor(refusalPause, now)
	case fault == FaultWorkFailed:
		s.avoidKey = w.key
	}
	c.requeuePieces(s, []int{p.index})
}

// requeuePieces adds pieces of s to the waiting ones, and queues s if it is ready.
func (c *Core) requeuePieces(s *stage, indices []int) {
	p := c.pools[s.Service]
	if p == nil {
		return
	}
	p.remove(s)
	s.waiting = append(s.waiting, indices...)
	s.updateDemand()
	if !s.readyAt.IsZero() {
		p.push(s)
	}
}

// requeueCall requeues all pieces of a call. If tried is true, the endpoint may
// have run them: this counts as a failed try, and another endpoint is preferred.
func (c *Core) requeueCall(cl *call, now time.Time, tried bool) {
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
			s.failedTries++
			s.avoidKey = cl.worker.key
		}
		if s.failedTries > maxFailedTries {
			c.refuseStageFailed(s, ResourceCallTime, now)
			continue
		}
		c.requeuePieces(s, back[s])
	}
}

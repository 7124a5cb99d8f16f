package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/balance"
	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/scheduler"
	"github.com/mangostage/mangostage/warm"
)

// leastUrgent is the last priority that model engines know; 0 is the first.
const leastUrgent = 9

// modelRequest is the state of one request for a model engine over its sends.
type modelRequest struct {
	*request
	tries attempts
	lease *scheduler.Lease
	// submits counts the jobs made of the request.
	submits int
	// head is set once the client has got status and headers; from then on
	// only events may follow.
	head bool
	last string
}

// serveModel has the stages of a request run and sends it to a model engine.
func (g *Gateway) serveModel(w http.ResponseWriter, req *request) *problem {
	m := &modelRequest{request: req, tries: attempts{avoid: make(map[string]bool)}, last: req.LastEvent}
	for {
		lease, p := g.lease(m)
		if p != nil {
			return g.endModel(m, p)
		}
		m.lease = lease
		again, p := g.serveLease(w, m)
		if !again {
			return g.endModel(m, p)
		}
	}
}

// endModel answers with a problem, or breaks off a stream that has begun.
func (g *Gateway) endModel(m *modelRequest, p *problem) *problem {
	if p != nil && m.head {
		g.broken(m.request, &catalog.Endpoint{}, errBroken.New("stream ended: %s", p.reason))
	}
	return p
}

// lease has the stages run and an engine chosen.
func (g *Gateway) lease(m *modelRequest) (*scheduler.Lease, *problem) {
	if p := g.refuseUnfit(m.request); p != nil {
		return nil, p
	}
	m.submits++
	_, need := g.need(m.request)
	ctx, cancel := g.planned.until(m.ctx, need)
	defer cancel()
	lease, err := g.cfg.Scheduler.Submit(ctx, m.job(g.cfg.Domain))
	switch {
	case err != nil && endedByStop(ctx):
		return nil, ended(m.request, reasonStopping, g.elsewhere(need))
	case err != nil:
		return nil, ended(m.request, m.endedBy("queue_unreachable"), busyRetry)
	case lease.Refuse != nil:
		p := ended(m.request, string(lease.Refuse.Reason), lease.Refuse.RetryAfter)
		p.queue, p.short, p.behind = lease.Refuse.Queue, lease.Refuse.Short, lease.Refuse.Behind
		return nil, p
	}
	m.chosen = time.Now()
	g.cfg.Log.Info().Str("event", logGranted).Str("request", m.ID).Str("route", m.route.Name).
		Str("endpoint", lease.Grant.Endpoint).Dur("waited_ms", lease.Grant.Waited).
		Str("owner", lease.Owner).Dur("slack_ms", lease.Grant.Slack).Bool("late", lease.Grant.Late).Msg("stages done, engine chosen")
	return lease, nil
}

// job is what the queue's owner needs to know.
func (m *modelRequest) job(domain string) dispatch.Job {
	j := dispatch.Job{
		Ticket:    m.ID + "#" + strconv.Itoa(m.submits),
		Request:   m.ID,
		Service:   m.serviceName,
		Route:     m.route.Name,
		Account:   m.accountName(),
		Domain:    domain,
		PieceKey:  m.PieceKey,
		Prefix:    m.Prefix,
		TokensIn:  m.TokensIn,
		TokensOut: m.TokensOut,
		Priority:  m.priority(),
		Objective: m.route.Objective - m.age - time.Since(m.arrived),
		Deadline:  m.left(),
		Usual:     m.route.Objective,
		Again:     m.age > 0,
	}
	for i, s := range m.route.Stages {
		work := dispatch.StageWork{Service: s.Service, After: s.After, ResultBytes: s.ResultBytes}
		if i < len(m.Pieces) {
			work.Pieces = m.Pieces[i]
		}
		j.Stages = append(j.Stages, work)
	}
	for key := range m.tries.avoid {
		j.Avoid = append(j.Avoid, key)
	}
	return j
}

// serveLease sends the request with the results of its stages. It tells
// whether the request may be given to the queue again.
func (g *Gateway) serveLease(w http.ResponseWriter, m *modelRequest) (again bool, p *problem) {
	served := false
	defer func() { m.lease.Done(served) }()
	for {
		if g.inputsLost(m) {
			// The engine was not asked and is not at fault.
			served = true
			return m.submits <= maxRejections, ended(m.request, "inputs_lost", busyRetry)
		}
		e, picked := g.engine(m)
		if e == nil {
			return false, g.unserved(m.request)
		}
		g.countSend(m.request, &m.tries)
		switch g.tryEngine(w, m, e, picked) {
		case streamServed:
			served = true
			return false, nil
		case streamInputsGone:
			// The engine is not at fault and may serve the next try.
			delete(m.tries.avoid, e.Key())
			if g.again(m.request, &m.tries, resultNotRun) {
				return true, nil
			}
		case streamNotRun:
			if g.again(m.request, &m.tries, resultNotRun) {
				continue
			}
		case streamFailed:
			if !g.again(m.request, &m.tries, resultFailed) {
				break
			}
			// Once events have come the results are given up: the stages
			// have to run again before the stream can go on elsewhere.
			if m.head {
				return true, nil
			}
			continue
		}
		return false, g.unserved(m.request)
	}
}

// inputsLost tells whether an endpoint that made inputs has started again since
// the queue's owner looked. They must not be sent: a handle names an address and
// a number, and the new process may give both to another request's result.
func (g *Gateway) inputsLost(m *modelRequest) bool {
	view := g.cfg.View()
	for _, s := range m.lease.Grant.Sources {
		if view.Replaced(s.Endpoint, s.Incarnation) {
			return true
		}
	}
	return false
}

// engine is the one that the queue's owner chose, if it has not left
// meanwhile and has not failed this request already; else another one, which
// the balancer picked and counts until it hears of the end.
func (g *Gateway) engine(m *modelRequest) (e *catalog.Endpoint, picked bool) {
	view := g.viewFor(m.request)
	e = view.Endpoint(m.lease.Grant.Endpoint)
	if e != nil && e.TakesWork() && !m.tries.avoid[e.Key()] {
		return e, false
	}
	e = g.balance.Pick(time.Now(), view.Endpoints(m.serviceName), m.tries.avoid, g.coldShare(true))
	return e, e != nil
}

// coldShare is this process's part of the requests that a cold endpoint bears;
// queued tells whether the queue's owner sends to its service as well.
func (g *Gateway) coldShare(queued bool) float64 {
	live := g.cfg.FleetSize()
	g.fleetMu.Lock()
	defer g.fleetMu.Unlock()
	return warm.PickerShare(g.fleet.Size(time.Now(), live), queued)
}

// tryEngine makes one send. For an engine that the balancer picked it also
// ends the balancer's count, also when the client's connection is broken off:
// counts that never end would keep later requests from that engine for good.
func (g *Gateway) tryEngine(w http.ResponseWriter, m *modelRequest, e *catalog.Endpoint, picked bool) streamResult {
	outcome := balance.Abandoned
	sent := time.Now()
	if picked {
		defer func() { g.balance.Ended(time.Now(), e.Key(), outcome, time.Since(sent), -1) }()
	}
	result := g.tryModel(w, m, e)
	switch result {
	case streamNotRun:
		outcome = balance.Full
	case streamFailed:
		outcome = g.silentUnlessLeft(m.request)
	}
	return result
}

// streamResult is how one send to a model engine ended.
type streamResult int

const (
	streamServed streamResult = iota
	streamNotRun
	streamInputsGone
	streamFailed
)

// tryModel makes one send and relays the stream.
func (g *Gateway) tryModel(w http.ResponseWriter, m *modelRequest, e *catalog.Endpoint) streamResult {
	m.tries.avoid[e.Key()] = true
	m.offered = true
	sent := time.Now()
	priority := min(leastUrgent, max(0, m.priority()))
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	a, err := g.send(ctx, m.request, e, platform.Send{
		Inputs:    m.lease.Grant.Inputs,
		Priority:  &priority,
		LastEvent: m.last,
	})
	if err != nil {
		g.logSend(m.request, e, 0, time.Since(sent), err)
		if errorx.IsOfType(err, errNotSent) {
			return streamNotRun
		}
		m.mayHaveRun = true
		g.noteBroken(m.request, e)
		return streamFailed
	}
	defer func() { _ = a.Body.Close() }()
	g.logSend(m.request, e, a.StatusCode, time.Since(sent), nil)
	if a.NotRun {
		if a.StatusCode == http.StatusConflict {
			return streamInputsGone
		}
		return streamNotRun
	}
	m.mayHaveRun = true
	if !a.usable() {
		return streamFailed
	}
	if a.StatusCode > 299 {
		return g.relayFailure(w, m, a)
	}
	return g.relayStream(w, m, e, a)
}

// relayFailure passes on an engine's own error, unless another engine may try.
func (g *Gateway) relayFailure(w http.ResponseWriter, m *modelRequest, a *answer) streamResult {
	if m.head || m.route.Repeatable() && m.tries.runs+1 < m.route.MaxAttempts {
		return streamFailed
	}
	b := &bufferedAnswer{answer: a}
	var early bool
	if b.body, b.whole, early = a.buffer(); early || !b.whole {
		return streamFailed
	}
	b.write(w)
	m.head = true
	g.done(m.request, a.StatusCode, "endpoint_error")
	return streamServed
}

// relayStream passes events on as they come.
func (g *Gateway) relayStream(w http.ResponseWriter, m *modelRequest, e *catalog.Endpoint, a *answer) streamResult {
	flusher := http.NewResponseController(w)
	stream := newEvents(a.Body)
	first := true
	for {
		data, err := stream.next()
		if first && (len(data) > 0 || err == nil) {
			first = false
			m.noteFirst()
			m.lease.FirstEvent()
			g.cfg.Metrics.firstEvent(m.request)
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return g.streamBroke(m, e, err)
		}
		if !m.head {
			m.head = true
			a.head(w)
		}
		if len(data) > 0 {
			if _, werr := w.Write(data); werr != nil {
				return streamServed
			}
			if stream.last != "" {
				m.last = stream.last
			}
		}
		if err != nil {
			g.done(m.request, a.StatusCode, "relayed")
			return streamServed
		}
		if ferr := flusher.Flush(); ferr != nil {
			return streamServed
		}
	}
}

// streamBroke ends a stream that cannot go on elsewhere.
func (g *Gateway) streamBroke(m *modelRequest, e *catalog.Endpoint, err error) streamResult {
	g.noteBroken(m.request, e)
	if m.ctx.Err() != nil || m.head && !m.route.Repeatable() {
		g.broken(m.request, e, err)
	}
	return streamFailed
}

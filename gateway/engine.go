package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/balance"
	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/platform"
)

// tryEngine makes one send. If the balancer picked the engine, it also ends the
// balancer's in-flight count, even if aborting the client's connection panics: a
// count that never ends would keep later requests from that engine for good.
func (g *Gateway) tryEngine(w http.ResponseWriter, m *modelRequest, e *catalog.Endpoint, picked bool) streamResult {
	outcome := balance.Abandoned
	sent := time.Now()
	if picked {
		defer func() { g.balance.Done(time.Now(), e.Key(), outcome, time.Since(sent), nil) }()
	}
	result := g.sendToEngine(w, m, e)
	switch result {
	case streamNotRun:
		outcome = balance.Full
	case streamFailed:
		outcome = g.failureOutcome(m.request)
		m.lease.EngineFailed = m.lease.EngineFailed || !picked
	}
	return result
}

// streamResult is the result of one send to a model engine.
type streamResult int

const (
	// streamServed means that nothing more is to be sent: the answer was relayed, or the
	// client did not take it.
	streamServed streamResult = iota
	// streamNotRun means that the engine has not run the request.
	streamNotRun
	// streamInputsGone means that the engine has not run the request because it could
	// not fetch the inputs.
	streamInputsGone
	// streamFailed means that the engine has, or may have, run the request and gave no
	// complete answer.
	streamFailed
	// streamRefused means that the engine's answer may not go on with what the client has.
	streamRefused
)

// sendToEngine makes one send and relays the answer; the caller keeps the balancer's count.
func (g *Gateway) sendToEngine(w http.ResponseWriter, m *modelRequest, e *catalog.Endpoint) streamResult {
	m.tries.avoid[e.Key()] = true
	m.sent = true
	sent := time.Now()
	priority := min(lowestPriority, max(0, m.priority()))
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	a, err := g.send(ctx, m.request, e, platform.ForwardOptions{
		Inputs:    m.lease.Grant.Inputs,
		Priority:  &priority,
		LastEvent: m.stream.sent.LastID,
	})
	if err != nil {
		g.logSend(m.request, e, 0, time.Since(sent), err)
		if errorx.IsOfType(err, errNotSent) {
			return streamNotRun
		}
		m.mayHaveRun = true
		m.tries.recordEnded(e, err)
		g.recordBroken(m.request, e, err)
		return streamFailed
	}
	defer func() { _ = a.Body.Close() }()
	unusable := a.checkUsable()
	g.logSend(m.request, e, a.StatusCode, time.Since(sent), unusable)
	if a.NotRun {
		if a.StatusCode == http.StatusConflict {
			return streamInputsGone
		}
		return streamNotRun
	}
	m.mayHaveRun = true
	if unusable != nil {
		return streamFailed
	}
	switch refused := g.refusesHead(m.request, a); {
	case refused && a.StatusCode < http.StatusInternalServerError:
		return streamRefused
	case refused:
		return streamFailed
	}
	if a.StatusCode > 299 {
		return g.relayFailure(w, m, e, a)
	}
	if !m.streams(a) {
		return g.relayHeld(w, m, e, a)
	}
	return g.relayStream(w, m, e, a)
}

// relayHeld relays a success that is no stream of events. It is held until it is whole or too
// long for that, so that another engine can be tried if it is broken off.
func (g *Gateway) relayHeld(w http.ResponseWriter, m *modelRequest, e *catalog.Endpoint, a *answer) streamResult {
	b := &bufferedAnswer{answer: a}
	var err error
	if b.body, b.complete, err = a.hold(maxEvent); err != nil {
		a.disbelieve()
		g.recordBroken(m.request, e, err)
		return streamFailed
	}
	m.lease.Stream = dispatch.Stream{OtherEngine: e.Key() != m.lease.Grant.Endpoint}
	m.lease.FirstEvent()
	g.cfg.Metrics.firstEvent(m.request)
	g.relayAnswer(w, m.request, e, b, func(balance.Outcome) {})
	return streamServed
}

// relayFailure relays an engine's own error, unless another attempt is possible.
func (g *Gateway) relayFailure(w http.ResponseWriter, m *modelRequest, e *catalog.Endpoint, a *answer) streamResult {
	if g.withholds(m.request, a) || m.route.Repeatable() && m.tries.runs+1 < m.route.MaxAttempts {
		return streamFailed
	}
	b := &bufferedAnswer{answer: a}
	var err error
	if b.body, b.complete, err = a.buffer(m.deadline); err != nil {
		g.recordBroken(m.request, e, err)
		return streamFailed
	}
	g.recordConnectionEnd(m.request, e, a)
	b.write(w)
	m.stream.sent.Begin(m.headOf(a))
	g.finish(m.request, a, "endpoint_error")
	return streamServed
}

// relayStream relays events as they arrive. If the engine breaks them off, it aborts the
// client's connection unless another engine can continue the stream.
func (g *Gateway) relayStream(w http.ResponseWriter, m *modelRequest, e *catalog.Endpoint, a *answer) streamResult {
	m.lease.Stream = dispatch.Stream{OtherEngine: e.Key() != m.lease.Grant.Endpoint}
	end, err := g.relayEvents(w, m.request, a, func() {
		m.lease.FirstEvent()
		g.cfg.Metrics.firstEvent(m.request)
	})
	m.lease.Stream.Events, m.lease.Stream.LongestPause = a.pauses.events, a.pauses.longest
	switch end {
	case relayWhole:
		g.recordConnectionEnd(m.request, e, a)
		g.finish(m.request, a, "relayed")
		return streamServed
	case relayLeft:
		return streamServed
	case relayRefused:
		return streamRefused
	}
	g.recordBrokenStream(m.request, e, err)
	if m.ctx.Err() != nil || !m.mayContinue() {
		g.abortAnswer(m.request, e.ID, err)
	}
	return streamFailed
}

package gateway

import (
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/balance"
	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/platform"
)

const (
	// maxRejections bounds the endpoints that may reject one request without running
	// it. Sends after the first also count against the retry budget.
	maxRejections = 3
	// overloadRetryAfter is the Retry-After of a request that no endpoint could take.
	overloadRetryAfter = 250 * time.Millisecond
	// minRetryTime is the minimum time before the deadline for a retry.
	minRetryTime = 30 * time.Millisecond
)

// attempts counts the sends of one request.
type attempts struct {
	// runs counts the sends that have, or may have, run the request.
	runs int
	// rejections counts the sends that have not run the request.
	rejections int
	// avoid holds the Keys of the endpoints that were tried.
	avoid map[string]bool
	// connEnded is the Key of the first endpoint that ended a kept connection under the
	// request.
	connEnded string
}

// servePlain sends a request to an endpoint of a service without a model and
// relays the answer, trying other endpoints as far as the request may be retried.
func (g *Gateway) servePlain(w http.ResponseWriter, req *request) *problem {
	if p := g.refusePlain(req); p != nil {
		return p
	}
	tries := attempts{avoid: make(map[string]bool)}
	req.endpointChosenAt = time.Now()
	var failed *bufferedAnswer
	for {
		e, p := g.pick(req, &tries, false)
		if e == nil {
			return g.finishUnserved(w, req, failed, p)
		}
		ready, p := g.beginSend(req, e, true)
		switch {
		case p != nil:
			return g.finishUnserved(w, req, failed, p)
		case !ready:
			continue
		}
		g.countFirstSend(req, &tries)
		a, result := g.tryPlain(req, e, &tries)
		switch {
		case result == resultRelay && !a.stream:
			g.relayPlain(w, req, e, a)
			return nil
		case result == resultRelay && g.relayPlainStream(w, req, e, a):
			return nil
		case result == resultRelay:
			result = resultFailed
		case a != nil && a.endpointError:
			failed = a
		}
		if !req.mayContinue() || !g.mayRetry(req, &tries, result) {
			return g.finishUnserved(w, req, failed, nil)
		}
		if p := g.refuseGoneVersion(req); p != nil {
			return g.finishUnserved(w, req, failed, p)
		}
		g.allowBrokenOff(req, &tries)
		g.allowConnEnded(req, &tries)
	}
}

// refusePlain returns the problem for a request to a plain service that is not sent at
// all; nil otherwise.
func (g *Gateway) refusePlain(req *request) *problem {
	if p := g.refuseIfCutByShutdown(req); p != nil {
		return p
	}
	return g.refuseBeyondShare(req)
}

// sendResult is the result of one send.
type sendResult int

const (
	// resultRelay means that there is an answer to relay to the client.
	resultRelay sendResult = iota
	// resultNotRun means that the endpoint has not run the request.
	resultNotRun
	// resultFailed means that the endpoint has, or may have, run the request, and gave no
	// usable answer or an error that a retry may avoid.
	resultFailed
)

// tryPlain makes one send and reports it to the balancer and the log.
func (g *Gateway) tryPlain(req *request, e *catalog.Endpoint, tries *attempts) (*bufferedAnswer, sendResult) {
	tries.avoid[e.Key()] = true
	sent := time.Now()
	req.sent = true
	a, err := g.send(req.ctx, req, e, platform.ForwardOptions{LastEvent: req.stream.sent.LastID})
	duration := time.Since(sent)
	if err != nil {
		return nil, g.recordNoAnswer(req, e, tries, duration, err)
	}
	if a.NotRun {
		_ = a.Body.Close()
		g.recordSend(req, e, a, balance.Full, duration, nil)
		return nil, resultNotRun
	}
	req.mayHaveRun = true
	if err := a.checkUsable(); err != nil {
		_ = a.Body.Close()
		g.recordSend(req, e, a, g.failureOutcome(req), duration, err)
		return nil, resultFailed
	}
	b := &bufferedAnswer{answer: a, took: duration}
	if g.refusesHead(req, a) {
		g.dropRefused(req, e, b)
		return nil, resultFailed
	}
	if req.streams(a) {
		b.stream = true
		g.logSend(req, e, a.StatusCode, duration, nil)
		return b, resultRelay
	}
	return g.bufferPlain(req, e, b)
}

// dropRefused drops an answer that may not go on with what the client has, and reports the send:
// what an error, which has come whole, says of the endpoint counts as always.
func (g *Gateway) dropRefused(req *request, e *catalog.Endpoint, b *bufferedAnswer) {
	if b.StatusCode >= http.StatusMultipleChoices {
		g.bufferPlain(req, e, b)
		return
	}
	b.disbelieve()
	_ = b.Body.Close()
	g.recordSend(req, e, b.answer, balance.Abandoned, b.took, nil)
}

// recordNoAnswer reports a send without an answer and returns its result.
func (g *Gateway) recordNoAnswer(req *request, e *catalog.Endpoint, tries *attempts, duration time.Duration, err error) sendResult {
	tries.recordEnded(e, err)
	result := resultNotRun
	if !errorx.IsOfType(err, errNotSent) {
		result = resultFailed
		req.mayHaveRun = true
		g.recordBroken(req, e, err)
	}
	g.recordSend(req, e, nil, g.failureOutcome(req), duration, err)
	return result
}

// failureOutcome is the outcome of a send without an answer: balance.Abandoned if the
// client has left, else balance.Silent.
func (g *Gateway) failureOutcome(req *request) balance.Outcome {
	if req.clientLeft() {
		return balance.Abandoned
	}
	return balance.Silent
}

// recordSend reports a finished send to the balancer, the metrics and the log.
func (g *Gateway) recordSend(req *request, e *catalog.Endpoint, a *answer, o balance.Outcome, duration time.Duration, err error) {
	status := 0
	if a != nil {
		status = a.StatusCode
	}
	g.recordOutcome(req, e, a, o, duration)
	g.logSend(req, e, status, duration, err)
}

// recordOutcome reports a finished send to the balancer and the metrics.
func (g *Gateway) recordOutcome(req *request, e *catalog.Endpoint, a *answer, o balance.Outcome, duration time.Duration) {
	g.balance.Done(time.Now(), e.Key(), o, duration, a.loadReport())
	g.cfg.Metrics.countSend(req.serviceName, o, duration)
}

// logSend logs one send.
func (g *Gateway) logSend(req *request, e *catalog.Endpoint, status int, duration time.Duration, err error) {
	line := g.cfg.Log.Info()
	if err != nil {
		line = g.cfg.Log.Warn().Err(err)
	}
	if req.takesUpStream() {
		line.Str("resumes", req.Resumes).Str("last_event", req.stream.sent.LastID)
	}
	req.about(line.Str("event", logSent)).Str("endpoint", e.ID).
		Str("version", e.Version).Int("status", status).Uint64("config", req.configVersion).
		Uint64("conn", req.lastSend.conn.Number).Int("conn_carried", req.lastSend.conn.Carried).Str("not_run", string(req.lastSend.notRun)).
		Bool("left_domain", e.Domain != g.cfg.Domain).Dur("took_ms", duration).Msg("sent to an endpoint")
}

// countFirstSend counts a request's first send: the retry budget grows with first
// sends.
func (g *Gateway) countFirstSend(req *request, tries *attempts) {
	if tries.runs+tries.rejections == 0 {
		g.retryBudget.CountFirst(req.serviceName, time.Now())
	}
}

// mayRetry counts the result of a send and reports whether one more send is
// allowed. If so, it takes the retry from the budget.
func (g *Gateway) mayRetry(req *request, tries *attempts, result sendResult) bool {
	switch result {
	case resultNotRun:
		tries.rejections++
	case resultFailed:
		tries.runs++
	}
	if req.ctx.Err() != nil || req.remaining() < minRetryTime {
		return false
	}
	if tries.runs > 0 && (!req.route.Repeatable() || tries.runs >= req.route.MaxAttempts) {
		return false
	}
	if tries.rejections >= maxRejections {
		return false
	}
	if !g.finishesBeforeShutdown(req) {
		return false
	}
	return g.retryBudget.TryRepeat(req.serviceName, g.retrySlack(), time.Now())
}

// finishUnserved answers a request that no endpoint served: with the last error
// answer of an endpoint, or else with a problem, p if that is not nil. A stream that has
// begun is aborted.
func (g *Gateway) finishUnserved(w http.ResponseWriter, req *request, failed *bufferedAnswer, p *problem) *problem {
	if p == nil {
		p = g.unservedProblem(req)
	}
	g.abortStream(req, p.reason)
	if failed == nil {
		return p
	}
	failed.write(w)
	g.finish(req, failed.answer, "endpoint_error")
	return nil
}

// unservedProblem returns the problem for a request that no endpoint served, or
// that a shutdown leaves no time to retry.
func (g *Gateway) unservedProblem(req *request) *problem {
	if p := g.refuseIfCutByShutdown(req); p != nil {
		return p
	}
	return giveUp(req, req.endReason("no_endpoint_served"), overloadRetryAfter)
}

// abortAnswer logs an answer that ended early and aborts the client's connection by
// a panic with http.ErrAbortHandler.
func (g *Gateway) abortAnswer(req *request, endpoint string, err error) {
	g.cfg.Metrics.countAnswer(req, "broken_off")
	req.about(g.cfg.Log.Warn().Str("event", logAnswered)).
		Str("endpoint", endpoint).Str("reason", "broken_off").Str("not_continued", req.stream.notContinued).Str("last_event", req.stream.sent.LastID).Bool("client_left", req.clientLeft()).
		Bool("expired", req.expired()).Bool("stopping", cancelledByShutdown(req.ctx)).Err(err).Dur("took_ms", time.Since(req.arrived)).Msg("answer aborted before its end")
	panic(http.ErrAbortHandler)
}

// finish logs and counts an answer that was relayed completely.
func (g *Gateway) finish(req *request, a *answer, reason string) {
	// Failures are often immediate and say nothing about the duration of a success, nor
	// whether the content crashes endpoints that run it.
	if a.StatusCode < http.StatusMultipleChoices {
		req.run.Answered()
		g.durationEstimator.recordServed(req.route.Name, req.timing(time.Now()))
	}
	g.cfg.Metrics.countAnswer(req, reason)
	req.about(g.cfg.Log.Info().Str("event", logAnswered)).
		Str("endpoint", a.endpoint.ID).Str("framing", string(a.framing())).
		Int("status", a.StatusCode).Str("reason", reason).Str("access", string(req.access)).Uint64("config", req.configVersion).
		Dur("took_ms", time.Since(req.arrived)).Msg("answered")
}

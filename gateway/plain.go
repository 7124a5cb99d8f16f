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
	// maxRejections bounds the endpoints that may reject one request without
	// running it; each arrival counts against the budget for repeated sends.
	maxRejections = 3
	// busyRetry is when a client may come back that found all endpoints full.
	busyRetry = 250 * time.Millisecond
	// minRetryTime is the least time left with which a request is sent again.
	minRetryTime = 30 * time.Millisecond
)

// attempts counts the sends of one request.
type attempts struct {
	runs       int
	rejections int
	// avoid holds the Keys of endpoints that were tried.
	avoid map[string]bool
}

// servePlain sends a request to an endpoint of a plain service.
func (g *Gateway) servePlain(w http.ResponseWriter, req *request) *problem {
	if p := g.refuseUnfit(req); p != nil {
		return p
	}
	tries := attempts{avoid: make(map[string]bool)}
	req.chosen = time.Now()
	var failed *bufferedAnswer
	for {
		e := g.balance.Pick(time.Now(), g.viewFor(req).Endpoints(req.serviceName), tries.avoid, g.coldShare(false))
		if e == nil {
			return g.noEndpoint(w, req, failed)
		}
		g.countSend(req, &tries)
		a, result := g.tryPlain(req, e, &tries)
		if result == resultRelay {
			return g.relayPlain(w, req, e, a)
		}
		if a != nil && a.failure {
			failed = a
		}
		if !g.again(req, &tries, result) {
			return g.noEndpoint(w, req, failed)
		}
	}
}

// sendResult is how one send ended.
type sendResult int

const (
	// resultRelay answers go to the client.
	resultRelay sendResult = iota
	// resultNotRun sends have not run the request.
	resultNotRun
	// resultFailed sends have run, or may have run, the request.
	resultFailed
)

// bufferedAnswer is an answer, read whole if it is short.
type bufferedAnswer struct {
	*answer
	body  []byte
	whole bool
	// failure is an error of the endpoint that may be relayed if no other
	// endpoint does better.
	failure bool
}

// tryPlain makes one send.
func (g *Gateway) tryPlain(req *request, e *catalog.Endpoint, tries *attempts) (*bufferedAnswer, sendResult) {
	tries.avoid[e.Key()] = true
	sent := time.Now()
	req.offered = true
	a, err := g.send(req.ctx, req, e, platform.Send{})
	took := time.Since(sent)
	if err != nil {
		notSent := errorx.IsOfType(err, errNotSent)
		if !notSent {
			req.mayHaveRun = true
			g.noteBroken(req, e)
		}
		g.plainEnded(req, e, nil, g.silentUnlessLeft(req), took, err)
		if notSent {
			return nil, resultNotRun
		}
		return nil, resultFailed
	}
	if a.NotRun {
		_ = a.Body.Close()
		g.plainEnded(req, e, a, balance.Full, took, nil)
		return nil, resultNotRun
	}
	req.mayHaveRun = true
	b := &bufferedAnswer{answer: a}
	var early bool
	b.body, b.whole, early = a.buffer()
	switch {
	case early || !a.usable():
		_ = a.Body.Close()
		g.noteBroken(req, e)
		g.plainEnded(req, e, a, g.silentUnlessLeft(req), took, errBroken.New("unusable answer with status %d", a.StatusCode))
		return nil, resultFailed
	case a.StatusCode >= http.StatusInternalServerError:
		g.plainEnded(req, e, a, balance.Failed, took, nil)
		b.failure = b.whole
		if req.route.Repeatable() && b.whole {
			return b, resultFailed
		}
		return b, resultRelay
	}
	g.plainEnded(req, e, a, balance.Served, took, nil)
	return b, resultRelay
}

// noteBroken notes a connection that broke under a request, by no doing of its
// client and not for lack of time.
func (g *Gateway) noteBroken(req *request, e *catalog.Endpoint) {
	if req.ctx.Err() != nil {
		return
	}
	g.crashes.broke(time.Now(), req.content, e)
	// The endpoint may be known as gone already.
	g.findCrashes(g.cfg.View())
}

// silentUnlessLeft tells a silent endpoint from a client that left.
func (g *Gateway) silentUnlessLeft(req *request) balance.Outcome {
	if req.gone() {
		return balance.Abandoned
	}
	return balance.Silent
}

// plainEnded tells the balancer and the log of a send.
func (g *Gateway) plainEnded(req *request, e *catalog.Endpoint, a *answer, o balance.Outcome, took time.Duration, err error) {
	load, status := -1, 0
	if a != nil {
		status = a.StatusCode
		if a.Load != nil {
			load = a.Load.Running + a.Load.Waiting
		}
	}
	g.balance.Ended(time.Now(), e.Key(), o, took, load)
	g.cfg.Metrics.sent(req.serviceName, o, took)
	g.logSend(req, e, status, took, err)
}

// logSend writes the line for one send.
func (g *Gateway) logSend(req *request, e *catalog.Endpoint, status int, took time.Duration, err error) {
	line := g.cfg.Log.Info()
	if err != nil {
		line = g.cfg.Log.Warn().Err(err)
	}
	line.Str("event", logSent).Str("request", req.ID).Str("route", req.route.Name).Str("endpoint", e.ID).
		Int("status", status).Uint64("config", req.version).Dur("took_ms", took).Msg("sent to an endpoint")
}

// countSend counts a send for the budget of repeated ones.
func (g *Gateway) countSend(req *request, tries *attempts) {
	if tries.runs+tries.rejections == 0 {
		g.repeats.First(req.serviceName, time.Now())
	}
}

// again tells whether one more send is allowed after the result.
func (g *Gateway) again(req *request, tries *attempts, result sendResult) bool {
	switch result {
	case resultNotRun:
		tries.rejections++
	case resultFailed:
		tries.runs++
	}
	if req.ctx.Err() != nil || req.left() < minRetryTime {
		return false
	}
	if tries.runs > 0 && (!req.route.Repeatable() || tries.runs >= req.route.MaxAttempts) {
		return false
	}
	if tries.rejections >= maxRejections {
		return false
	}
	if _, ok := g.fits(req); !ok {
		return false
	}
	return g.repeats.Take(req.serviceName, g.slack(), time.Now())
}

// noEndpoint ends a request that no endpoint served: with the last error of
// an endpoint if there was one.
func (g *Gateway) noEndpoint(w http.ResponseWriter, req *request, failed *bufferedAnswer) *problem {
	if failed != nil {
		failed.write(w)
		g.done(req, failed.StatusCode, "endpoint_error")
		return nil
	}
	return g.unserved(req)
}

// unserved is the answer to a request that no endpoint served, or that a
// planned stop leaves no time to send again.
func (g *Gateway) unserved(req *request) *problem {
	if p := g.refuseUnfit(req); p != nil {
		return p
	}
	return ended(req, req.endedBy("no_endpoint_served"), busyRetry)
}

// relayPlain passes an answer on.
func (g *Gateway) relayPlain(w http.ResponseWriter, req *request, e *catalog.Endpoint, a *bufferedAnswer) *problem {
	if a.whole {
		req.noteFirst()
		a.write(w)
		g.done(req, a.StatusCode, "relayed")
		return nil
	}
	req.noteFirst()
	a.head(w)
	if err := a.relay(w); err != nil {
		g.broken(req, e, err)
	}
	g.done(req, a.StatusCode, "relayed")
	return nil
}

// write sends an answer that was read whole.
func (b *bufferedAnswer) write(w http.ResponseWriter) {
	b.head(w)
	// A client that does not take its answer has left.
	_, _ = w.Write(b.body)
}

// broken ends the client's connection after an answer that ended early.
func (g *Gateway) broken(req *request, e *catalog.Endpoint, err error) {
	g.cfg.Metrics.count(req, "broken_off")
	g.cfg.Log.Warn().Str("event", logAnswered).Str("request", req.ID).Str("route", req.route.Name).
		Str("endpoint", e.ID).Str("reason", "broken_off").Bool("client_left", req.gone()).
		Bool("expired", req.expired()).Bool("stopping", endedByStop(req.ctx)).Err(err).Dur("took_ms", time.Since(req.arrived)).Msg("answer broken off")
	panic(http.ErrAbortHandler)
}

// done writes the line for an answer that was relayed whole.
func (g *Gateway) done(req *request, status int, reason string) {
	g.crashes.served(req.content)
	// Failures often come at once and say nothing of how long a success lasts.
	if status < http.StatusMultipleChoices {
		g.paces.served(req.route.Name, req.timing(time.Now()))
	}
	g.cfg.Metrics.count(req, reason)
	g.cfg.Log.Info().Str("event", logAnswered).Str("request", req.ID).Str("route", req.route.Name).
		Int("status", status).Str("reason", reason).Uint64("config", req.version).
		Dur("took_ms", time.Since(req.arrived)).Msg("answered")
}

package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/balance"
	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/quarantine"
	"github.com/mangostage/mangostage/quarantine/part"
)

const (
	// reasonCrashes is the reason of requests whose content crashes endpoints,
	// reasonAwaitsVerdict of those that waited in vain until it was known whether it does.
	reasonCrashes       = "crashes_endpoints"
	reasonAwaitsVerdict = "awaits_verdict"
)

// hashContent hashes the parts of a request that stay the same when a client
// retries it.
func hashContent(req *request) quarantine.Content {
	h := xxhash.New()
	for _, part := range []string{req.http.Method, hostOf(req.http), req.http.RequestURI, req.accountName()} {
		// A digest takes all bytes and has no errors.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	req.body.hash(h)
	return quarantine.Content(h.Sum64())
}

// refuseQuarantined refuses a request whose content is quarantined, or of whose prompt a part is
// blamed.
func (g *Gateway) refuseQuarantined(req *request) *problem {
	req.subject = quarantine.Subject{Content: hashContent(req), Parts: part.Shared(req.Prefix), Service: req.serviceName}
	if left, parts := g.cfg.Quarantine.RefusedFor(req.subject); left > 0 {
		p := unavailable(reasonCrashes, left)
		p.blamed = parts
		return p
	}
	return nil
}

// beginRun asks whether the request's content may be run now. waited is true if that took
// a while, so that the endpoint has to be chosen again.
func (g *Gateway) beginRun(req *request) (waited bool, p *problem) {
	req.endRun()
	req.runs++
	id := req.ID + "#" + strconv.Itoa(req.runs)
	run, waited, refusal := g.cfg.Quarantine.Begin(req.ctx, req.subject, req.ID, id, req.remaining())
	if refusal == nil {
		req.run = run
		return waited, nil
	}
	reason := reasonAwaitsVerdict
	if refusal.Quarantined {
		reason = reasonCrashes
	}
	p = giveUp(req, req.endReason(reason), refusal.RetryAfter)
	p.blamed = refusal.Parts
	return waited, p
}

// beginSend asks whether the request may be sent now to the endpoint that was chosen; picked
// says that the balancer counts it there. If it may not, there is a problem, or the endpoint
// has to be chosen again.
func (g *Gateway) beginSend(req *request, e *catalog.Endpoint, picked bool) (ready bool, p *problem) {
	waited, p := g.beginRun(req)
	if p == nil && (!waited || g.stillTakesWork(req, e)) {
		return true, nil
	}
	if picked {
		g.balance.Done(time.Now(), e.Key(), balance.Abandoned, 0, nil)
	}
	return false, p
}

// stillTakesWork reports whether an endpoint that was chosen a while ago takes work.
func (g *Gateway) stillTakesWork(req *request, e *catalog.Endpoint) bool {
	now := g.viewFor(req).Endpoint(e.Key())
	return now != nil && req.takes(now) && !g.cfg.Backoffs.Active(time.Now(), e.Key())
}

// endRun ends the request's run, if it has not ended.
func (req *request) endRun() {
	req.run.End()
	req.run = nil
}

// recordBroken records a connection that broke under a request with an error, unless the
// client left, the time ran out, a shutdown ended the request or the answer was given up.
func (g *Gateway) recordBroken(req *request, e *catalog.Endpoint, err error) {
	if req.ctx.Err() != nil || isNoAnswer(err) {
		req.endRun()
		return
	}
	req.run.Broken(crashable(e), err)
}

// recordConnectionEnd records that the end of a connection ended a whole answer: the end of
// the endpoint looks like that.
func (g *Gateway) recordConnectionEnd(req *request, e *catalog.Endpoint, a *answer) {
	switch {
	case a.framing() != framedByConnection || req.http.Method == http.MethodHead:
	case req.ctx.Err() != nil:
		req.endRun()
	default:
		req.run.BrokenOrWhole(crashable(e), errBroken.New("the answer ended with the connection"))
	}
}

// crashable describes an endpoint that may have crashed.
func crashable(e *catalog.Endpoint) quarantine.Endpoint {
	return quarantine.Endpoint{Key: e.Key(), Addr: e.Addr, Service: e.Service}
}

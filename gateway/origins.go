package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/origin"
)

// Reasons of requests that take up a stream which cannot go on.
const (
	// reasonStreamUnknown means that nobody knows where the stream began.
	reasonStreamUnknown = "stream_unknown"
	// reasonOriginUnreached means that nobody who answered knows it, and some did not answer.
	reasonOriginUnreached = "stream_origin_unreached"
	// reasonVersionUnclear means that the version that began the stream is not known.
	reasonVersionUnclear = "stream_version_unclear"
	// reasonVersionGone means that no endpoint of the version that began the stream is there.
	reasonVersionGone = string(dispatch.ReasonNoVersion)
)

const (
	// originRetryAfter is the Retry-After of a request for which not all members could be
	// asked: one that was killed no longer counts as live by then.
	originRetryAfter = 700 * time.Millisecond
	// versionRetryAfter is the Retry-After of a request whose version is listed, but not
	// usable now.
	versionRetryAfter = time.Second
	// lifetimeSlack is the time for which a client may come back after its deadline, by the
	// clocks of two gateways.
	lifetimeSlack = 5 * time.Second
)

// lifetimes holds, for each route, how long clients wait at most.
type lifetimes struct {
	mu     sync.Mutex
	routes map[string]time.Duration
}

func newLifetimes() *lifetimes { return &lifetimes{routes: make(map[string]time.Duration)} }

// observe records a client's deadline and returns how long a stream of the route lives at
// most, over all tries of its client. A client that takes a stream up shows only what is left
// of its time: while no other one was seen, a stream may be as old as any.
func (l *lifetimes) observe(route *catalog.Route, deadline time.Duration, takesUp bool) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.routes[route.Name]
	if takesUp && known == 0 {
		return origin.MaxLifetime
	}
	if len(l.routes) >= maxRoutes {
		clear(l.routes)
	}
	longest := max(known, deadline, route.Timeout)
	if longest == 0 {
		longest = defaultDeadline
	}
	l.routes[route.Name] = min(longest, origin.MaxLifetime)
	return min(longest+lifetimeSlack, origin.MaxLifetime)
}

// bindToOrigin finds out where the stream began that the request takes up, and binds the
// request to it. It returns a problem if the stream cannot go on.
func (g *Gateway) bindToOrigin(req *request) *problem {
	if !req.route.ResumableStream() {
		return nil
	}
	req.lifetime = g.lifetimes.observe(req.route, req.Deadline, req.takesUpStream())
	if !req.takesUpStream() {
		return nil
	}
	g.logTakeUp(req)
	f := g.cfg.Origins.Find(req.ctx, req.ID, req.Resumes, origin.Question{Route: req.route.Name, Lifetime: req.lifetime})
	switch {
	case f.Verdict == origin.Unreached:
		return giveUp(req, req.endReason(reasonOriginUnreached), originRetryAfter)
	case f.Verdict == origin.Unknown:
		return giveUp(req, req.endReason(reasonStreamUnknown), 0)
	case f.Origin.Unclear:
		return giveUp(req, req.endReason(reasonVersionUnclear), 0)
	case !req.route.Serves(f.Origin.Service):
		return g.versionGone(req, g.cfg.Origins.InStep(req.ctx, req.arrived))
	}
	req.bind(f.Origin)
	req.service = g.cfg.View().Index.Service(req.serviceName)
	return g.refuseGoneVersion(req)
}

// bind makes the request go on only at endpoints of the origin.
func (req *request) bind(o origin.Origin) {
	req.origin = &o
	req.serviceName = o.Service
}

// fits reports whether the request may be sent to an endpoint of its service.
func (req *request) fits(e *catalog.Endpoint) bool {
	return req.origin == nil || !req.origin.Unclear && e.Runs(req.origin.Version)
}

// endpointsFor returns the endpoints of the request's service that it may be sent to. The
// rest of a stream may go to endpoints that leave, if there is no other of its version.
func (g *Gateway) endpointsFor(req *request) []*catalog.Endpoint {
	endpoints := g.viewFor(req).Endpoints(req.serviceName)
	if req.origin == nil {
		return endpoints
	}
	var staying, leaving []*catalog.Endpoint
	for _, e := range endpoints {
		switch {
		case !req.fits(e):
		case e.TakesWork():
			staying = append(staying, e)
		case req.takes(e):
			next := *e
			next.Leaving = false
			leaving = append(leaving, &next)
		}
	}
	if len(staying) > 0 {
		return staying
	}
	return leaving
}

// takes reports whether the request may be sent to the endpoint now.
func (req *request) takes(e *catalog.Endpoint) bool {
	if req.origin == nil {
		return e.TakesWork()
	}
	return req.fits(e) && e.TakesRest(time.Now())
}

// refuseGoneVersion returns the problem for a request that is bound to a version of which no
// endpoint takes work.
func (g *Gateway) refuseGoneVersion(req *request) *problem {
	if req.origin == nil || len(g.endpointsFor(req)) > 0 {
		return nil
	}
	// The version may have just joined.
	inStep := g.cfg.Origins.InStep(req.ctx, req.arrived)
	if inStep && len(g.endpointsFor(req)) > 0 {
		return nil
	}
	return g.versionGone(req, inStep)
}

// versionGone returns the problem for a request whose version cannot serve it. It names a
// time to come again only if an endpoint that may run the version is listed and does not
// leave, or if the view is not in step and may lack one.
func (g *Gateway) versionGone(req *request, inStep bool) *problem {
	var retryAfter time.Duration
	if !inStep {
		retryAfter = versionRetryAfter
	}
	for _, e := range g.viewFor(req).Endpoints(req.serviceName) {
		if req.origin != nil && e.Version == req.origin.Version && !e.Leaving {
			retryAfter = versionRetryAfter
		}
	}
	p := giveUp(req, req.endReason(reasonVersionGone), retryAfter)
	p.queue, p.shortOf = req.serviceName, dispatch.ResourceVersion
	return p
}

// beginStream records that an endpoint sends the first event of the request's stream, or
// goes on with it. It returns an error if the endpoint may have another version than the
// stream.
func (g *Gateway) beginStream(req *request, a *answer) error {
	if !req.route.ResumableStream() {
		return nil
	}
	o, proof := g.currentOrigin(a.endpoint), g.proofOf(a)
	if req.origin != nil {
		return g.checkOrigin(req, a.endpoint, o, proof)
	}
	req.bind(o)
	req.proof = proof
	g.tellBegun(req, o, proof)
	return nil
}

// checkOrigin returns an error if an endpoint that goes on with the request's stream, by its
// entry at the origin o, may have another version.
func (g *Gateway) checkOrigin(req *request, e *catalog.Endpoint, o origin.Origin, proof origin.Proof) error {
	if o != *req.origin || !proof.IsZero() && !g.proves(req, proof, o) {
		return errBroken.New("endpoint %s may not run version %q any more", e.ID, req.origin.Version)
	}
	g.tellBegun(req, o, origin.Proof{})
	return nil
}

// tellBegun records where the request's stream began.
func (g *Gateway) tellBegun(req *request, o origin.Origin, proof origin.Proof) {
	attempts := []string{req.ID}
	if req.takesUpStream() && req.Resumes != "" {
		attempts = append(attempts, req.Resumes)
	}
	g.cfg.Origins.Began(o, proof, req.lifetime, attempts...)
}

// proofOf returns what has to be looked at before the version in the entry of the endpoint
// that sent an answer is believed: nothing, if its process has been there for long enough to
// have written that entry, or if the endpoint does not say when it started: then each
// process has an ID of its own, and answers requests for another one with 421.
func (g *Gateway) proofOf(a *answer) origin.Proof {
	if a.endpoint.Incarnation == 0 {
		return origin.Proof{}
	}
	settled := g.cfg.Origins.SettledBefore()
	key := a.endpoint.Key()
	if a.opened.Before(settled) || g.cfg.Transport.ServesSince(key, settled) {
		return origin.Proof{}
	}
	return origin.Proof{Endpoint: key, Opened: a.opened}
}

// settleOrigin finds out whether to believe where the request's stream began, before it goes
// on elsewhere.
func (g *Gateway) settleOrigin(req *request) {
	if req.origin == nil || req.proof.IsZero() || !req.route.Repeatable() {
		return
	}
	if !g.proves(req, req.proof, *req.origin) {
		req.origin.Unclear = true
	}
	req.proof = origin.Proof{}
}

// proves finds out whether the process that sent the request an answer is known to have had the
// version of the origin.
func (g *Gateway) proves(req *request, proof origin.Proof, o origin.Origin) bool {
	began := time.Now()
	sure, asked := g.cfg.Origins.Prove(req.ctx, proof, !req.unproved)
	req.unproved = req.unproved || !sure || asked
	holds := sure && proof.Holds(g.cfg.View(), o)
	g.cfg.Log.Info().Str("event", logOriginProved).Str("request", req.ID).Str("endpoint", proof.Endpoint).
		Str("version", o.Version).Bool("sure", sure).Bool("asked", asked).Bool("holds", holds).Dur("connection_age_ms", time.Since(proof.Opened)).
		Dur("took_ms", time.Since(began)).Msg("an endpoint's version over a young connection")
	return holds
}

// currentOrigin returns the origin of a stream that an endpoint begins now. The entry by
// which the endpoint was chosen may be that of an earlier process: which of the two has sent
// the event does not matter if their versions are the same.
func (g *Gateway) currentOrigin(e *catalog.Endpoint) origin.Origin {
	o := origin.Origin{Service: e.Service, Version: e.Version, Unclear: e.VersionUnclear}
	listed := g.cfg.View().EndpointByID(e.ID)
	if listed != nil && (listed.Service != e.Service || !listed.Runs(e.Version)) {
		o.Unclear = true
	}
	return o
}

// allowBrokenOff lets a stream go on at the endpoints that broke it off, if there is no
// other of its version.
func (g *Gateway) allowBrokenOff(req *request, tries *attempts) {
	if req.origin == nil {
		return
	}
	endpoints := g.endpointsFor(req)
	if slices.ContainsFunc(endpoints, func(e *catalog.Endpoint) bool { return !tries.avoid[e.Key()] }) {
		return
	}
	for _, e := range endpoints {
		delete(tries.avoid, e.Key())
	}
}

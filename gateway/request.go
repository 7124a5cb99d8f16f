package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/origin"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/quarantine"
)

// defaultDeadline applies to requests without a deadline on routes without a timeout.
const defaultDeadline = 30 * time.Second

// maxPieces bounds the pieces of one request over all its stages: the owner of the queue holds
// state for each.
const maxPieces = 10_000

// request is the state of one client request.
type request struct {
	platform.Request
	http    *http.Request
	route   *catalog.Route
	service *catalog.Service
	// serviceName is the service of the route to which the request is sent.
	serviceName string
	account     *catalog.Account
	// access says why the request is let in or not; empty without a route.
	access access
	body   payload
	// subject is what the request is known by across a client's retries.
	subject quarantine.Subject
	// run is the current send to an endpoint, runs the number of sends.
	run     *quarantine.Run
	runs    int
	arrived time.Time
	// readAt is when the request was read whole; when it arrived, before that.
	readAt time.Time
	// deadline is the earlier of the client's deadline and the route's timeout.
	deadline time.Time
	// age is the estimated time since the client first sent the request; 0 for a first
	// attempt.
	age time.Duration
	// configVersion is the version of the configuration that admitted or refused the
	// request.
	configVersion uint64
	ctx           context.Context
	cancel        context.CancelFunc
	// endpointChosenAt is when the engine, or the first endpoint of a plain service, was
	// chosen; firstByteAt is when the answer began. Both are zero until then.
	endpointChosenAt, firstByteAt time.Time
	// sent is true once the request was sent to an endpoint; mayHaveRun is true once an
	// endpoint may have run it.
	sent       bool
	mayHaveRun bool
	// lastSend is how the request was sent last.
	lastSend sendRecord
	// usedConns are the connections over which the request was answered.
	usedConns []*endpointConn
	// stream is what the client has of a streamed answer.
	stream streamState
	// origin is where the stream began, once that is known; lifetime is how long a stream of
	// the route lives at most.
	origin   *origin.Origin
	lifetime time.Duration
	// proof is what has to be looked at before the origin is believed.
	proof origin.Proof
	// unproved is true once the view could not be confirmed for the request: it does not wait
	// for that again.
	unproved bool
}

// admit decodes a request and finds its route, service and client account.
func (g *Gateway) admit(r *http.Request) (*request, *problem) {
	now := time.Now()
	req := &request{Request: platform.DecodeRequest(r.Header), http: r, arrived: now, readAt: now}
	req.stream.sent.LastID = req.LastEvent
	if !forwardable(r) {
		return req, &problem{status: http.StatusBadRequest, reason: "bad_target"}
	}
	view := g.cfg.View()
	if !view.Ready() {
		return req, unavailable("not_ready", notReadyRetryAfter)
	}
	index := view.Index
	if req.authorize(index) != nil {
		// A refused client does not retry, so the gateway never refuses by a configuration
		// from before a pause of this process.
		index = g.cfg.FreshView().Index
		if p := req.authorize(index); p != nil {
			g.cfg.Metrics.countAccess(req)
			return req, p
		}
	}
	g.cfg.Metrics.countAccess(req)
	if req.tooManyPieces() {
		return req, &problem{status: http.StatusBadRequest, reason: "too_many_pieces"}
	}
	req.serviceName = pickService(req.route, req.ID)
	req.service = index.Service(req.serviceName)
	req.deadline = now.Add(requestTimeout(req))
	req.age = g.ageEstimator.estimate(req.route.Name, req.Deadline)
	req.startContext(g.shutdown)
	return req, nil
}

// tooManyPieces reports whether the request names more pieces of its route's stages than are run.
func (req *request) tooManyPieces() bool {
	left := maxPieces
	for _, n := range req.Pieces[:min(len(req.Pieces), len(req.route.Stages))] {
		if n > left {
			return true
		}
		left -= n
	}
	return false
}

// startContext creates the context in which the request is served. It ends when the
// client leaves, at the request's deadline, or at the end of a shutdown.
func (req *request) startContext(s *shutdown) {
	ctx, cancelDeadline := context.WithDeadline(req.http.Context(), req.deadline)
	ctx, cancelStop := s.boundContext(ctx, func() time.Duration { return 0 })
	req.ctx = ctx
	req.cancel = func() {
		cancelStop()
		cancelDeadline()
	}
}

// authorize finds the request's route and client account in a configuration.
func (req *request) authorize(index *catalog.Index) *problem {
	req.configVersion = index.Config.Version
	req.route = index.Route(hostOf(req.http), req.http.URL.EscapedPath())
	if req.route == nil {
		return &problem{status: http.StatusNotFound, reason: "no_route"}
	}
	req.access, req.account = accessTo(index, req.route, req.Key)
	return req.access.problem()
}

// viewFor returns the view from which an endpoint is chosen. A request that must not
// be retried waits for the view after a pause of this process: an endpoint that began
// to leave during the pause could end with the request. Retryable requests do not
// wait: a leaving endpoint still serves for a while, and one that has gone refuses
// connections.
func (g *Gateway) viewFor(req *request) *catalog.View {
	if req.route.Repeatable() {
		return g.cfg.View()
	}
	return g.cfg.FreshView()
}

// hostOf returns the request's host in lower case, without the port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return strings.ToLower(host)
	}
	return strings.ToLower(r.Host)
}

// requestTimeout returns the shorter of the client's deadline and the route's timeout.
func requestTimeout(req *request) time.Duration {
	timeout := defaultDeadline
	if req.route.Timeout > 0 {
		timeout = req.route.Timeout
	}
	if req.Deadline > 0 {
		timeout = min(timeout, req.Deadline)
	}
	return timeout
}

// routeTimeoutIsShorter reports whether the route's timeout is shorter than the
// client's deadline.
func (req *request) routeTimeoutIsShorter() bool {
	return req.route.Timeout > 0 && (req.Deadline <= 0 || req.route.Timeout < req.Deadline)
}

// weightSteps is the number of hash values among which the weights are divided.
const weightSteps = 1 << 20

// pickService chooses the route's service by weight. The choice depends only on the
// request ID, so that it stays the same across attempts.
func pickService(r *catalog.Route, id string) string {
	total := 0.0
	for _, s := range r.Split {
		total += max(0, s.Weight)
	}
	point := total * float64(xxhash.Sum64String(id)%weightSteps) / weightSteps
	for _, s := range r.Split {
		if point -= max(0, s.Weight); point < 0 {
			return s.Service
		}
	}
	return r.Split[0].Service
}

// remaining returns the time until the deadline.
func (req *request) remaining() time.Duration { return time.Until(req.deadline) }

// expired reports whether the deadline has passed, as opposed to the client leaving.
func (req *request) expired() bool {
	return errors.Is(req.ctx.Err(), context.DeadlineExceeded)
}

// clientLeft reports whether the client has closed its connection.
func (req *request) clientLeft() bool { return req.http.Context().Err() != nil }

// priority returns the client account's priority, or the route's if it has none.
func (req *request) priority() int {
	if req.account != nil && req.account.Priority != nil {
		return *req.account.Priority
	}
	return req.route.Priority
}

// accountName returns the name of the client account as endpoints see it, or "".
func (req *request) accountName() string {
	if req.account == nil {
		return ""
	}
	return req.account.Name
}

// markFirstByte records when the answer began; later calls have no effect.
func (req *request) markFirstByte() {
	if req.firstByteAt.IsZero() {
		req.firstByteAt = time.Now()
	}
}

// timing returns the durations of a request whose answer was complete at now.
func (req *request) timing(now time.Time) timing {
	first := req.firstByteAt
	if first.IsZero() {
		first = now
	}
	t := timing{firstByte: first.Sub(req.arrived), transfer: now.Sub(first), maxTokens: req.TokensOut}
	if !req.endpointChosenAt.IsZero() {
		t.engineFirstByte = max(0, first.Sub(req.endpointChosenAt))
	}
	return t
}

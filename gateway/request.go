package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/platform"
)

// defaultDeadline holds for requests that say nothing of their deadline on
// routes without a timeout.
const defaultDeadline = 30 * time.Second

// defaultBody bounds bodies in bytes where the configuration does not.
const defaultBody = 4 << 20

// request is one request of a client.
type request struct {
	platform.Request
	http    *http.Request
	route   *catalog.Route
	service *catalog.Service
	// serviceName is the route's service that the request goes to.
	serviceName string
	account     *catalog.Account
	body        []byte
	// content is the hash of what stays the same when a client sends the
	// request again.
	content uint64
	arrived time.Time
	// deadline is when the client or the route's timeout gives up.
	deadline time.Time
	// age is how long ago the client sent the request for the first time, as
	// far as can be told.
	age time.Duration
	// version is the configuration that decided.
	version uint64
	ctx     context.Context
	cancel  context.CancelFunc
	// chosen is when the request's engine, or the first endpoint of a plain
	// service, was chosen; first when the answer began. Both are zero until then.
	chosen, first time.Time
	// offered is set once an endpoint was sent the request; mayHaveRun once
	// one may have run it.
	offered    bool
	mayHaveRun bool
}

// admit finds the request's route and account.
func (g *Gateway) admit(r *http.Request) (*request, *problem) {
	now := time.Now()
	req := &request{Request: platform.DecodeRequest(r.Header), http: r, arrived: now}
	view := g.cfg.View()
	if !view.Ready() {
		return req, unavailable("not_ready", notReadyRetry)
	}
	index := view.Index
	if req.allowed(index) != nil {
		// A client that is turned away does not come back, so that is never
		// done by a configuration from before a pause of this process.
		index = g.cfg.Current().Index
		if p := req.allowed(index); p != nil {
			return req, p
		}
	}
	req.serviceName = pickShare(req.route, req.ID)
	req.service = index.Service(req.serviceName)
	req.deadline = now.Add(timeLeft(req))
	req.age = g.ages.of(req.route.Name, req.Deadline)
	req.begin(g.planned)
	return req, nil
}

// begin makes the context in which the request is served: it ends with the
// client's leaving, the request's own time, or a planned stop.
func (req *request) begin(p *planned) {
	ctx, cancelDeadline := context.WithDeadline(req.http.Context(), req.deadline)
	ctx, cancelStop := p.until(ctx, 0)
	req.ctx = ctx
	req.cancel = func() {
		cancelStop()
		cancelDeadline()
	}
}

// allowed finds the request's route and account in a configuration.
func (req *request) allowed(index *catalog.Index) *problem {
	req.version = index.Config.Version
	req.route = index.Route(hostOf(req.http), req.http.URL.EscapedPath())
	if req.route == nil {
		return &problem{status: http.StatusNotFound, reason: "no_route"}
	}
	req.account = index.Account(req.Key)
	if req.account == nil && index.HasAccounts() && !req.route.Public {
		return &problem{status: http.StatusUnauthorized, reason: "unknown_key"}
	}
	return nil
}

// viewFor is the view by which an endpoint is chosen. A request that cannot be
// sent again must not go to an endpoint that began to leave during a pause of
// this process and takes it along. Others are not held up: endpoints that leave
// serve on for a while, and those that are gone refuse.
func (g *Gateway) viewFor(req *request) *catalog.View {
	if req.route.Repeatable() {
		return g.cfg.View()
	}
	return g.cfg.Current()
}

// hostOf is the request's host without a port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return strings.ToLower(host)
	}
	return strings.ToLower(r.Host)
}

// timeLeft is the shorter of the client's deadline and the route's timeout.
func timeLeft(req *request) time.Duration {
	left := defaultDeadline
	if req.route.Timeout > 0 {
		left = req.route.Timeout
	}
	if req.Deadline > 0 {
		left = min(left, req.Deadline)
	}
	return left
}

// routeLimits tells whether the route's timeout is shorter than the client's deadline.
func (req *request) routeLimits() bool {
	return req.route.Timeout > 0 && (req.Deadline <= 0 || req.route.Timeout < req.Deadline)
}

// shareSteps is how finely weights are told apart.
const shareSteps = 1 << 20

// pickShare chooses the route's service by weight. The choice follows from
// the request's ID, so that it does not change between attempts.
func pickShare(r *catalog.Route, id string) string {
	total := 0.0
	for _, s := range r.Split {
		total += max(0, s.Weight)
	}
	at := total * float64(xxhash.Sum64String(id)%shareSteps) / shareSteps
	for _, s := range r.Split {
		if at -= max(0, s.Weight); at < 0 {
			return s.Service
		}
	}
	return r.Split[0].Service
}

// readBody reads the whole body: only then can it be sent, whole, more than once.
func (g *Gateway) readBody(w http.ResponseWriter, req *request) *problem {
	limit := g.cfg.View().Index.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	body := http.MaxBytesReader(w, req.http.Body, limit)
	var buffer bytes.Buffer
	if n := req.http.ContentLength; n > 0 && n <= limit {
		buffer.Grow(int(n) + bytes.MinRead)
	}
	inTime := endRead(w, req)
	_, err := io.Copy(&buffer, body)
	var tooLarge *http.MaxBytesError
	switch {
	case !inTime() && (endedByStop(req.ctx) || req.expired()):
		return lateBody(req)
	case errors.As(err, &tooLarge):
		return &problem{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	case err != nil:
		// The client broke off or its chunks are malformed.
		return &problem{status: http.StatusBadRequest, reason: "body_unreadable", close: true}
	}
	req.body = buffer.Bytes()
	return nil
}

// endRead ends the reading of the body with the request's context, of which a
// blocked read knows nothing: else half a request would hold up a planned stop,
// and its client would get no answer. inTime ends that, and tells whether the
// context had not ended.
func endRead(w http.ResponseWriter, req *request) (inTime func() bool) {
	return context.AfterFunc(req.ctx, func() {
		// Without deadlines the read ends with the connection, as it would anyway.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	})
}

// lateBody is the answer to a request whose body did not come in its time or
// in that of a planned stop.
func lateBody(req *request) *problem {
	p := unavailable("body_late", elsewhereRetry)
	if endedByStop(req.ctx) {
		p.reason = reasonStopping
	}
	p.close, p.readEnded = true, true
	return p
}

// left is the time that the request has left.
func (req *request) left() time.Duration { return time.Until(req.deadline) }

// expired tells whether the request's own time has run out, and not its client left.
func (req *request) expired() bool {
	return errors.Is(req.ctx.Err(), context.DeadlineExceeded)
}

// gone tells whether the client has left.
func (req *request) gone() bool { return req.http.Context().Err() != nil }

// priority is the account's, or else the route's.
func (req *request) priority() int {
	if req.account != nil && req.account.Priority != nil {
		return *req.account.Priority
	}
	return req.route.Priority
}

// accountName is what endpoints get to see of the client account.
func (req *request) accountName() string {
	if req.account == nil {
		return ""
	}
	return req.account.Name
}

// noteFirst notes that the answer began; only the first time counts.
func (req *request) noteFirst() {
	if req.first.IsZero() {
		req.first = time.Now()
	}
}

// timing is how the request went that is answered now.
func (req *request) timing(now time.Time) timing {
	first := req.first
	if first.IsZero() {
		first = now
	}
	t := timing{toFirst: first.Sub(req.arrived), rest: now.Sub(first), tokens: req.TokensOut}
	if !req.chosen.IsZero() {
		t.prompt = max(0, first.Sub(req.chosen))
	}
	return t
}

package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/platform"
)

// problem is an answer of our own.
type problem struct {
	status int
	// reason is a stable word for logs and clients.
	reason string
	// retryAfter is set where the request has not run and may come back.
	retryAfter time.Duration
	// queue says which service was short of something, short of what, and behind
	// how much too late the request would have been.
	queue  string
	short  dispatch.Resource
	behind time.Duration
	// close ends the connection after the answer.
	close bool
	// readEnded says that the gateway itself has ended the reading from the
	// client, which net/http takes for a client that has left.
	readEnded bool
}

// Reasons of requests that ended before their answer came, by who ended them.
const (
	reasonClientLeft = "client_left"
	// reasonClientDeadline and reasonRouteTimeout say which of the two was shorter.
	reasonClientDeadline = "client_deadline"
	reasonRouteTimeout   = "route_timeout"
)

// endedBy is the reason of a request that got no answer: who ended it, or what
// else there is to say if nobody did.
func (req *request) endedBy(otherwise string) string {
	switch {
	case endedByStop(req.ctx):
		return reasonStopping
	case req.gone():
		return reasonClientLeft
	case !req.expired():
		return otherwise
	case req.routeLimits():
		return reasonRouteTimeout
	}
	return reasonClientDeadline
}

// unavailable says that the request has not run and when to come back.
func unavailable(reason string, retryAfter time.Duration) *problem {
	return &problem{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// ended is the answer to a request that is given up: "not run" only if no
// endpoint can have run it.
func ended(req *request, reason string, retryAfter time.Duration) *problem {
	switch {
	case !req.mayHaveRun:
		return unavailable(reason, retryAfter)
	case req.expired():
		return &problem{status: http.StatusGatewayTimeout, reason: reason}
	}
	return &problem{status: http.StatusBadGateway, reason: reason}
}

// problemBody follows RFC 9457.
type problemBody struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Reason is a stable word that support can search for.
	Reason  string `json:"reason"`
	Request string `json:"request,omitempty"`
	// Ran is false only if the request has not run and never will.
	Ran string `json:"ran"`
}

// refuse answers the client, if it is still there.
func (g *Gateway) refuse(w http.ResponseWriter, req *request, p *problem) {
	left := req.gone() && !p.readEnded
	g.cfg.Metrics.count(req, p.reason)
	g.cfg.Log.Info().Str("event", logAnswered).Str("request", req.ID).Str("route", routeName(req)).
		Int("status", p.status).Str("reason", p.reason).Bool("offered", req.offered).
		Bool("may_have_run", req.mayHaveRun).Bool("client_left", left).Uint64("config", req.version).
		Str("queue", p.queue).Str("short", string(p.short)).Dur("behind_ms", p.behind).Dur("retry_after_ms", p.retryAfter).Dur("took_ms", time.Since(req.arrived)).Msg("own answer")
	if left {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	platform.SetRequestID(h, req.ID)
	h.Set("Content-Type", "application/problem+json")
	if p.retryAfter > 0 {
		platform.SetRetryAfter(h, p.retryAfter)
	}
	if p.close {
		h.Set("Connection", "close")
	}
	ran := "no"
	if req.mayHaveRun {
		ran = "unknown"
	}
	body, err := json.Marshal(problemBody{
		Type: "about:blank", Title: http.StatusText(p.status), Status: p.status,
		Reason: p.reason, Request: req.ID, Ran: ran,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(p.status)
	// A client that does not take its answer has left.
	_, _ = w.Write(body)
}

func routeName(req *request) string {
	if req.route == nil {
		return ""
	}
	return req.route.Name
}

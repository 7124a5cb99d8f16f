package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/quarantine/part"
)

// problem is an error answer that the gateway itself gives.
type problem struct {
	status int
	// reason is a stable word for logs and clients.
	reason string
	// retryAfter is set if the request has not run and may be sent again.
	retryAfter time.Duration
	// queue is the service whose queue refused the request, shortOf the resource that it
	// lacked, and lateness how much too late the request would have been.
	queue    string
	shortOf  dispatch.Resource
	lateness time.Duration
	// overShare is true if the client account has more than its share of that service.
	overShare bool
	// blamed are the parts of the prompt for which the request is refused.
	blamed []part.ID
	// close is true if the client's connection is to be closed after the answer.
	close bool
	// readInterrupted is true if the gateway itself interrupted reading from the client,
	// which net/http reports like a client that has left.
	readInterrupted bool
}

// Reasons of requests that ended before their answer came, by who ended them.
const (
	reasonClientLeft = "client_left"
	// reasonClientDeadline and reasonRouteTimeout say which of the two limits was
	// shorter.
	reasonClientDeadline = "client_deadline"
	reasonRouteTimeout   = "route_timeout"
)

// endReason returns the reason of a request that got no answer: what ended it, or
// fallback if nothing did.
func (req *request) endReason(fallback string) string {
	switch {
	case cancelledByShutdown(req.ctx):
		return reasonStopping
	case req.clientLeft():
		return reasonClientLeft
	case !req.expired():
		return fallback
	case req.routeTimeoutIsShorter():
		return reasonRouteTimeout
	}
	return reasonClientDeadline
}

// unavailable returns a problem for a request that has not run and may be sent again
// after retryAfter.
func unavailable(reason string, retryAfter time.Duration) *problem {
	return &problem{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// giveUp returns the problem for a request that is given up. It says that the
// request has not run only if no endpoint can have run it.
func giveUp(req *request, reason string, retryAfter time.Duration) *problem {
	switch {
	case !req.mayHaveRun:
		return unavailable(reason, retryAfter)
	case req.expired():
		return &problem{status: http.StatusGatewayTimeout, reason: reason}
	}
	return &problem{status: http.StatusBadGateway, reason: reason}
}

// problemBody is the body of a problem; it follows RFC 9457.
type problemBody struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Reason is a stable word that support can search for.
	Reason  string `json:"reason"`
	Request string `json:"request,omitempty"`
	// Ran is "no" if the request has not run and never will, else "unknown".
	Ran string `json:"ran"`
}

// refuse logs a problem and writes it to the client, or aborts the connection if the
// client has left.
func (g *Gateway) refuse(w http.ResponseWriter, req *request, p *problem) {
	clientLeft := req.clientLeft() && !p.readInterrupted
	g.cfg.Metrics.countAnswer(req, p.reason)
	if p.overShare {
		g.cfg.Metrics.countHeld(p.queue, req.accountName())
	}
	line := req.about(g.cfg.Log.Info().Str("event", logAnswered)).Bool("over_share", p.overShare)
	if p.reason == reasonCrashes || p.reason == reasonAwaitsVerdict {
		line.Stringer("content", req.subject.Content).Strs("parts", part.Texts(req.subject.Parts)).Strs("blamed", part.Texts(p.blamed))
	}
	line.Int("status", p.status).Str("reason", p.reason).Str("access", string(req.access)).Bool("offered", req.sent).
		Bool("may_have_run", req.mayHaveRun).Bool("client_left", clientLeft).Uint64("config", req.configVersion).
		Str("queue", p.queue).Str("short", string(p.shortOf)).Dur("behind_ms", p.lateness).Dur("retry_after_ms", p.retryAfter).Dur("took_ms", time.Since(req.arrived)).Msg("request answered by the gateway itself")
	if clientLeft {
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
	// A write fails only if the client has left.
	_, _ = w.Write(body)
}

// routeName returns the name of the request's route, or "" if it has none.
func routeName(req *request) string {
	if req.route == nil {
		return ""
	}
	return req.route.Name
}

package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/mangostage/mangostage/internal/clientconn"
)

// defaultMaxBody limits bodies, in bytes, if the configuration does not.
const defaultMaxBody = 4 << 20

// reasonNoRoom is the reason of requests for whose body there is no memory.
const reasonNoRoom = "no_room"

// readBody reads the whole body, so that it can be sent more than once.
func (g *Gateway) readBody(w http.ResponseWriter, req *request) *problem {
	limit := g.cfg.View().Index.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if req.http.ContentLength > limit {
		return bodyTooLarge()
	}
	clientconn.SetAccount(req.http.Context(), req.accountName())
	stop := interruptRead(w, req)
	body, err := readPayload(http.MaxBytesReader(w, req.http.Body, limit), req.http.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, clientconn.ErrNoRoom):
		stop()
		return noRoom()
	case !stop() && (cancelledByShutdown(req.ctx) || req.expired()):
		return lateBodyProblem(req)
	case errors.As(err, &tooLarge):
		return bodyTooLarge()
	case err != nil:
		// The client closed the connection or its chunks are malformed.
		return &problem{status: http.StatusBadRequest, reason: "body_unreadable", close: true}
	}
	req.body, req.readAt = body, time.Now()
	return nil
}

// bodyTooLarge returns the problem for a body over the limit, of which the rest is not read.
func bodyTooLarge() *problem {
	return &problem{status: http.StatusRequestEntityTooLarge, reason: "body_too_large", close: true}
}

// noRoom returns the problem for a body for which there is no memory, of which the rest is not
// read.
func noRoom() *problem {
	p := unavailable(reasonNoRoom, clientconn.RetryAfter)
	p.close, p.readInterrupted = true, true
	return p
}

// interruptRead interrupts reading the body when the request's context ends. A
// blocked read does not observe the context: without this, a half-sent request would
// hold up a shutdown, and its client would get no answer. stop ends the watch and
// reports whether the context had not ended before.
func interruptRead(w http.ResponseWriter, req *request) (stop func() bool) {
	return context.AfterFunc(req.ctx, func() {
		// If w does not support read deadlines, the read ends with the connection.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	})
}

// lateBodyProblem returns the problem for a request whose body was not complete
// before its deadline or the end of a shutdown.
func lateBodyProblem(req *request) *problem {
	p := unavailable("body_late", otherGatewayRetryAfter)
	if cancelledByShutdown(req.ctx) {
		p.reason = reasonStopping
	}
	p.close, p.readInterrupted = true, true
	return p
}

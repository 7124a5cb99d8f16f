package gateway

import "time"

// shutdownBound says by what a request is expected to end before a shutdown does.
type shutdownBound string

const (
	// boundDeadline means that its client's deadline ends it, boundTimeout its route's
	// timeout, and boundEstimate that the latest requests of its route took less time.
	boundDeadline shutdownBound = "deadline"
	boundTimeout  shutdownBound = "route_timeout"
	boundEstimate shutdownBound = "estimate"
)

// shutdownBound returns by what the request is expected to end before the shutdown does.
func (req *request) shutdownBound(s *shutdown) shutdownBound {
	switch {
	case req.deadline.After(s.deadline):
		return boundEstimate
	case req.routeTimeoutIsShorter():
		return boundTimeout
	}
	return boundDeadline
}

// estimateDuration returns upper estimates of a request's whole duration and of the
// part after the choice of its engine. Neither exceeds the request's remaining time,
// which is also the estimate for a route without samples.
func (g *Gateway) estimateDuration(req *request) (whole, engine time.Duration) {
	whole, engine, ok := g.durationEstimator.estimateDuration(req.route.Name, req.TokensOut)
	if !ok {
		return req.remaining(), req.remaining()
	}
	if g.shutdown.outOfRotation.Load() {
		whole *= outOfRotationMargin
		engine *= outOfRotationMargin
	}
	return min(whole, req.remaining()), min(engine, req.remaining())
}

// admitDuringShutdown refuses a request that is not expected to end before the
// shutdown does. earlier is the number of requests that came before on the same
// connection: a kept connection bypasses the load balancer's choice.
func (g *Gateway) admitDuringShutdown(req *request, earlier int64) *problem {
	left, stopping := g.shutdown.remaining(req.arrived)
	if !stopping {
		return nil
	}
	estimate, _ := g.estimateDuration(req)
	admitted := estimate <= left
	req.about(g.cfg.Log.Info().Str("event", logArrivedDuringShutdown)).
		Dur("stopping_ms", req.arrived.Sub(g.shutdown.startedAt)).Int64("earlier_on_connection", earlier).
		Dur("need_ms", estimate).Dur("left_ms", left).Str("bound", string(req.shutdownBound(g.shutdown))).
		Dur("deadline_ms", req.deadline.Sub(req.arrived)).Bool("taken", admitted).Msg("request arrived during shutdown")
	if admitted {
		return nil
	}
	return unavailable(reasonStopping, g.shutdownRetryAfter(left))
}

// finishesBeforeShutdown reports whether a send that begins now is expected to end
// before the shutdown does, and the time left until then. It is checked before each
// send because a slow body or a failed send may have used up the time that was left
// on arrival.
func (g *Gateway) finishesBeforeShutdown(req *request) (left time.Duration, ok bool) {
	left, stopping := g.shutdown.remaining(time.Now())
	if !stopping {
		return 0, true
	}
	_, estimate := g.estimateDuration(req)
	return left, estimate <= left
}

// refuseIfCutByShutdown gives up a request whose next send the shutdown would cut.
func (g *Gateway) refuseIfCutByShutdown(req *request) *problem {
	if left, ok := g.finishesBeforeShutdown(req); !ok {
		return giveUp(req, reasonStopping, g.shutdownRetryAfter(left))
	}
	return nil
}

// shutdownRetryAfter returns the Retry-After of a request that the shutdown refuses;
// left is the time until the shutdown ends.
func (g *Gateway) shutdownRetryAfter(left time.Duration) time.Duration {
	if g.cfg.OthersAvailable() {
		return otherGatewayRetryAfter
	}
	return max(0, left) + restartTime
}

package gateway

import "time"

const (
	// estimatePeriod is the time from the start of a shutdown in which an estimate may admit
	// a request that no bound ends in time, if most other gateways stop too: until the load
	// balancer has noticed, its client may find no other one. The platform allows 3 s; a signal
	// may be handled late.
	estimatePeriod = 2500 * time.Millisecond
	// outOfRotationMargin multiplies the estimated duration of requests that arrive
	// after the load balancer has taken the process out of rotation. While load moves to
	// fewer gateways, a stream may last up to three times as long as estimated.
	outOfRotationMargin = 3
)

// shutdownBound says by what a request is expected to end before a shutdown does.
type shutdownBound string

const (
	// boundDeadline means that its client's deadline ends it, boundTimeout its route's
	// timeout, boundEstimate that the latest requests of its route took less time, and
	// boundNone that there is no bound and an estimate does not count any more.
	boundDeadline shutdownBound = "deadline"
	boundTimeout  shutdownBound = "route_timeout"
	boundEstimate shutdownBound = "estimate"
	boundNone     shutdownBound = "none"
)

// shutdownNeed is how much of the time that is left until a shutdown's deadline a request
// needs, and by what bound.
type shutdownNeed struct {
	// whole is the need of a request that has just arrived, engine that of one whose engine
	// has been chosen. Both are 0 for a request that its own deadline ends in time.
	whole, engine time.Duration
	bound         shutdownBound
}

// shutdownNeed returns what the request needs of a shutdown that has begun.
//
// The failure that it guards against: the latest requests of a route were short, and the
// next one lasts longer than any multiple of them. Only the request's own deadline is
// certain to end it, so that alone counts for requests that come while another gateway stays,
// and for those that are read late.
func (g *Gateway) shutdownNeed(req *request) shutdownNeed {
	s := g.shutdown
	switch {
	case req.deadline.After(s.deadline) && g.needsBound(req):
		return shutdownNeed{whole: req.remaining(), engine: req.remaining(), bound: boundNone}
	case req.deadline.After(s.deadline):
		whole, engine := g.estimateDuration(req)
		return shutdownNeed{whole: whole, engine: engine, bound: boundEstimate}
	case req.routeTimeoutIsShorter():
		return shutdownNeed{bound: boundTimeout}
	}
	return shutdownNeed{bound: boundDeadline}
}

// needsBound reports whether only a known bound may admit the request: it came during the
// shutdown, and its client finds another gateway, or should have found one by then.
func (g *Gateway) needsBound(req *request) bool {
	late := req.readAt.Sub(g.shutdown.startedAt)
	return late >= estimatePeriod || late > 0 && g.cfg.OthersStay()
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
	need := g.shutdownNeed(req)
	admitted := need.whole <= left
	g.cfg.Metrics.countShutdownAdmission(need.bound, admitted)
	req.about(g.cfg.Log.Info().Str("event", logArrivedDuringShutdown)).
		Dur("stopping_ms", req.arrived.Sub(g.shutdown.startedAt)).Int64("earlier_on_connection", earlier).
		Dur("need_ms", need.whole).Dur("left_ms", left).Str("bound", string(need.bound)).
		Dur("deadline_ms", req.deadline.Sub(req.arrived)).Bool("taken", admitted).Msg("request arrived during shutdown")
	if admitted {
		return nil
	}
	return unavailable(reasonStopping, g.shutdownRetryAfter(left))
}

// finishesBeforeShutdown reports whether a send that begins now is expected to end
// before the shutdown does. It is checked before each send because a slow body or a
// failed send may have used up the time that was left on arrival.
func (g *Gateway) finishesBeforeShutdown(req *request) bool {
	left, stopping := g.shutdown.remaining(time.Now())
	return !stopping || g.shutdownNeed(req).engine <= left
}

// refuseIfCutByShutdown gives up a request whose next send the shutdown would cut.
func (g *Gateway) refuseIfCutByShutdown(req *request) *problem {
	if g.finishesBeforeShutdown(req) {
		return nil
	}
	left, _ := g.shutdown.remaining(time.Now())
	need := g.shutdownNeed(req)
	req.about(g.cfg.Log.Info().Str("event", logNotSentDuringShutdown)).
		Dur("stopping_ms", time.Since(g.shutdown.startedAt)).Dur("read_ms", req.readAt.Sub(req.arrived)).
		Dur("need_ms", need.engine).Dur("left_ms", left).Str("bound", string(need.bound)).Msg("request not sent during shutdown")
	return giveUp(req, reasonStopping, g.shutdownRetryAfter(left))
}

// shutdownRetryAfter returns the Retry-After of a request that the shutdown refuses;
// left is the time until the shutdown ends.
func (g *Gateway) shutdownRetryAfter(left time.Duration) time.Duration {
	if g.cfg.OthersAvailable() {
		return otherGatewayRetryAfter
	}
	return max(0, left) + restartTime
}

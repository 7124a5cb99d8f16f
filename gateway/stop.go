package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// reasonStopping is the reason of requests that a planned stop refuses or ends.
	reasonStopping = "stopping"
	// unreadyAnswers is how many answers other than 200 in a row take a process
	// out of the balancer's rotation.
	unreadyAnswers = 2
	// elsewhereRetry is when a client may come back that finds another gateway:
	// at once, but not in step with all others.
	elsewhereRetry = 50 * time.Millisecond
	// lateMargin multiplies the need of what comes when the balancer no longer
	// sends clients here. Of 1,143 streams that stopping gateways took by the
	// estimate alone, 99 lasted longer than estimated, 11 twice and one three
	// times as long: load moves to fewer gateways, and 13 were cut. Before that
	// time the estimate alone decides: a client that the balancer sends has no
	// better place to go to, and refusing it costs more than one stream in a hundred.
	lateMargin = 3
	// restartTime is what a stopped process takes to be back, started anew and
	// with a view: 0.6 to 0.9 s on the users' VMs.
	restartTime = time.Second
)

// errStopping is the cause with which a planned stop ends a request.
var errStopping = errs.NewType("stopping").New("the process stops")

// planned is a planned stop of the process. All requests have an end by its
// end: they are answered, or told that they are given up.
//
// The failure that it guards against: a client uses an old connection again
// seconds after SIGTERM; its stream outlasts the grace and is cut with the
// process, in the middle, without an answer and without a log line. A request
// is therefore taken, and its engine called, only while what is left of the
// grace suffices for the longest of the latest requests of its route.
type planned struct {
	// begun ends when the stop begins; at and end are set before.
	begun context.Context
	begin context.CancelFunc
	at    time.Time
	end   time.Time

	// outOfRotation is set once the balancer sends no more clients here.
	outOfRotation atomic.Bool

	mu      sync.Mutex
	unready int
	// noticed is closed when the balancer has taken the process out of rotation.
	noticed chan struct{}
}

func newPlanned() *planned {
	begun, begin := context.WithCancel(context.Background())
	return &planned{begun: begun, begin: begin, noticed: make(chan struct{})}
}

// leave begins the stop; all requests end by end.
func (p *planned) leave(now, end time.Time) {
	p.at, p.end = now, end
	p.begin()
}

// stopping tells whether the stop has begun.
func (p *planned) stopping() bool { return p.begun.Err() != nil }

// left is the time until the end of the stop; ok is false before its begin.
func (p *planned) left(now time.Time) (left time.Duration, ok bool) {
	if !p.stopping() {
		return 0, false
	}
	return p.end.Sub(now), true
}

// answeredUnready counts the balancer's questions that were answered with no.
func (p *planned) answeredUnready() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unready++
	if p.unready == unreadyAnswers {
		close(p.noticed)
	}
}

// until returns a context that ends with errStopping as its cause once the
// stop has begun and leaves less than need.
func (p *planned) until(parent context.Context, need time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	unhook := context.AfterFunc(p.begun, func() {
		timer := time.AfterFunc(time.Until(p.end.Add(-need)), func() { cancel(errStopping) })
		context.AfterFunc(ctx, func() { timer.Stop() })
	})
	return ctx, func() {
		unhook()
		cancel(context.Canceled)
	}
}

// endedByStop tells whether the planned stop ended the context.
func endedByStop(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }

// Leave makes the process unready, lets clients open new connections elsewhere
// and takes only what ends before end, by which all requests have an answer.
func (g *Gateway) Leave(end time.Time) { g.planned.leave(time.Now(), end) }

// Noticed is closed when the balancer has been told often enough that the
// process is not ready to send new connections elsewhere.
func (g *Gateway) Noticed() <-chan struct{} { return g.planned.noticed }

// OutOfRotation notes that no client is sent here any more by the balancer's
// own choice: what still comes uses an old connection, or finds no gateway that
// stays, and is taken only if it will surely end in time.
func (g *Gateway) OutOfRotation() { g.planned.outOfRotation.Store(true) }

// InFlight is the number of requests that have no whole answer yet.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Ready answers the balancer's question whether to send new connections here.
func (g *Gateway) Ready(w http.ResponseWriter, _ *http.Request) {
	stopping := g.planned.stopping()
	if stopping || !g.cfg.View().Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	} else {
		w.WriteHeader(http.StatusOK)
	}
	if stopping {
		g.planned.answeredUnready()
	}
}

// need is how long the request will last at most, and the part of it after the
// choice of its engine. A request of a route that none was served of yet may
// use all of its time.
func (g *Gateway) need(req *request) (whole, engine time.Duration) {
	whole, engine, ok := g.paces.need(req.route.Name, req.TokensOut)
	if !ok {
		return req.left(), req.left()
	}
	if g.planned.outOfRotation.Load() {
		whole *= lateMargin
		engine *= lateMargin
	}
	return min(whole, req.left()), min(engine, req.left())
}

// takeWhileStopping refuses what a stopping process cannot end in time. earlier
// is the number of requests that came before on the connection: one that was
// kept open leads past the balancer.
func (g *Gateway) takeWhileStopping(req *request, earlier int64) *problem {
	left, stopping := g.planned.left(req.arrived)
	if !stopping {
		return nil
	}
	need, _ := g.need(req)
	taken := need <= left
	g.cfg.Log.Info().Str("event", logTakenLate).Str("request", req.ID).Str("route", routeName(req)).
		Dur("stopping_ms", req.arrived.Sub(g.planned.at)).Int64("earlier_on_connection", earlier).
		Dur("need_ms", need).Dur("left_ms", left).Bool("taken", taken).Msg("request came while stopping")
	if taken {
		return nil
	}
	return unavailable(reasonStopping, g.elsewhere(left))
}

// fits tells whether a send that begins now will end before the stop does; left
// is the time until then. A body that comes slowly, or a send that has failed,
// may have used up what was left when the request came.
func (g *Gateway) fits(req *request) (left time.Duration, ok bool) {
	left, stopping := g.planned.left(time.Now())
	if !stopping {
		return 0, true
	}
	_, need := g.need(req)
	return left, need <= left
}

// refuseUnfit ends a request whose next send would be cut by the stop.
func (g *Gateway) refuseUnfit(req *request) *problem {
	if left, ok := g.fits(req); !ok {
		return ended(req, reasonStopping, g.elsewhere(left))
	}
	return nil
}

// elsewhere is when a client may come back whose request the stop refuses.
func (g *Gateway) elsewhere(left time.Duration) time.Duration {
	if g.cfg.OthersStay() {
		return elsewhereRetry
	}
	return max(0, left) + restartTime
}

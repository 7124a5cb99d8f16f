package daemon

import (
	"context"
	"time"

	"github.com/mangostage/mangostage/internal/sleep"
)

const (
	// maxBalancerWait is the longest time that a stopping gateway waits until the
	// balancer sends it no new connections: the balancer checks readiness once a
	// second and acts on the second failed check.
	maxBalancerWait = 2500 * time.Millisecond
	// inTransitWait is the time for connections to arrive that the balancer passed
	// on before it noticed: many times the network delay from the clients.
	inTransitWait = 100 * time.Millisecond
	// exitReserve is the part of the grace that is kept for the exit of the process;
	// finalAnswerTime is the part of exitReserve for the answers to requests that
	// are given up.
	exitReserve     = 700 * time.Millisecond
	finalAnswerTime = 200 * time.Millisecond
	// exitReserveDivisor limits the reserve of a short grace to grace/exitReserveDivisor.
	exitReserveDivisor = 6
	// idleCloseInterval is the interval at which a stopping gateway closes idle
	// connections, idleCloseAfter how long they must have been idle. That is the time
	// that a new connection has to send its request: many times the network delay from
	// the clients.
	idleCloseInterval = 20 * time.Millisecond
	idleCloseAfter    = 50 * time.Millisecond
	// drainPollInterval is how often a stopping gateway checks whether it has drained.
	drainPollInterval = 10 * time.Millisecond
)

// Stop drains the gateway: it makes the process unready and serves until the
// balancer has noticed and all requests in flight have ended, within the
// platform's grace.
//
// The gateway keeps listening until the end: if most gateways of a failure domain
// stop at once, the balancer still sends clients to them, and a request short
// enough to finish in time is better served than refused for want of a listener.
func (g *Gateway) Stop(ctx context.Context) error {
	began := time.Now()
	g.log.Info().Str("event", logDraining).Msg("stopping")
	end, last := stopTimes(ctx, began, g.currentGrace())
	g.gateway.BeginShutdown(end)
	g.fleet.Leave()
	g.scheduler.Withdraw()
	ctx, cancel := context.WithDeadline(ctx, last)
	defer cancel()
	g.awaitBalancer(ctx)
	g.gateway.OutOfRotation()
	// Idle connections are closed now, so that their clients send the next request
	// to a gateway that is not stopping.
	g.frontend.conns.CloseIdle(0)
	stopClosing := g.keepClosingIdle(ctx)
	g.awaitDrained(ctx)
	err := g.frontend.Shutdown(ctx)
	stopClosing()
	cut := g.gateway.InFlight()
	for _, server := range g.auxServers {
		_ = server.Close()
	}
	g.stop()
	// Peers that do not answer must not delay the exit of the process.
	go g.fleet.Close()
	g.log.Info().Str("event", logStopped).Dur("took_ms", time.Since(began)).Int64("cut", cut).Err(err).Msg("stopped")
	g.sink.Close(exitReserve / 2)
	return nil
}

// stopTimes returns the time end by which all requests must have ended, and the
// time last by which their final answers must have been written. If ctx's deadline
// is earlier than the end of the grace, it takes the place of the grace. Most of a
// short grace is left to the requests.
func stopTimes(ctx context.Context, began time.Time, grace time.Duration) (end, last time.Time) {
	if limit, ok := ctx.Deadline(); ok {
		grace = min(grace, limit.Sub(began))
	}
	reserve := min(exitReserve, grace/exitReserveDivisor)
	end = began.Add(grace - reserve)
	return end, end.Add(reserve * finalAnswerTime / exitReserve)
}

// awaitBalancer waits until the balancer sends new connections elsewhere, at most
// maxBalancerWait.
func (g *Gateway) awaitBalancer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxBalancerWait)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-g.gateway.UnreadyObserved():
		sleep.For(ctx, inTransitWait)
	}
}

// awaitDrained waits until no request is in flight, and until no stage runs that
// this process has started as the owner of the queue: requests of other gateways
// wait for those stages and would have to start again.
func (g *Gateway) awaitDrained(ctx context.Context) {
	for (g.gateway.InFlight() > 0 || g.scheduler.HasUnfinishedStages()) && ctx.Err() == nil {
		sleep.For(ctx, drainPollInterval)
	}
}

// keepClosingIdle closes the connections that become idle until stop is called. The head of
// an answer that began before SIGTERM does not say that its connection is closed after it:
// its client would send the next request here, late in the shutdown. Connections that carry
// no request are closed too: the server itself would wait 5 s for them.
func (g *Gateway) keepClosingIdle(ctx context.Context) (stop func()) {
	ctx, stop = context.WithCancel(ctx)
	go func() {
		for ctx.Err() == nil {
			sleep.For(ctx, idleCloseInterval)
			g.frontend.conns.CloseIdle(idleCloseAfter)
		}
	}()
	return stop
}

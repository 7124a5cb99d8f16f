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
	// reasonStopping is the reason of requests that a shutdown refuses or ends.
	reasonStopping = "stopping"
	// unreadyThreshold is the number of consecutive readiness probes answered with other
	// than 200 after which the load balancer takes a process out of rotation.
	unreadyThreshold = 2
	// otherGatewayRetryAfter is the Retry-After of a client that can reach another
	// gateway: almost at once, but not in step with all other clients.
	otherGatewayRetryAfter = 50 * time.Millisecond
	// restartTime is the time from the end of a process to its successor being ready
	// with a view, rounded up.
	restartTime = time.Second
)

// errShutdown is the cancellation cause of requests that a shutdown ends.
var errShutdown = errs.NewType("stopping").New("the process is shutting down")

// shutdown is the graceful shutdown of the process. By its deadline every request has
// ended: it was answered, or its client was told that it is given up.
//
// The failure that it guards against: a client reuses a kept connection seconds after
// SIGTERM; its stream outlasts the grace period and is cut when the process ends,
// without an answer and without a log line. See shutdownNeed for which requests are
// admitted.
type shutdown struct {
	// started is cancelled when the shutdown begins; startedAt and deadline are set
	// before.
	started   context.Context
	start     context.CancelFunc
	startedAt time.Time
	deadline  time.Time

	// outOfRotation is true once the load balancer sends no more new connections here.
	outOfRotation atomic.Bool

	mu sync.Mutex
	// unreadyProbes counts the readiness probes that were answered with not ready.
	unreadyProbes int
	// unreadyObserved is closed when unreadyProbes reaches unreadyThreshold.
	unreadyObserved chan struct{}
}

func newShutdown() *shutdown {
	started, start := context.WithCancel(context.Background())
	return &shutdown{started: started, start: start, unreadyObserved: make(chan struct{})}
}

// begin starts the shutdown; all requests end by the deadline.
func (s *shutdown) begin(now, deadline time.Time) {
	s.startedAt, s.deadline = now, deadline
	s.start()
}

// stopping reports whether the shutdown has begun.
func (s *shutdown) stopping() bool { return s.started.Err() != nil }

// remaining returns the time until the shutdown's deadline; ok is false if it has not
// begun.
func (s *shutdown) remaining(now time.Time) (left time.Duration, ok bool) {
	if !s.stopping() {
		return 0, false
	}
	return s.deadline.Sub(now), true
}

// countUnreadyProbe counts a readiness probe that was answered with not ready.
func (s *shutdown) countUnreadyProbe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreadyProbes++
	if s.unreadyProbes == unreadyThreshold {
		close(s.unreadyObserved)
	}
}

// boundContext returns a context that is cancelled with the cause errShutdown once
// the shutdown has begun and less than need is left until its deadline; need is called
// when the shutdown has begun.
func (s *shutdown) boundContext(parent context.Context, need func() time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stopWatch := context.AfterFunc(s.started, func() {
		timer := time.AfterFunc(time.Until(s.deadline.Add(-need())), func() { cancel(errShutdown) })
		context.AfterFunc(ctx, func() { timer.Stop() })
	})
	return ctx, func() {
		stopWatch()
		cancel(context.Canceled)
	}
}

// cancelledByShutdown reports whether the shutdown ended the context.
func cancelledByShutdown(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errShutdown) }

// BeginShutdown begins the shutdown: the process becomes unready, asks clients to open new
// connections elsewhere, and admits only requests that are expected to end before
// end, by which every request has an answer.
func (g *Gateway) BeginShutdown(end time.Time) { g.shutdown.begin(time.Now(), end) }

// UnreadyObserved returns a channel that is closed when enough readiness probes have been
// answered with not ready for the load balancer to send new connections elsewhere.
func (g *Gateway) UnreadyObserved() <-chan struct{} { return g.shutdown.unreadyObserved }

// OutOfRotation records that the load balancer no longer chooses this process. A
// request that still arrives uses a kept connection or finds no gateway that stays.
func (g *Gateway) OutOfRotation() { g.shutdown.outOfRotation.Store(true) }

// InFlight returns the number of requests that have not been answered completely.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Ready serves the load balancer's readiness probe.
func (g *Gateway) Ready(w http.ResponseWriter, _ *http.Request) {
	stopping := g.shutdown.stopping()
	if stopping || !g.cfg.View().Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	} else {
		w.WriteHeader(http.StatusOK)
	}
	if stopping {
		g.shutdown.countUnreadyProbe()
	}
}

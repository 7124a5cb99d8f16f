package agent

import (
	"sync"
	"time"
)

const (
	// TickInterval is the interval at which Agent calls Core.Tick.
	TickInterval = 100 * time.Millisecond
	// PauseLimit is the longest gap between ticks that does not count as a
	// pause.
	PauseLimit = time.Second
	// refusalAfterPause is how long calls are refused after a pause was
	// detected. The ticker of a resumed process fires at once and again at its
	// next multiple, perhaps a millisecond later, so a single tick proves
	// nothing. The connections' readers need this time to hand over what they
	// had already read.
	refusalAfterPause = 2 * TickInterval
)

// pauseDetector detects that the process was paused, for example by SIGSTOP or
// a suspended VM, and has resumed.
//
// It guards against this failure: a paused process does not read its sockets.
// After it resumes, a call that waited there for seconds is read as if it had
// just arrived, and its relative budget starts anew. The same holds for calls
// that were read but not yet written to the endpoint. Their senders gave up on
// them long ago. Clocks do not stop with the process, so the first event after
// resuming is much later than the latest tick. From then on, no call that was
// received before the pause may be written to the endpoint.
type pauseDetector struct {
	mu       sync.Mutex
	lastTick time.Time
	// epoch counts pauses; a call of an earlier epoch must not start.
	epoch uint64
	// refuseUntil is the time from which a tick ends the refusals; zero if
	// calls are not refused.
	refuseUntil time.Time
}

// pauseStatus is the state of the pauseDetector at one event.
type pauseStatus struct {
	epoch uint64
	// refusing means that arriving calls are refused, because they may have
	// been sent before the process resumed.
	refusing bool
	// gap is the length of the pause at the one event that detects it, else
	// zero.
	gap time.Duration
}

// observe returns the status at an event, and starts a new epoch if it detects
// a pause.
func (g *pauseDetector) observe(now time.Time) pauseStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.observeLocked(now)
}

func (g *pauseDetector) observeLocked(now time.Time) pauseStatus {
	status := g.statusAt(now)
	if status.gap == 0 {
		return status
	}
	g.epoch++
	g.refuseUntil = now.Add(refusalAfterPause)
	g.lastTick = now
	return pauseStatus{epoch: g.epoch, refusing: true, gap: status.gap}
}

// check returns the status without changing it: the next event will detect the
// pause and handle it.
func (g *pauseDetector) check(now time.Time) pauseStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.statusAt(now)
}

func (g *pauseDetector) statusAt(now time.Time) pauseStatus {
	status := pauseStatus{epoch: g.epoch, refusing: !g.refuseUntil.IsZero()}
	if g.lastTick.IsZero() {
		return status
	}
	if gap := elapsed(g.lastTick, now); gap > PauseLimit {
		status.gap = gap
	}
	return status
}

// tick records that the process runs, and ends the refusals when they are due.
func (g *pauseDetector) tick(now time.Time) pauseStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	status := g.observeLocked(now)
	if now.After(g.lastTick) {
		g.lastTick = now
	}
	if status.gap == 0 && !g.refuseUntil.IsZero() && !now.Before(g.refuseUntil) {
		g.refuseUntil = time.Time{}
		status.refusing = false
	}
	return status
}

// elapsed returns the larger of the differences on the monotonic clock and on
// the wall clock. The monotonic clock of a suspended VM may stand still, while
// its wall clock is set forward on resuming. A wall clock that is merely
// corrected by more than PauseLimit causes some needless refusals.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

package agent

import (
	"sync"
	"time"
)

const (
	// TickInterval is how often the shell calls Core.Tick.
	TickInterval = 100 * time.Millisecond
	// PauseLimit is the longest gap between ticks of a process that was running.
	PauseLimit = time.Second
	// pauseSettle is how long calls are refused after a pause was noticed. The
	// ticker of a process that wakes fires at once and again at its next
	// multiple, perhaps a millisecond later, so a single tick proves nothing;
	// readers need this long to hand over what they had already read.
	pauseSettle = 2 * TickInterval
)

// pauseGuard notices that the process was stopped and has been woken.
//
// The failure: a stopped process does not read its sockets. On waking, a call
// that waited there for seconds is read as if it had just come, and its
// relative budget starts anew; so do calls that were read but not yet written
// to the endpoint. Their senders gave up on them long ago. Clocks do not stop
// with the process: the first event after waking is far later than the latest
// tick. From then on nothing of the time before the gap may be written.
type pauseGuard struct {
	mu       sync.Mutex
	lastTick time.Time
	// epoch counts pauses; a call of an older epoch must not start.
	epoch uint64
	// settled is the time from which a tick ends the refusals; zero if none.
	settled time.Time
}

// pauseView is the guard's word at one event.
type pauseView struct {
	epoch uint64
	// refusing: calls that arrive now are not trusted to be fresh.
	refusing bool
	// gap is not zero for the one event that noticed the pause.
	gap time.Duration
}

func (g *pauseGuard) observe(now time.Time) pauseView {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.observeLocked(now)
}

func (g *pauseGuard) observeLocked(now time.Time) pauseView {
	view := g.view(now)
	if view.gap == 0 {
		return view
	}
	g.epoch++
	g.settled = now.Add(pauseSettle)
	g.lastTick = now
	return pauseView{epoch: g.epoch, refusing: true, gap: view.gap}
}

// peek judges like observe and changes nothing: the next event will notice the
// pause and act on it.
func (g *pauseGuard) peek(now time.Time) pauseView {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view(now)
}

func (g *pauseGuard) view(now time.Time) pauseView {
	view := pauseView{epoch: g.epoch, refusing: !g.settled.IsZero()}
	if g.lastTick.IsZero() {
		return view
	}
	if gap := elapsed(g.lastTick, now); gap > PauseLimit {
		view.gap = gap
	}
	return view
}

// tick notes that the process runs.
func (g *pauseGuard) tick(now time.Time) pauseView {
	g.mu.Lock()
	defer g.mu.Unlock()
	view := g.observeLocked(now)
	if now.After(g.lastTick) {
		g.lastTick = now
	}
	if view.gap == 0 && !g.settled.IsZero() && !now.Before(g.settled) {
		g.settled = time.Time{}
		view.refusing = false
	}
	return view
}

// elapsed is the larger of the monotonic and the wall clock's difference. The
// monotonic clock of a suspended VM may stand still while its wall clock is
// set forward on waking. A wall clock that is merely corrected by more than
// PauseLimit costs some needless refusals.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

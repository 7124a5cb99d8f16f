package member

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// dialBound is a policy of how many dials may be under way.
type dialBound interface {
	free() bool
	started()
	finished(began, now time.Time, result dialResult)
}

// fixedBound is the naive counterpart of dialLimit.
type fixedBound struct{ most, underWay int }

func (f *fixedBound) free() bool                                { return f.underWay < f.most }
func (f *fixedBound) started()                                  { f.underWay++ }
func (f *fixedBound) finished(time.Time, time.Time, dialResult) { f.underWay-- }

type followingBound struct{ dialLimit }

func (f *followingBound) started() { f.underWay++ }
func (f *followingBound) finished(began, now time.Time, result dialResult) {
	f.underWay--
	f.ended(began, now, result)
}

// startUp is a fleet that starts on one machine: each dialler joins as many
// targets, and the machine divides its time evenly among all handshakes.
type startUp struct {
	diallers, targets int
	// work is the processor time of one handshake.
	work time.Duration
	// busy is how many other processes share the processor.
	busy int
}

type handshake struct {
	dialler int
	began   time.Time
	left    time.Duration
}

// play returns the number of connections at the end of d, in virtual time.
func (s startUp) play(d time.Duration, bound func() dialBound) (joined int, last time.Duration) {
	const step = 5 * time.Millisecond
	bounds := make([]dialBound, s.diallers)
	wanted := make([]int, s.diallers)
	for i := range bounds {
		bounds[i], wanted[i] = bound(), s.targets
	}
	var active []handshake
	start := time.UnixMilli(1_764_700_000_000)
	for now := start; now.Sub(start) < d; now = now.Add(step) {
		for i := range bounds {
			for wanted[i] > 0 && bounds[i].free() {
				wanted[i]--
				bounds[i].started()
				active = append(active, handshake{dialler: i, began: now, left: s.work})
			}
		}
		share := step / time.Duration(max(1, len(active)+s.busy))
		var still []handshake
		for _, h := range active {
			h.left -= share
			took := now.Sub(h.began)
			switch {
			case h.left <= 0:
				joined++
				last = now.Sub(start)
				bounds[h.dialler].finished(h.began, now, resultOf(true, took))
			case took >= helloGivenUp:
				wanted[h.dialler]++
				bounds[h.dialler].finished(h.began, now, resultOf(false, took))
			default:
				still = append(still, h)
			}
		}
		active = still
	}
	return joined, last
}

// helloGivenUp is when either side of a handshake gives it up.
const helloGivenUp = 2 * time.Second

// Guards against a fleet that starts beside load and never gets connected,
// since handshakes that are given up crowd out those that would finish.
func TestStartingFleetConverges(t *testing.T) {
	fleet := startUp{diallers: 20, targets: 140, work: 3 * time.Millisecond, busy: 10}
	naive, _ := fleet.play(time.Minute, func() dialBound { return &fixedBound{most: maxDials} })
	assert.Equal(t, naive, 0, "the play is too easy")
	joined, last := fleet.play(time.Minute, func() dialBound { return &followingBound{newDialLimit(maxDials)} })
	t.Logf("all joined after %v", last)
	assert.Equal(t, joined, 20*140)
}

// Guards against a quiet start that the limit makes slower.
func TestQuietStartIsNotHeldUp(t *testing.T) {
	fleet := startUp{diallers: 20, targets: 140, work: 200 * time.Microsecond}
	_, naive := fleet.play(time.Minute, func() dialBound { return &fixedBound{most: maxDials} })
	joined, last := fleet.play(time.Minute, func() dialBound { return &followingBound{newDialLimit(maxDials)} })
	t.Logf("all joined after %v, with a fixed bound after %v", last, naive)
	assert.Equal(t, joined, 20*140)
	assert.Assert(t, last <= naive+naive/4, "%v for %v", last, naive)
}

func TestDialLimit(t *testing.T) {
	began := time.UnixMilli(1_764_700_000_000)
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	l := newDialLimit(maxDials)
	for range 2 * maxDials {
		l.ended(began, at(1), dialJoined)
	}
	assert.Equal(t, int(l.limit), maxDials)
	l.ended(began, at(2000), dialCongested)
	l.ended(at(10), at(2100), dialCongested)
	assert.Equal(t, int(l.limit), maxDials/2, "dials of one congestion halve it once")
	l.ended(at(2200), at(2300), dialUnconnected)
	assert.Equal(t, int(l.limit), maxDials/2, "a VM that is gone says nothing of load")
	l.ended(at(2200), at(2300), dialJoined)
	assert.Equal(t, int(l.limit), maxDials/2, "it grows slowly from there")
	for i := range 20 {
		l.ended(at(3000+i*10), at(3001+i*10), dialCongested)
	}
	assert.Equal(t, int(l.limit), 1)
}

// Guards against places that are lost or given twice when dials are given up
// while they wait, by which a process dials no more, or too many at once.
func TestDialGateCountsPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newDialGate(3)
		var cancels []context.CancelFunc
		var waits []chan bool
		inside := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if inside > 0 && rapid.Bool().Draw(t, "leave") {
				inside--
				g.leave()
				continue
			}
			ctx, cancel := context.WithCancel(context.Background())
			entered := make(chan bool, 1)
			go func() { entered <- g.enter(ctx) }()
			cancels, waits = append(cancels, cancel), append(waits, entered)
			if rapid.Bool().Draw(t, "give up") {
				cancel()
			}
			for len(waits) > 0 {
				select {
				case ok := <-waits[0]:
					waits = waits[1:]
					if ok {
						inside++
					}
					continue
				case <-time.After(time.Millisecond):
				}
				break
			}
			assert.Assert(t, inside <= 3)
		}
		for _, cancel := range cancels {
			cancel()
		}
		for _, entered := range waits {
			if <-entered {
				inside++
			}
		}
		for range inside {
			g.leave()
		}
		assert.Equal(t, g.limit.underWay, 0)
		assert.Equal(t, len(g.queue), 0)
	})
}

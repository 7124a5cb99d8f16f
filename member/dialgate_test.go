package member

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// dialBound is a policy of how many dials may be under way.
type dialPolicy interface {
	hasCapacity() bool
	begin()
	end(began, now time.Time, result dialResult)
}

// fixedBound is the naive counterpart of dialLimit.
type fixedLimit struct{ limit, inFlight int }

func (f *fixedLimit) hasCapacity() bool                    { return f.inFlight < f.limit }
func (f *fixedLimit) begin()                               { f.inFlight++ }
func (f *fixedLimit) end(time.Time, time.Time, dialResult) { f.inFlight-- }

type adaptiveLimit struct{ dialLimit }

func (f *adaptiveLimit) begin() { f.inFlight++ }
func (f *adaptiveLimit) end(began, now time.Time, result dialResult) {
	f.inFlight--
	f.record(began, now, result)
}

// startUp is a fleet that starts on one machine: each dialler joins as many
// targets, and the machine divides its time evenly among all handshakes.
type startSimulation struct {
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
func (s startSimulation) run(d time.Duration, newPolicy func() dialPolicy) (joined int, last time.Duration) {
	const step = 5 * time.Millisecond
	policies := make([]dialPolicy, s.diallers)
	wanted := make([]int, s.diallers)
	for i := range policies {
		policies[i], wanted[i] = newPolicy(), s.targets
	}
	var active []handshake
	start := time.UnixMilli(1_764_700_000_000)
	for now := start; now.Sub(start) < d; now = now.Add(step) {
		for i := range policies {
			for wanted[i] > 0 && policies[i].hasCapacity() {
				wanted[i]--
				policies[i].begin()
				active = append(active, handshake{dialler: i, began: now, left: s.work})
			}
		}
		share := step / time.Duration(max(1, len(active)+s.busy))
		var unfinished []handshake
		for _, h := range active {
			h.left -= share
			took := now.Sub(h.began)
			switch {
			case h.left <= 0:
				joined++
				last = now.Sub(start)
				policies[h.dialler].end(h.began, now, classifyDial(true, took))
			case took >= handshakeTimeout:
				wanted[h.dialler]++
				policies[h.dialler].end(h.began, now, classifyDial(false, took))
			default:
				unfinished = append(unfinished, h)
			}
		}
		active = unfinished
	}
	return joined, last
}

// helloGivenUp is when either side of a handshake gives it up.
const handshakeTimeout = 2 * time.Second

// Guards against a fleet that starts beside load and never gets connected,
// since handshakes that are given up crowd out those that would finish.
func TestStartingFleetConverges(t *testing.T) {
	fleet := startSimulation{diallers: 20, targets: 140, work: 3 * time.Millisecond, busy: 10}
	naive, _ := fleet.run(time.Minute, func() dialPolicy { return &fixedLimit{limit: maxDials} })
	assert.Equal(t, naive, 0, "the play is too easy")
	joined, last := fleet.run(time.Minute, func() dialPolicy { return &adaptiveLimit{newDialLimit(maxDials)} })
	t.Logf("all joined after %v", last)
	assert.Equal(t, joined, 20*140)
}

// Guards against a quiet start that the limit makes slower.
func TestQuietStartIsNotHeldUp(t *testing.T) {
	fleet := startSimulation{diallers: 20, targets: 140, work: 200 * time.Microsecond}
	_, naive := fleet.run(time.Minute, func() dialPolicy { return &fixedLimit{limit: maxDials} })
	joined, last := fleet.run(time.Minute, func() dialPolicy { return &adaptiveLimit{newDialLimit(maxDials)} })
	t.Logf("all joined after %v, with a fixed bound after %v", last, naive)
	assert.Equal(t, joined, 20*140)
	assert.Assert(t, last <= naive+naive/4, "%v for %v", last, naive)
}

func TestDialLimit(t *testing.T) {
	began := time.UnixMilli(1_764_700_000_000)
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	l := newDialLimit(maxDials)
	for range 2 * maxDials {
		l.record(began, at(1), dialSucceeded)
	}
	assert.Equal(t, int(l.limit), maxDials)
	l.record(began, at(2000), dialCongested)
	l.record(at(10), at(2100), dialCongested)
	assert.Equal(t, int(l.limit), maxDials/2, "dials of one congestion halve it once")
	l.record(at(2200), at(2300), dialUnconnected)
	assert.Equal(t, int(l.limit), maxDials/2, "a VM that is gone says nothing of load")
	l.record(at(2200), at(2300), dialSucceeded)
	assert.Equal(t, int(l.limit), maxDials/2, "it grows slowly from there")
	for i := range 20 {
		l.record(at(3000+i*10), at(3001+i*10), dialCongested)
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
				g.release()
				continue
			}
			ctx, cancel := context.WithCancel(context.Background())
			entered := make(chan bool, 1)
			go func() { entered <- g.acquire(ctx) }()
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
			g.release()
		}
		assert.Equal(t, g.limit.inFlight, 0)
		assert.Equal(t, len(g.queue), 0)
	})
}

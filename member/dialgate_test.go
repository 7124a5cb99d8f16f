package member

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// dialPolicy limits the number of concurrent dials.
type dialPolicy interface {
	hasCapacity() bool
	begin()
	end(began, now time.Time, result dialResult)
}

// fixedLimit allows a fixed number of concurrent dials, for comparison with dialLimit.
type fixedLimit struct{ limit, inFlight int }

func (f *fixedLimit) hasCapacity() bool                    { return f.inFlight < f.limit }
func (f *fixedLimit) begin()                               { f.inFlight++ }
func (f *fixedLimit) end(time.Time, time.Time, dialResult) { f.inFlight-- }

// adaptiveLimit makes dialLimit a dialPolicy.
type adaptiveLimit struct{ dialLimit }

func (f *adaptiveLimit) begin() { f.inFlight++ }
func (f *adaptiveLimit) end(began, now time.Time, result dialResult) {
	f.inFlight--
	f.record(began, now, result)
}

// startSimulation simulates a fleet that starts on one machine. Each dialler
// connects to the given number of targets, and the machine divides its processor
// time evenly among all handshakes.
type startSimulation struct {
	diallers, targets int
	// handshakeWork is the processor time of one handshake.
	handshakeWork time.Duration
	// otherProcesses is how many other busy processes share the processor.
	otherProcesses int
}

type handshake struct {
	dialler int
	began   time.Time
	// remaining is the processor time that the handshake still needs.
	remaining time.Duration
}

// run simulates the fleet for d in virtual time. It returns the number of
// connections made and the time of the last one.
func (s startSimulation) run(d time.Duration, newPolicy func() dialPolicy) (connected int, last time.Duration) {
	const step = 5 * time.Millisecond
	policies := make([]dialPolicy, s.diallers)
	left := make([]int, s.diallers)
	for i := range policies {
		policies[i], left[i] = newPolicy(), s.targets
	}
	var active []handshake
	start := time.UnixMilli(1_764_700_000_000)
	for now := start; now.Sub(start) < d; now = now.Add(step) {
		for i := range policies {
			for left[i] > 0 && policies[i].hasCapacity() {
				left[i]--
				policies[i].begin()
				active = append(active, handshake{dialler: i, began: now, remaining: s.handshakeWork})
			}
		}
		share := step / time.Duration(max(1, len(active)+s.otherProcesses))
		var unfinished []handshake
		for _, h := range active {
			h.remaining -= share
			took := now.Sub(h.began)
			switch {
			case h.remaining <= 0:
				connected++
				last = now.Sub(start)
				policies[h.dialler].end(h.began, now, classifyDial(true, took))
			case took >= handshakeTimeout:
				left[h.dialler]++
				policies[h.dialler].end(h.began, now, classifyDial(false, took))
			default:
				unfinished = append(unfinished, h)
			}
		}
		active = unfinished
	}
	return connected, last
}

// handshakeTimeout is when either side of a handshake abandons it.
const handshakeTimeout = 2 * time.Second

// Guards against a fleet that never gets connected when it starts on a loaded
// machine, because handshakes that time out delay those that would finish.
func TestStartingFleetConverges(t *testing.T) {
	fleet := startSimulation{diallers: 20, targets: 140, handshakeWork: 3 * time.Millisecond, otherProcesses: 10}
	naive, _ := fleet.run(time.Minute, func() dialPolicy { return &fixedLimit{limit: maxDials} })
	assert.Equal(t, naive, 0, "the simulation has too little load: a fixed limit gets connections through")
	connected, last := fleet.run(time.Minute, func() dialPolicy { return &adaptiveLimit{newDialLimit(maxDials)} })
	t.Logf("all connected after %v", last)
	assert.Equal(t, connected, 20*140)
}

// Guards against a start on an unloaded machine that is slower because of the limit.
func TestUnloadedStartIsNotSlowed(t *testing.T) {
	fleet := startSimulation{diallers: 20, targets: 140, handshakeWork: 200 * time.Microsecond}
	_, naive := fleet.run(time.Minute, func() dialPolicy { return &fixedLimit{limit: maxDials} })
	connected, last := fleet.run(time.Minute, func() dialPolicy { return &adaptiveLimit{newDialLimit(maxDials)} })
	t.Logf("all connected after %v, with a fixed limit after %v", last, naive)
	assert.Equal(t, connected, 20*140)
	assert.Assert(t, last <= naive+naive/4, "connected after %v, with a fixed limit after %v", last, naive)
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
	assert.Equal(t, int(l.limit), maxDials/2, "the dials of one congestion halve the limit once")
	l.record(at(2200), at(2300), dialUnconnected)
	assert.Equal(t, int(l.limit), maxDials/2, "a dial of a VM that is gone does not change the limit")
	l.record(at(2200), at(2300), dialSucceeded)
	assert.Equal(t, int(l.limit), maxDials/2, "the limit grows linearly after it was halved")
	for i := range 20 {
		l.record(at(3000+i*10), at(3001+i*10), dialCongested)
	}
	assert.Equal(t, int(l.limit), 1)
}

// Guards against slots that are lost or given out twice when a waiting dial is
// cancelled. The process would stop dialling, or exceed its limit.
func TestDialGateCountsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newDialGate(3)
		var cancels []context.CancelFunc
		var results []chan bool
		held := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if held > 0 && rapid.Bool().Draw(t, "leave") {
				held--
				g.release()
				continue
			}
			ctx, cancel := context.WithCancel(context.Background())
			acquired := make(chan bool, 1)
			go func() { acquired <- g.acquire(ctx) }()
			cancels, results = append(cancels, cancel), append(results, acquired)
			if rapid.Bool().Draw(t, "give up") {
				cancel()
			}
			for len(results) > 0 {
				select {
				case ok := <-results[0]:
					results = results[1:]
					if ok {
						held++
					}
					continue
				case <-time.After(time.Millisecond):
				}
				break
			}
			assert.Assert(t, held <= 3)
		}
		for _, cancel := range cancels {
			cancel()
		}
		for _, acquired := range results {
			if <-acquired {
				held++
			}
		}
		for range held {
			g.release()
		}
		assert.Equal(t, g.limit.inFlight, 0)
		assert.Equal(t, len(g.queue), 0)
	})
}

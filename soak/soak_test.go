package soak

import (
	"context"
	"flag"
	"fmt"
	"sort"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/platform"
)

var (
	seeds = flag.Int("soak.seeds", 3, "number of seeds to run")
	first = flag.Uint64("soak.first", 1, "first seed")
	// length is that of the series of faults of one seed.
	length = flag.Duration("soak.length", 6*time.Second, "how long faults are injected")
	// gateways is the number of processes; some runs by hand have a hundred.
	gateways = flag.Int("soak.gateways", 3, "number of gateway processes")
	clean    = flag.Bool("soak.clean", false, "inject planned work only: stops, reloads, changes")
)

const (
	clients = 24
	// quiet is how long the rig runs on after the last fault, so that late
	// copies of requests arrive and processes catch up.
	quiet = 2 * time.Second
)

// kept are seeds that have failed before, with what was the cause.
var kept = []uint64{}

func TestSeeds(t *testing.T) {
	run := append([]uint64(nil), kept...)
	for i := range *seeds {
		run = append(run, *first+uint64(i))
	}
	for _, seed := range run {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soakOne(t, seed, *clean) })
	}
}

// Planned work alone, in overlapping series: stops one after the other,
// reloads, configurations, endpoints that leave. A user must not notice: each
// request has a whole answer. In the second series clients that stay with a
// stopping gateway have long streams that it may not take any more.
func TestPlannedWork(t *testing.T) {
	for _, seed := range []uint64{7, 700} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soakOne(t, seed, true) })
	}
}

func soakOne(t *testing.T, seed uint64, planned bool) {
	r := newRig(t, seed)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for n := range clients {
		running.Go(func() { r.client(ctx, n, seed) })
	}
	running.Go(func() { r.balance(ctx) })
	r.inject(planned)
	timer := time.NewTimer(quiet)
	defer timer.Stop()
	<-timer.C
	cancel()
	running.Wait()
	broken := r.book.settle()
	r.report(seed, len(broken))
	for _, b := range broken {
		t.Error(b)
	}
	if t.Failed() {
		for _, g := range r.gateways {
			t.Logf("log of %s:\n%s", g.name, g.Log())
		}
	}
}

// report prints what was served, so that a run that served nothing shows.
func (r *rig) report(seed uint64, broken int) {
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	var lines []string
	good := 0
	for k, n := range r.book.served {
		lines = append(lines, fmt.Sprintf("%s: %d", k, n))
		if k[len(k)-3:] == "200" {
			good += n
		}
	}
	sort.Strings(lines)
	r.t.Logf("seed %d: %d answered with 200, %d broken promises, %d endpoints back under their IDs; %v", seed, good, broken, r.book.restarts, lines)
	if good == 0 {
		r.t.Error("nothing was served")
	}
}

// balance probes all gateways as the users' balancer does.
func (r *rig) balance(ctx context.Context) {
	ticker := time.NewTicker(300 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, g := range r.gateways {
				if !g.probe() {
					g.mu.Lock()
					g.inRotation = false
					g.mu.Unlock()
				}
			}
		}
	}
}

// inject injects faults in overlapping series.
func (r *rig) inject(planned bool) {
	end := time.Now().Add(*length)
	var running sync.WaitGroup
	for time.Now().Before(end) {
		fault := r.pick(planned)
		running.Go(fault)
		wait(time.Duration(50+r.rng.IntN(400)) * time.Millisecond)
	}
	running.Wait()
}

// wait lets the time of a fault pass.
func wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}

// pick draws one fault. All random numbers are drawn here, in one goroutine,
// so that a seed gives the same series.
func (r *rig) pick(planned bool) func() {
	g := r.gateways[r.rng.IntN(len(r.gateways))]
	e := r.endpoints[r.rng.IntN(len(r.endpoints))]
	d := time.Duration(200+r.rng.IntN(1500)) * time.Millisecond
	f := foreign[r.rng.IntN(len(foreign))]
	work := []func(){
		r.publish,
		func() { r.hup(g) },
		func() { r.term(g) },
		func() { r.leave(e) },
		r.store.Compact,
		r.grow,
		func() { r.evacuate(e.domain, d, planned) },
	}
	if planned {
		return work[r.rng.IntN(len(work))]
	}
	faults := append(work,
		func() { r.freeze(g, d) },
		func() { r.kill(g) },
		func() { r.onLink(e.link, d, (*harness.Link).Cut) },
		func() { r.onLink(e.link, d, func(l *harness.Link) { l.Drop() }) },
		func() { r.onLink(e.link, d, func(l *harness.Link) { l.Drop(harness.Downstream) }) },
		func() { r.onLink(e.link, d, func(l *harness.Link) { l.Delay(150 * time.Millisecond) }) },
		func() { r.onLink(e.link, d, (*harness.Link).Reset) },
		func() { r.onLink(e.link, d, func(l *harness.Link) { l.LimitData(300, harness.Downstream) }) },
		func() { r.onLink(g.toStore, d, (*harness.Link).Cut) },
		func() { r.onLink(g.toStore, d, func(l *harness.Link) { l.Drop() }) },
		func() { r.refuse(e, d) },
		func() { r.spoil(e, f, d) },
		func() { r.crash(e, d, (*harness.Link).Cut, false) },
		func() { r.crash(e, d, func(l *harness.Link) { l.Drop() }, false) },
		func() { r.crash(e, d, (*harness.Link).Cut, true) },
		func() { r.onLink(g.toPeer, d, (*harness.Link).Cut) },
		func() { r.onLink(g.toPeer, d, func(l *harness.Link) { l.Drop() }) },
		func() { r.onLink(g.toPeer, d, func(l *harness.Link) { l.Drop(harness.Upstream) }) },
		func() { r.onLink(g.toPeer, d, func(l *harness.Link) { l.Delay(300 * time.Millisecond) }) },
		func() { r.onLink(g.toPeer, d, (*harness.Link).Reset) },
	)
	return faults[r.rng.IntN(len(faults))]
}

// onLink harms a link for a time.
func (r *rig) onLink(l *harness.Link, d time.Duration, harm func(*harness.Link)) {
	r.book.fault(d)
	harm(l)
	wait(d)
	l.Heal()
}

// refuse makes an endpoint refuse requests for a time.
func (r *rig) refuse(e *endpoint, d time.Duration) {
	set := func(on bool) {
		e.mu.Lock()
		e.reject = on
		e.mu.Unlock()
	}
	set(true)
	wait(d)
	set(false)
}

// crash ends the process of an endpoint, as its callers see by harm to its link,
// and starts the next under the same ID: within its lease, or after its entry
// has lapsed.
func (r *rig) crash(e *endpoint, d time.Duration, harm func(*harness.Link), lapses bool) {
	e.mu.Lock()
	if !e.leftAt.IsZero() || e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	id := e.id
	e.mu.Unlock()
	r.book.fault(d)
	harm(e.link)
	wait(d / 2)
	if lapses {
		r.store.Remove(platform.PrefixEndpoints + id)
	}
	wait(d / 2)
	e.mu.Lock()
	e.start()
	e.mu.Unlock()
	e.link.Heal()
	r.list(e, "ready")
	r.book.restarted()
}

// take marks a gateway as busy with a fault; false if it is already.
func (g *gateway) take() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down {
		return false
	}
	g.down = true
	return true
}

// back ends take; restarted begins another incarnation.
func (g *gateway) back(restarted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = false
	if restarted {
		g.life++
		g.version = 0
	}
}

func (r *rig) freeze(g *gateway, d time.Duration) {
	if !g.take() {
		return
	}
	r.book.fault(d)
	g.Stop()
	wait(d)
	g.Cont()
	g.back(false)
}

func (r *rig) kill(g *gateway) {
	if !g.take() {
		return
	}
	r.book.fault(time.Second)
	g.Kill()
	g.Restart()
	g.back(true)
}

func (r *rig) hup(g *gateway) {
	if !g.take() {
		return
	}
	g.Signal(syscall.SIGHUP)
	g.back(false)
}

// term stops a gateway as planned and starts it again. It is out of rotation
// before it takes no more connections, so its clients lose nothing.
func (r *rig) term(g *gateway) {
	if !g.take() {
		return
	}
	g.Term()
	if code := g.WaitExit(patience); code != 0 {
		r.book.breaks("%s ended with code %d", g.name, code)
	}
	g.Restart()
	g.back(true)
}

// leave takes an endpoint away as planned: it says so, serves on for a while,
// is removed, and starts again as another incarnation at the same address.
func (r *rig) leave(e *endpoint) {
	e.mu.Lock()
	if !e.leftAt.IsZero() || e.down {
		e.mu.Unlock()
		return
	}
	e.leftAt = time.Now()
	id := e.id
	e.mu.Unlock()
	r.list(e, "draining")
	wait(leaveBound + time.Second)
	r.store.Remove("servers/" + id)
	r.register(e)
}

package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/platform/standin"
)

const (
	// keptClients is the number of clients that use one connection until its process has
	// ended, on the route "rare": one of rareShare answers is far longer than all others.
	keptClients  = 6
	rareShare    = 12
	rareDuration = 4500 * time.Millisecond
	rareDeadline = 12 * time.Second
	// refusedWait is the wait of such a client after a refusal.
	refusedWait = 200 * time.Millisecond
	// excusedAfterTerm is the time after SIGTERM in which a gateway may take a request that
	// outlasts it.
	excusedAfterTerm = 3 * time.Second
	// failedRunShare is the share of runs that a failing endpoint fails, in percent.
	failedRunShare = 40
	// outOfStepTime is how long a gateway is out of step while versions join.
	outOfStepTime = 2500 * time.Millisecond
	// releaseStream selects the random numbers of the faults of this file, so that the other
	// faults of a seed stay.
	releaseStream = 68
)

// promisingStatuses are those with which an endpoint fails a run, and which a client takes for
// the promise that nothing has run.
var promisingStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// drawRelease draws when an endpoint of each kind fails runs, and when a gateway is out of step
// while endpoints of other versions take the place of theirs.
func (r *rig) drawRelease() []func() {
	draw := rand.New(rand.NewPCG(r.seed, releaseStream))
	length := float64(*faultDuration)
	at := func(from, to float64) time.Duration {
		return time.Duration((from + (to-from)*draw.Float64()) * length)
	}
	var faults []func()
	for _, service := range []string{"plain", "model"} {
		after, status := at(0, 0.6), promisingStatuses[draw.IntN(len(promisingStatuses))]
		faults = append(faults, func() {
			wait(after)
			r.failRuns(r.firstOf(service), status, *faultDuration/3)
		})
	}
	g, how, after := r.gateways[draw.IntN(len(r.gateways))], draw.IntN(3), at(0.1, 0.5)
	return append(faults, func() {
		wait(after)
		r.joinOutOfStep(g, how)
	})
}

// firstOf returns the first endpoint of a service.
func (r *rig) firstOf(service string) *endpoint {
	for _, e := range r.endpoints {
		if e.service == service {
			return e
		}
	}
	return nil
}

// failRuns lets an endpoint fail a part of its runs with a status for d.
func (r *rig) failRuns(e *endpoint, status int, d time.Duration) {
	e.failing.Store(int64(status))
	wait(d)
	e.failing.Store(0)
}

// failsRun fails a run as the endpoint is to; it reports whether it did.
func (e *endpoint) failsRun(w http.ResponseWriter, run standin.Run) bool {
	status := e.failing.Load()
	if status == 0 || xxhash.Sum64String(run.ID)%100 >= failedRunShare {
		return false
	}
	standin.Seal(w)
	w.WriteHeader(int(status))
	return true
}

// joinOutOfStep cuts a gateway off from the store, or from the others too, or lets it stand
// still, and has endpoints come back at other versions meanwhile.
func (r *rig) joinOutOfStep(g *gateway, how int) {
	if !g.acquire() {
		return
	}
	r.recorder.recordFault(outOfStepTime)
	links := []*harness.Link{g.toStore}
	if how == 1 {
		for _, other := range r.gateways {
			links = append(links, other.toPeer)
		}
	}
	if how == 2 {
		links = nil
		g.Stop()
	}
	for _, l := range links {
		l.Drop()
	}
	began := time.Now()
	var joining sync.WaitGroup
	for _, service := range []string{"versioned", "feed"} {
		joining.Go(func() {
			// Every second process of an endpoint has another version.
			for range 2 {
				r.crash(r.firstOf(service), 100*time.Millisecond, (*harness.Link).Cut, false)
			}
		})
	}
	joining.Wait()
	wait(time.Until(began.Add(outOfStepTime)))
	for _, l := range links {
		l.Heal()
	}
	if how == 2 {
		g.Cont()
	}
	g.release(false)
}

// answerRare answers a run on the route "rare", which says how long that takes.
func answerRare(w http.ResponseWriter, run standin.Run) {
	standin.Seal(w)
	d, _ := time.ParseDuration(string(run.Body))
	_, _ = io.WriteString(w, formatEvent(run.ID, 1))
	_ = http.NewResponseController(w).Flush()
	wait(d)
	_, _ = io.WriteString(w, formatEvent(run.ID, 2))
}

// runKeptClient sends requests on the route "rare" over one connection to a gateway until its
// process has ended, then to the next one, until ctx ends.
func (r *rig) runKeptClient(ctx context.Context, n int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(2000+n)))
	g := r.gateways[n%len(r.gateways)]
	transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		if !g.Running() {
			g = r.gateways[rng.IntN(len(r.gateways))]
			wait(20 * time.Millisecond)
			continue
		}
		d := time.Duration(rng.IntN(100)) * time.Millisecond
		if rng.IntN(rareShare) == 0 {
			d = rareDuration
		}
		r.sendRare(transport, g, "k"+strconv.FormatUint(seed, 10)+"-"+strconv.Itoa(n)+"-"+strconv.Itoa(i), d)
	}
}

// sendRare sends one request on the route "rare" and checks its answer.
func (r *rig) sendRare(transport http.RoundTripper, g *gateway, id string, d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), rareDeadline)
	defer cancel()
	body := d.String()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.frontend+"/rare/x", io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return
	}
	req.ContentLength = int64(len(body))
	setClientHeaders(req, id)
	req.Header.Set("Mangostage-Deadline-Ms", strconv.FormatInt(rareDeadline.Milliseconds(), 10))
	began := time.Now()
	late := g.stoppingFor(began) > excusedAfterTerm
	status, answer := 0, ""
	if resp, err := transport.RoundTrip(req); err == nil {
		data, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if readErr == nil {
			status, answer = resp.StatusCode, string(data)
		}
	}
	r.recorder.recordOutcome(id, "rare", status)
	if status != http.StatusOK {
		wait(refusedWait)
	}
	switch {
	case status == http.StatusOK && answer != formatEvent(id, 1)+formatEvent(id, 2):
		r.recorder.addViolation("%s on rare: got %q", id, answer)
	case status == 0 && late && r.recorder.faultFree(began, time.Now()):
		r.recorder.recordUnanswered(id)
	}
}

// stoppingFor returns for how long the gateway has been stopping as planned; 0 if it is not.
func (g *gateway) stoppingFor(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stoppedAt.IsZero() {
		return 0
	}
	return now.Sub(g.stoppedAt)
}

// setStopped records that a planned stop of the gateway begins at a time, or, if that is zero,
// that it has ended.
func (g *gateway) setStopped(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stoppedAt = at
}

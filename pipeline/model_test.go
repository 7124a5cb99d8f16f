package pipeline

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/retry"
	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/suspect"
	"github.com/mangostage/mangostage/wire"
)

const ms = time.Millisecond

var epoch = time.UnixMilli(1_764_700_000_000)

// simulation is a simple model of the environment of a Core: a clock, endpoints
// with their agents, connections that lose, delay and repeat messages, and
// callers. It records what actually ran, to check the core's replies against
// it.
type simulation struct {
	*rapid.T
	core        *Core
	now         time.Time
	queue       []scheduledEvent
	pausedUntil time.Time
	paused      bool

	bundle      *bundle.Bundle
	agents      map[string]*agentModel
	active      map[string]*submission
	submissions map[uint64]*submission
	runs        []*run
	costs       map[wire.CallID]time.Duration
	useful      time.Duration
	wasted      time.Duration
	finals      int
	endCounts   map[wire.CallID]int
	// picked is the incarnation last picked of each endpoint; calls holds the
	// evidence about each call made.
	picked   map[string]string
	calls    map[wire.CallID]*callEvidence
	suspects runCounter
}

type scheduledEvent struct {
	at  time.Time
	run func()
}

// submission is one Admit or Refuse as its caller sees it.
type submission struct {
	Admit
	index     int
	reply     *Reply
	replies   int
	repliedAt time.Time
	text      string
	chunks    int
}

type agentModel struct {
	name, incarnation string
	restarts          int
	rejected          map[wire.CallID]bool
	calls             map[wire.CallID]*run
	identities        map[string]*run
}

// run is one execution of a stage on an endpoint.
type run struct {
	call     wire.StageCall
	index    int
	earlier  bool
	queued   bool
	stopped  bool
	ended    bool
	done     bool
	started  time.Time
	cost     time.Duration
	output   string
	finished func(wire.StageResult)
}

type runCounter struct{ n int }

func (o *runCounter) Begin(string, time.Time) suspect.Verdict  { o.n++; return suspect.Verdict{} }
func (o *runCounter) Crashed(string, suspect.Crash, time.Time) { o.n-- }
func (o *runCounter) Succeeded(string, time.Time)              { o.n-- }
func (o *runCounter) Ended(string, time.Time)                  { o.n-- }

type fixedQuantile time.Duration

func (f fixedQuantile) Quantile(route.StageKey, float64, time.Time) route.Estimate {
	return route.Estimate{Value: time.Duration(f), Samples: 1}
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{T: t, now: epoch, agents: make(map[string]*agentModel), active: make(map[string]*submission),
		submissions: make(map[uint64]*submission), costs: make(map[wire.CallID]time.Duration),
		endCounts: make(map[wire.CallID]int), picked: make(map[string]string), calls: make(map[wire.CallID]*callEvidence)}
	w.paused = w.chance("paused", 20)
	w.bundle = &bundle.Bundle{Version: 7, Policy: bundle.Policy{MaxAttempts: 3}}
	if w.chance("hedges", 50) {
		w.bundle.Policy.HedgeAfter = 0.9
	}
	w.core = New(Config{Entry: "entry/1", Picker: w, Retrier: w, Suspects: &w.suspects,
		Quantiles: fixedQuantile(20 * ms), MaxInFlight: rapid.SampledFrom([]int{2, 100}).Draw(t, "limit")})
	for _, pool := range []string{"a", "b"} {
		for i := range 3 {
			w.restart(&agentModel{name: fmt.Sprint(pool, i), restarts: -1})
		}
	}
	return w
}

func (w *simulation) chance(label string, percent int) bool {
	return rapid.IntRange(0, 99).Draw(w.T, label) >= 100-percent
}

func (w *simulation) randomDelay(label string, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(w.T, label)) * ms
}

func (w *simulation) schedule(d time.Duration, f func()) {
	w.queue = append(w.queue, scheduledEvent{w.now.Add(d), f})
}

// run executes the scheduled events in order of time until none is left.
func (w *simulation) run() {
	for len(w.queue) > 0 {
		next := 0
		for i := range w.queue {
			if w.queue[i].at.Before(w.queue[next].at) {
				next = i
			}
		}
		d := w.queue[next]
		w.queue = slices.Delete(w.queue, next, next+1)
		if d.at.After(w.now) {
			w.now = d.at
		}
		d.run()
	}
}

// deliver passes an event to the core, or delays it while the process is
// paused.
func (w *simulation) deliver(ev Event) {
	if w.paused && !w.now.Before(w.pausedUntil) && w.chance("pause", 5) {
		w.pausedUntil = w.now.Add(w.randomDelay("pause for", 400))
	}
	if w.now.Before(w.pausedUntil) {
		w.schedule(w.pausedUntil.Sub(w.now), func() { w.deliver(ev) })
		return
	}
	w.recordEvidence(ev)
	switch e := ev.(type) {
	case Admit:
		w.activate(e)
	case Refuse:
		w.activate(e.Admit)
	case StageResult:
		w.costs[e.ID] = max(w.costs[e.ID], e.Cost)
	case RevokeAck:
		w.costs[e.CallID] = max(w.costs[e.CallID], e.Cost)
	}
	for _, effect := range w.core.Handle(w.now, ev) {
		w.apply(effect)
	}
}

// activate makes a submission the one to which calls of its request ID belong,
// unless an earlier one is still running.
func (w *simulation) activate(a Admit) {
	if first := w.active[a.RequestID]; first == nil || first.reply != nil {
		w.active[a.RequestID] = w.submissions[a.Ref]
	}
}

func (w *simulation) apply(effect Effect) {
	switch e := effect.(type) {
	case Call:
		w.onCall(e)
	case Revoke:
		w.onRevoke(e)
	case SendPeek:
		w.onPeek(e)
	case SetTimer:
		w.schedule(e.At.Sub(w.now), func() { w.deliver(Timer{e.RequestID, e.Kind, e.Seq}) })
	case Chunk:
		s := w.submissions[e.Ref]
		assert.Assert(w, s.reply == nil && e.Seq == s.chunks, "chunk %d", e.Seq)
		s.chunks++
		s.text += e.Text
	case Reply:
		s := w.submissions[e.Ref]
		s.replies++
		s.reply, s.repliedAt = &e, w.now
	case Cost:
		if e.Useful {
			w.useful += e.Amount
		} else {
			w.wasted += e.Amount
		}
	case Observe:
		w.endCounts[e.CallID]++
		assert.Equal(w, w.endCounts[e.CallID], 1, "%s ended twice", e.CallID)
	case Record:
		if e.Kind == ledger.KindFinal {
			w.finals++
		}
	}
}

// Pick implements Picker with a random choice; the chosen agent may already
// have been replaced.
func (w *simulation) Pick(_ time.Time, _ *bundle.Policy, req *route.Request) route.Decision {
	var names []string
	for i := range 3 {
		name := fmt.Sprint(req.Pool, i)
		if !w.isExcluded(req, name) && (req.Only == "" || req.Only == name) {
			names = append(names, name)
		}
	}
	silent := !req.HeardSince.IsZero() && w.chance("silent", 50)
	if len(names) == 0 || silent || w.chance("none available", 5) {
		w.schedule(w.randomDelay("away", 200), func() { w.endpointsBack(req.Pool) })
		return route.Decision{MayReturn: w.chance("may return", 80)}
	}
	a := w.agents[rapid.SampledFrom(names).Draw(w.T, "pick")]
	e := &route.Endpoint{Name: a.name}
	e.Report.Process.Incarnation = a.incarnation
	w.picked[a.name] = a.incarnation
	if w.chance("restart", 4) {
		w.restart(a)
	}
	return route.Decision{Endpoint: e}
}

// isExcluded reports whether the request was already sent to the endpoint and
// the endpoint has not returned since.
func (w *simulation) isExcluded(req *route.Request, name string) bool {
	for _, t := range req.Tried {
		if t.Endpoint == name && (t.LostAt.IsZero() || w.chance("still away", 50)) {
			return true
		}
	}
	return false
}

// endpointsBack reports to the core that endpoints of a pool are available
// again.
func (w *simulation) endpointsBack(pool string) {
	if w.now.Before(w.pausedUntil) {
		w.schedule(w.pausedUntil.Sub(w.now), func() { w.endpointsBack(pool) })
		return
	}
	for _, effect := range w.core.EndpointsBack(w.now, pool, rapid.IntRange(1, 3).Draw(w.T, "places")) {
		w.apply(effect)
	}
}

// Decide implements Retrier without checking anything, so that rules that hold
// for every policy are tested in the core alone.
func (w *simulation) Decide(retry.Failure, time.Time) retry.Verdict {
	return retry.Verdict{Retry: w.chance("retry", 80)}
}

// Hedge implements Retrier.
func (w *simulation) Hedge(string, time.Time) bool { return w.chance("hedge", 80) }

func (w *simulation) restart(a *agentModel) {
	a.restarts++
	a.incarnation = fmt.Sprint(a.name, "/", a.restarts)
	a.rejected = make(map[wire.CallID]bool)
	a.calls = make(map[wire.CallID]*run)
	a.identities = make(map[string]*run)
	w.agents[a.name] = a
}

func (w *simulation) report(a *agentModel) wire.AgentReport {
	return wire.AgentReport{Process: wire.Process{Name: a.name, Incarnation: a.incarnation}, Endpoint: a.name}
}

// transit is the state of a call and its replies in the network; for the core
// the call ends once.
type transit struct {
	ended       bool
	lastArrival time.Time
}

// callEvidence is what the core has been told about a call.
type callEvidence struct {
	// agent is the incarnation that was called.
	agent string
	// notReached is true when the call is proved not to have reached an
	// endpoint, reached when it did or may have.
	notReached, reached bool
}

// recordEvidence records what an event shows about a call.
func (w *simulation) recordEvidence(ev Event) {
	switch e := ev.(type) {
	case CallNotWritten:
		w.setReached(e.CallID, true)
	case StageResult:
		w.setReached(e.ID, e.Status == wire.StatusRefused && e.Reason == api.ReasonNoEndpoint)
	case RevokeAck:
		notRun := e.State == wire.RevokedNotRun
		if call := w.calls[e.CallID]; call != nil && (!notRun || call.agent == e.Report.Process.Incarnation) {
			w.setReached(e.CallID, notRun)
		}
	}
}

func (w *simulation) setReached(id wire.CallID, notReached bool) {
	if call := w.calls[id]; call != nil {
		call.notReached = call.notReached || notReached
		call.reached = call.reached || !notReached
	}
}

// assertMayCall checks that the calls of a stage that reached an endpoint or
// may have, including this one, are no more than the policy allows, and that
// those that did not are bounded.
func (w *simulation) assertMayCall(c Call) {
	reached, all := 1, 1
	for id, call := range w.calls {
		if id.Request != c.ID.Request || id.Stage != c.ID.Stage || id.Entry != c.ID.Entry {
			continue
		}
		all++
		if call.reached || !call.notReached {
			reached++
		}
	}
	assert.Assert(w, reached <= w.bundle.Policy.MaxAttempts, "%d calls of a stage may have reached an endpoint", reached)
	assert.Assert(w, all <= w.bundle.Policy.MaxAttempts+maxNotReached, "%d calls of a stage", all)
	w.calls[c.ID] = &callEvidence{agent: w.picked[c.Endpoint]}
}

func (w *simulation) onCall(c Call) {
	s := w.active[c.ID.Request]
	assert.Assert(w, w.now.Before(c.Deadline) && c.Budget == c.Deadline.Sub(w.now))
	w.assertMayCall(c)
	assert.Assert(w, c.Binding == nil || c.Binding.Agent == c.Endpoint, "bound to %v", c.Binding)
	a, f := w.agents[c.Endpoint], &transit{}
	incarnation := a.incarnation
	end := func(ev Event) func() {
		return func() {
			if !f.ended {
				f.ended = true
				w.deliver(ev)
			}
		}
	}
	if w.chance("not written", 10) {
		w.schedule(w.randomDelay("way", 5), end(CallNotWritten{c.ID}))
		return
	}
	w.schedule(c.Deadline.Sub(w.now)+500*ms, end(CallLost{c.ID}))
	if w.chance("connection cut", 10) {
		w.schedule(w.randomDelay("cut", 60), func() {
			if a.incarnation == incarnation && w.chance("agent died", 30) {
				w.restart(a)
			}
			end(CallLost{c.ID})()
		})
		if w.chance("swallowed", 50) {
			return
		}
	}
	index := s.index
	w.schedule(w.randomDelay("way", rapid.SampledFrom([]int{5, 400}).Draw(w.T, "slow")), func() {
		if a.incarnation != incarnation {
			end(CallLost{c.ID})()
			return
		}
		w.receiveCall(a, &run{call: c.StageCall, index: index}, f, func(res wire.StageResult) {
			if a.incarnation != incarnation || w.chance("reply lost", 5) {
				w.schedule(w.randomDelay("cut", 60), end(CallLost{c.ID}))
				return
			}
			res.ID, res.Report = c.ID, w.report(a)
			back := max(w.randomDelay("way", 5), f.lastArrival.Sub(w.now))
			w.schedule(back, end(StageResult{res}))
			if w.chance("repeated", 5) {
				w.schedule(back+w.randomDelay("again", 50), func() {
					if f.ended {
						w.deliver(StageResult{res})
					}
				})
			}
		})
	})
}

// receiveCall is the agent receiving a call.
func (w *simulation) receiveCall(a *agentModel, r *run, f *transit, reply func(wire.StageResult)) {
	c := r.call
	identity := c.Identity.Value + c.ID.Stage
	switch earlier := a.identities[identity]; {
	case a.rejected[c.ID], !w.now.Before(c.Deadline), w.chance("refuse", 10):
		a.rejected[c.ID] = true
		reply(w.refusal(a, c, earlier))
		return
	case c.Binding != nil && !w.owns(a, *c.Binding):
		reply(wire.StageResult{Status: wire.StatusUnknown})
		return
	case c.Unrepeatable && earlier != nil && earlier.done:
		reply(wire.StageResult{Status: wire.StatusDone, Replayed: true, Output: quote(earlier.output)})
		return
	case c.Unrepeatable && earlier != nil:
		reply(wire.StageResult{Status: wire.StatusUnknown})
		return
	}
	r.queued, r.finished = true, reply
	a.calls[c.ID] = r
	w.schedule(w.randomDelay("queue", 20), func() {
		if r.stopped {
			return
		}
		r.queued = false
		if !w.now.Before(c.Deadline) || a.calls[c.ID] != r {
			a.rejected[c.ID] = true
			reply(w.refusal(a, c, a.identities[identity]))
			return
		}
		if c.Unrepeatable {
			a.identities[identity] = r
		}
		w.startRun(r, f)
	})
}

// refusal is the agent's reply to a call that it does not run. It says that
// nothing ran only if the agent knows that of earlier submissions too.
func (w *simulation) refusal(a *agentModel, c wire.StageCall, earlier *run) wire.StageResult {
	if earlier != nil || (c.Binding != nil && !w.owns(a, *c.Binding)) {
		return wire.StageResult{Status: wire.StatusUnknown}
	}
	return wire.StageResult{Status: wire.StatusRefused, Reason: api.ReasonOverloaded}
}

func (w *simulation) owns(a *agentModel, b wire.Binding) bool {
	if b.Incarnation == "" {
		return a.restarts == 0
	}
	return a.incarnation == b.Incarnation
}

// startRun is the endpoint starting to work on a call.
func (w *simulation) startRun(r *run, f *transit) {
	r.started = w.now
	w.runs = append(w.runs, r)
	variant := 0
	if r.call.Stream && w.chance("other output", 20) {
		variant = 1
	}
	r.output = fmt.Sprintf("%s.%d(%s|%s)", r.call.ID.Stage, variant, r.call.Previous, r.call.Input)
	took := w.randomDelay("run", rapid.SampledFrom([]int{20, 400}).Draw(w.T, "straggler"))
	if r.call.Stream {
		w.stream(r, f, took)
	}
	w.schedule(took, func() {
		if r.stopped {
			return
		}
		r.ended, r.cost = true, w.now.Sub(r.started)
		res := wire.StageResult{Status: wire.StatusDone, Output: quote(r.output), Cost: r.cost}
		switch rapid.IntRange(0, 12).Draw(w.T, "end") {
		case 12:
			res = wire.StageResult{Status: wire.StatusFailed, Cost: r.cost}
		case 11:
			res = wire.StageResult{Status: wire.StatusLost, Crashed: true, Cost: r.cost}
		case 10:
			res.Output = nil
		default:
			r.done = true
		}
		r.finished(res)
	})
}

func (w *simulation) stream(r *run, f *transit, took time.Duration) {
	const pieces = 4
	size := len(r.output)/pieces + 1
	for i := range pieces {
		chunk := wire.StageChunk{ID: r.call.ID, Seq: i, Text: r.output[min(i*size, len(r.output)):min((i+1)*size, len(r.output))]}
		w.schedule(took*time.Duration(i)/pieces, func() {
			if r.stopped || w.chance("chunk lost", 3) {
				return
			}
			f.lastArrival = w.now.Add(max(w.randomDelay("way", 5), f.lastArrival.Sub(w.now)))
			w.schedule(f.lastArrival.Sub(w.now), func() {
				if !f.ended {
					w.deliver(StageChunk{chunk})
				}
			})
		})
	}
}

func (w *simulation) onRevoke(e Revoke) {
	lost := func() { w.schedule(w.randomDelay("cut", 60), func() { w.deliver(RevokeLost{e.CallID}) }) }
	if w.chance("revoke lost", 10) {
		lost()
		return
	}
	w.schedule(w.randomDelay("way", 20), func() {
		a := w.agents[e.Endpoint]
		ack := RevokeAck{CallID: e.CallID, RevokeResult: wire.RevokeResult{Report: w.report(a), State: w.revokeCall(a, e.CallID)}}
		if r := a.calls[e.CallID]; r != nil {
			ack.Cost = r.cost
		}
		if w.chance("ack lost", 10) {
			lost()
			return
		}
		w.schedule(w.randomDelay("way", 20), func() { w.deliver(ack) })
	})
}

// revokeCall is the agent receiving a revocation.
func (w *simulation) revokeCall(a *agentModel, id wire.CallID) wire.RevokeState {
	r := a.calls[id]
	switch {
	case r == nil:
		a.rejected[id] = true
		return wire.RevokedNotRun
	case r.queued:
		r.stopped, r.queued = true, false
		r.finished(wire.StageResult{Status: wire.StatusRefused, Reason: api.ReasonRevoked})
		return wire.RevokedNotRun
	case r.ended:
		return wire.RevokedDone
	case r.stopped && r.started.IsZero(), a.rejected[id]:
		return wire.RevokedNotRun
	case !r.stopped:
		r.stopped, r.cost = true, w.now.Sub(r.started)
		r.finished(wire.StageResult{Status: wire.StatusFailed, Reason: api.ReasonRevoked, Cost: r.cost})
	}
	return wire.RevokedRunning
}

func (w *simulation) onPeek(e SendPeek) {
	if w.chance("peek lost", 10) {
		w.schedule(w.randomDelay("cut", 150), func() { w.deliver(PeekLost{e.RequestID, e.Seq, e.Stage}) })
		return
	}
	w.schedule(w.randomDelay("way", 20), func() {
		a := w.agents[e.Endpoint]
		state := wire.PeekNever
		switch r := a.identities[e.Identity.Value+e.Stage]; {
		case !w.owns(a, e.Binding):
			state = wire.PeekUnknown
		case r != nil && r.ended:
			state = wire.PeekDone
		case r != nil:
			state = wire.PeekRunning
		}
		w.schedule(w.randomDelay("way", 20), func() {
			w.deliver(PeekReply{e.RequestID, e.Seq, e.Stage, wire.PeekResult{State: state}})
		})
	})
}

func quote(s string) json.RawMessage {
	encoded, _ := json.Marshal(s)
	return encoded
}

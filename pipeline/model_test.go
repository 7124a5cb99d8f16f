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

// world is a naive model of everything around a Core: a clock, endpoints with
// their agents, connections that lose, delay and repeat messages, and callers.
// It keeps what truly happened, to hold the core's words against.
type world struct {
	*rapid.T
	core   *Core
	now    time.Time
	queue  []due
	frozen time.Time
	paused bool

	bundle   *bundle.Bundle
	agents   map[string]*agentModel
	sendings map[string]*sending
	admits   map[uint64]*sending
	runs     []*run
	costs    map[wire.CallID]time.Duration
	useful   time.Duration
	wasted   time.Duration
	finals   int
	ends     map[wire.CallID]int
	// picked is the incarnation last picked of each endpoint, calls are those made.
	picked   map[string]string
	calls    map[wire.CallID]*callWord
	suspects openRuns
}

type due struct {
	at  time.Time
	run func()
}

// sending is one Admit or Refuse as its caller sees it.
type sending struct {
	Admit
	index   int
	reply   *Reply
	replies int
	at      time.Time
	text    string
	chunks  int
}

type agentModel struct {
	name, incarnation string
	restarts          int
	barred            map[wire.CallID]bool
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

type openRuns struct{ n int }

func (o *openRuns) Begin(string, time.Time) suspect.Verdict  { o.n++; return suspect.Verdict{} }
func (o *openRuns) Crashed(string, suspect.Crash, time.Time) { o.n-- }
func (o *openRuns) Succeeded(string, time.Time)              { o.n-- }
func (o *openRuns) Ended(string, time.Time)                  { o.n-- }

type fixedQuantile time.Duration

func (f fixedQuantile) Quantile(route.StageKey, float64, time.Time) route.Estimate {
	return route.Estimate{Value: time.Duration(f), Samples: 1}
}

func newWorld(t *rapid.T) *world {
	w := &world{T: t, now: epoch, agents: make(map[string]*agentModel), sendings: make(map[string]*sending),
		admits: make(map[uint64]*sending), costs: make(map[wire.CallID]time.Duration),
		ends: make(map[wire.CallID]int), picked: make(map[string]string), calls: make(map[wire.CallID]*callWord)}
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

func (w *world) chance(label string, percent int) bool {
	return rapid.IntRange(0, 99).Draw(w.T, label) >= 100-percent
}

func (w *world) span(label string, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(w.T, label)) * ms
}

func (w *world) after(d time.Duration, f func()) {
	w.queue = append(w.queue, due{w.now.Add(d), f})
}

// run carries on until nothing is left to happen.
func (w *world) run() {
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

// deliver gives an event to the core, or holds it while the process is paused.
func (w *world) deliver(ev Event) {
	if w.paused && !w.now.Before(w.frozen) && w.chance("pause", 5) {
		w.frozen = w.now.Add(w.span("pause for", 400))
	}
	if w.now.Before(w.frozen) {
		w.after(w.frozen.Sub(w.now), func() { w.deliver(ev) })
		return
	}
	w.learn(ev)
	switch e := ev.(type) {
	case Admit:
		w.enter(e)
	case Refuse:
		w.enter(e.Admit)
	case StageResult:
		w.costs[e.ID] = max(w.costs[e.ID], e.Cost)
	case RevokeAck:
		w.costs[e.CallID] = max(w.costs[e.CallID], e.Cost)
	}
	for _, effect := range w.core.Handle(w.now, ev) {
		w.carryOut(effect)
	}
}

// enter makes a sending the one that calls of its request ID belong to.
func (w *world) enter(a Admit) {
	if first := w.sendings[a.RequestID]; first == nil || first.reply != nil {
		w.sendings[a.RequestID] = w.admits[a.Ref]
	}
}

func (w *world) carryOut(effect Effect) {
	switch e := effect.(type) {
	case Call:
		w.onCall(e)
	case Revoke:
		w.onRevoke(e)
	case SendPeek:
		w.onPeek(e)
	case SetTimer:
		w.after(e.At.Sub(w.now), func() { w.deliver(Timer{e.RequestID, e.Kind, e.Seq}) })
	case Chunk:
		s := w.admits[e.Ref]
		assert.Assert(w, s.reply == nil && e.Seq == s.chunks, "chunk %d", e.Seq)
		s.chunks++
		s.text += e.Text
	case Reply:
		s := w.admits[e.Ref]
		s.replies++
		s.reply, s.at = &e, w.now
	case Cost:
		if e.Useful {
			w.useful += e.Amount
		} else {
			w.wasted += e.Amount
		}
	case Observe:
		w.ends[e.CallID]++
		assert.Equal(w, w.ends[e.CallID], 1, "%s ended again", e.CallID)
	case Record:
		if e.Kind == ledger.KindFinal {
			w.finals++
		}
	}
}

// Pick implements Picker by chance; it may believe in an agent that is gone.
func (w *world) Pick(_ time.Time, _ *bundle.Policy, req *route.Request) route.Decision {
	var names []string
	for i := range 3 {
		name := fmt.Sprint(req.Pool, i)
		if !w.excluded(req, name) && (req.Only == "" || req.Only == name) {
			names = append(names, name)
		}
	}
	silent := !req.HeardSince.IsZero() && w.chance("silent", 50)
	if len(names) == 0 || silent || w.chance("none available", 5) {
		w.after(w.span("away", 200), func() { w.back(req.Pool) })
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

// excluded tells whether the request was sent to the endpoint, which has not
// come back since.
func (w *world) excluded(req *route.Request, name string) bool {
	for _, t := range req.Tried {
		if t.Endpoint == name && (t.LostAt.IsZero() || w.chance("still away", 50)) {
			return true
		}
	}
	return false
}

// back tells the core that endpoints of a pool are back.
func (w *world) back(pool string) {
	if w.now.Before(w.frozen) {
		w.after(w.frozen.Sub(w.now), func() { w.back(pool) })
		return
	}
	for _, effect := range w.core.EndpointsBack(w.now, pool, rapid.IntRange(1, 3).Draw(w.T, "places")) {
		w.carryOut(effect)
	}
}

// Decide implements Retrier without any care, so that what must hold whatever
// the policy is the core's own doing.
func (w *world) Decide(retry.Failure, time.Time) retry.Verdict {
	return retry.Verdict{Retry: w.chance("retry", 80)}
}

// Hedge implements Retrier.
func (w *world) Hedge(string, time.Time) bool { return w.chance("hedge", 80) }

func (w *world) restart(a *agentModel) {
	a.restarts++
	a.incarnation = fmt.Sprint(a.name, "/", a.restarts)
	a.barred = make(map[wire.CallID]bool)
	a.calls = make(map[wire.CallID]*run)
	a.identities = make(map[string]*run)
	w.agents[a.name] = a
}

func (w *world) report(a *agentModel) wire.AgentReport {
	return wire.AgentReport{Process: wire.Process{Name: a.name, Incarnation: a.incarnation}, Endpoint: a.name}
}

// flight is a call's way to the agent and back; it ends once for the core.
type flight struct {
	ended bool
	last  time.Time
}

// callWord is what the core was told of a call.
type callWord struct {
	// agent is the incarnation that was called.
	agent string
	// notReached: it got to no endpoint. reached: it did or may have.
	notReached, reached bool
}

// learn notes what an event tells of a call.
func (w *world) learn(ev Event) {
	switch e := ev.(type) {
	case CallNotWritten:
		w.told(e.CallID, true)
	case StageResult:
		w.told(e.ID, e.Status == wire.StatusRefused && e.Reason == api.ReasonNoEndpoint)
	case RevokeAck:
		notRun := e.State == wire.RevokedNotRun
		if call := w.calls[e.CallID]; call != nil && (!notRun || call.agent == e.Report.Process.Incarnation) {
			w.told(e.CallID, notRun)
		}
	}
}

func (w *world) told(id wire.CallID, notReached bool) {
	if call := w.calls[id]; call != nil {
		call.notReached = call.notReached || notReached
		call.reached = call.reached || !notReached
	}
}

// assertMayCall: the calls of a stage that got to an endpoint or may have, this one
// included, are no more than the policy allows, and those that did not are bounded.
func (w *world) assertMayCall(c Call) {
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
	w.calls[c.ID] = &callWord{agent: w.picked[c.Endpoint]}
}

func (w *world) onCall(c Call) {
	s := w.sendings[c.ID.Request]
	assert.Assert(w, w.now.Before(c.Deadline) && c.Budget == c.Deadline.Sub(w.now))
	w.assertMayCall(c)
	assert.Assert(w, c.Binding == nil || c.Binding.Agent == c.Endpoint, "bound to %v", c.Binding)
	a, f := w.agents[c.Endpoint], &flight{}
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
		w.after(w.span("way", 5), end(CallNotWritten{c.ID}))
		return
	}
	w.after(c.Deadline.Sub(w.now)+500*ms, end(CallLost{c.ID}))
	if w.chance("connection cut", 10) {
		w.after(w.span("cut", 60), func() {
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
	w.after(w.span("way", rapid.SampledFrom([]int{5, 400}).Draw(w.T, "slow")), func() {
		if a.incarnation != incarnation {
			end(CallLost{c.ID})()
			return
		}
		w.arrive(a, &run{call: c.StageCall, index: index}, f, func(res wire.StageResult) {
			if a.incarnation != incarnation || w.chance("reply lost", 5) {
				w.after(w.span("cut", 60), end(CallLost{c.ID}))
				return
			}
			res.ID, res.Report = c.ID, w.report(a)
			back := max(w.span("way", 5), f.last.Sub(w.now))
			w.after(back, end(StageResult{res}))
			if w.chance("repeated", 5) {
				w.after(back+w.span("again", 50), func() {
					if f.ended {
						w.deliver(StageResult{res})
					}
				})
			}
		})
	})
}

// arrive is the agent reading a call.
func (w *world) arrive(a *agentModel, r *run, f *flight, reply func(wire.StageResult)) {
	c := r.call
	identity := c.Identity.Value + c.ID.Stage
	switch held := a.identities[identity]; {
	case a.barred[c.ID], !w.now.Before(c.Deadline), w.chance("refuse", 10):
		a.barred[c.ID] = true
		reply(w.refusal(a, c, held))
		return
	case c.Binding != nil && !w.owns(a, *c.Binding):
		reply(wire.StageResult{Status: wire.StatusUnknown})
		return
	case c.Unrepeatable && held != nil && held.done:
		reply(wire.StageResult{Status: wire.StatusDone, Replayed: true, Output: quote(held.output)})
		return
	case c.Unrepeatable && held != nil:
		reply(wire.StageResult{Status: wire.StatusUnknown})
		return
	}
	r.queued, r.finished = true, reply
	a.calls[c.ID] = r
	w.after(w.span("queue", 20), func() {
		if r.stopped {
			return
		}
		r.queued = false
		if !w.now.Before(c.Deadline) || a.calls[c.ID] != r {
			a.barred[c.ID] = true
			reply(w.refusal(a, c, a.identities[identity]))
			return
		}
		if c.Unrepeatable {
			a.identities[identity] = r
		}
		w.start(r, f)
	})
}

// refusal says that nothing ran only if the agent knows that of earlier sendings too.
func (w *world) refusal(a *agentModel, c wire.StageCall, held *run) wire.StageResult {
	if held != nil || (c.Binding != nil && !w.owns(a, *c.Binding)) {
		return wire.StageResult{Status: wire.StatusUnknown}
	}
	return wire.StageResult{Status: wire.StatusRefused, Reason: api.ReasonOverloaded}
}

func (w *world) owns(a *agentModel, b wire.Binding) bool {
	if b.Incarnation == "" {
		return a.restarts == 0
	}
	return a.incarnation == b.Incarnation
}

// start is the endpoint beginning to work on a call.
func (w *world) start(r *run, f *flight) {
	r.started = w.now
	w.runs = append(w.runs, r)
	variant := 0
	if r.call.Stream && w.chance("other output", 20) {
		variant = 1
	}
	r.output = fmt.Sprintf("%s.%d(%s|%s)", r.call.ID.Stage, variant, r.call.Previous, r.call.Input)
	took := w.span("run", rapid.SampledFrom([]int{20, 400}).Draw(w.T, "straggler"))
	if r.call.Stream {
		w.stream(r, f, took)
	}
	w.after(took, func() {
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

func (w *world) stream(r *run, f *flight, took time.Duration) {
	const pieces = 4
	size := len(r.output)/pieces + 1
	for i := range pieces {
		chunk := wire.StageChunk{ID: r.call.ID, Seq: i, Text: r.output[min(i*size, len(r.output)):min((i+1)*size, len(r.output))]}
		w.after(took*time.Duration(i)/pieces, func() {
			if r.stopped || w.chance("chunk lost", 3) {
				return
			}
			f.last = w.now.Add(max(w.span("way", 5), f.last.Sub(w.now)))
			w.after(f.last.Sub(w.now), func() {
				if !f.ended {
					w.deliver(StageChunk{chunk})
				}
			})
		})
	}
}

func (w *world) onRevoke(e Revoke) {
	lost := func() { w.after(w.span("cut", 60), func() { w.deliver(RevokeLost{e.CallID}) }) }
	if w.chance("revoke lost", 10) {
		lost()
		return
	}
	w.after(w.span("way", 20), func() {
		a := w.agents[e.Endpoint]
		ack := RevokeAck{CallID: e.CallID, RevokeResult: wire.RevokeResult{Report: w.report(a), State: w.stop(a, e.CallID)}}
		if r := a.calls[e.CallID]; r != nil {
			ack.Cost = r.cost
		}
		if w.chance("ack lost", 10) {
			lost()
			return
		}
		w.after(w.span("way", 20), func() { w.deliver(ack) })
	})
}

// stop is the agent reading a revocation.
func (w *world) stop(a *agentModel, id wire.CallID) wire.RevokeState {
	r := a.calls[id]
	switch {
	case r == nil:
		a.barred[id] = true
		return wire.RevokedNotRun
	case r.queued:
		r.stopped, r.queued = true, false
		r.finished(wire.StageResult{Status: wire.StatusRefused, Reason: api.ReasonRevoked})
		return wire.RevokedNotRun
	case r.ended:
		return wire.RevokedDone
	case r.stopped && r.started.IsZero(), a.barred[id]:
		return wire.RevokedNotRun
	case !r.stopped:
		r.stopped, r.cost = true, w.now.Sub(r.started)
		r.finished(wire.StageResult{Status: wire.StatusFailed, Reason: api.ReasonRevoked, Cost: r.cost})
	}
	return wire.RevokedRunning
}

func (w *world) onPeek(e SendPeek) {
	if w.chance("peek lost", 10) {
		w.after(w.span("cut", 150), func() { w.deliver(PeekLost{e.RequestID, e.Seq, e.Stage}) })
		return
	}
	w.after(w.span("way", 20), func() {
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
		w.after(w.span("way", 20), func() {
			w.deliver(PeekReply{e.RequestID, e.Seq, e.Stage, wire.PeekResult{State: state}})
		})
	})
}

func quote(s string) json.RawMessage {
	encoded, _ := json.Marshal(s)
	return encoded
}

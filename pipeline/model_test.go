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

	bundle *bundle.Bundle
	agents map[string]*agentModel
	// active holds, by request ID, the submission to which calls belong;
	// submissions holds all of them by Ref.
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

// scheduledEvent is a function to run at a given time.
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
	// rejected holds the calls that the agent will never run; identities holds,
	// by identity and stage, the runs of unrepeatable stages.
	rejected   map[wire.CallID]bool
	calls      map[wire.CallID]*run
	identities map[string]*run
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

// runCounter is a Suspects that counts the runs of content that have begun and
// not ended.
type runCounter struct{ n int }

func (c *runCounter) Begin(string, time.Time) suspect.Decision { c.n++; return suspect.Decision{} }
func (c *runCounter) Crashed(string, suspect.Crash, time.Time) { c.n-- }
func (c *runCounter) Succeeded(string, time.Time)              { c.n-- }
func (c *runCounter) Ended(string, time.Time)                  { c.n-- }

type fixedQuantile time.Duration

func (f fixedQuantile) Quantile(route.StageKey, float64, time.Time) route.Estimate {
	return route.Estimate{Value: time.Duration(f), Samples: 1}
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{T: t, now: epoch, agents: make(map[string]*agentModel), active: make(map[string]*submission),
		submissions: make(map[uint64]*submission), costs: make(map[wire.CallID]time.Duration),
		endCounts: make(map[wire.CallID]int), picked: make(map[string]string), calls: make(map[wire.CallID]*callEvidence)}
	sim.paused = sim.chance("paused", 20)
	sim.bundle = &bundle.Bundle{Version: 7, Policy: bundle.Policy{MaxAttempts: 3}}
	if sim.chance("hedges", 50) {
		sim.bundle.Policy.HedgeAfter = 0.9
	}
	sim.core = New(Config{Entry: "entry/1", Picker: sim, Retrier: sim, Suspects: &sim.suspects,
		Quantiles: fixedQuantile(20 * ms), MaxInFlight: rapid.SampledFrom([]int{2, 100}).Draw(t, "limit")})
	for _, pool := range []string{"a", "b"} {
		for i := range 3 {
			sim.restart(&agentModel{name: fmt.Sprint(pool, i), restarts: -1})
		}
	}
	return sim
}

// chance returns true with a probability of percent.
func (sim *simulation) chance(label string, percent int) bool {
	return rapid.IntRange(0, 99).Draw(sim.T, label) >= 100-percent
}

// randomDelay returns a random duration from 0 to maxMs milliseconds.
func (sim *simulation) randomDelay(label string, maxMs int) time.Duration {
	return time.Duration(rapid.IntRange(0, maxMs).Draw(sim.T, label)) * ms
}

func (sim *simulation) schedule(d time.Duration, f func()) {
	sim.queue = append(sim.queue, scheduledEvent{sim.now.Add(d), f})
}

// run executes the scheduled events in order of time until none is left.
func (sim *simulation) run() {
	for len(sim.queue) > 0 {
		next := 0
		for i := range sim.queue {
			if sim.queue[i].at.Before(sim.queue[next].at) {
				next = i
			}
		}
		event := sim.queue[next]
		sim.queue = slices.Delete(sim.queue, next, next+1)
		if event.at.After(sim.now) {
			sim.now = event.at
		}
		event.run()
	}
}

// deliver passes an event to the core, or delays it while the process is
// paused.
func (sim *simulation) deliver(ev Event) {
	if sim.paused && !sim.now.Before(sim.pausedUntil) && sim.chance("pause", 5) {
		sim.pausedUntil = sim.now.Add(sim.randomDelay("pause for", 400))
	}
	if sim.now.Before(sim.pausedUntil) {
		sim.schedule(sim.pausedUntil.Sub(sim.now), func() { sim.deliver(ev) })
		return
	}
	sim.recordEvidence(ev)
	switch e := ev.(type) {
	case Admit:
		sim.activate(e)
	case Refuse:
		sim.activate(e.Admit)
	case StageResult:
		sim.costs[e.ID] = max(sim.costs[e.ID], e.Cost)
	case RevokeAck:
		sim.costs[e.CallID] = max(sim.costs[e.CallID], e.Cost)
	}
	for _, effect := range sim.core.Handle(sim.now, ev) {
		sim.apply(effect)
	}
}

// activate makes a submission the one to which calls of its request ID belong,
// unless an earlier one is still running.
func (sim *simulation) activate(a Admit) {
	if first := sim.active[a.RequestID]; first == nil || first.reply != nil {
		sim.active[a.RequestID] = sim.submissions[a.Ref]
	}
}

func (sim *simulation) apply(effect Effect) {
	switch e := effect.(type) {
	case Call:
		sim.onCall(e)
	case Revoke:
		sim.onRevoke(e)
	case SendPeek:
		sim.onPeek(e)
	case SetTimer:
		sim.schedule(e.At.Sub(sim.now), func() { sim.deliver(Timer{e.RequestID, e.Kind, e.Seq}) })
	case Chunk:
		s := sim.submissions[e.Ref]
		assert.Assert(sim, s.reply == nil && e.Seq == s.chunks, "chunk %d", e.Seq)
		s.chunks++
		s.text += e.Text
	case Reply:
		s := sim.submissions[e.Ref]
		s.replies++
		s.reply, s.repliedAt = &e, sim.now
	case Cost:
		if e.Useful {
			sim.useful += e.Amount
		} else {
			sim.wasted += e.Amount
		}
	case Observe:
		sim.endCounts[e.CallID]++
		assert.Equal(sim, sim.endCounts[e.CallID], 1, "%s ended twice", e.CallID)
	case Record:
		if e.Kind == ledger.KindFinal {
			sim.finals++
		}
	}
}

// Pick implements Picker with a random choice; the chosen agent may already
// have been replaced.
func (sim *simulation) Pick(_ time.Time, _ *bundle.Policy, req *route.Request) route.Decision {
	var names []string
	for i := range 3 {
		name := fmt.Sprint(req.Pool, i)
		if !sim.isExcluded(req, name) && (req.BoundTo == "" || req.BoundTo == name) {
			names = append(names, name)
		}
	}
	silent := !req.ReportedAfter.IsZero() && sim.chance("silent", 50)
	if len(names) == 0 || silent || sim.chance("none available", 5) {
		sim.schedule(sim.randomDelay("away", 200), func() { sim.endpointsBack(req.Pool) })
		return route.Decision{MayBecomeUsable: sim.chance("may return", 80)}
	}
	a := sim.agents[rapid.SampledFrom(names).Draw(sim.T, "pick")]
	e := &route.Endpoint{Name: a.name}
	e.Report.Process.Incarnation = a.incarnation
	sim.picked[a.name] = a.incarnation
	if sim.chance("restart", 4) {
		sim.restart(a)
	}
	return route.Decision{Endpoint: e}
}

// isExcluded reports whether the request was already sent to the endpoint and
// the endpoint has not returned since.
func (sim *simulation) isExcluded(req *route.Request, name string) bool {
	for _, t := range req.Tried {
		if t.Endpoint == name && (t.LostAt.IsZero() || sim.chance("still away", 50)) {
			return true
		}
	}
	return false
}

// endpointsBack reports to the core that endpoints of a pool are available
// again.
func (sim *simulation) endpointsBack(pool string) {
	if sim.now.Before(sim.pausedUntil) {
		sim.schedule(sim.pausedUntil.Sub(sim.now), func() { sim.endpointsBack(pool) })
		return
	}
	for _, effect := range sim.core.EndpointsAvailable(sim.now, pool, rapid.IntRange(1, 3).Draw(sim.T, "places")) {
		sim.apply(effect)
	}
}

// Decide implements Retrier without checking anything, so that rules that hold
// for every policy are tested in the core alone.
func (sim *simulation) Decide(retry.Failure, time.Time) retry.Decision {
	return retry.Decision{Retry: sim.chance("retry", 80)}
}

// Hedge implements Retrier.
func (sim *simulation) Hedge(string, time.Time) bool { return sim.chance("hedge", 80) }

func (sim *simulation) restart(a *agentModel) {
	a.restarts++
	a.incarnation = fmt.Sprint(a.name, "/", a.restarts)
	a.rejected = make(map[wire.CallID]bool)
	a.calls = make(map[wire.CallID]*run)
	a.identities = make(map[string]*run)
	sim.agents[a.name] = a
}

func (sim *simulation) report(a *agentModel) wire.AgentReport {
	return wire.AgentReport{Process: wire.Process{Name: a.name, Incarnation: a.incarnation}, Endpoint: a.name}
}

// transit is the state of a call and its replies in the network; for the core
// the call ends once.
type transit struct {
	ended bool
	// lastArrival is when the latest message of the stream arrives at the core;
	// later messages do not overtake it.
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
func (sim *simulation) recordEvidence(ev Event) {
	switch e := ev.(type) {
	case CallNotWritten:
		sim.addReachEvidence(e.CallID, true)
	case StageResult:
		sim.addReachEvidence(e.ID, e.Status == wire.StatusRefused && e.Reason == api.ReasonNoEndpoint)
	case RevokeAck:
		notRun := e.State == wire.RevokedNotRun
		if call := sim.calls[e.CallID]; call != nil && (!notRun || call.agent == e.Report.Process.Incarnation) {
			sim.addReachEvidence(e.CallID, notRun)
		}
	}
}

// addReachEvidence records whether a call is proved not to have reached an
// endpoint.
func (sim *simulation) addReachEvidence(id wire.CallID, notReached bool) {
	if call := sim.calls[id]; call != nil {
		call.notReached = call.notReached || notReached
		call.reached = call.reached || !notReached
	}
}

// assertMayCall checks that the calls of a stage that reached an endpoint or
// may have, including this one, are no more than the policy allows, and that
// those that did not are bounded.
func (sim *simulation) assertMayCall(c Call) {
	reached, all := 1, 1
	for id, call := range sim.calls {
		if id.Request != c.ID.Request || id.Stage != c.ID.Stage || id.Entry != c.ID.Entry {
			continue
		}
		all++
		if call.reached || !call.notReached {
			reached++
		}
	}
	assert.Assert(sim, reached <= sim.bundle.Policy.MaxAttempts, "%d calls of a stage may have reached an endpoint", reached)
	assert.Assert(sim, all <= sim.bundle.Policy.MaxAttempts+maxNotReached, "%d calls of a stage", all)
	sim.calls[c.ID] = &callEvidence{agent: sim.picked[c.Endpoint]}
}

func (sim *simulation) onCall(c Call) {
	s := sim.active[c.ID.Request]
	assert.Assert(sim, sim.now.Before(c.Deadline) && c.Budget == c.Deadline.Sub(sim.now))
	sim.assertMayCall(c)
	assert.Assert(sim, c.Binding == nil || c.Binding.Agent == c.Endpoint, "bound to %v", c.Binding)
	a, tr := sim.agents[c.Endpoint], &transit{}
	incarnation := a.incarnation
	end := func(ev Event) func() {
		return func() {
			if !tr.ended {
				tr.ended = true
				sim.deliver(ev)
			}
		}
	}
	if sim.chance("not written", 10) {
		sim.schedule(sim.randomDelay("way", 5), end(CallNotWritten{c.ID}))
		return
	}
	sim.schedule(c.Deadline.Sub(sim.now)+500*ms, end(CallLost{c.ID}))
	if sim.chance("connection cut", 10) {
		sim.schedule(sim.randomDelay("cut", 60), func() {
			if a.incarnation == incarnation && sim.chance("agent died", 30) {
				sim.restart(a)
			}
			end(CallLost{c.ID})()
		})
		if sim.chance("swallowed", 50) {
			return
		}
	}
	index := s.index
	sim.schedule(sim.randomDelay("way", rapid.SampledFrom([]int{5, 400}).Draw(sim.T, "slow")), func() {
		if a.incarnation != incarnation {
			end(CallLost{c.ID})()
			return
		}
		sim.receiveCall(a, &run{call: c.StageCall, index: index}, tr, func(res wire.StageResult) {
			if a.incarnation != incarnation || sim.chance("reply lost", 5) {
				sim.schedule(sim.randomDelay("cut", 60), end(CallLost{c.ID}))
				return
			}
			res.ID, res.Report = c.ID, sim.report(a)
			back := max(sim.randomDelay("way", 5), tr.lastArrival.Sub(sim.now))
			sim.schedule(back, end(StageResult{res}))
			if sim.chance("repeated", 5) {
				sim.schedule(back+sim.randomDelay("again", 50), func() {
					if tr.ended {
						sim.deliver(StageResult{res})
					}
				})
			}
		})
	})
}

// receiveCall is the agent receiving a call.
func (sim *simulation) receiveCall(a *agentModel, r *run, tr *transit, reply func(wire.StageResult)) {
	c := r.call
	identity := c.Identity.Value + c.ID.Stage
	switch earlier := a.identities[identity]; {
	case a.rejected[c.ID], !sim.now.Before(c.Deadline), sim.chance("refuse", 10):
		a.rejected[c.ID] = true
		reply(sim.refusal(a, c, earlier))
		return
	case c.Binding != nil && !sim.owns(a, *c.Binding):
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
	sim.schedule(sim.randomDelay("queue", 20), func() {
		if r.stopped {
			return
		}
		r.queued = false
		if !sim.now.Before(c.Deadline) || a.calls[c.ID] != r {
			a.rejected[c.ID] = true
			reply(sim.refusal(a, c, a.identities[identity]))
			return
		}
		if c.Unrepeatable {
			a.identities[identity] = r
		}
		sim.startRun(r, tr)
	})
}

// refusal is the agent's reply to a call that it does not run. It says that
// nothing ran only if the agent knows that of earlier submissions too.
func (sim *simulation) refusal(a *agentModel, c wire.StageCall, earlier *run) wire.StageResult {
	if earlier != nil || (c.Binding != nil && !sim.owns(a, *c.Binding)) {
		return wire.StageResult{Status: wire.StatusUnknown}
	}
	return wire.StageResult{Status: wire.StatusRefused, Reason: api.ReasonOverloaded}
}

// owns reports whether the agent is the run that b is bound to.
func (sim *simulation) owns(a *agentModel, b wire.Binding) bool {
	if b.Incarnation == "" {
		return a.restarts == 0
	}
	return a.incarnation == b.Incarnation
}

// startRun is the endpoint starting to work on a call.
func (sim *simulation) startRun(r *run, tr *transit) {
	r.started = sim.now
	sim.runs = append(sim.runs, r)
	variant := 0
	if r.call.Stream && sim.chance("other output", 20) {
		variant = 1
	}
	r.output = fmt.Sprintf("%s.%d(%s|%s)", r.call.ID.Stage, variant, r.call.Previous, r.call.Input)
	duration := sim.randomDelay("run", rapid.SampledFrom([]int{20, 400}).Draw(sim.T, "straggler"))
	if r.call.Stream {
		sim.stream(r, tr, duration)
	}
	sim.schedule(duration, func() {
		if r.stopped {
			return
		}
		r.ended, r.cost = true, sim.now.Sub(r.started)
		res := wire.StageResult{Status: wire.StatusDone, Output: quote(r.output), Cost: r.cost}
		switch rapid.IntRange(0, 12).Draw(sim.T, "end") {
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

func (sim *simulation) stream(r *run, tr *transit, duration time.Duration) {
	const chunkCount = 4
	size := len(r.output)/chunkCount + 1
	for i := range chunkCount {
		chunk := wire.StageChunk{ID: r.call.ID, Seq: i, Text: r.output[min(i*size, len(r.output)):min((i+1)*size, len(r.output))]}
		sim.schedule(duration*time.Duration(i)/chunkCount, func() {
			if r.stopped || sim.chance("chunk lost", 3) {
				return
			}
			tr.lastArrival = sim.now.Add(max(sim.randomDelay("way", 5), tr.lastArrival.Sub(sim.now)))
			sim.schedule(tr.lastArrival.Sub(sim.now), func() {
				if !tr.ended {
					sim.deliver(StageChunk{chunk})
				}
			})
		})
	}
}

func (sim *simulation) onRevoke(e Revoke) {
	lost := func() { sim.schedule(sim.randomDelay("cut", 60), func() { sim.deliver(RevokeLost{e.CallID}) }) }
	if sim.chance("revoke lost", 10) {
		lost()
		return
	}
	sim.schedule(sim.randomDelay("way", 20), func() {
		a := sim.agents[e.Endpoint]
		ack := RevokeAck{CallID: e.CallID, RevokeResult: wire.RevokeResult{Report: sim.report(a), State: sim.revokeCall(a, e.CallID)}}
		if r := a.calls[e.CallID]; r != nil {
			ack.Cost = r.cost
		}
		if sim.chance("ack lost", 10) {
			lost()
			return
		}
		sim.schedule(sim.randomDelay("way", 20), func() { sim.deliver(ack) })
	})
}

// revokeCall is the agent receiving a revocation.
func (sim *simulation) revokeCall(a *agentModel, id wire.CallID) wire.RevokeState {
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
		r.stopped, r.cost = true, sim.now.Sub(r.started)
		r.finished(wire.StageResult{Status: wire.StatusFailed, Reason: api.ReasonRevoked, Cost: r.cost})
	}
	return wire.RevokedRunning
}

func (sim *simulation) onPeek(e SendPeek) {
	if sim.chance("peek lost", 10) {
		sim.schedule(sim.randomDelay("cut", 150), func() { sim.deliver(PeekLost{e.RequestID, e.Seq, e.Stage}) })
		return
	}
	sim.schedule(sim.randomDelay("way", 20), func() {
		a := sim.agents[e.Endpoint]
		state := wire.PeekNever
		switch r := a.identities[e.Identity.Value+e.Stage]; {
		case !sim.owns(a, e.Binding):
			state = wire.PeekUnknown
		case r != nil && r.ended:
			state = wire.PeekDone
		case r != nil:
			state = wire.PeekRunning
		}
		sim.schedule(sim.randomDelay("way", 20), func() {
			sim.deliver(PeekReply{e.RequestID, e.Seq, e.Stage, wire.PeekResult{State: state}})
		})
	})
}

func quote(s string) json.RawMessage {
	encoded, _ := json.Marshal(s)
	return encoded
}

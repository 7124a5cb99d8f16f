package pipeline

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/wire"
)

// Guards against a guessed outcome: a caller that reads "refused" submits its
// order again, and one that reads "answered" considers it done. Calls that wait
// in a buffer, lost replies, revocations that race with the start, restarts of
// agents and pauses of this process happen at random, and every reply is
// checked against what actually ran.
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		n := rapid.IntRange(1, 5).Draw(t, "requests")
		for i := range n {
			sim.schedule(sim.randomDelay("arrival", 300), func() { sim.submitRequest(i) })
		}
		sim.run()
		sim.check()
	})
}

// submitRequest submits one request, and perhaps its ID a second time.
func (sim *simulation) submitRequest(i int) {
	kind := rapid.SampledFrom([]wire.IdentityKind{wire.IdentityMinted, wire.IdentityHeld, wire.IdentityKey}).Draw(sim.T, "kind")
	a := Admit{
		RequestID: fmt.Sprint("request", i), Account: &bundle.Account{Name: "account"}, Bundle: sim.bundle,
		Pipeline: sim.pipeline(), Input: quote(fmt.Sprint("input", i)), Stream: sim.chance("stream", 30),
		Identity:             wire.Identity{Kind: kind, Value: fmt.Sprint("identity", i)},
		Bindings:             make(map[string]wire.Binding),
		PossibleResubmission: kind != wire.IdentityMinted,
	}
	for _, stage := range a.Pipeline.Stages {
		owner := sim.agents[fmt.Sprint(stage.Pool, i%3)]
		b := wire.Binding{Agent: owner.name, Incarnation: owner.incarnation}
		if kind == wire.IdentityKey {
			b.Incarnation = ""
		}
		if stage.Unrepeatable && (kind != wire.IdentityMinted || sim.chance("bound", 50)) {
			a.Bindings[stage.Name] = b
		}
	}
	if a.PossibleResubmission && sim.chance("earlier sending", 30) {
		sim.addEarlierRun(a)
	}
	sim.submit(a, 1)
	if kind == wire.IdentityHeld && sim.chance("sent twice", 40) {
		sim.schedule(sim.randomDelay("again", 600), func() { sim.submit(a, 2) })
	}
}

func (sim *simulation) pipeline() *bundle.Pipeline {
	p := &bundle.Pipeline{Name: "pipeline"}
	unrepeatable := rapid.SampledFrom([]int{0, 40, 100}).Draw(sim.T, "unrepeatable")
	for i := range rapid.IntRange(1, 3).Draw(sim.T, "stages") {
		p.Stages = append(p.Stages, bundle.Stage{Name: fmt.Sprint("stage", i), Pool: string(rune('a' + i%2)),
			Unrepeatable: sim.chance("unrepeatable stage", unrepeatable)})
	}
	return p
}

// addEarlierRun adds a run of the first stage by an earlier submission through
// another entry, unless an idempotency key without bindings makes each
// submission a separate request.
func (sim *simulation) addEarlierRun(a Admit) {
	stage := a.Pipeline.Stages[0]
	b, bound := a.Bindings[stage.Name]
	if !bound && a.Identity.Kind == wire.IdentityKey && len(a.Bindings) == 0 {
		return
	}
	id := wire.CallID{Request: a.RequestID, Stage: stage.Name, Entry: "other", Attempt: 1}
	r := &run{call: wire.StageCall{ID: id, Identity: a.Identity, Unrepeatable: bound}, earlier: true, started: sim.now, output: "earlier"}
	r.ended = sim.chance("ended", 70)
	r.done = r.ended && sim.chance("done", 70)
	sim.runs = append(sim.runs, r)
	if bound {
		sim.agents[b.Agent].identities[a.Identity.Value+stage.Name] = r
	}
}

func (sim *simulation) submit(a Admit, index int) {
	a.Ref = uint64(len(sim.submissions) + 1)
	a.Deadline = sim.now.Add(50*ms + sim.randomDelay("deadline", 450))
	sim.submissions[a.Ref] = &submission{Admit: a, index: index}
	if sim.chance("refused by the shell", 10) {
		sim.deliver(Refuse{Admit: a, Reason: api.ReasonRateLimited})
		return
	}
	sim.deliver(a)
	if sim.chance("caller goes", 10) {
		sim.schedule(sim.randomDelay("goes", 300), func() { sim.deliver(CallerGone{a.RequestID, a.Ref}) })
	}
}

func (sim *simulation) check() {
	inFlightRefusals, cost := 0, time.Duration(0)
	for _, s := range sim.submissions {
		sim.checkSubmission(s)
		if s.reply.Problem != nil && s.reply.Problem.Detail == "an earlier sending is still running" {
			inFlightRefusals++
		}
	}
	runCounts := make(map[string]int)
	for _, r := range sim.runs {
		if r.call.Unrepeatable {
			runCounts[r.call.Identity.Value+r.call.ID.Stage]++
			assert.Assert(sim, runCounts[r.call.Identity.Value+r.call.ID.Stage] <= 1, "%v ran twice", r.call.ID)
		}
	}
	for _, c := range sim.costs {
		cost += c
	}
	assert.Equal(sim, sim.useful+sim.wasted, cost, "cost")
	assert.Equal(sim, sim.finals, len(sim.submissions)-inFlightRefusals, "final records")
	assert.Equal(sim, sim.core.InFlight(), 0)
	assert.Equal(sim, sim.core.Waiting(), 0)
	assert.Equal(sim, sim.suspects.n, 0, "runs of content without an end")
}

func (sim *simulation) checkSubmission(s *submission) {
	assert.Equal(sim, s.replies, 1, "replies to %s", s.RequestID)
	outcome := s.reply.Outcome()
	late := s.repliedAt.After(s.Deadline)
	assert.Assert(sim, !late || (sim.paused && outcome != api.OutcomeAnswered), "replied %v late", s.repliedAt.Sub(s.Deadline))
	ran := 0
	for _, r := range sim.runs {
		if r.call.ID.Request == s.RequestID && r.index <= s.index {
			ran++
		}
	}
	switch outcome {
	case api.OutcomeRefused:
		assert.Equal(sim, ran, 0, "%s is called refused", s.RequestID)
	case api.OutcomeCutShort:
		assert.Assert(sim, ran > 0, "%s is called cut short", s.RequestID)
	case api.OutcomeAnswered:
		sim.checkAnswer(s)
	}
}

// checkAnswer traces the answer back through runs of this request only.
func (sim *simulation) checkAnswer(s *submission) {
	var text string
	output := s.reply.Answer.Output
	assert.NilError(sim, json.Unmarshal(output, &text))
	assert.Assert(sim, strings.HasPrefix(text, s.text), "streamed %q of %q", s.text, text)
	for i := len(s.Pipeline.Stages) - 1; i >= 0; i-- {
		r := sim.producer(s, s.Pipeline.Stages[i].Name, output)
		assert.Assert(sim, r != nil, "no run of %s gave %s", s.Pipeline.Stages[i].Name, output)
		if r.earlier {
			return
		}
		assert.Equal(sim, string(r.call.Input), string(s.Input))
		output = r.call.Previous
	}
	assert.Equal(sim, len(output), 0)
}

func (sim *simulation) producer(s *submission, stage string, output json.RawMessage) *run {
	for _, r := range sim.runs {
		if r.call.ID.Request == s.RequestID && r.call.ID.Stage == stage && r.done && string(quote(r.output)) == string(output) {
			return r
		}
	}
	return nil
}

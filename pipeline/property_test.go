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
		w := newSimulation(t)
		n := rapid.IntRange(1, 5).Draw(t, "requests")
		for i := range n {
			w.schedule(w.randomDelay("arrival", 300), func() { w.submitRequest(i) })
		}
		w.run()
		w.check()
	})
}

// submitRequest submits one request, and perhaps its ID a second time.
func (w *simulation) submitRequest(i int) {
	kind := rapid.SampledFrom([]wire.IdentityKind{wire.IdentityMinted, wire.IdentityHeld, wire.IdentityKey}).Draw(w.T, "kind")
	a := Admit{
		RequestID: fmt.Sprint("request", i), Account: &bundle.Account{Name: "account"}, Bundle: w.bundle,
		Pipeline: w.pipeline(), Input: quote(fmt.Sprint("input", i)), Stream: w.chance("stream", 30),
		Identity:       wire.Identity{Kind: kind, Value: fmt.Sprint("identity", i)},
		Bindings:       make(map[string]wire.Binding),
		MayHaveEarlier: kind != wire.IdentityMinted,
	}
	for _, stage := range a.Pipeline.Stages {
		owner := w.agents[fmt.Sprint(stage.Pool, i%3)]
		b := wire.Binding{Agent: owner.name, Incarnation: owner.incarnation}
		if kind == wire.IdentityKey {
			b.Incarnation = ""
		}
		if stage.Unrepeatable && (kind != wire.IdentityMinted || w.chance("bound", 50)) {
			a.Bindings[stage.Name] = b
		}
	}
	if a.MayHaveEarlier && w.chance("earlier sending", 30) {
		w.addEarlierRun(a)
	}
	w.submit(a, 1)
	if kind == wire.IdentityHeld && w.chance("sent twice", 40) {
		w.schedule(w.randomDelay("again", 600), func() { w.submit(a, 2) })
	}
}

func (w *simulation) pipeline() *bundle.Pipeline {
	p := &bundle.Pipeline{Name: "pipeline"}
	unrepeatable := rapid.SampledFrom([]int{0, 40, 100}).Draw(w.T, "unrepeatable")
	for i := range rapid.IntRange(1, 3).Draw(w.T, "stages") {
		p.Stages = append(p.Stages, bundle.Stage{Name: fmt.Sprint("stage", i), Pool: string(rune('a' + i%2)),
			Unrepeatable: w.chance("unrepeatable stage", unrepeatable)})
	}
	return p
}

// addEarlierRun adds a run of the first stage by an earlier submission through
// another entry, unless an idempotency key without bindings makes each
// submission a separate request.
func (w *simulation) addEarlierRun(a Admit) {
	stage := a.Pipeline.Stages[0]
	b, bound := a.Bindings[stage.Name]
	if !bound && a.Identity.Kind == wire.IdentityKey && len(a.Bindings) == 0 {
		return
	}
	id := wire.CallID{Request: a.RequestID, Stage: stage.Name, Entry: "other", Attempt: 1}
	r := &run{call: wire.StageCall{ID: id, Identity: a.Identity, Unrepeatable: bound}, earlier: true, started: w.now, output: "earlier"}
	r.ended = w.chance("ended", 70)
	r.done = r.ended && w.chance("done", 70)
	w.runs = append(w.runs, r)
	if bound {
		w.agents[b.Agent].identities[a.Identity.Value+stage.Name] = r
	}
}

func (w *simulation) submit(a Admit, index int) {
	a.Ref = uint64(len(w.submissions) + 1)
	a.Deadline = w.now.Add(50*ms + w.randomDelay("deadline", 450))
	w.submissions[a.Ref] = &submission{Admit: a, index: index}
	if w.chance("refused by the shell", 10) {
		w.deliver(Refuse{Admit: a, Reason: api.ReasonRateLimited})
		return
	}
	w.deliver(a)
	if w.chance("caller goes", 10) {
		w.schedule(w.randomDelay("goes", 300), func() { w.deliver(CallerGone{a.RequestID, a.Ref}) })
	}
}

func (w *simulation) check() {
	twice, cost := 0, time.Duration(0)
	for _, s := range w.submissions {
		w.checkSending(s)
		if s.reply.Problem != nil && s.reply.Problem.Detail == "an earlier sending is still running" {
			twice++
		}
	}
	once := make(map[string]int)
	for _, r := range w.runs {
		if r.call.Unrepeatable {
			once[r.call.Identity.Value+r.call.ID.Stage]++
			assert.Assert(w, once[r.call.Identity.Value+r.call.ID.Stage] <= 1, "%v ran twice", r.call.ID)
		}
	}
	for _, c := range w.costs {
		cost += c
	}
	assert.Equal(w, w.useful+w.wasted, cost, "cost")
	assert.Equal(w, w.finals, len(w.submissions)-twice, "final records")
	assert.Equal(w, w.core.InFlight(), 0)
	assert.Equal(w, w.core.Waiting(), 0)
	assert.Equal(w, w.suspects.n, 0, "runs of content without an end")
}

func (w *simulation) checkSending(s *submission) {
	assert.Equal(w, s.replies, 1, "replies to %s", s.RequestID)
	outcome := s.reply.Outcome()
	late := s.repliedAt.After(s.Deadline)
	assert.Assert(w, !late || (w.paused && outcome != api.OutcomeAnswered), "replied %v late", s.repliedAt.Sub(s.Deadline))
	ran := 0
	for _, r := range w.runs {
		if r.call.ID.Request == s.RequestID && r.index <= s.index {
			ran++
		}
	}
	switch outcome {
	case api.OutcomeRefused:
		assert.Equal(w, ran, 0, "%s is called refused", s.RequestID)
	case api.OutcomeCutShort:
		assert.Assert(w, ran > 0, "%s is called cut short", s.RequestID)
	case api.OutcomeAnswered:
		w.checkAnswer(s)
	}
}

// checkAnswer traces the answer back through runs of this request only.
func (w *simulation) checkAnswer(s *submission) {
	var text string
	output := s.reply.Answer.Output
	assert.NilError(w, json.Unmarshal(output, &text))
	assert.Assert(w, strings.HasPrefix(text, s.text), "streamed %q of %q", s.text, text)
	for i := len(s.Pipeline.Stages) - 1; i >= 0; i-- {
		r := w.producer(s, s.Pipeline.Stages[i].Name, output)
		assert.Assert(w, r != nil, "no run of %s gave %s", s.Pipeline.Stages[i].Name, output)
		if r.earlier {
			return
		}
		assert.Equal(w, string(r.call.Input), string(s.Input))
		output = r.call.Previous
	}
	assert.Equal(w, len(output), 0)
}

func (w *simulation) producer(s *submission, stage string, output json.RawMessage) *run {
	for _, r := range w.runs {
		if r.call.ID.Request == s.RequestID && r.call.ID.Stage == stage && r.done && string(quote(r.output)) == string(output) {
			return r
		}
	}
	return nil
}
